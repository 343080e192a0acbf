"""Connections to emulated engines, in place of sockets."""

from __future__ import annotations

__all__ = [
    "EmulatedPool",
    "RequestRecords",
    "build_codec",
    "build_engine_port",
    "make_address",
]

from collections.abc import Mapping
from typing import NamedTuple

import trio

from ashpond.clients.channels import ChannelError, Correlation, OutgoingRequest
from ashpond.clients.responseheads import Framing
from ashpond.controllers.directory import BackendServer
from ashpond.emulator.engines import EmulatedEngine, Run
from ashpond.gateway.callprogress import CallConnections
from ashpond.gateway.calls import AnswerHeaders, Codec, Envelope, Headers, Instructions
from ashpond.gateway.orders import (
    EnginePort,
    EngineReport,
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    WeightsOrder,
)
from ashpond.outcomes import NotRun

NOT_RUN: Headers = [(b"not-run", b"1")]
BACKOFF = b"backoff"
LIMIT = b"limit"
LEAVING = b"leaving"
DEFAULT_URGENCY = 5
# The duration of a weights order, or of a report, at an engine (seconds).
ORDER_SECONDS = 0.003


class RequestRecords:
    """What the router sent to the engines with each request, by the request's id.

    ``outputs`` is the length of each answer in tokens; ``runs`` are the request's runs
    at engines, the oldest first.
    """

    def __init__(self) -> None:
        self.sent: dict[str, tuple[Envelope, Instructions]] = {}
        self.outputs: dict[str, int] = {}
        self.runs: dict[str, list[Run]] = {}


def build_codec(records: RequestRecords) -> Codec:
    """Return a codec that records instructions instead of writing headers."""

    def write_headers(envelope: Envelope, instructions: Instructions) -> Headers:
        records.sent[envelope.request_id] = (envelope, instructions)
        return []

    def read_answer_headers(headers: Headers) -> AnswerHeaders:
        answer_headers = dict(headers)
        return AnswerHeaders(
            None,
            b"not-run" in answer_headers,
            None,
            None,
            rate_limit=float(answer_headers[LIMIT])
            if LIMIT in answer_headers
            else None,
            is_leaving=LEAVING in answer_headers,
            backoff=float(answer_headers[BACKOFF])
            if BACKOFF in answer_headers
            else None,
        )

    return Codec(lambda headers: None, write_headers, read_answer_headers)


def format_statement_headers(engine: EmulatedEngine) -> Headers:
    """Return the headers for an engine's present statement."""
    statement = engine.statement
    if statement is None:
        return []
    return [(statement.kind.encode(), str(statement.value).encode())]


class EmulatedResponse:
    """The answer to a request, in two pieces: its first event and the rest."""

    def __init__(self, status: int, headers: Headers, run: Run | None):
        self.status = status
        self.headers = headers
        self.framing = Framing.CHUNKS
        self.correlation = Correlation()
        self._run = run
        self._has_read_first = False

    async def read(self) -> bytes:
        """Return the next piece, or no bytes at the end.

        :raises ChannelError: if the engine crashed before the end of the answer.
        """
        if self._run is None:
            return b""
        if not self._has_read_first:
            self._has_read_first = True
            return b"id: 1\n\n"
        run, self._run = self._run, None
        try:
            await run.has_ended.wait()
        finally:
            run.is_cancelled = not run.has_ended.is_set()
        if run.has_failed:
            raise ChannelError("the engine crashed", is_sent=True)
        return b"id: 2\n\n"

    async def read_all(self, limit: int) -> bytes:
        """Return the whole answer."""
        pieces = []
        while piece := await self.read():
            pieces.append(piece)
        return b"".join(pieces)


