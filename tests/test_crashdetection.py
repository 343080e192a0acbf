"""Which evidence shows a crash, and which requests are attributed to it."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ashpond.clients.channelpools import ChannelPool, ConnectResult
from ashpond.controllers.crashdetection import (
    ATTRIBUTION_SECONDS,
    CHECK_INTERVAL_SECONDS,
    HAZARD_SECONDS,
    MAX_REQUESTS,
    MAX_SERVERS,
    SAME_CRASH_SECONDS,
    CrashDetector,
    CrashEvidence,
    LostRequest,
    WatchedServer,
)
from ashpond.controllers.directory import ServerState
from ashpond.decisions.fingerprints import make_fingerprint
from ashpond.gateway.decisionlog import DecisionLog
from tests.gateway_builders import make_server
from tests.ports import find_free_port
from tests.servers import run_server


class CountingPool:
    """A pool that answers each check with ``reach``, and counts the checks."""

    def __init__(self, reach: ConnectResult):
        self.reach = reach
        self.checks = 0

    async def check(self, server: WatchedServer) -> ConnectResult:
        self.checks += 1
        await trio.sleep(0.001)
        return self.reach


class DetectorBench:
    """A crash detector with a scripted pool, and what it reports."""

    def __init__(self, reach: ConnectResult = ConnectResult.UNKNOWN):
        self.pool = CountingPool(reach)
        self.lost: list[LostRequest] = []
        self.refused: list[WatchedServer] = []
        self.detector = CrashDetector(
            self.pool.check,
            DecisionLog("i").note,
            self.lost.append,
            self.refused.append,
        )

    def list_lost(self) -> list[str]:
        return [lost.fingerprint for lost in self.lost]


def make_state(server_id: str = "a", **changes: object) -> WatchedServer:
    info = make_server(server_id, **changes)
    return ServerState(info, trio.current_time()).watched


async def test_server_that_refuses_connections_has_crashed(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    bench = DetectorBench(ConnectResult.REFUSED)
    nursery.start_soon(bench.detector.run)
    state = make_state()
    bench.detector.note_failed_attempt(state, "f1", trio.current_time())
    bench.detector.note_failed_attempt(state, "f2", trio.current_time())
    await trio.sleep(0.01)
    assert bench.list_lost() == ["f1", "f2"]
    assert bench.refused == [state]
    assert bench.pool.checks == 1


async def test_requests_are_lost_if_a_server_refuses_here_and_no_peer_is_sure(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    bench = DetectorBench(ConnectResult.REFUSED_HERE)
    nursery.start_soon(bench.detector.run)
    state = make_state()
    bench.detector.note_failed_attempt(state, "f1", trio.current_time())
    await trio.sleep(0.01)
    assert bench.list_lost() == ["f1"]
    assert not bench.refused
    assert not bench.detector.measure_hazard()
    # This instance may have been cut off, and the server may crash later.
    await trio.sleep(2.0)
    bench.pool.reach = ConnectResult.REFUSED
    bench.detector.note_failed_attempt(state, "f2", trio.current_time())
    await trio.sleep(0.01)
    assert bench.list_lost() == ["f1", "f2"]
    assert bench.refused == [state]


async def test_reachable_server_has_not_crashed(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    bench = DetectorBench(ConnectResult.CONNECTED)
    nursery.start_soon(bench.detector.run)
    state = make_state()
    bench.detector.note_failed_attempt(state, "f1", trio.current_time())
    await trio.sleep(1)
    # The later crash is not the cause of the earlier failure.
    bench.detector.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert not bench.lost


async def test_new_start_counts_as_a_crash_if_the_server_is_reachable_again(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    bench = DetectorBench(ConnectResult.CONNECTED)
    nursery.start_soon(bench.detector.run)
    state = make_state()
    bench.detector.note_failed_attempt(state, "f1", trio.current_time())
    await trio.sleep(0.5)
    bench.detector.note_crash(state, CrashEvidence.NEW_START)
    assert bench.list_lost() == ["f1"]


@pytest.mark.parametrize("evidence", list(CrashEvidence))
async def test_crash_counts_once_whatever_the_evidence(
    evidence: CrashEvidence, autojump_clock: object
) -> None:
    bench = DetectorBench()
    state = make_state()
    bench.detector.note_failed_attempt(state, "f1", trio.current_time())
    bench.detector.note_crash(state, evidence)
    bench.detector.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert bench.list_lost() == ["f1"]
    assert bench.lost[0].server is state


async def test_attempt_that_fails_shortly_after_the_crash_counts(
    autojump_clock: object,
) -> None:
    bench = DetectorBench()
    state = make_state()
    bench.detector.note_failed_attempt(state, "f1", trio.current_time())
    bench.detector.note_crash(state, CrashEvidence.REFUSED)
    await trio.sleep(SAME_CRASH_SECONDS / 2)
    bench.detector.note_failed_attempt(state, "f2", trio.current_time())
    await trio.sleep(SAME_CRASH_SECONDS)
    bench.detector.note_failed_attempt(state, "f3", trio.current_time())
    assert bench.list_lost() == ["f1", "f2"]


async def test_attempt_that_failed_long_before_the_crash_does_not_count(
    autojump_clock: object,
) -> None:
    bench = DetectorBench()
    state = make_state()
    bench.detector.note_failed_attempt(state, "f1", trio.current_time())
    await trio.sleep(ATTRIBUTION_SECONDS + 0.1)
    bench.detector.note_failed_attempt(state, "f2", trio.current_time())
    bench.detector.note_crash(state, CrashEvidence.REFUSED)
    assert bench.list_lost() == ["f2"]


async def test_draining_server_that_disappears_is_no_crash(
    autojump_clock: object,
) -> None:
    bench = DetectorBench()
    leaving = make_state(is_draining=True)
    bench.detector.note_failed_attempt(leaving, "f1", trio.current_time())
    bench.detector.note_crash(leaving, CrashEvidence.ENTRY_GONE)
    assert not bench.lost


async def test_server_checks_are_rate_limited(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    bench = DetectorBench()
    nursery.start_soon(bench.detector.run)
    state = make_state()
    for number in range(100):
        bench.detector.note_failed_attempt(state, f"f{number}", trio.current_time())
        await trio.sleep(CHECK_INTERVAL_SECONDS / 100)
    assert bench.pool.checks <= 2


async def test_server_is_not_checked_after_an_idle_timeout(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    bench = DetectorBench(ConnectResult.REFUSED)
    nursery.start_soon(bench.detector.run)
    state = make_state()
    bench.detector.note_failed_attempt(
        state, "f1", trio.current_time(), is_idle_timeout=True
    )
    await trio.sleep(0.1)
    assert bench.pool.checks == 0
    # The attempt counts once other evidence shows the crash.
    bench.detector.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert bench.list_lost() == ["f1"]


async def test_number_of_failed_attempts_kept_is_limited(
    autojump_clock: object,
) -> None:
    bench = DetectorBench()
    states = [make_state(f"s{number}") for number in range(MAX_SERVERS + 10)]
    for state in states:
        for number in range(MAX_REQUESTS + 10):
            bench.detector.note_failed_attempt(state, f"f{number}", trio.current_time())
    for state in states:
        bench.detector.note_crash(state, CrashEvidence.REFUSED)
    assert len(bench.lost) == MAX_SERVERS * MAX_REQUESTS


async def test_check_detects_a_listener_and_keeps_its_connection() -> None:
    async def serve(stream: trio.SocketStream, number: int) -> None:
        await trio.sleep_forever()

    pool = ChannelPool()
    free = f"127.0.0.1:{find_free_port()}"
    assert await pool.check("gone", free) is ConnectResult.REFUSED
    async with run_server(serve) as address:
        assert await pool.check("a", address) is ConnectResult.CONNECTED
        assert pool.count_idle("a") == 1
        await pool.acquire("a", address)
        assert pool.opened == 1


def test_fingerprint_depends_on_the_request_and_the_team() -> None:
    def name(**changes: object) -> str:
        values: dict = {
            "secret": "s1",
            "team": "desk",
            "host": "a.example",
            "method": "POST",
            "target": b"/x/1",
            "body": b"bytes",
        }
        return make_fingerprint(**(values | changes))

    assert name() == name(host="A.example")
    others = [
        name(secret="s2"),
        name(team="other"),
        name(team=None),
        name(team=""),
        name(host="b.example"),
        name(method="PUT"),
        name(target=b"/x/2"),
        name(body=b"byte"),
        name(target=b"/x/1b", body=b"ytes"),
    ]
    assert len({name(), *others}) == len(others) + 1
    assert "desk" not in name()


async def test_hazard_is_that_of_the_service_with_most_crashes(
    autojump_clock: object,
) -> None:
    engines = [make_state(f"e{number}") for number in range(5)]
    plain = [make_state(f"p{number}", service="plain") for number in range(4)]
    detector = CrashDetector(
        CountingPool(ConnectResult.UNKNOWN).check,
        DecisionLog("i").note,
        lambda lost: None,
        list_servers=lambda: engines + plain,
    )
    assert detector.measure_hazard() == 0
    await trio.sleep(HAZARD_SECONDS)
    for state in engines[:3] + plain[:1] + engines[:3]:
        detector.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert detector.measure_hazard() == pytest.approx(3 / (5 * HAZARD_SECONDS))
    await trio.sleep(HAZARD_SECONDS + 1)
    assert detector.measure_hazard() == 0


async def test_absent_servers_do_not_raise_the_hazard_of_the_others(
    autojump_clock: object,
) -> None:
    engines = [make_state(f"e{number}") for number in range(5)]
    there = list(engines)
    detector = CrashDetector(
        CountingPool(ConnectResult.UNKNOWN).check,
        DecisionLog("i").note,
        lambda lost: None,
        list_servers=lambda: there,
    )
    detector.note_server_counts()
    await trio.sleep(HAZARD_SECONDS / 2)
    for state in engines:
        detector.note_crash(state, CrashEvidence.ENTRY_GONE)
        there.remove(state)
    assert detector.measure_hazard() == pytest.approx(5 / (5 * HAZARD_SECONDS / 2))
