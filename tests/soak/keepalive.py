"""Clients that reuse a connection for many requests with idle times between."""

from __future__ import annotations

import random
import select
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import h11
import trio

from ashpond.gateway.application import LEAVE_SECONDS
from tests.soak.clients import (
    ConnectionUse,
    Ending,
    choose_kind,
    exchange,
    make_outcome,
)
from tests.soak.instances import Instance

if TYPE_CHECKING:
    from tests.soak.world import World

# Idle times slightly exceed the limit, as some clients know an older, longer one.
LONGEST_SHARE = 1.1
# Clients that know the newest limit use a connection up to four fifths of it.
WITHIN_LIMIT_SHARES = (0.5, 0.8)
# Offset from the end of a limit (seconds); mostly before it, so that requests are
# still accepted.
EDGE_SECONDS = (-0.2, 0.03)
# Interval at which a waiting client checks for newer limits and signals.
POLL_SECONDS = 0.01
RECONNECT_SECONDS = 0.1
# Share of connections that are opened before a request needs them, as pools do.
OPENED_EARLY_SHARE = 0.3

Idle = Callable[[Instance, float, float], Awaitable[None]]


class KeepAliveClient:
    """A client that opens another connection only when its current one has ended."""

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng

    async def run(self) -> None:
        """Use one connection after another until cancelled."""
        while True:
            instance = self._rng.choice(self._world.instances)
            connection = ConnectionUse(instance.name, instance.started_at)
            host, port = instance.address.split(":")
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                await trio.sleep(RECONNECT_SECONDS)
                continue
            async with stream:
                await self._use(stream, instance, connection)

    async def _use(
        self, stream: trio.SocketStream, instance: Instance, connection: ConnectionUse
    ) -> None:
        conn = h11.Connection(h11.CLIENT)
        is_opened_early = self._rng.random() < OPENED_EARLY_SHARE
        while True:
            idle_since = trio.current_time()
            if connection.uses or is_opened_early:
                await self._idle(instance, idle_since)
            if has_ended(stream):
                return
            idle = trio.current_time() - idle_since
            limit = self._world.idle_limit
            connection = connection._replace(idle_before=idle, idle_limit=limit)
            if not await self._send_request(stream, conn, instance, connection):
                return
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()
            connection = connection._replace(uses=connection.uses + 1)

    async def _send_request(
        self,
        stream: trio.SocketStream,
        conn: h11.Connection,
        instance: Instance,
        connection: ConnectionUse,
    ) -> bool:
        kind = choose_kind(self._rng)
        # Half of the requests use the key that is never removed; otherwise most of
        # a long run would be refused.
        key = self._rng.choice(
            [self._world.keys[0], self._rng.choice(self._world.keys)]
        )
        request_id = self._world.make_id()
        sent_at = trio.current_time()
        answer = await exchange(stream, conn, kind, request_id, key)
        outcome = make_outcome(request_id, kind, key, sent_at, answer, connection)
        self._world.note(outcome, instance)
        return answer.ending is Ending.ANSWERED

    async def _idle(self, instance: Instance, since: float) -> None:
        limit = self._world.idle_limit
        ways: list[Idle] = [
            self._idle_any,
            self._idle_to_edge,
            self._idle_within_limit,
            self._idle_to_close,
        ]
        await self._rng.choice(ways)(instance, since, limit)

    async def _idle_any(self, _: Instance, since: float, limit: float) -> None:
        await trio.sleep_until(since + limit * self._rng.uniform(0, LONGEST_SHARE))

    async def _idle_to_edge(self, _: Instance, since: float, limit: float) -> None:
        await trio.sleep_until(since + limit + self._rng.uniform(*EDGE_SECONDS))

    async def _idle_within_limit(self, _: Instance, since: float, __: float) -> None:
        share = self._rng.uniform(*WITHIN_LIMIT_SHARES)
        while trio.current_time() < since + self._world.idle_limit * share:
            await trio.sleep(POLL_SECONDS)

    async def _idle_to_close(
        self, instance: Instance, since: float, limit: float
    ) -> None:
        """Wait until shortly before or after the instance closes the connection.

        It does so when it leaves or when the idle limit ends.
        """
        early = self._rng.uniform(*EDGE_SECONDS)
        end = since + limit + early
        while (now := trio.current_time()) < end:
            await trio.sleep(min(POLL_SECONDS, end - now))
            sent = instance.find_signal(signal.SIGTERM, instance.started_at, now)
            if sent is not None:
                end = min(end, sent.at + LEAVE_SECONDS + early)


def has_ended(stream: trio.SocketStream) -> bool:
    """Return whether the peer has closed a connection that no task reads from."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
