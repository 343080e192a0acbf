"""Directives that servers of the soak send, and checks that instances follow them."""

from __future__ import annotations

import random
import signal
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

import trio

from tests.directives import (
    BACKOFF_SLACK,
    LEAVING_SECONDS,
    LIMIT_SETTLED_SECONDS,
    LIMIT_SHARE,
    LIMIT_SLACK,
    LIMIT_WINDOW_SECONDS,
    REACTION_SECONDS,
    Directive,
)
from tests.soak.histories import read_history

if TYPE_CHECKING:
    from tests.soak.servers import IssuedDirective, Server
    from tests.soak.world import World

# The status of an instance whose servers have not answered before the deadline.
TIMED_OUT = 504
BETWEEN_SECONDS = (0.1, 0.8)
LIMITS = (0.0, 0.5, 1.5, 6.0)
LIMITED_SECONDS = (3.5, 7.0)
BACKOFFS = (0.3, 1.0, 2.5)
REJECTING_SECONDS = (0.5, 2.5)
# From the start of a server's leaving directive until its entry is removed.
ENTRY_SECONDS = (1.0, 4.0)
MAX_LEAVING_STARTS = 3
# A proxy fault may delay directives or requests for this long after it ends. Directives
# that an instance received before a restart or freeze are not binding.
EXCUSED_SECONDS = 1.5
EXCUSING_SIGNALS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGCONT)


class LimitPeriod(NamedTuple):
    """A period in which a server announced one limit."""

    server: str
    rate: float
    begin: float
    end: float


class DirectivePlayer:
    """Player that makes servers send directives, several servers at a time."""

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng
        self._leaving_count = 0

    async def run(self) -> None:
        """Play directives until cancelled."""
        kinds = [self._name_limit, self._name_limit, self._ask_for_backoff, self._leave]
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(*BETWEEN_SECONDS))
                servers = self._world.servers.values()
                available = [server for server in servers if not server.has_directive]
                if len(available) > 1:
                    server = self._rng.choice(available)
                    server.has_directive = True
                    nursery.start_soon(self._rng.choice(kinds), server)

    async def _name_limit(self, server: Server) -> None:
        rate = self._rng.choice(LIMITS)
        begin = trio.current_time()
        server.directive = Directive(limit=rate)
        try:
            await trio.sleep(self._rng.uniform(*LIMITED_SECONDS))
        finally:
            server.clear_directive()
            end = trio.current_time()
            period = LimitPeriod(server.server_id, rate, begin, end)
            self._world.ledger.limit_periods.append(period)

    async def _ask_for_backoff(self, server: Server) -> None:
        server.directive = Directive(503, backoff=self._rng.choice(BACKOFFS))
        try:
            await trio.sleep(self._rng.uniform(*REJECTING_SECONDS))
        finally:
            server.clear_directive()

    async def _leave(self, server: Server) -> None:
        """Make a server leave for good and add a replacement at once."""
        if self._leaving_count >= MAX_LEAVING_STARTS:
            server.clear_directive()
            return
        self._leaving_count += 1
        server.directive = Directive(is_leaving=True)
        await self._world.add_server()
        await trio.sleep(self._rng.uniform(*ENTRY_SECONDS))
        self._world.remove_entry(server.server_id)


def find_directive_violations(world: World) -> list[str]:
    """Return a line for each violation of a directive."""
    checker = _DirectiveChecker(world)
    return [
        *checker.list_after_leaving(),
        *checker.list_in_backoffs(),
        *checker.list_over_limits(),
    ]


class _DirectiveChecker:
    """Check of the arrivals at servers, grouped by the sending instance."""

    def __init__(self, world: World):
        self._world = world
        self._outcomes = {outcome.request_id: outcome for outcome in world.outcomes}
        self._arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
        for at, server, request_id in world.ledger.arrivals:
            outcome = self._outcomes.get(request_id)
            if outcome is not None:
                self._arrivals[server, outcome.connection.instance].append(at)

    def _find_informed(self, issued: IssuedDirective) -> str | None:
        """Return the instance that received a directive, if its client got an answer.

        Only a complete answer shows that the instance has read the directive, but not
        one that says that no server has answered in time.
        """
        outcome = self._outcomes.get(issued.request_id)
        if outcome is None or not outcome.is_whole or outcome.status == TIMED_OUT:
            return None
        return outcome.connection.instance

    def _is_excused(self, server: str, name: str, since: float, until: float) -> bool:
        instance = self._world.find_instance(name)
        if instance is None:
            return True
        if any(
            s.number in EXCUSING_SIGNALS and since <= s.at <= until
            for s in instance.signals
        ):
            return True
        proxy = self._world.server_proxies[server]
        return proxy.was_harmed(since - EXCUSED_SECONDS, until)

    def list_after_leaving(self) -> list[str]:
        broken = []
        for issued in self._world.ledger.issued_directives:
            name = self._find_informed(issued) if issued.directive.is_leaving else None
            if name is None:
                continue
            for at in self._arrivals[issued.server, name]:
                is_late = at > issued.at + LEAVING_SECONDS
                if is_late and not self._is_excused(issued.server, name, issued.at, at):
                    late = at - issued.at
                    line = f"{name} sent to {issued.server} {late:.2f} s after it left"
                    history = read_history(self._world, issued.request_id)
                    broken.append("\n".join([line, *history]))
        return broken

    def list_in_backoffs(self) -> list[str]:
        broken = []
        for issued in self._world.ledger.issued_directives:
            backoff = issued.directive.backoff
            name = self._find_informed(issued) if backoff is not None else None
            if backoff is None or name is None:
                continue
            end = issued.at + backoff
            sent = [
                at
                for at in self._arrivals[issued.server, name]
                if issued.at + REACTION_SECONDS <= at < end
            ]
            excused = self._is_excused(issued.server, name, issued.at, end)
            if len(sent) > BACKOFF_SLACK and not excused:
                broken.append(
                    f"{name} sent {len(sent)} to {issued.server} in its backoff"
                )
        return broken

    def list_over_limits(self) -> list[str]:
        broken = []
        for period in self._world.ledger.limit_periods:
            most = self._count_busiest_window(period)
            bound = LIMIT_SHARE * period.rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
            if most > bound:
                broken.append(f"{period.server} got {most} in 4 s, named {period.rate}")
        return broken

    def _count_busiest_window(self, period: LimitPeriod) -> int:
        informed: dict[str, float] = {}
        named_at = period.end
        for issued in self._world.ledger.issued_directives:
            if (
                issued.server != period.server
                or not period.begin <= issued.at <= period.end
            ):
                continue
            named_at = min(named_at, issued.at)
            name = self._find_informed(issued)
            if name is not None:
                informed.setdefault(name, issued.at)
        counted = sorted(
            at
            for name, informed_at in informed.items()
            for at in self._arrivals[period.server, name]
            if informed_at + REACTION_SECONDS <= at <= period.end
            and not self._is_excused(period.server, name, informed_at, at)
        )
        ends = [at for at in counted if at >= named_at + LIMIT_SETTLED_SECONDS]
        return max(
            (
                sum(1 for at in counted if end - LIMIT_WINDOW_SECONDS <= at <= end)
                for end in ends
            ),
            default=0,
        )
