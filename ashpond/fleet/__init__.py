"""What instances tell each other: who there is, who tells whom, and what.

``members`` knows the instances, ``exchange`` holds the links to them, ``links`` what is
queued for each, ``sending`` sends it, ``updates`` holds the typed values and their
messages, ``view`` is what all others together have told.
"""
