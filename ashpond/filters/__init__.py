"""The way of a request: the filters, in the order in which it passes them.

1. ``accounting``: counts what becomes of every call.
2. ``authentication``: which team calls.
3. ``parsing``: what is asked for, checked.
4. ``quarantine``: refuses what ends the servers that run it.
5. ``limits``: the team's request rate.
6. ``admission``: waits for a place, or leaves at once.
7. ``idempotency``: claims a call that may run at most once.
8. ``dispatch``: places the call on a backend server and passes its answer on.
"""

from __future__ import annotations
