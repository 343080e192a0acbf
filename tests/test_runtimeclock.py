"""After a suspension of the machine, everything that ages has aged by its length.

The default clock of the runtime stops during a suspension. With it, API keys, leases
and the updates of peers seemed as fresh after the suspension as before. These tests let
the clock jump while tasks wait, as the clock of ashpond does after a suspension.
"""

from __future__ import annotations

import time
from typing import Any

import pytest
import trio
import trio.testing

from ashpond import runtimeclock
from ashpond.clients.channelpools import ChannelPool
from ashpond.decisions.knowledge import Knowledge
from ashpond.decisions.leases import Lease, make_lease_terms
from ashpond.decisions.loads import Load
from ashpond.decisions.retryrights import Entitlement, RetryRights
from ashpond.fleet.view import FleetView, InstanceLoad, PeerReport, Scope
from ashpond.gateway.admission import AcceptedCall, admit_call
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.store import StoreClock
from ashpond.outcomes import Done
from ashpond.runtimeclock import (
    CHECK_SECONDS,
    SuspendedClock,
    SuspensionWatch,
    choose_clock,
)
from ashpond.standins.tables import MemoryStore
from tests.followed import FollowedTable, running
from tests.gateway_builders import make_call, make_declaration, make_server, make_table
from tests.scripted import Answer, run_call
from tests.servers import make_answer, read_request, run_server
from tests.test_channels import fetch, make_request

SUSPENDED_SECONDS = 10.0


def set_clocks(monkeypatch: Any, steady: float, suspended: float) -> None:
    monkeypatch.setattr(time, "monotonic", lambda: steady)
    monkeypatch.setattr(time, "clock_gettime", lambda clock: steady + suspended)


def test_the_clock_counts_a_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = SuspendedClock()
    set_clocks(monkeypatch, 100.0, 0.0)
    before = clock.current_time()
    set_clocks(monkeypatch, 101.0, SUSPENDED_SECONDS)
    assert clock.current_time() - before == SUSPENDED_SECONDS + 1.0
    # A longer wait would not count a suspension and would end too late.
    assert clock.deadline_to_sleep_time(before + 60.0) == CHECK_SECONDS
    assert clock.deadline_to_sleep_time(before) == 0.0


def test_the_runtime_uses_the_clock() -> None:
    async def measure() -> float:
        started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        assert abs(trio.current_time() - started_at) < 1.0
        with trio.move_on_after(CHECK_SECONDS * 1.5) as scope:
            await trio.sleep_forever()
        assert scope.cancelled_caught
        return time.clock_gettime(time.CLOCK_BOOTTIME) - started_at

    clock = choose_clock(lambda event, **fields: None)
    assert clock is not None
    assert trio.run(measure, clock=clock) >= CHECK_SECONDS * 1.5


def test_a_missing_boot_time_clock_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def refuse(clock: int) -> float:
        raise OSError("no such clock")

    monkeypatch.setattr(time, "clock_gettime", refuse)
    events: list[str] = []
    assert choose_clock(lambda event, **fields: events.append(event)) is None
    assert events == ["clock_stands_still_in_suspension"]


