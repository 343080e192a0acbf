"""Restarts of a backend server under the same id.

All state of the previous start has to be dropped at once. Otherwise an engine that
restarted with older weights is assumed to have the newer ones, refuses each order
because of the previous start's count of orders, and is asked for cached prompt parts
that it no longer has.
"""

from __future__ import annotations

import orjson
import pytest
import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ashpond.clients.channelpools import ChannelPool
from ashpond.controllers import directory
from ashpond.controllers.directory import (
    BackendServer,
    ServerState,
    ServerTable,
    StartOrder,
    compare_starts,
)
from ashpond.decisions.cacheindex import CacheEntry
from ashpond.decisions.loads import Load
from ashpond.decisions.selection import Demand
from ashpond.fleet.updates import ServerNotice, decode_update, encode_update
from ashpond.gateway.application import Gateway
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.settings import SettingsFile
from ashpond.standins.tables import MemoryStore
from ashpond_platform.composition import build_platform
from ashpond_platform.engines import decode_report
from ashpond_platform.rows import decode_server_row
from tests.fleet import Fleet, run_until_current
from tests.gateway_builders import (
    MODEL,
    make_prompt,
    make_server,
    make_settings,
    make_table,
)
from tests.mutants import Mutant, expect_caught
from tests.peer_fleet import make_update
from tests.row_builders import SERVER, make_row

SALT = "salt"
PROMPT = make_prompt()


class IdleChannel:
    def __init__(self) -> None:
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True


def make_gateway() -> Gateway:
    pool = ChannelPool()
    platform = build_platform(MemoryStore().build_port(), pool)
    log = DecisionLog("i0", 2)
    return Gateway(SettingsFile("", make_settings()), platform, pool, log)


def make_used_gateway(**changes: object) -> Gateway:
    """Return an instance with state of all kinds for one start of server "a"."""
    gateway = make_gateway()
    gateway.table.update(make_server("a", started_ms=1000, **changes), 0.0)
    state = gateway.table.by_id["a"]
    state.update_weights(MODEL, 3)
    state.load = Load(5, 100, 100)
    state.note_connect_failure(0.0)
    gateway.server_updates.note_cached_prompt(state, SALT, PROMPT)
    peer = make_table(make_server("a", started_ms=1000))
    peer.by_id["a"].load = Load(4)
    gateway.table.note_peer_loads("p", peer.list_own_loads(), 0.0)
    gateway.rollouts.updater._order_counts["a"] = 7
    gateway.pool._idle[state.owner] = [IdleChannel()]  # type: ignore[list-item]
    return gateway


def assert_reset(gateway: Gateway) -> ServerState:
    state = gateway.table.by_id["a"]
    assert state.load == Load()
    assert gateway.table.sum_load("a", 0.1) == Load()
    assert state.connect_failures == 0
    assert state.is_usable(0.1)
    assert not gateway.cache_index.count_tokens_by_server(
        SALT, PROMPT, trio.current_time()
    )
    assert "a" not in gateway.rollouts.updater._order_counts
    assert not gateway.pool._idle
    return state


@pytest.mark.parametrize(
    ("known", "received", "order"),
    [
        (None, None, StartOrder.SAME),
        (5, None, StartOrder.SAME),
        (None, 5, StartOrder.SAME),
        (5, 5, StartOrder.SAME),
        (5, 6, StartOrder.NEWER),
        (6, 5, StartOrder.OLDER),
    ],
)
def test_starts_compare_by_their_time(
    known: int | None, received: int | None, order: StartOrder
) -> None:
    assert compare_starts(known, received) is order


def test_row_and_report_contain_the_start() -> None:
    entry = decode_server_row(make_row("a", SERVER))
    assert isinstance(entry, BackendServer)
    assert entry.started_ms == SERVER["born"]
    report = {"models": [], "busy": False, "seq": 0, "born": 1234}
    assert decode_report(orjson.dumps(report)).born == 1234


async def test_a_new_start_seen_first_in_the_store() -> None:
    gateway = make_used_gateway()
    idle = gateway.pool._idle[gateway.table.by_id["a"].owner][0]
    gateway.table.update(make_server("a", started_ms=2000, weights={MODEL: 1}), 0.0)
    assert assert_reset(gateway).weights == {MODEL: 1}
    assert idle.is_closed  # type: ignore[attr-defined]


