"""The platform's store, with restores from an older copy."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from standins.http import Listener, Request, Response

# Paged reads are not needed: the tables of a case are far smaller than a page.
MAX_WAIT_SECONDS = 30.0


class Row(NamedTuple):
    """A stored row; a removed one has no value."""

    table: str
    part: str
    key: str
    value: str | None
    ver: int


class Copy(NamedTuple):
    """A copy of the store from which it can be restored."""

    rows: dict[tuple[str, str, str], Row]
    ver: int
    taken_at: float


class Store:
    """Rows in tables, with one version counter, a change feed and an era."""

    def __init__(self) -> None:
        self.listener = Listener(self._answer)
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.ver = 0
        self.era = 1
        self.is_away = True
        self._changed = asyncio.Event()
        self._port = 0

    async def open(self) -> None:
        """Listen, on the same port each time."""
        await self.listener.open(self._port)
        self.is_away = False
        self._port = int(self.listener.address.rpartition(":")[2])

    def close(self) -> None:
        """Be away: refuse connections, and close those that are open."""
        self.is_away = True
        self.listener.close()

    def take_copy(self) -> Copy:
        """Return a copy of the present rows."""
        return Copy(dict(self.rows), self.ver, time.monotonic())

    def restore(self, copy: Copy) -> None:
        """Go back to a copy; what was written since is lost."""
        self.rows = dict(copy.rows)
        self.ver = copy.ver
        self.era += 1
        self._wake()

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> None:
        """Write a row as the operator and the servers do, without a condition."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self.ver += 1
        self.rows[table, "", key] = Row(table, "", key, text, self.ver)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request) -> Response | None:
        era = self.era
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if request.method == "POST" and url.path == "/api/rows-tx":
            status, body = self._transact(json.loads(request.body))
        elif url.path == "/api/rows-get":
            status, body = self._read(query)
        elif url.path == "/api/rows-feed":
            status, body = await self._follow(query)
        else:
            status, body = 404, {}
        if era != self.era:
            # The connections of the earlier era have ended.
            return None
        data = json.dumps(body).encode()
        headers = (("Content-Type", "application/json"), ("Store-Era", str(era)))
        return Response(status, data, headers)

    def _stamp(self, rows: list[Row]) -> dict[str, Any]:
        return {
            "rows": [_encode(row) for row in rows],
            "ver": self.ver,
            "now_ms": time.monotonic() * 1000,
            "has_more": False,
        }

    def _read(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        wanted = (query["table"], query.get("part", ""))
        rows = [
            row
            for (table, part, _), row in sorted(self.rows.items())
            if (table, part) == wanted and row.value is not None
        ]
        return 200, self._stamp(rows)

    async def _follow(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query["table"], int(query["after"])
        if after > self.ver:
            return 410, {}
        wait = min(MAX_WAIT_SECONDS, int(query.get("wait_ms", "0")) / 1000)
        until = time.monotonic() + wait
        while True:
            found = [r for r in self.rows.values() if r.table == table]
            found = sorted((r for r in found if r.ver > after), key=lambda r: r.ver)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, self._stamp(found)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, table: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        puts = [*table.get("put", ()), *table.get("remove", ())]
        if any(row["table"] in ("op", "servers") for row in puts):
            return 403, {}
        current = []
        is_met = True
        for condition in table.get("precondition", ()):
            key = (condition["table"], condition.get("part", ""), condition["key"])
            row = self.rows.get(key)
            exists = row is not None and row.value is not None
            if row is not None and exists:
                current.append(_encode(row))
            is_met = is_met and (row.ver if row and exists else 0) == condition["ver"]
        if not is_met:
            return 412, {"rows": current}
        self.ver += 1
        for put in puts:
            name = (put["table"], put.get("part", ""), put["key"])
            self.rows[name] = Row(*name, put.get("value"), self.ver)
        self._wake()
        return 200, {"ver": self.ver, "now_ms": time.monotonic() * 1000}


def _encode(row: Row) -> dict[str, Any]:
    table = row._asdict()
    if row.value is None:
        del table["value"]
        table["removed"] = True
    return table
