"""Construct a gateway instance from its parts and run it."""

from __future__ import annotations

__all__ = ["Gateway"]

import random

import trio

from ashpond.clients.channels import ChannelPool
from ashpond.controllers.allowances import Allowances
from ashpond.controllers.budgets import RetryBudgets
from ashpond.controllers.cachestores import EVENTS_PREFIX, CacheStores
from ashpond.controllers.crashdetection import CrashDetector
from ashpond.controllers.feeds import Feed, Follower, TableUpdate
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.memory import MemoryController
from ashpond.controllers.permits import Permits
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.controllers.serverupdates import ServerUpdates
from ashpond.controllers.storeview import StoreView, build_feeds
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.declared import CacheStore, IngressLimits
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.quarantine import CrashRecords
from ashpond.errors import SettingsError
from ashpond.fleet.exchange import PeerExchange
from ashpond.fleet.members import Members
from ashpond.fleet.updates import UpdateHandlers
from ashpond.gateway.admission import admit_call, find_urgency
from ashpond.gateway.callprogress import DispatchContext, compute_fingerprint
from ashpond.gateway.calls import IncomingCall, Reply
from ashpond.gateway.cleanup import run_cleanup
from ashpond.gateway.connectionlog import ConnectionLog
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.dispatch import Dispatcher
from ashpond.gateway.ingress import Ingress, IngressAddresses
from ashpond.gateway.metrics import GatewayMetrics
from ashpond.gateway.ports import Platform
from ashpond.gateway.replies import send_refusal
from ashpond.gateway.reservations import ReservationQueue
from ashpond.gateway.rollouts import RolloutController
from ashpond.gateway.serverchoice import ServerChooser
from ashpond.gateway.settings import GatewaySettings, SettingsFile
from ashpond.gateway.signals import watch_signals
from ashpond.gateway.status import render_status
from ashpond.outcomes import Refusal
from ashpond.runtimeclock import SuspensionWatch

MS = 1000.0
# Ready while the configuration is younger than this share of the revocation bound.
READY_SHARE = 0.55
# Share of the bound after which old weights get no requests, as these may wait there.
REQUIRED_SHARE = 0.85
# From SIGTERM until no more clients connect: two readiness checks, a second apart.
LEAVE_SECONDS = 2.6
# Timeout for removing this instance from the list of members in a slow store.
LEAVE_MEMBERS_SECONDS = 1.0
# Part of the grace period that is left for the exit of the process (seconds).
GRACE_MARGIN_SECONDS = 0.4
SETTINGS_SECONDS = 2.0  # Poll interval; the file may change without a signal.


