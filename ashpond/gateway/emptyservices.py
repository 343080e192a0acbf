"""How long services have had no server."""

from __future__ import annotations

__all__ = ["EmptyServices"]

# Rows that were lost in an outage of the store are back within this time (seconds). A
# server whose row is still missing then is gone.
MISSING_ROW_SECONDS = 2.0


class EmptyServices:
    """The services without any server, by the requests for them."""

    def __init__(self) -> None:
        # When the first and the last request found none.
        self._found: dict[str, tuple[float, float]] = {}

    def note(self, service: str, now: float, *, is_empty: bool) -> bool:
        """Record what a request has found; return whether its servers are gone."""
        if not is_empty:
            self._found.pop(service, None)
            return False
        first, last = self._found.get(service, (now, now))
        if now - last > MISSING_ROW_SECONDS:
            # There may have been some since.
            first = now
        self._found[service] = first, now
        return now - first > MISSING_ROW_SECONDS
