"""Declared backend servers: their health, their load and their cached prompts."""

from __future__ import annotations

__all__ = ["EnginesController", "InFlight", "ServerState"]

import random
from collections.abc import Callable
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import trio
from logbook import Logger

from ashpond.clients.engine import FeedLine, follow_feed
from ashpond.clients.http import make_client
from ashpond.clients.platform import MemberKind
from ashpond.clients.service import fetch_draining
from ashpond.controllers.crashdetection import CrashEvidence, WatchedServer
from ashpond.decisions.caches import CacheView
from ashpond.decisions.health import ServerHealth, select_usable
from ashpond.decisions.placement import Candidate, LoadReport, estimate_prefill_wait

if TYPE_CHECKING:
    from ashpond.configuration import BackendServerConfig
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.controllers.members import MembersController
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

logger = Logger("ashpond.engines")

LEAVING_PART = "leaving"


class InFlight:
    """One attempt that this instance has sent and that is still running."""

    __slots__ = ("sent_at", "tokens")

    def __init__(self, sent_at: float, tokens: int):
        self.sent_at = sent_at
        self.tokens = tokens


class ServerState:
    """Everything that this instance knows about one backend server."""

    def __init__(
        self, name: str, config: BackendServerConfig, now: float, sample: int = 1
    ):
        self.name = name
        self.config = config
        self.health = ServerHealth(now)
        self.view = CacheView(sample=sample)
        self.report: LoadReport | None = None
        self.in_flight: set[InFlight] = set()
        self.scope = trio.CancelScope()

    @property
    def watched(self) -> WatchedServer:
        """The server's current start, as crash detection watches it."""
        start = f"{self.name}#{self.view.incarnation}"
        config = self.config
        return WatchedServer(
            start, start, None, config.address, config.service, self.health.draining
        )

    @property
    def is_loading(self) -> bool:
        """Whether the engine is loading other weights."""
        return self.report is not None and bool(self.report.loading)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report; a new incarnation starts with an empty cache."""
        if self.view.adopt_incarnation(report.incarnation):
            logger.notice(
                "incarnation_changed",
                extra={"server": self.name, "incarnation": report.incarnation},
            )
        self.view.resize(report.cache_blocks)
        self.report = report
        self.health.note_report(now)

    def build_candidate(self, blocks: tuple[int, ...]) -> Candidate:
        """Return this server as a candidate for placement.

        The candidate counts the tokens and requests of only those attempts that were
        sent after the last report, which includes all earlier ones.

        :param blocks: the hashes of the prompt's blocks, in order.
        """
        since = self.report.observed_at if self.report else float("-inf")
        recent = [entry for entry in self.in_flight if entry.sent_at > since]
        return Candidate(
            name=self.name,
            failure_domain=self.config.failure_domain,
            report=self.report,
            own_tokens=sum(entry.tokens for entry in recent),
            own_requests=len(recent),
            cached_blocks=self.view.match(blocks),
        )


class EnginesController:
    """Watches the declared backend servers and offers the usable ones."""

    def __init__(
        self,
        settings: Settings,
        configuration: ConfigurationController,
        members: MembersController,
        metrics: Metrics,
    ):
        self._settings = settings
        self._configuration = configuration
        self._members = members
        self._metrics = metrics
        self._client = make_client(
            settings.timing.connect_timeout, settings.timing.platform_timeout
        )
        self.servers: dict[str, ServerState] = {}
        # Called with each start of a server that is found to have crashed.
        self.on_crash: Callable[[WatchedServer, CrashEvidence], None] = (
            lambda server, evidence: None
        )
        self._changed = trio.Event()
        configuration.subscribe(self._notice_change)
        members.add_fact_part(LEAVING_PART, self._list_draining)

    def _notice_change(self) -> None:
        self._changed.set()

    async def run(self) -> None:
        """Watch the servers of the configuration in force until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_member_list)
            while True:
                self._changed = trio.Event()
                self._reconcile(nursery)
                await self._changed.wait()

    def _reconcile(self, nursery: trio.Nursery) -> None:
        declared = self._configuration.current.backend_servers
        for name in list(self.servers):
            state = self.servers[name]
            if declared.get(name) == state.config:
                continue
            moved = name not in declared or (
                declared[name].address != state.config.address
            )
            if moved:
                state.scope.cancel()
                del self.servers[name]
            else:
                state.config = declared[name]
        for name, config in declared.items():
            if name not in self.servers:
                now = trio.current_time()
                sample = self._settings.cache_event_sample
                state = ServerState(name, config, now, sample)
                self.servers[name] = state
                nursery.start_soon(self._watch, state)

    async def _watch(self, state: ServerState) -> None:
        service = self._configuration.current.services[state.config.service]
        follow = self._follow_engine if service.kind == "model" else self._poll_plain
        with state.scope:
            while True:
                await follow(state)
                pause = self._settings.timing.load_poll
                await trio.sleep(pause * random.uniform(0.8, 1.2))

    async def _follow_engine(self, state: ServerState) -> None:
        feed = follow_feed(self._client, state.config.address, state.view.last_event)
        async with aclosing(feed):
            async for line in feed:
                self._apply_feed_line(state, line)

    def _apply_feed_line(self, state: ServerState, line: FeedLine) -> None:
        now = trio.current_time()
        before = state.watched
        state.apply_report(line.report._replace(observed_at=now - line.age), now)
        self._detect_restart(state, before)
        self._set_draining(state, line.report.draining)
        if line.events is not None and state.view.note_events(*line.events):
            self._metrics.event_gaps.inc({"server": state.name})

    def _detect_restart(self, state: ServerState, before: WatchedServer) -> None:
        is_first = before.id == f"{state.name}#"
        if not is_first and state.watched.id != before.id:
            self.on_crash(before, CrashEvidence.NEW_START)

    async def _poll_plain(self, state: ServerState) -> None:
        draining = await fetch_draining(self._client, state.config.address)
        if draining is not None:
            state.health.note_report(trio.current_time())
            self._set_draining(state, draining)

    def _set_draining(self, state: ServerState, is_self_reported: bool) -> None:
        leaving = (
            is_self_reported
            or state.config.address in self._collect_leaving_addresses()
        )
        if leaving != state.health.draining:
            state.health.draining = leaving
            extra = {"server": state.name, "leaving": leaving}
            logger.notice("server_leaving", extra=extra)

    def _collect_leaving_addresses(self) -> set[str]:
        """Return the addresses that the platform or a peer reports as leaving."""
        listed = {
            member.address
            for member in self._members.listed
            if member.kind is MemberKind.BACKEND_SERVER and member.leaving
        }
        reported = self._members.read_parts(LEAVING_PART).values()
        return listed.union(*(part for part in reported if isinstance(part, list)))

    async def _follow_member_list(self) -> None:
        # A server that no longer answers must still be drained when it is listed.
        while True:
            leaving = self._collect_leaving_addresses()
            for state in self.servers.values():
                if state.config.address in leaving and not state.health.draining:
                    self._set_draining(state, True)
            await trio.sleep(self._settings.timing.members_poll)

    def _list_draining(self) -> list[str]:
        # Only what the servers themselves report: if instances repeated what a peer
        # reports, they would confirm it to each other for ever.
        return sorted(
            state.config.address
            for state in self.servers.values()
            if state.report is not None and state.report.draining
        )

    def list_usable(self, service: str, skip: set[str]) -> list[ServerState]:
        """Return the servers of a service that get new requests.

        Servers that load other weights are left out, unless there is no other one.

        :param skip: names of servers to leave out, unless there is no other one.
        """
        now = trio.current_time()
        health = {
            name: state.health
            for name, state in self.servers.items()
            if state.config.service == service and state.config.role == "serve"
        }
        usable = select_usable(list(health), health, now)
        others = [name for name in usable if name not in skip] or usable
        loaded = [name for name in others if not self.servers[name].is_loading]
        return [self.servers[name] for name in loaded or others]

    def list_of_service(self, service: str) -> list[ServerState]:
        """Return the servers of a service, usable or not."""
        return [s for s in self.servers.values() if s.config.service == service]

    def estimate_wait(self, service: str) -> float:
        """Return the seconds that a new request waits at the least busy engine.

        It is not known what the other instances have sent since the last report. The
        estimate assumes that each has sent as much as this instance.
        """
        now = trio.current_time()
        instances = self._members.count_instances()
        waits = []
        for state in self.list_usable(service, set()):
            if state.report is None:
                continue
            own = state.build_candidate(())
            assumed = own._replace(
                own_tokens=own.own_tokens * instances,
                own_requests=own.own_requests * instances,
            )
            waits.append(estimate_prefill_wait(assumed, now))
        return min(waits, default=0.0)

    def list_slot_counts(self, service: str, declared: int) -> list[int]:
        """Return how many requests each usable server runs at once.

        :param declared: the number for servers that have not reported theirs.
        """
        now = trio.current_time()
        return [
            state.report.max_running if state.report else declared
            for state in self.list_of_service(service)
            if state.health.is_usable(now) and state.config.role == "serve"
        ]

    def note_sent(self, name: str, tokens: int, blocks: tuple[int, ...]) -> InFlight:
        """Record an attempt that is about to be sent.

        Its blocks count as cached from now on: the engine processes a later prompt
        with the same blocks after this one, and finds them in its cache.
        """
        state = self.servers[name]
        state.health.note_sent()
        state.view.note_used(state.view.incarnation, blocks)
        entry = InFlight(trio.current_time(), tokens)
        state.in_flight.add(entry)
        return entry

    def note_ended(self, name: str, entry: InFlight) -> None:
        """Record that an attempt has ended, with or without an answer."""
        if name in self.servers:
            self.servers[name].in_flight.discard(entry)

    def note_answer(
        self, name: str, incarnation: str, blocks: tuple[int, ...], cached: int | None
    ) -> None:
        """Record an answer, and its information about the engine's cache.

        :param blocks: the hashes of the prompt's blocks; empty if the server is no
            engine.
        :param cached: how many of the blocks were cached, None if not reported.
        """
        state = self.servers.get(name)
        if state is None:
            return
        state.health.note_answer(trio.current_time())
        if not blocks:
            return
        before = state.watched
        state.view.adopt_incarnation(incarnation)
        self._detect_restart(state, before)
        if cached is not None:
            state.view.note_cached(incarnation, blocks, cached)
        state.view.note_used(incarnation, blocks)

    def note_failure(self, name: str, *, refused: bool) -> None:
        """Record a failed attempt; a refused connection is evidence of a crash."""
        state = self.servers.get(name)
        if state is None:
            return
        if refused:
            self.on_crash(state.watched, CrashEvidence.REFUSED)
        if state.health.note_failure(trio.current_time(), refused=refused):
            self._metrics.ejections.inc({"server": name})
            logger.warning("server_ejected", extra={"server": name})

    def note_backoff(self, name: str, seconds: float) -> None:
        """Send a server no requests for as long as it has asked for."""
        state = self.servers.get(name)
        if state is not None:
            state.health.note_backoff(trio.current_time(), seconds)
            logger.notice("server_backoff", extra={"server": name, "seconds": seconds})

    def find_retry_wait(self, service: str) -> float | None:
        """Return in how many seconds the first backoff of a service's servers ends.

        None if a server takes requests now, or if all are draining.
        """
        now = trio.current_time()
        healths = [state.health for state in self.list_of_service(service)]
        staying = [health for health in healths if not health.draining]
        wait = min((h.backoff_until for h in staying), default=now) - now
        return wait if wait > 0 else None

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a server has not reported lately, or is no longer declared."""
        state = self.servers.get(name)
        return state is None or not state.health.is_reporting(trio.current_time())

    def abandon_probe(self, name: str) -> None:
        """Record that an attempt ended without evidence on the server's health."""
        if name in self.servers:
            self.servers[name].health.abandon_probe()

    def export_views(self, limit: int) -> dict[str, Any]:
        """Return the cache views, for a peer that has just started.

        :param limit: the greatest number of blocks, over all servers.
        """
        share = limit // max(1, len(self.servers))
        return {
            name: [state.view.incarnation, state.view.list_blocks(share)]
            for name, state in self.servers.items()
        }

    def import_views(self, views: dict[str, Any]) -> None:
        """Add the blocks of a peer's cache views, for incarnations that still run."""
        for name, item in views.items():
            if name not in self.servers or not _is_cache_view(item):
                continue
            incarnation, blocks = item
            view = self.servers[name].view
            if not view.incarnation:
                view.adopt_incarnation(incarnation)
            view.note_used(incarnation, reversed(blocks))


def _is_cache_view(item: Any) -> bool:
    if not isinstance(item, list) or len(item) != 2:
        return False
    incarnation, blocks = item
    return isinstance(incarnation, str) and isinstance(blocks, list)
