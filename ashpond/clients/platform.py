"""The platform's protocol: tables, objects, and the list of members.

This module alone knows its wire format; another platform replaces it.
"""

from __future__ import annotations

__all__ = ["Member", "MemberKind", "PlatformClient", "Put", "Row"]

from enum import StrEnum
from typing import Any, NamedTuple

import httpx
import orjson

from ashpond.clients.http import (
    NOT_SENT_ERRORS,
    ends_with_connection,
    make_client,
)
from ashpond.outcomes import Conflict, Done, StoreOutcome, Unavailable, Unknown

OK = 200
NOT_FOUND = 404
CONFLICT = 409
UNFRAMED = "the answer ended with its connection and may be incomplete"


class Row(NamedTuple):
    """A table row; ``version`` changes with each write and is never 0."""

    value: Any
    version: int


class Put(NamedTuple):
    """A conditional write: the row must have ``version``, or 0 for none.

    ``ttl`` is how many seconds the platform keeps the row; 0 means without limit.
    """

    key: str
    value: Any
    version: int
    ttl: float = 0.0


class MemberKind(StrEnum):
    """Kinds of members in the platform's list."""

    INSTANCE = "instance"
    BACKEND_SERVER = "backend_server"


class Member(NamedTuple):
    """One entry of the platform's list. ``address`` is IP:PORT."""

    address: str
    kind: MemberKind
    leaving: bool


class PlatformClient:
    """Client of the platform that counts reads and writes.

    A read returns ``Done``, ``Unavailable`` or ``Unknown``. A write may also return
    ``Conflict``; ``Unknown`` means that it may still take effect later.
    """

    def __init__(self, address: str, timeout: float):
        self._base = f"http://{address}"
        self._client = make_client(timeout, timeout)
        self.reads = 0
        self.writes = 0

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get_row(self, key: str) -> Done | Unavailable | Unknown:
        """Read one row; ``Done`` holds a :class:`Row`, or ``None``."""
        outcome = await self._read("/tables/row", {"key": key})
        if not isinstance(outcome, Done):
            return outcome
        row = orjson.loads(outcome.value)["row"]
        return Done(_make_row(row))

    async def transact(self, puts: list[Put]) -> StoreOutcome:
        """Write all rows or none; ``Done`` holds their new versions."""
        self.writes += 1
        body = orjson.dumps({"puts": [put._asdict() for put in puts]})
        try:
            url = f"{self._base}/tables/transact"
            response = await self._client.post(url, content=body)
        except NOT_SENT_ERRORS as error:
            return Unavailable(str(error))
        except httpx.HTTPError as error:
            return Unknown(repr(error))
        if ends_with_connection(response):
            return Unknown(UNFRAMED)
        if response.status_code == OK:
            return Done(orjson.loads(response.content)["versions"])
        if response.status_code == CONFLICT:
            rows = orjson.loads(response.content)["conflicts"]
            return Conflict({key: _make_row(row) for key, row in rows.items()})
        return Unknown(f"status {response.status_code}")

    async def get_object(self, key: str) -> Done | Unavailable | Unknown:
        """Read one object; ``Done`` holds its bytes, or ``None``."""
        return await self._read(f"/objects/{key}")

    async def list_objects(self, prefix: str) -> Done | Unavailable | Unknown:
        """List the keys that begin with ``prefix``; ``Done`` holds them."""
        outcome = await self._read("/objects", {"prefix": prefix})
        if isinstance(outcome, Done):
            return Done(orjson.loads(outcome.value))
        return outcome

    async def put_object(self, key: str, value: bytes) -> StoreOutcome:
        """Write one object; writing the same bytes again is safe."""
        self.writes += 1
        try:
            url = f"{self._base}/objects/{key}"
            response = await self._client.put(url, content=value)
        except NOT_SENT_ERRORS as error:
            return Unavailable(str(error))
        except httpx.HTTPError as error:
            return Unknown(repr(error))
        if response.status_code == OK:
            return Done()
        return Unknown(f"status {response.status_code}")

    async def list_members(self) -> Done | Unavailable | Unknown:
        """Read the member list, which lags; ``Done`` holds :class:`Member` tuples."""
        outcome = await self._read("/instances")
        if not isinstance(outcome, Done):
            return outcome
        entries = orjson.loads(outcome.value)
        return Done([_make_member(entry) for entry in entries])

    async def _read(
        self, path: str, params: dict[str, str] | None = None
    ) -> Done | Unavailable | Unknown:
        self.reads += 1
        try:
            response = await self._client.get(self._base + path, params=params)
        except httpx.HTTPError as error:
            return Unavailable(repr(error))
        if response.status_code == NOT_FOUND:
            return Done(None)
        if response.status_code != OK:
            return Unavailable(f"status {response.status_code}")
        if ends_with_connection(response):
            return Unavailable(UNFRAMED)
        return Done(response.content)


def _make_row(row: dict[str, Any] | None) -> Row | None:
    return Row(row["value"], row["version"]) if row else None


def _make_member(entry: dict[str, Any]) -> Member:
    kind = MemberKind(entry["kind"])
    return Member(entry["address"], kind, entry["state"] == "leaving")