class Gateway:
    """A gateway instance: its state, tasks and servers."""

    def __init__(
        self,
        settings_file: SettingsFile,
        platform: Platform,
        pool: ChannelPool,
        log: DecisionLog,
    ):
        settings = settings_file.current
        self.settings_file = settings_file
        self.platform = platform
        self.pool = pool
        self.log = log
        self.rng = random.Random()
        self.metrics = GatewayMetrics()
        self.memory = MemoryController(
            settings.memory_mb, log.note, self.metrics.count_memory
        )
        pool.buffer_bytes = self.memory.socket_buffer_bytes
        self.invalid_rows = InvalidRows(log, self.metrics.count_invalid_row)
        self.crash_detector = CrashDetector(
            lambda server: pool.check(server.owner, server.address),
            log.note,
            lambda lost: self.quarantine.note_lost(lost),
            lambda server: self.server_updates.on_connection_refused(server),
            lambda: (state.watched for state in self.table.by_id.values()),
        )
        self.store_view = StoreView(
            platform,
            log,
            self.invalid_rows,
            self._on_configuration,
            self._on_servers,
            lambda: self.rollouts.note_change(),
            lambda state: self.server_updates.on_entry_gone(state),
        )
        self.quarantine = Quarantine(
            settings.name,
            CrashRecords(
                settings.bounds.quarantine_s, self.crash_detector.measure_hazard
            ),
            platform.store,
            self.store_view.clock,
            log,
            self.metrics,
            self.invalid_rows,
            lambda crashes: self.peers.send_crashes(crashes),
            lambda: self.peers.is_reader,
            lambda: list(self.members.by_name),
        )
        self.knowledge = self.store_view.knowledge
        self.table = self.store_view.table
        self.cache_index = CacheIndex()
        self.cache_stores = CacheStores(
            lambda: self.peers.is_reader, lambda update: self.peers.publish(update)
        )
        self.retry_budgets = RetryBudgets(
            lambda: self.settings.bounds,
            lambda: self.peers,
            lambda: self.members.count(),
        )
        self.leave_event = trio.Event()
        self.chooser = ServerChooser(
            self.table,
            self.cache_index,
            self.cache_stores,
            settings.failure_domain,
            lambda: self.knowledge.declaration,
            self.knowledge.find_required_version,
            self._find_required_version,
            self.rng,
            lambda: bool(self.peers.links.group),
        )
        self.slot_queue = ReservationQueue(self.table, self.chooser)
        self.directives = ServerDirectives(
            self.table,
            log,
            self.metrics.count_directive,
            lambda notice: self.peers.announce(notice),
            self.rng,
            lambda state, before: self.permits.on_limit(state, before),
            lambda: self.rollouts.note_change(),
        )
        self.server_updates = ServerUpdates(
            self.table,
            self.cache_index,
            pool,
            self.crash_detector,
            log,
            self.directives,
            lambda: self.peers,
            lambda: self.rollouts,
            self.slot_queue.assign,
        )
        self.table.on_new_start = self.server_updates.on_new_start
        self.members = Members(
            Member(
                settings.name,
                settings.peers_address,
                settings.failure_domain,
                settings.link_mbps,
            ),
            platform.store,
            log,
            lambda: self.peers.adjust_links(),
            self.invalid_rows,
        )
        self.allowances = Allowances(
            self.members,
            log,
            lambda: self.knowledge.declaration,
            lambda: self.settings.bounds.allowances,
            self.metrics.count_allowance,
            self.rng,
            find_server_rate=self.table.find_rate_limit,
            has_server_limits=self.table.has_limits,
        )
        self.permits = Permits(
            self.allowances,
            self.metrics.count_permit,
            self.rng,
            self.slot_queue.assign,
            lambda: self.members.count(),
        )
        self.peers = PeerExchange(
            self.members,
            self.table,
            log,
            UpdateHandlers(
                self.server_updates.on_notice,
                self.server_updates.on_cache_entry,
                self.retry_budgets.list_own,
                self.retry_budgets.note_peer,
                self.retry_budgets.keep_peers,
                self._apply_table_update,
                self.quarantine.merge_reported,
                self.quarantine.list_for_new_peer,
                self.allowances.serve,
            ),
            settings.bounds.retry_window_s,
            settings.mesh_limit,
        )
        self.followers = {
            feed.table: Follower(
                feed,
                platform.store,
                self.store_view.clock,
                log,
                lambda: self.peers.is_reader,
                self.peers.publish,
            )
            for feed in self._build_feeds()
        }
        self.rollouts = RolloutController(
            settings.name,
            self.table,
            self.knowledge,
            platform.store,
            self.store_view.clock,
            platform.engines,
            log,
            lambda: list(self.members.by_name),
            self.peers.announce,
            self.slot_queue.assign,
            self.retry_budgets.measure_left,
            settings.bounds.lease_ms / MS,
            lambda: self.peers.get_max_lag(),
            self.invalid_rows,
            self._has_service,
        )
        self.dispatcher = Dispatcher(
            DispatchContext(
                self.slot_queue,
                pool,
                platform.codec,
                platform.id_header,
                self.knowledge,
                log,
                self.retry_budgets.get,
                self.members.count,
                self.server_updates.note_cached_prompt,
                lambda call, team: compute_fingerprint(self.members.secret, call, team),
                self.crash_detector,
                self.directives,
                self.quarantine,
                self.server_updates.announce_unreachable,
                self.allowances.take,
                self.allowances.refund,
                self.permits.take,
                self.metrics.count_refusal,
                self.rng,
            )
        )
        self.connection_log = ConnectionLog(
            log, self.metrics, lambda: self.ingress.open_calls, self.leave_event.is_set
        )
        self.ingress = Ingress(
            IngressAddresses(
                settings.callers_address,
                settings.readiness_address,
                settings.metrics_address,
            ),
            platform.codec,
            self._handle,
            self._get_limits,
            self.is_ready,
            self.metrics.render,
            lambda: render_status(self),
            self.quarantine.clear,
            self.connection_log.note_cut,
            self.connection_log.note_closed,
            self.connection_log.note_error,
            self.memory,
            lambda call: find_urgency(call, self.knowledge),
        )

    @property
    def settings(self) -> GatewaySettings:
        """The current settings; a changed listening address takes effect on restart."""
        return self.settings_file.current

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the calls in flight."""
        self.log.note("started", settings=self.settings._asdict())
        self.connection_log.watch.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.log.run)
            nursery.start_soon(
                watch_signals, self.leave, lambda: self._reload("SIGHUP")
            )
            for follower in self.followers.values():
                nursery.start_soon(follower.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.allowances.run)
            nursery.start_soon(self.crash_detector.run)
            watch = SuspensionWatch(self.log, self.metrics.observe_suspension)
            nursery.start_soon(watch.run)
            nursery.start_soon(self.quarantine.run)
            nursery.start_soon(self.rollouts.run)
            nursery.start_soon(run_cleanup, self)
            nursery.start_soon(self._watch_settings)
            nursery.start_soon(self.memory.run)
            nursery.start_soon(
                self.cache_stores.follow,
                self._list_cache_stores,
                self.platform.engines,
                self.log,
            )
            await self.ingress.run(
                self._wait_to_close,
                self.settings.bounds.grace_s - LEAVE_SECONDS - GRACE_MARGIN_SECONDS,
            )
            self.log.note("stopped", open_calls=self.ingress.open_calls)
            nursery.cancel_scope.cancel()
        self.log.flush()

    def _build_feeds(self) -> list[Feed]:
        bound = self.settings.bounds.revocation_ms / MS
        return build_feeds(self.platform, self.store_view, self.members, bound)

    def _list_cache_stores(self) -> tuple[CacheStore, ...]:
        declaration = self.knowledge.declaration
        return declaration.cache_stores if declaration else ()

    def _on_configuration(self) -> None:
        self.ingress.apply_limits()

    def _on_servers(self) -> None:
        self.slot_queue.assign()
        self.rollouts.note_change()

    def _find_required_version(self, model: str, now: float) -> int:
        bound = self.settings.bounds.weights_ms / MS * REQUIRED_SHARE
        return self.knowledge.find_possible_version(model, now - bound)

    def _has_service(self, service: str) -> bool:
        declaration = self.knowledge.declaration
        return declaration is not None and service in declaration.services

    def _apply_table_update(self, update: TableUpdate) -> bool:
        if update.table.startswith(EVENTS_PREFIX):
            return self.cache_stores.apply_update(update)
        follower = self.followers.get(update.table)
        return follower is not None and follower.apply_update(update)

    def _get_limits(self) -> IngressLimits:
        declaration = self.knowledge.declaration
        return declaration.limits if declaration else IngressLimits()

    def is_ready(self) -> bool:
        """Return whether clients should connect to this instance."""
        is_informed = self.knowledge.declaration and self.table.is_known
        if self.leave_event.is_set() or not is_informed:
            return False
        age = self.knowledge.measure_age(trio.current_time())
        return age < self.settings.bounds.revocation_ms / MS * READY_SHARE

    async def _handle(self, call: IncomingCall, reply: Reply) -> None:
        now = trio.current_time()
        revocation = self.settings.bounds.revocation_ms / MS
        accepted = admit_call(call, self.knowledge, revocation, now)
        if isinstance(accepted, Refusal):
            self.log.note(
                "refused",
                id=call.envelope.request_id,
                status=accepted.status,
                reason=accepted.message,
                knowledge_age=round(self.knowledge.measure_age(now), 3),
            )
            self.metrics.count_refusal(accepted.kind)
            await send_refusal(reply, accepted)
            return
        await self.dispatcher.dispatch(call, accepted, reply)
        self.metrics.observe_latency(accepted.route.kind, trio.current_time() - now)

    async def _watch_settings(self) -> None:
        while True:
            await trio.sleep(SETTINGS_SECONDS)
            self._reload("file")

    def _reload(self, cause: str = "SIGHUP") -> None:
        try:
            has_changed = self.settings_file.reload()
        except SettingsError as error:
            self.log.note("settings_refused", problems=str(error))
            return
        if has_changed:
            self.retry_budgets.reset()
            keep_seconds = self.settings.bounds.quarantine_s
            self.quarantine.crash_records.keep_seconds = keep_seconds
            for feed in self._build_feeds():
                self.followers[feed.table].feed = feed
            self.log.note("reload", cause=cause, settings=self.settings._asdict())

    def leave(self) -> None:
        """Begin the shutdown: stop taking connections, finish open calls, then stop."""
        self.log.note("stopping", open_calls=self.ingress.open_calls)
        self.ingress.is_leaving = True
        self.leave_event.set()

    async def _wait_to_close(self) -> None:
        await self.leave_event.wait()
        # The grace period starts now, so a slow store must not delay the close.
        closes_at = trio.current_time() + LEAVE_SECONDS
        with trio.move_on_after(LEAVE_MEMBERS_SECONDS):
            await self.members.leave()
        await trio.sleep_until(closes_at)
