"""Assemble and run one instance; on shutdown, drain its calls."""

from __future__ import annotations

__all__ = ["Application"]

import random
import signal
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from logbook import Logger

from ashpond.api.admin import build_admin_app
from ashpond.api.callers import build_callers_app
from ashpond.call import build_chain
from ashpond.clients.http import make_client
from ashpond.clients.peer import (
    CacheAnswer,
    CacheRequest,
    ConfigAnswer,
    ConfigRequest,
    PeerMessage,
    query_peer,
)
from ashpond.clients.platform import PlatformClient
from ashpond.controllers.admission import AdmissionController
from ashpond.controllers.burn import BurnController
from ashpond.controllers.callquarantine import CallQuarantine
from ashpond.controllers.claims import ClaimsController
from ashpond.controllers.configuration import ConfigurationController
from ashpond.controllers.engines import EnginesController
from ashpond.controllers.limits import LimitsController
from ashpond.controllers.members import MembersController
from ashpond.controllers.peers import PeerServer
from ashpond.controllers.rollout import RolloutController
from ashpond.decisions.membership import Fact, MemberState
from ashpond.filters.accounting import make_accounting
from ashpond.filters.admission import make_admission
from ashpond.filters.authentication import make_authentication
from ashpond.filters.dispatch import STALL_SECONDS, Dispatcher
from ashpond.filters.idempotency import make_idempotency
from ashpond.filters.limits import make_limits
from ashpond.filters.parsing import make_parsing
from ashpond.filters.placement import make_placement
from ashpond.filters.quarantine import make_quarantine
from ashpond.filters.resumption import make_resumption
from ashpond.metrics import Metrics
from ashpond.server import run_app
from ashpond.settings import Settings

logger = Logger("ashpond.application")

GENERATION_PART = "generation"
MAX_VIEW_BLOCKS = 20_000
PEER_POLL_SECONDS = 0.05


