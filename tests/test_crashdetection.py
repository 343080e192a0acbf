"""What shows that a server has ended, and which requests were in flight there."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from ashpond.clients.channels import ChannelPool, Reach
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


class CheckedPool:
    """Answers each check as told, and counts them."""

    def __init__(self, reach: Reach):
        self.reach = reach
        self.checks = 0

    async def check(self, server: WatchedServer) -> Reach:
        self.checks += 1
        await trio.sleep(0.001)
        return self.reach


class Watched:
    def __init__(self, reach: Reach = Reach.UNKNOWN):
        self.pool = CheckedPool(reach)
        self.lost: list[LostRequest] = []
        self.refused: list[WatchedServer] = []
        self.ends = CrashDetector(
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


async def test_a_server_that_refuses_connections_has_ended(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    watched = Watched(Reach.REFUSED)
    nursery.start_soon(watched.ends.run)
    state = make_state()
    watched.ends.note_failed_attempt(state, "f1", trio.current_time())
    watched.ends.note_failed_attempt(state, "f2", trio.current_time())
    await trio.sleep(0.01)
    assert watched.list_lost() == ["f1", "f2"]
    assert watched.refused == [state]
    assert watched.pool.checks == 1


async def test_a_server_that_takes_connections_has_ended_nobody(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    watched = Watched(Reach.CONNECTED)
    nursery.start_soon(watched.ends.run)
    state = make_state()
    watched.ends.note_failed_attempt(state, "f1", trio.current_time())
    await trio.sleep(1)
    # It ends later, for another reason; what broke before was not ended by it.
    watched.ends.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert not watched.lost


async def test_a_new_start_counts_though_the_server_takes_connections_again(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    watched = Watched(Reach.CONNECTED)
    nursery.start_soon(watched.ends.run)
    state = make_state()
    watched.ends.note_failed_attempt(state, "f1", trio.current_time())
    await trio.sleep(0.5)
    watched.ends.note_crash(state, CrashEvidence.NEW_START)
    assert watched.list_lost() == ["f1"]


@pytest.mark.parametrize("evidence", list(CrashEvidence))
async def test_each_sign_counts_once(
    evidence: CrashEvidence, autojump_clock: object
) -> None:
    watched = Watched()
    state = make_state()
    watched.ends.note_failed_attempt(state, "f1", trio.current_time())
    watched.ends.note_crash(state, evidence)
    watched.ends.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert watched.list_lost() == ["f1"]
    assert watched.lost[0].server is state


async def test_what_breaks_a_little_after_the_proof_counts(
    autojump_clock: object,
) -> None:
    watched = Watched()
    state = make_state()
    watched.ends.note_failed_attempt(state, "f1", trio.current_time())
    watched.ends.note_crash(state, CrashEvidence.REFUSED)
    await trio.sleep(SAME_CRASH_SECONDS / 2)
    watched.ends.note_failed_attempt(state, "f2", trio.current_time())
    await trio.sleep(SAME_CRASH_SECONDS)
    watched.ends.note_failed_attempt(state, "f3", trio.current_time())
    assert watched.list_lost() == ["f1", "f2"]


async def test_what_broke_long_before_the_end_does_not_count(
    autojump_clock: object,
) -> None:
    watched = Watched()
    state = make_state()
    watched.ends.note_failed_attempt(state, "f1", trio.current_time())
    await trio.sleep(ATTRIBUTION_SECONDS + 0.1)
    watched.ends.note_failed_attempt(state, "f2", trio.current_time())
    watched.ends.note_crash(state, CrashEvidence.REFUSED)
    assert watched.list_lost() == ["f2"]


async def test_a_server_that_leaves_as_announced_was_ended_by_nobody(
    autojump_clock: object,
) -> None:
    watched = Watched()
    leaving = make_state(is_draining=True)
    watched.ends.note_failed_attempt(leaving, "f1", trio.current_time())
    watched.ends.note_crash(leaving, CrashEvidence.ENTRY_GONE)
    assert not watched.lost


async def test_a_server_is_not_asked_again_and_again(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    watched = Watched()
    nursery.start_soon(watched.ends.run)
    state = make_state()
    for number in range(100):
        watched.ends.note_failed_attempt(state, f"f{number}", trio.current_time())
        await trio.sleep(CHECK_INTERVAL_SECONDS / 100)
    assert watched.pool.checks <= 2


async def test_a_silent_server_is_not_asked(
    autojump_clock: object, nursery: trio.Nursery
) -> None:
    watched = Watched(Reach.REFUSED)
    nursery.start_soon(watched.ends.run)
    state = make_state()
    watched.ends.note_failed_attempt(
        state, "f1", trio.current_time(), is_idle_timeout=True
    )
    await trio.sleep(0.1)
    assert watched.pool.checks == 0
    # What was in flight counts, if its end shows otherwise.
    watched.ends.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert watched.list_lost() == ["f1"]


async def test_what_is_kept_is_bounded(autojump_clock: object) -> None:
    watched = Watched()
    states = [make_state(f"s{number}") for number in range(MAX_SERVERS + 10)]
    for state in states:
        for number in range(MAX_REQUESTS + 10):
            watched.ends.note_failed_attempt(state, f"f{number}", trio.current_time())
    for state in states:
        watched.ends.note_crash(state, CrashEvidence.REFUSED)
    assert len(watched.lost) == MAX_SERVERS * MAX_REQUESTS


async def test_a_check_tells_a_listener_from_none_and_keeps_its_connection() -> None:
    async def serve(stream: trio.SocketStream, number: int) -> None:
        await trio.sleep_forever()

    pool = ChannelPool()
    free = f"127.0.0.1:{find_free_port()}"
    assert await pool.check("gone", free) is Reach.REFUSED
    async with run_server(serve) as address:
        assert await pool.check("a", address) is Reach.CONNECTED
        assert pool.count_idle("a") == 1
        await pool.acquire("a", address)
        assert pool.opened == 1


def test_a_fingerprint_names_what_is_asked_and_by_whom() -> None:
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


async def test_the_hazard_is_that_of_the_service_that_lost_most(
    autojump_clock: object,
) -> None:
    engines = [make_state(f"e{number}") for number in range(5)]
    plain = [make_state(f"p{number}", service="plain") for number in range(4)]
    ends = CrashDetector(
        CheckedPool(Reach.UNKNOWN).check,
        DecisionLog("i").note,
        lambda lost: None,
        list_servers=lambda: engines + plain,
    )
    assert ends.measure_hazard() == 0
    await trio.sleep(HAZARD_SECONDS)
    for state in engines[:3] + plain[:1] + engines[:3]:
        ends.note_crash(state, CrashEvidence.ENTRY_GONE)
    assert ends.measure_hazard() == pytest.approx(3 / (5 * HAZARD_SECONDS))
    await trio.sleep(HAZARD_SECONDS + 1)
    assert ends.measure_hazard() == 0


async def test_servers_that_are_away_do_not_make_the_others_seem_endangered(
    autojump_clock: object,
) -> None:
    engines = [make_state(f"e{number}") for number in range(5)]
    there = list(engines)
    ends = CrashDetector(
        CheckedPool(Reach.UNKNOWN).check,
        DecisionLog("i").note,
        lambda lost: None,
        list_servers=lambda: there,
    )
    ends.note_server_counts()
    await trio.sleep(HAZARD_SECONDS / 2)
    for state in engines:
        ends.note_crash(state, CrashEvidence.ENTRY_GONE)
        there.remove(state)
    assert ends.measure_hazard() == pytest.approx(5 / (5 * HAZARD_SECONDS / 2))
