"""The filter chain of a call; the filters run in this order.

1. ``accounting``: counts the outcome of every call.
2. ``authentication``: identifies the calling team.
3. ``parsing``: parses and validates body and headers.
4. ``quarantine``: refuses calls that crash the servers that run them.
5. ``limits``: enforces the team's request rate.
6. ``admission``: waits for an admission slot, or refuses the call at once.
7. ``idempotency``: claims a call that may run at most once.
8. ``dispatch``: sends the call to a backend server and forwards its answer.
"""

from __future__ import annotations