async def test_a_suspension_is_logged_once_with_its_length(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    log = DecisionLog("i")
    seen: list[float] = []
    suspended = 5.0
    watch = SuspensionWatch(log, seen.append, lambda: suspended)
    nursery.start_soon(watch.run)
    await trio.sleep(1.0)
    suspended += SUSPENDED_SECONDS
    await trio.sleep(1.0)
    assert seen == [SUSPENDED_SECONDS]
    assert [line["event"] for line in log._lines] == ["machine_suspended"]


def test_the_measured_suspension_is_not_negative() -> None:
    assert runtimeclock.measure_suspended() > -runtimeclock.MIN_SUSPENSION_SECONDS


def test_a_lease_expires_during_a_suspension(
    mock_clock: trio.testing.MockClock,
) -> None:
    async def check() -> None:
        lease = Lease("i0", make_lease_terms(3.0))
        write = lease.plan_write(trio.current_time())
        assert write is not None
        lease.on_write(write, Done(1), trio.current_time())
        assert lease.holds(trio.current_time())
        mock_clock.jump(SUSPENDED_SECONDS)
        assert not lease.holds(trio.current_time())

    trio.run(check, clock=mock_clock)


async def test_a_key_is_refused_if_the_configuration_aged_in_a_suspension(
    mock_clock: trio.testing.MockClock,
) -> None:
    knowledge = Knowledge()
    knowledge.adopt(make_declaration())
    knowledge.confirm(trio.current_time())
    call = make_call(received_at=trio.current_time())
    now = trio.current_time()
    assert isinstance(admit_call(call, knowledge, 5.0, now), AcceptedCall)
    mock_clock.jump(SUSPENDED_SECONDS)
    refusal = admit_call(call, knowledge, 5.0, trio.current_time())
    assert not isinstance(refusal, AcceptedCall)
    assert refusal.status == 503


async def test_peer_loads_and_hubs_expire_during_a_suspension(
    mock_clock: trio.testing.MockClock,
) -> None:
    table = make_table(make_server("a"))
    view = FleetView(10.0)
    now = trio.current_time()
    load = InstanceLoad({}, {})
    view.set_hubs(["h"])
    view.add("h#1", PeerReport("h", Scope.FLEET, now, load))
    table.note_peer_loads("h#1", {"a": Load(3)}, now)
    assert view.find_hub(now) is not None
    assert table.sum_load("a", now).requests == 3
    mock_clock.jump(SUSPENDED_SECONDS)
    now = trio.current_time()
    assert view.find_hub(now) is None
    assert table.sum_load("a", now).requests == 0


async def test_the_retry_budget_window_moves_on_in_a_suspension(
    mock_clock: trio.testing.MockClock,
) -> None:
    entitlement = Entitlement(4.0, is_complete=True)
    rights = RetryRights(0.2, SUSPENDED_SECONDS / 2, trio.current_time())
    while rights.take(entitlement, trio.current_time()):
        pass
    mock_clock.jump(SUSPENDED_SECONDS)
    assert rights.take(entitlement, trio.current_time())


async def test_a_table_reader_asks_the_store_at_once_on_waking(
    autojump_clock: Any,
) -> None:
    store = MemoryStore()
    store.put("t", "a", b"1")
    followed = FollowedTable(store)
    async with running(followed):
        await trio.sleep(0.1)
        before = followed.as_of
        autojump_clock.jump(SUSPENDED_SECONDS)
        store.put("t", "a", b"2")
        await trio.sleep(0.1)
        assert followed.rows == {"a": b"2"}
        assert followed.as_of >= before + SUSPENDED_SECONDS


async def test_a_call_ends_at_its_deadline_despite_a_suspension(
    autojump_clock: Any,
) -> None:
    async def wake() -> None:
        await trio.sleep(0.5)
        autojump_clock.jump(SUSPENDED_SECONDS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wake)
        bench = await run_call(Answer(delay=60.0))
    assert bench.reply.status == 504
    assert bench.reply.finished_at <= SUSPENDED_SECONDS + 0.6


async def test_an_idle_connection_is_not_reused_after_a_suspension() -> None:
    now = 100.0

    async def script(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(make_answer(str(number).encode()))

    async with run_server(script) as address:
        pool = ChannelPool(lambda: now)
        assert await fetch(pool, address, make_request()) == b"1"
        now += SUSPENDED_SECONDS
        assert await fetch(pool, address, make_request()) == b"2"


async def test_a_store_answer_read_on_waking_is_dated_before_the_suspension(
    mock_clock: trio.testing.MockClock,
) -> None:
    """The age of an answer counts from its sending, not from its reading on waking."""
    store = MemoryStore()
    clock = StoreClock()
    first = store._take_snapshot([], trio.current_time())
    clock.date(first)
    answered = store._take_snapshot([], trio.current_time())
    mock_clock.jump(SUSPENDED_SECONDS)
    late = answered._replace(received_at=trio.current_time())
    assert trio.current_time() - clock.date(late) >= SUSPENDED_SECONDS