async def test_a_new_start_seen_first_by_a_report() -> None:
    gateway = make_used_gateway()
    order = gateway.table.note_start("a", 2000, 0.0, {MODEL: 2})
    assert order is StartOrder.NEWER
    assert assert_reset(gateway).weights == {MODEL: 2}


async def test_a_new_start_seen_first_by_a_peer() -> None:
    gateway = make_used_gateway()
    gateway.server_updates.on_notice(ServerNotice("a", MODEL, 2, 0.0, started_ms=2000))
    assert assert_reset(gateway).weights == {MODEL: 2}


async def test_new_start_seen_first_in_a_cache_entry() -> None:
    gateway = make_used_gateway()
    parts = [part.id for part in PROMPT.parts[:-1]]
    gateway.server_updates.on_cache_entry(CacheEntry("a", SALT, parts[0], 2000))
    now = trio.current_time()
    # A cache entry names no weights, so that those of the last row are kept.
    assert gateway.table.by_id["a"].weights == {MODEL: 1}
    assert gateway.cache_index.count_tokens_by_server(SALT, PROMPT, now) == {"a": 1000}


async def test_late_messages_about_the_old_start_change_nothing() -> None:
    gateway = make_used_gateway()
    gateway.table.update(make_server("a", started_ms=2000), 0.0)
    state = gateway.table.by_id["a"]
    gateway.server_updates.on_notice(ServerNotice("a", MODEL, 9, 5.0, started_ms=1000))
    gateway.server_updates.on_cache_entry(
        CacheEntry("a", SALT, PROMPT.parts[0].id, 1000)
    )
    gateway.table.update(make_server("a", started_ms=1000, weights={MODEL: 9}), 0.0)
    assert gateway.table.note_start("a", 1000, 0.0, {MODEL: 9}) is StartOrder.OLDER
    assert gateway.table.by_id["a"] is state
    assert assert_reset(gateway).weights == {MODEL: 1}


async def test_two_starts_within_a_heartbeat_reported_out_of_order() -> None:
    gateway = make_used_gateway()
    gateway.server_updates.on_notice(ServerNotice("a", MODEL, 1, 0.0, started_ms=3000))
    state = gateway.table.by_id["a"]
    gateway.table.update(make_server("a", started_ms=2000, is_draining=True), 0.0)
    assert gateway.table.by_id["a"] is state
    gateway.table.update(make_server("a", started_ms=3000), 0.0)
    assert gateway.table.by_id["a"] is state


async def test_messages_about_the_same_start_reset_nothing() -> None:
    gateway = make_used_gateway()
    state = gateway.table.by_id["a"]
    gateway.table.update(make_server("a", started_ms=1000), 0.0)
    gateway.server_updates.on_notice(ServerNotice("a", MODEL, 3, 0.0, started_ms=1000))
    gateway.server_updates.on_notice(ServerNotice("a", MODEL, 3, 0.0))
    assert gateway.table.by_id["a"] is state
    assert state.load == Load(5, 100, 100)
    assert gateway.rollouts.updater._order_counts == {"a": 7}


async def test_start_reported_later_does_not_reset_a_server_without_one() -> None:
    gateway = make_gateway()
    gateway.table.update(make_server("a"), 0.0)
    state = gateway.table.by_id["a"]
    gateway.server_updates.on_notice(ServerNotice("a", MODEL, 1, 0.0, started_ms=1000))
    assert gateway.table.by_id["a"] is state
    assert state.info.started_ms == 1000
    gateway.table.update(make_server("a"), 0.0)
    assert state.info.started_ms == 1000


async def test_draining_server_stays_draining_until_its_entry_changes() -> None:
    gateway = make_used_gateway(is_draining=True)
    gateway.table.note_start("a", 2000, 0.0, {MODEL: 2})
    assert not gateway.table.by_id["a"].is_present()
    gateway.table.update(make_server("a", started_ms=2000), 0.0)
    assert gateway.table.by_id["a"].is_present()


@pytest.mark.parametrize("is_entry_first", [True, False])
async def test_instance_that_starts_with_a_late_older_entry_learns_of_the_leaving(
    is_entry_first: bool,
) -> None:
    peer, started = make_gateway(), make_gateway()
    entry = make_server("a", started_ms=1000, entry_sequence=6)
    leaving = entry._replace(is_draining=True, entry_sequence=7)
    peer.table.update(leaving, 0.0)
    [notice] = peer.server_updates.list_leaving()
    if is_entry_first:
        started.table.update(entry, 0.0)
    started.server_updates.on_notice(notice)
    started.table.update(entry, 0.0)
    assert not started.table.by_id["a"].is_present()
    started.table.update(entry._replace(started_ms=2000, entry_sequence=1), 0.0)
    assert started.table.by_id["a"].is_present()


