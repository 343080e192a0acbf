"""Servers of a service: plain ones, and model engines that take orders."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from typing import Any

from standins.http import Listener, Request, Response, Stream
from standins.store import Store

HEARTBEAT_SECONDS = 1.2
# A stream of the site has 58 tokens and lasts a second or more.
EVENTS = 58
EVENT_SECONDS = 0.03


class Server:
    """A server that registers itself in the store and records what it runs.

    With ``models`` it is a model engine, which tells its weights and takes orders.
    """

    def __init__(
        self,
        store: Store,
        server_id: str,
        service: str,
        record: Any,
        work_seconds: float = 0.02,
        models: dict[str, int] | None = None,
        load_seconds: float = 0.76,
        slots: int = 6,
        software: str = "1",
    ):
        self.id = server_id
        self.listener = Listener(self._answer)
        self._store = store
        self._service = service
        self._record = record
        self._work_seconds = work_seconds
        self._models = models
        self._load_seconds = load_seconds
        self._slots = slots
        self.software = software
        self._orders = 0
        self._beats = 0
        self._is_loading = False
        self._heart: asyncio.Task[None] | None = None
        self._born = 0
        self._state = "ready"

    async def open(self, clock_ahead: float = 0.0) -> None:
        """Start, listen, and keep the entry in the store.

        :param clock_ahead: by how much the host's time of day is ahead (seconds).
        """
        port = self.listener.address.rpartition(":")[2]
        await self.listener.open(int(port or 0))
        self._born = int((time.time() + clock_ahead) * 1000)
        self._beats = self._orders = 0
        self._record.write("server_started", server=self.id, born=self._born)
        self._heart = asyncio.create_task(self._beat())

    def close(self) -> None:
        """End at once, as in a crash."""
        if self._heart is not None:
            self._heart.cancel()
        self.listener.close()

    def drain(self) -> None:
        """Report that this server leaves; the store's answer is the acknowledgement."""
        self._state = "draining"
        self.write_entry()
        self._record.write("draining", server=self.id)

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def write_entry(self) -> None:
        """Write this server's entry, unless the store is away."""
        if self._store.is_away:
            return
        self._store.put("servers", self.id, self._make_entry())

    async def write_entry_late(self, seconds: float) -> None:
        """Write the entry; the store doesn't answer, and performs the write later."""
        entry = self._make_entry()
        self._record.write("unanswered_write", server=self.id, entry=entry)
        await asyncio.sleep(seconds)
        self._store.put("servers", self.id, entry)
        self._record.write("late_write", server=self.id, entry=entry)

    def _make_entry(self) -> dict[str, Any]:
        self._beats += 1
        entry: dict[str, Any] = {
            "service": self._service,
            "address": self.listener.address,
            "zone": "zone-a",
            "version": self.software,
            "slots": self._slots,
            "state": self._state,
            "cold_ms": 0,
            "seq": self._beats,
            "born": self._born,
        }
        if self._models is not None:
            entry |= {"stage": "colocated", "models": self._list_models()}
        return entry

    def _list_models(self) -> list[dict[str, Any]]:
        models = self._models or {}
        return [{"name": n, "version": v, "adapters": []} for n, v in models.items()]

    async def _answer(self, request: Request) -> Response | Stream | None:
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.id):
            return Response(421, b"", (("X-Instance-Id", self.id),))
        if self._models is not None and request.target == "/api/report":
            return self._report()
        if self._models is not None and request.target == "/api/order":
            return self._take_order(json.loads(request.body))
        if request.target.startswith("/stream/"):
            return self._stream(request)
        return await self._run(request)

    def _stream(self, request: Request) -> Stream:
        request_id = request.headers.get("x-request-id", "")
        after = int(request.headers.get("last-event-id") or 0)
        self._record.write(
            "stream_run",
            id=request_id,
            server=self.id,
            software=self.software,
            after=after,
        )
        headers = (
            ("Content-Type", "text/event-stream"),
            ("X-Request-Id", request_id),
            ("X-Engine-Seal", f"seal.{self.id}"),
        )
        return Stream(self._make_events(after, self.software), headers)

    async def _make_events(self, after: int, software: str) -> AsyncIterator[bytes]:
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            yield b"id: %d\ndata: %s\n\n" % (number, software.encode())

    def _report(self) -> Response:
        table = {
            "stage": "colocated",
            "models": self._list_models(),
            "busy": self._is_loading,
            "seq": self._orders,
            "queued": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "born": self._born,
        }
        return _json(200, table)

    def _take_order(self, order: dict[str, Any]) -> Response:
        """Take an order as the pages say; fences are not checked."""
        assert self._models is not None
        status = 202
        if self._models.get(order["model"], 0) >= order["version"]:
            status = 200
        elif self._is_loading or order.get("precondition", self._orders) != (
            self._orders
        ):
            status = 409
        self._record.write(
            "order",
            server=self.id,
            holder=order["holder"],
            fence=order["fencing_token"],
            version=order["version"],
            status=status,
        )
        if status == 202:
            self._orders += 1
            self._is_loading = True
            asyncio.get_running_loop().call_later(
                self._load_seconds, self._finish_load, order
            )
        return _json(status, {})

    def _finish_load(self, order: dict[str, Any]) -> None:
        assert self._models is not None
        self._is_loading = False
        self._models[order["model"]] = order["version"]
        self.write_entry()

    async def _run(self, request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        tenant = request.headers.get("x-tenant", "")
        self._record.write("run", id=request_id, server=self.id, tenant=tenant)
        await asyncio.sleep(self._work_seconds)
        headers = [("X-Request-Id", request_id), ("X-Engine-Seal", f"seal.{self.id}")]
        if self._state == "draining":
            headers.append(("Connection", "close"))
        return Response(200, f"answer to {request_id}".encode(), tuple(headers))


def _json(status: int, table: dict[str, Any]) -> Response:
    data = json.dumps(table).encode()
    return Response(status, data, (("Content-Type", "application/json"),))
