"""Construct the parts of a gateway instance and connect them."""

from __future__ import annotations

__all__ = ["GatewayParts"]

import random
from collections.abc import Callable

import trio

from ashpond.clients.channelpools import ChannelPool
from ashpond.controllers.allowances import Allowances
from ashpond.controllers.budgets import RetryBudgets
from ashpond.controllers.cachestores import EVENTS_PREFIX, CacheStores
from ashpond.controllers.contactdoubts import DoubtResolver
from ashpond.controllers.crashdetection import CrashDetector
from ashpond.controllers.detours import Detours
from ashpond.controllers.erarecord import EraRecord, find_settle_seconds
from ashpond.controllers.feeds import Feed, Follower, TableUpdate
from ashpond.controllers.invalidrows import InvalidRows
from ashpond.controllers.memory import MemoryController
from ashpond.controllers.peercontact import PeerContacts
from ashpond.controllers.permits import Permits
from ashpond.controllers.quarantine import Quarantine
from ashpond.controllers.relayclient import RelayClient
from ashpond.controllers.serverdirectives import ServerDirectives
from ashpond.controllers.serverupdates import ServerUpdates
from ashpond.controllers.softwareversions import SoftwareVersions
from ashpond.controllers.storeview import StoreView, build_feeds
from ashpond.coordination.client import CoordinatedReservations
from ashpond.coordination.coordinator import Coordinator
from ashpond.coordination.grants import CoordinatorReports
from ashpond.coordination.shardchoice import ChoiceSources
from ashpond.decisions.cacheindex import CacheIndex
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.quarantine import CrashRecords, ServerCrash
from ashpond.decisions.relays import find_tunnel_limit
from ashpond.decisions.servicetimes import ServiceTimes
from ashpond.decisions.weightsbound import choose_sending_seconds
from ashpond.fleet.exchange import PeerExchange
from ashpond.fleet.members import MEMBERS_TABLE, Members
from ashpond.fleet.relaying import RelayServer
from ashpond.fleet.updates import UpdateHandlers
from ashpond.gateway.assembly import (
    build_dispatcher,
    build_rollouts,
    build_target_dates,
)
from ashpond.gateway.busyness import is_instance_busy
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.graceperiod import GracePeriod
from ashpond.gateway.metrics import GatewayMetrics
from ashpond.gateway.ownslots import OwnSlots
from ashpond.gateway.ports import Platform
from ashpond.gateway.reservations import ReservationQueue
from ashpond.gateway.serverchoice import ServerChooser
from ashpond.gateway.settings import GatewaySettings, SettingsFile
from ashpond.loopdelay import LoopWatch

MS = 1000.0


