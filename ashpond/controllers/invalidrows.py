"""Rows of the store that could not be decoded, listed for operators."""

from __future__ import annotations

__all__ = ["InvalidRows"]

from collections.abc import Callable

from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import InvalidRow

# The number of damaged rows is unlimited; this many are kept, some 200 bytes each.
MAX_ROWS = 200


class InvalidRows:
    """The rows that are skipped at present; each version of a row is logged once.

    :param on_found: called with the row's table, once for each version of a row.
    """

    def __init__(
        self, log: DecisionLog, on_found: Callable[[str], None] = lambda table: None
    ):
        self._log = log
        self._on_found = on_found
        self._by_key: dict[tuple[str, str], InvalidRow] = {}

    def note(self, row: InvalidRow) -> None:
        """Record a row that was skipped, and log it if this version is new."""
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
        """Remove the record of a row that is valid again or was removed."""
        self._by_key.pop((table, key), None)

    def clear_all(self) -> None:
        """Remove all records, as a restored store may assign their versions again."""
        self._by_key.clear()

    def list_all(self) -> list[InvalidRow]:
        """Return the recorded rows, oldest first."""
        return list(self._by_key.values())