async def test_new_start_is_not_reported_as_leaving_before_its_first_entry() -> None:
    gateway = make_gateway()
    leaving = make_server("a", started_ms=1000, entry_sequence=7, is_draining=True)
    gateway.table.update(leaving, 0.0)
    gateway.table.note_start("a", 2000, 0.0, {MODEL: 1})
    assert gateway.server_updates.list_leaving() == []


async def test_call_at_the_old_start_does_not_count_at_the_new_start() -> None:
    gateway = make_gateway()
    gateway.table.update(make_server("a", started_ms=1000), 0.0)
    demand = Demand("reader", MODEL, PROMPT, "wall")
    reservation = await gateway.slot_queue.reserve(demand, 0, trio.current_time())
    assert reservation is not None
    gateway.table.update(make_server("a", started_ms=2000), 0.0)
    state = gateway.table.by_id["a"]
    reservation = gateway.slot_queue.note_prompt_read(reservation)
    gateway.server_updates.note_cached_prompt(reservation.state, SALT, PROMPT)
    gateway.slot_queue.release(reservation)
    assert state.load == Load()
    assert not gateway.cache_index.count_tokens_by_server(
        SALT, PROMPT, trio.current_time()
    )


async def test_updates_contain_the_start() -> None:
    notices = [["a", "m1", 2, 0.5, False, 1234, None, False]]
    holdings = [["a", "salt", "part", 1234]]
    digest = decode_update(make_update(notices=notices, cache_entries=holdings))
    assert digest.notices[0].started_ms == 1234
    assert digest.cache_entries[0].started_ms == 1234
    assert encode_update("i1#1", digest).notices == notices


async def test_order_is_repeated_to_an_engine_that_restarted(
    autojump_clock: object,
) -> None:
    fleet = Fleet(3, engines=2)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        # The first start accepts an order, so that the counts of both starts differ.
        fleet.require_version(2)
        await run_until_current(fleet, 2, 10.0)
        fleet.require_version(3)
        while fleet.engines.loading["s0"] != 3:
            await trio.sleep(0.01)
        fleet.engines.restart("s0")
        await run_until_current(fleet, 3, 10.0)
        nursery.cancel_scope.cancel()
    last = [o.order for o in fleet.engines.orders if o.server_id == "s0"][-1]
    assert last.expected_orders == 0
    fleet.assert_holders_apart()