class Application:
    """One instance: its controllers, filter chain and HTTP servers."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex[:12]
        self.metrics = Metrics()
        timing = settings.timing
        self.platform = PlatformClient(
            settings.platform_address, timing.platform_timeout
        )
        self.configuration = ConfigurationController(
            self.platform, timing.configuration_poll
        )
        self.members = MembersController(settings, self.platform, self.metrics)
        self.engines = EnginesController(
            settings, self.configuration, self.members, self.metrics
        )
        self.call_quarantine = CallQuarantine(
            settings, self.engines, self.members, self.metrics
        )
        self.admission = AdmissionController(
            self.configuration,
            self.members,
            self.engines,
            self.metrics,
            settings.limits.max_queue,
        )
        self.limits = LimitsController(self.configuration, self.members)
        self.claims = ClaimsController(
            settings, self.incarnation, self.platform, self.metrics
        )
        self.rollout = RolloutController(
            settings,
            self.incarnation,
            self.platform,
            self.configuration,
            self.members,
            self.engines,
            self.metrics,
        )
        self.burn = BurnController(
            settings.name, self.incarnation, self.platform, self.configuration
        )
        self.peers = PeerServer(
            settings,
            self.members,
            self.configuration,
            self.engines,
            self.claims,
            self.metrics,
        )
        self._draining = trio.Event()
        self._fact_sender, self._fact_receiver = trio.open_memory_channel[Fact](64)
        self.members.add_fact_part(
            GENERATION_PART, lambda: self.configuration.generation
        )
        self.members.on_fact(self._queue_newer_generation)

    async def run(self) -> None:
        """Serve until SIGINT or SIGTERM, then finish the calls in flight."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.peers.run)
            for controller in self._list_controllers():
                nursery.start_soon(controller)
            nursery.start_soon(self._fetch_configurations)
            nursery.start_soon(self._fetch_views)
            await self._serve()
            await self.burn.flush()
            nursery.cancel_scope.cancel()
        logger.notice("stopped")

    def _list_controllers(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self.configuration.run,
            self.members.run,
            self.engines.run,
            self.call_quarantine.run,
            self.admission.run,
            self.limits.run,
            self.claims.run,
            self.rollout.run,
            self.burn.run,
        ]

    async def _serve(self) -> None:
        callers, admin = self._build_apps()
        settings = self.settings
        admin_stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(
                run_app_until, admin, settings.admin_address, admin_stop
            )
            nursery.start_soon(self._watch_signals)
            await run_app(
                callers,
                settings.callers_address,
                self._wait_for_drain,
                graceful_seconds=settings.timing.drain_limit,
            )
            admin_stop.set()
            nursery.cancel_scope.cancel()

    def _build_apps(self) -> tuple[Any, Any]:
        rng = random.Random()
        client = make_client(self.settings.timing.connect_timeout, STALL_SECONDS)
        place = make_placement(self.settings, self.engines, rng)
        dispatcher = Dispatcher(
            self.settings,
            self.configuration,
            self.engines,
            self.claims,
            place,
            self.metrics,
            rng,
            client,
            self.call_quarantine,
        )
        chain = build_chain(
            [
                make_accounting(self.configuration, self.burn, self.metrics),
                make_authentication(self.configuration),
                make_parsing(self.configuration),
                make_quarantine(self.call_quarantine, self.metrics),
                make_limits(self.limits, self.metrics),
                make_admission(self.admission, self.metrics),
                make_idempotency(self.claims, self.metrics),
            ],
            dispatcher.dispatch,
        )
        resume = make_resumption(client, self.engines, self.metrics)
        callers = build_callers_app(
            self.settings, self.configuration, chain, resume, self._draining
        )
        admin = build_admin_app(
            self.settings,
            self.configuration,
            self.members,
            self.engines,
            self.burn,
            self.platform,
            self.metrics,
            self._draining,
        )
        return callers, admin

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                self.start_draining()

    def start_draining(self) -> None:
        """Start to leave: report it to the clients' balancer and to all peers."""
        if self._draining.is_set():
            return
        logger.notice("draining")
        self._draining.set()
        self.members.state = MemberState.LEAVING
        self.members.update_own_fact()
        self.members.announce()

    async def _wait_for_drain(self) -> None:
        """Return once new connections may be refused.

        The load balancer needs some time to see that this instance is not ready.
        Calls that it sends until then are still answered.
        """
        await self._draining.wait()
        await trio.sleep(self.settings.timing.drain_notice)

    def _queue_newer_generation(self, fact: Fact) -> None:
        generation = fact.body.get(GENERATION_PART)
        if isinstance(generation, int) and generation > self.configuration.generation:
            try:
                self._fact_sender.send_nowait(fact)
            except trio.WouldBlock:
                # The channel is full: drop this fact. The next one of that peer
                # contains its generation as well.
                return

    async def _fetch_configurations(self) -> None:
        async for fact in self._fact_receiver:
            own_generation = self.configuration.generation
            if fact.body[GENERATION_PART] <= own_generation:
                continue
            answer = await self._ask(fact.origin, ConfigRequest(own_generation))
            if isinstance(answer, ConfigAnswer):
                if self.configuration.adopt_from_peer(answer):
                    self.members.update_own_fact()
                    self.members.announce()
            else:
                await self.configuration.refresh()

    async def _fetch_views(self) -> None:
        """Fetch the cache views that a peer has learned, once after the start."""
        await self.configuration.ready.wait()
        while not self.members.list_live():
            await trio.sleep(PEER_POLL_SECONDS)
        peer = self.members.list_live()[0].origin
        answer = await self._ask(peer, CacheRequest(MAX_VIEW_BLOCKS))
        if isinstance(answer, CacheAnswer):
            self.engines.import_views(answer.views)

    async def _ask(self, address: str, message: PeerMessage) -> object:
        return await query_peer(
            address,
            message,
            secret=self.settings.peer_secret,
            max_frame=self.settings.limits.max_frame_bytes,
            timeout=self.settings.timing.connect_timeout,
        )


async def run_app_until(
    app: Any,
    address: str,
    stop: trio.Event,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` until ``end`` is set."""
    await run_app(app, address, stop.wait, task_status=task_status)
