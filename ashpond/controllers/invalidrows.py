"""Rows of the store that are not what their tables hold, kept for operators."""

from __future__ import annotations

__all__ = ["InvalidRows"]

from collections.abc import Callable

from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import InvalidRow

# Any number of rows may be damaged; so many are remembered, some 200 bytes each.
MAX_ROWS = 200


class InvalidRows:
    """The rows that are passed over at present; each version is told once.

    :param on_found: is called for each row and version, with the row's table.
    """

    def __init__(
        self, log: DecisionLog, on_found: Callable[[str], None] = lambda table: None
    ):
        self._log = log
        self._on_found = on_found
        self._by_key: dict[tuple[str, str], InvalidRow] = {}

    def note(self, row: InvalidRow) -> None:
        """Note that a row is passed over."""
        known = self._by_key.get((row.table, row.key))
        if known is not None and known.version >= row.version:
            return
        self._by_key.pop((row.table, row.key), None)
        self._by_key[row.table, row.key] = row
        if len(self._by_key) > MAX_ROWS:
            del self._by_key[next(iter(self._by_key))]
        self._on_found(row.table)
        self._log.note(
            "row_invalid",
            table=row.table,
            key=row.key,
            row_version=row.version,
            reason=row.reason,
        )

    def clear(self, table: str, key: str) -> None:
        """Note that a row is whole, or was removed."""
        self._by_key.pop((table, key), None)

    def clear_all(self) -> None:
        """Forget which versions were told of: they may be given out again."""
        self._by_key.clear()

    def list_all(self) -> list[InvalidRow]:
        """Return those that are remembered, the oldest first."""
        return list(self._by_key.values())