async def test_new_start_rejects_a_late_order_for_the_old_start(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        await run_until_current(fleet, 2, 10.0)
        # The engine has accepted one order; the next is lost and arrives 6 s later.
        fleet.engines.orders_to_lose = 1
        fleet.require_version(3)
        while fleet.engines.orders_to_lose:
            await trio.sleep(0.01)
        fleet.engines.restart("s0")
        await run_until_current(fleet, 3, 5.0)
        fleet.require_version(4)
        await run_until_current(fleet, 4, 10.0)
        await trio.sleep(8.0)
        nursery.cancel_scope.cancel()
    assert fleet.engines.versions == {"s0": 4}


async def test_late_peer_load_of_the_old_start_is_ignored() -> None:
    """Peers report load at the old start for up to 1.5 s after the restart."""
    gateway = make_gateway()
    gateway.table.update(make_server("a", started_ms=1000), 0.0)
    peer = make_table(make_server("a", started_ms=1000))
    peer.by_id["a"].load = Load(7)
    gateway.table.note_peer_loads("p", peer.list_own_loads(), 0.0)
    assert gateway.table.sum_load("a", 0.1) == Load(7)
    gateway.table.update(make_server("a", started_ms=2000), 0.2)
    gateway.table.note_peer_loads("p", peer.list_own_loads(), 0.3)
    assert gateway.table.sum_load("a", 0.4) == Load()
    # Once the peer knows the new start, its load counts.
    peer.update(make_server("a", started_ms=2000), 0.5)
    peer.by_id["a"].load = Load(2)
    gateway.table.note_peer_loads("p", peer.list_own_loads(), 0.6)
    assert gateway.table.sum_load("a", 0.7) == Load(2)


async def test_connection_to_the_old_start_is_not_reused_for_the_new() -> None:
    """A connection in use when the restart is detected is released afterwards."""
    gateway = make_gateway()
    gateway.table.update(make_server("a", started_ms=1000), 0.0)
    old = gateway.table.by_id["a"]
    gateway.table.update(make_server("a", started_ms=2000), 0.0)
    gateway.pool._idle[old.owner] = [IdleChannel()]  # type: ignore[list-item]
    new = gateway.table.by_id["a"]
    assert gateway.pool.count_idle(new.owner) == 0


async def test_failed_order_to_the_old_start_does_not_pause_the_new(
    autojump_clock: object,
) -> None:
    fleet = Fleet(1, engines=1)
    controller = fleet.controllers[0]
    async with trio.open_nursery() as nursery:
        await fleet.run(nursery)
        fleet.require_version(2)
        while not fleet.engines.loading["s0"]:
            await trio.sleep(0.01)
        fleet.engines.restart("s0")
        fleet.tables[0].note_start("s0", fleet.engines.started_ms["s0"], 0.0)
        controller.reset_server("s0")
        await trio.sleep(1.0)
        assert "s0" not in controller.updater._paused_until
        await run_until_current(fleet, 2, 5.0)
        nursery.cancel_scope.cancel()


class StartsMachine(RuleBasedStateMachine):
    """A server that restarts repeatedly; messages about its starts arrive in any order.

    The model keeps the weights that each start has loaded. The table may lag behind,
    but never keeps an older start than the newest one that a message named.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = make_table(make_server("a", started_ms=0))
        self.table.on_new_start = self.on_new_start
        self.newest_reported = 0
        self.started = 0
        self.weights = {0: 1}
        self.restarts = 0

    def on_new_start(self, previous: ServerState, state: ServerState) -> None:
        self.restarts += 1

    @rule(older=st.integers(0, 1))
    def restart(self, older: int) -> None:
        had = self.weights[self.started]
        self.started += 1
        self.weights[self.started] = max(1, had - older)

    @rule()
    def load(self) -> None:
        self.weights[self.started] += 1

    @rule(born=st.integers(0, 9))
    def receive_row(self, born: int) -> None:
        born = min(born, self.started)
        self.newest_reported = max(self.newest_reported, born)
        server = make_server("a", started_ms=born, weights={MODEL: self.weights[born]})
        self.table.update(server, 0.0)

    @rule(born=st.integers(0, 9))
    def receive_report(self, born: int) -> None:
        born = min(born, self.started)
        self.newest_reported = max(self.newest_reported, born)
        weights = {MODEL: self.weights[born]}
        if self.table.note_start("a", born, 0.0, weights) is StartOrder.SAME:
            self.table.by_id["a"].update_weights(MODEL, self.weights[born])

    @rule()
    def receive_message_without_start(self) -> None:
        self.table.note_start("a", None, 0.0)

    @rule()
    def work(self) -> None:
        state = self.table.by_id["a"]
        state.load = state.load.add(Load(1))

    @invariant()
    def newest_reported_start_is_known(self) -> None:
        assert self.table.by_id["a"].info.started_ms == self.newest_reported

    @invariant()
    def weights_are_of_the_newest_reported_start(self) -> None:
        known = self.table.by_id["a"].weights[MODEL]
        assert known <= max(self.weights[self.newest_reported], 1)


TestStarts = StartsMachine.TestCase


def treat_all_as_newer(known: int | None, received: int | None) -> StartOrder:
    return StartOrder.SAME if known == received else StartOrder.NEWER


def update_without_comparing(
    table: ServerTable, server: BackendServer, now: float, *, is_restored: bool = False
) -> None:
    state = table.by_id.setdefault(server.id, ServerState(server, now))
    state.info = server
    for model, version in server.weights.items():
        state.update_weights(model, version)


MUTANTS = [
    Mutant(
        "all starts compare as the same",
        directory,
        "compare_starts",
        lambda known, received: StartOrder.SAME,
    ),
    Mutant(
        "late messages about an older start count",
        directory,
        "compare_starts",
        treat_all_as_newer,
    ),
    Mutant(
        "a row is applied without comparing starts",
        ServerTable,
        "update",
        update_without_comparing,
    ),
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.label)
def test_catches_mutant(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    expect_caught(StartsMachine, mutant, monkeypatch)
