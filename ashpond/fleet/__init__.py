"""The exchange of updates between the instances of a fleet.

``members`` keeps the list of instances and ``exchange`` the links to them, ``links``
queues what each link has to send, ``sending`` writes it to the connection, ``updates``
defines the typed values and their messages, and ``view`` adds up what all peers have
reported.
"""