class EmulatedChannel(NamedTuple):
    """A connection to one engine."""

    engine: EmulatedEngine
    pool: EmulatedPool
    relay: str = ""
    opened_at: float = 0.0

    async def exchange(self, request: OutgoingRequest) -> EmulatedResponse:
        """Send a request; return its answer once the first event is there.

        :raises ChannelError: if the engine crashes before the first event.
        """
        assert request.request_id is not None
        await trio.sleep(self.pool.delay)
        envelope, instructions = self.pool.records.sent[request.request_id]
        prompt = envelope.prompt
        assert prompt is not None
        self.engine.arrivals.append(trio.current_time())
        statement_headers = format_statement_headers(self.engine)
        is_rejecting = any(name == BACKOFF for name, _ in statement_headers)
        if self.engine.ordered_version is not None or is_rejecting:
            return EmulatedResponse(503, [*NOT_RUN, *statement_headers], None)
        if instructions.weights_version != self.engine.version:
            return EmulatedResponse(421, [*NOT_RUN, *statement_headers], None)
        urgency = instructions.urgency
        earlier_runs = self.pool.records.runs.setdefault(request.request_id, [])
        run = Run(
            prompt,
            instructions.salt or "",
            earlier_runs[-1].tokens_left
            if earlier_runs
            else self.pool.records.outputs[request.request_id],
            DEFAULT_URGENCY if urgency is None else urgency,
        )
        earlier_runs.append(run)
        source = self.pool.by_address.get(instructions.fetch_from or "")
        self.engine.submit(run, source)
        try:
            await run.has_begun.wait()
        finally:
            run.is_cancelled = not run.has_begun.is_set()
        if run.has_failed:
            raise ChannelError("the engine crashed", is_sent=True)
        return EmulatedResponse(200, statement_headers, run)

    def close(self) -> None:
        """Do nothing: cancelling the read of an answer cancels its run."""


class EmulatedPool(CallConnections):
    """A pool of connections to engines.

    :param delay: the network delay between instances and engines, one way (seconds).
    """

    def __init__(
        self,
        engines: Mapping[str, EmulatedEngine],
        records: RequestRecords,
        delay: float,
    ):
        self.records = records
        self.delay = delay
        self.by_address = {make_address(name): e for name, e in engines.items()}

    async def acquire(  # type: ignore[override]
        self,
        owner: str,
        address: str,
        *,
        is_repeatable: bool = False,
        request_id: str | None = None,
    ) -> EmulatedChannel:
        """Return a connection to the engine at an address.

        :raises ChannelError: if the engine is down.
        """
        await trio.sleep(self.delay)
        engine = self.by_address[address]
        if engine.is_down:
            raise ChannelError("refused", is_sent=False)
        return EmulatedChannel(engine, self)

    def release(  # type: ignore[override]
        self, owner: str, channel: EmulatedChannel
    ) -> None:
        """Do nothing: connections are not reused."""

    def close_idle(self, owner: str) -> None:
        """Do nothing: no idle connections are kept."""


def build_engine_port(engines: Mapping[str, EmulatedEngine]) -> EnginePort:
    """Return the port for weight orders to, and reports from, emulated engines."""

    async def order(server: BackendServer, order: WeightsOrder) -> OrderOutcome:
        engine = engines[server.id]
        await trio.sleep(ORDER_SECONDS)
        if engine.is_down:
            return NotRun("refused")
        if engine.ordered_version is not None:
            return OrderRefused(409)
        if engine.version == order.version:
            return OrderAccepted(is_in_force=True)
        engine.order_weights(order.version, cuts_runs=order.cuts_runs)
        return OrderAccepted(is_in_force=False)

    async def report(server: BackendServer) -> EngineReport | NotRun:
        engine = engines[server.id]
        await trio.sleep(ORDER_SECONDS)
        if engine.is_down:
            return NotRun("refused")
        is_loading = engine.ordered_version is not None
        weights = dict.fromkeys(server.weights, engine.version)
        return EngineReport(weights, is_loading, engine.accepted_orders)

    async def read_cache_events(address: str, since: int, wait: float) -> NotRun:
        return NotRun("no events here")

    return EnginePort(order, report, read_cache_events)


def make_address(name: str) -> str:
    """Return the address of an engine."""
    return f"{name}:1"
