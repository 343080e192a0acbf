"""Run a gateway instance: its tasks, its servers and its shutdown."""

from __future__ import annotations

__all__ = ["LEAVE_SECONDS", "Gateway"]

import trio

from ashpond.clients.channelpools import ChannelPool
from ashpond.decisions.declared import CacheStore, IngressLimits
from ashpond.decisions.eras import EraState
from ashpond.errors import SettingsError
from ashpond.gateway.admission import admit_call, find_urgency
from ashpond.gateway.calls import IncomingCall, Reply
from ashpond.gateway.cleanup import run_cleanup
from ashpond.gateway.composition import MS, GatewayParts
from ashpond.gateway.connectionlog import ConnectionLog
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.ingress import Ingress, IngressAddresses
from ashpond.gateway.ports import Platform
from ashpond.gateway.replies import send_refusal
from ashpond.gateway.settings import SettingsFile
from ashpond.gateway.signals import watch_signals
from ashpond.gateway.status import render_status
from ashpond.outcomes import Refusal
from ashpond.runtimeclock import SuspensionWatch

# Ready while the configuration is younger than this share of the revocation bound.
READY_SHARE = 0.55
# From SIGTERM until no more clients connect: two readiness checks, a second apart.
LEAVE_SECONDS = 2.6
# Timeout for removing this instance from the list of members in a slow store.
LEAVE_MEMBERS_SECONDS = 1.0
# Part of the grace period that is left for the exit of the process (seconds).
GRACE_MARGIN_SECONDS = 0.4
# Before connections are cut, requests without an answer get a refusal, which has this
# long to reach their clients (seconds).
ANSWER_SECONDS = 0.3
SETTINGS_SECONDS = 2.0  # Poll interval; the file may change without a signal.


class Gateway(GatewayParts):
    """A gateway instance: its state, tasks and servers."""

    def __init__(
        self,
        settings_file: SettingsFile,
        platform: Platform,
        pool: ChannelPool,
        log: DecisionLog,
    ):
        super().__init__(
            settings_file, platform, pool, log, lambda: self.ingress.apply_limits()
        )
        settings = settings_file.current
        self._left_at = float("-inf")
        self.connection_log = ConnectionLog(
            log,
            self.metrics,
            lambda: self.ingress.open_calls,
            self.leave_event.is_set,
            self.loop_watch,
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

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the calls in flight."""
        self.log.note("started", settings=self.settings._asdict())
        self.connection_log.watch.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.log.run)
            nursery.start_soon(
                watch_signals, self.leave, lambda: self._reload("SIGHUP")
            )
            self.store_view.hold()
            nursery.start_soon(self._follow_era)
            for follower in self.followers.values():
                nursery.start_soon(follower.run)
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.allowances.run)
            nursery.start_soon(self.retry_budgets.run)
            nursery.start_soon(self.reservations.run)
            nursery.start_soon(self.coordinator.run)
            nursery.start_soon(self.crash_detector.run)
            nursery.start_soon(self.detours.run)
            nursery.start_soon(self.software.run)
            watch = SuspensionWatch(self.log, self.metrics.observe_suspension)
            nursery.start_soon(watch.run)
            nursery.start_soon(self.quarantine.run)
            nursery.start_soon(self.rollouts.run)
            nursery.start_soon(self.target_dates.run)
            nursery.start_soon(run_cleanup, self)
            nursery.start_soon(self._watch_settings)
            nursery.start_soon(self.memory.run)
            nursery.start_soon(
                self.cache_stores.follow,
                self._list_cache_stores,
                self.platform.engines,
                self.log,
            )
            nursery.start_soon(self._drain_tunnels)
            await self.ingress.run(
                self._wait_to_close, self._grace_seconds - LEAVE_SECONDS
            )
            await self.relay_server.drain(self._left_at + self._grace_seconds)
            self.log.note("stopped", open_calls=self.ingress.open_calls)
            nursery.cancel_scope.cancel()
        self.log.flush()

    async def _follow_era(self) -> None:
        await self.era_record.run(
            self._begin_in_era, is_first_start=self.settings.first_start
        )

    def _begin_in_era(self, state: EraState) -> None:
        if state is EraState.FIRST_START:
            self.retry_budgets.note_first_start()
        self.members.begin(state)
        self.store_view.begin(state)

    def _list_cache_stores(self) -> tuple[CacheStore, ...]:
        declaration = self.knowledge.declaration
        return declaration.cache_stores if declaration else ()

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
            self.retry_budgets.adopt_bounds()
            keep_seconds = self.settings.bounds.quarantine_s
            self.quarantine.crash_records.keep_seconds = keep_seconds
            for feed in self._build_feeds():
                self.followers[feed.table].feed = feed
            self.log.note("reload", cause=cause, settings=self.settings._asdict())

    def leave(self) -> None:
        """Begin the shutdown: stop taking connections, finish open calls, then stop."""
        if self.leave_event.is_set():
            return
        self.log.note("stopping", open_calls=self.ingress.open_calls)
        self._left_at = trio.current_time()
        self.grace.begin(self._left_at + self._grace_seconds - ANSWER_SECONDS)
        self.relay_server.is_leaving = True
        self.ingress.is_leaving = True
        self.reservations.leave()
        self.coordinator.close_all()
        self.leave_event.set()

    @property
    def _grace_seconds(self) -> float:
        """The time from SIGTERM until connections are cut (seconds)."""
        return self.settings.bounds.grace_s - GRACE_MARGIN_SECONDS

    async def _drain_tunnels(self) -> None:
        """End the tunnels of peers that carry no request, once this instance stops."""
        await self.leave_event.wait()
        await self.relay_server.drain(self._left_at + self._grace_seconds)

    async def _wait_to_close(self) -> None:
        await self.leave_event.wait()
        # The grace period starts now, so a slow store must not delay the close.
        closes_at = trio.current_time() + LEAVE_SECONDS
        with trio.move_on_after(LEAVE_MEMBERS_SECONDS):
            await self.members.leave()
        await trio.sleep_until(closes_at)
