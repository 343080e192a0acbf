"""What instances tell each other: who there is, who tells whom, and what.

``members`` knows the instances, ``room`` holds the links to them, ``links`` what is
queued for each, ``sending`` sends it, ``items`` are the typed values and their
messages, ``fleetview`` is what all others together have told.
"""