class GatewayParts:
    """The parts of an instance, which call each other; nothing runs yet.

    :param on_configuration: is called with each new configuration.
    """

    def __init__(
        self,
        settings_file: SettingsFile,
        platform: Platform,
        pool: ChannelPool,
        log: DecisionLog,
        on_configuration: Callable[[], None],
    ):
        settings = settings_file.current
        self.settings_file = settings_file
        self.platform = platform
        self.pool = pool
        self.log = log
        self.rng = random.Random()
        self.metrics = GatewayMetrics()
        self.grace = GracePeriod()
        self.memory = MemoryController(
            settings.memory_mb, log.note, self.metrics.count_memory
        )
        pool.buffer_bytes = self.memory.socket_buffer_bytes
        self.invalid_rows = InvalidRows(log, self.metrics.count_invalid_row)
        self.crash_detector = CrashDetector(
            lambda server: self.detours.check(server.owner, server.address),
            log.note,
            lambda lost: self.quarantine.note_lost(lost),
            lambda server: self.server_updates.on_connection_refused(server),
            lambda: (state.watched for state in self.table.by_id.values()),
        )
        self.store_view = StoreView(
            platform,
            log,
            self.invalid_rows,
            on_configuration,
            self._on_servers,
            self._on_target,
            lambda state: self.server_updates.on_entry_gone(state),
        )
        self.era_record = EraRecord(
            platform.store,
            log,
            self.invalid_rows,
            self.rng,
            find_settle_seconds(settings.bounds.lease_ms / MS),
            lambda: self.peers.is_reader,
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
        self.software = SoftwareVersions(
            settings.name,
            platform.store,
            self.store_view,
            lambda: self.members,
            lambda: self.peers.is_reader,
            log,
            self.metrics.count_taken_up,
            self.invalid_rows,
            self.rng,
            self.era_record.wait_known,
            pool.find_oldest,
        )
        self.origins = self.software.origins
        self.cache_index = CacheIndex()
        self.cache_stores = CacheStores(
            lambda: self.peers.is_reader, lambda update: self.peers.publish(update)
        )
        self.retry_budgets = RetryBudgets(
            lambda: self.settings.bounds,
            lambda: self.members,
            log,
            self.rng,
        )
        self.leave_event = trio.Event()
        self.own_slots = OwnSlots(settings.name, lambda: list(self.members.by_name))
        self.loop_watch = LoopWatch()
        self.detours = Detours(
            pool,
            self.table,
            RelayClient(lambda: self.members, log, self.rng, self.metrics.count_tunnel),
            log,
            self.rng,
            DoubtResolver(
                self.table,
                log,
                self.rng,
                platform.engines.report,
                lambda: self.peer_contacts.ask(),
            ),
        )
        self.peer_contacts = PeerContacts(
            lambda: self.members, self.detours.describe_contact, self.rng
        )
        self.relay_server = RelayServer(
            self.table,
            log,
            lambda: self.detours.is_cut_off,
            self.is_busy,
            self.detours.note_unreached,
            self.metrics.count_relayed,
            find_tunnel_limit(settings.link_mbps),
            lambda: pool.buffer_bytes,
        )
        self.chooser = ServerChooser(
            self.table,
            self.cache_index,
            self.cache_stores,
            settings.failure_domain,
            lambda: self.knowledge.declaration,
            self.knowledge.find_required_version,
            self.find_required_version,
            self.rng,
            lambda: bool(self.peers.links.group),
            brittle=self.table.brittle,
            count_own_slots=self.own_slots.count,
        )
        self.times = ServiceTimes()
        self.slot_queue = ReservationQueue(self.table, self.chooser, self.times)
        self.coordinator = Coordinator(
            self.table,
            ChoiceSources(
                self.cache_index,
                self.cache_stores,
                settings.failure_domain,
                lambda: self.knowledge.declaration,
                self.knowledge.find_required_version,
                self.find_required_version,
                self.rng,
            ),
            self._find_domain,
            CoordinatorReports(log.note, self.metrics.count_coordinated),
        )
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
            self.detours,
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
            self._on_members,
            self.invalid_rows,
        )
        self.reservations = CoordinatedReservations(
            self.slot_queue,
            self.members,
            log,
            self.metrics,
            lambda: self.settings.coordinated_from,
            self.find_required_version,
            self.rng,
            self.coordinator,
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
                self._merge_crashes,
                self.quarantine.list_for_new_peer,
                self.allowances.serve,
                self.coordinator.serve,
                self._list_versions,
                self.relay_server.serve,
                self.origins.serve,
                self.peer_contacts.serve,
                self.retry_budgets.serve,
                self.server_updates.list_leaving,
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
        self.peers.on_reader = self._on_reader
        self.rollouts = build_rollouts(self)
        self.target_dates = build_target_dates(self)
        self.metrics.measure_weights_lag = self.rollouts.measure_lag
        self.dispatcher = build_dispatcher(self)

    @property
    def settings(self) -> GatewaySettings:
        """The current settings; a changed listening address takes effect on restart."""
        return self.settings_file.current

    def _build_feeds(self) -> list[Feed]:
        bound = self.settings.bounds.revocation_ms / MS
        return build_feeds(self.platform, self.store_view, self.members, bound)

    def is_busy(self) -> bool:
        """Return whether its own calls leave no room for those of peers."""
        return is_instance_busy(self.loop_watch, self.memory, trio.current_time())

    def _on_servers(self) -> None:
        self.slot_queue.assign()
        self.coordinator.assign()
        self.rollouts.note_change()
        self.target_dates.note_change()

    def _on_target(self) -> None:
        self.rollouts.note_change()
        self.target_dates.note_change()

    def _on_members(self) -> None:
        self.own_slots.note_members()
        self.peers.adjust_links()
        self.reservations.note_members()
        self.software.note_members()

    def find_required_version(self, model: str, now: float) -> int:
        """Return the version of a model without which servers get no requests."""
        bound = self.settings.bounds.weights_ms / MS
        seconds = choose_sending_seconds(bound, self.times.estimate_longest_start())
        return self.knowledge.find_possible_version(model, now - seconds)

    def _find_domain(self, instance: str) -> str | None:
        member = self.members.by_name.get(instance)
        return member.failure_domain if member else None

    def has_service(self, service: str) -> bool:
        """Return whether a service is declared."""
        declaration = self.knowledge.declaration
        return declaration is not None and service in declaration.services

    def _merge_crashes(
        self, crashes: list[ServerCrash], sender: str
    ) -> list[ServerCrash]:
        now = trio.current_time()
        for crash in crashes:
            if crash.started_ms is not None:
                self.table.note_ended(crash.server_id, crash.started_ms, now)
        return self.quarantine.merge_reported(crashes, sender)

    def _on_reader(self) -> None:
        for follower in self.followers.values():
            follower.note_reader()
        self.target_dates.note_change()

    def _list_versions(self) -> list[TableUpdate]:
        """Return the version of the members' table, which changes rarely.

        Instances that start together read it before all rows are there. Without this,
        30 of 84 instances were known to one for 20 s.
        """
        version = self.followers[MEMBERS_TABLE].describe_version()
        return [] if version is None else [version]

    def _apply_table_update(self, update: TableUpdate) -> bool:
        if update.table.startswith(EVENTS_PREFIX):
            return self.cache_stores.apply_update(update)
        follower = self.followers.get(update.table)
        return follower is not None and follower.apply_update(update)
