"""Quarantine of calls of the callers' API that crash servers, at several instances."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing

from ashpond.call import Call, Reply
from ashpond.clients.channelpools import ConnectResult
from ashpond.controllers import callquarantine
from ashpond.controllers.callquarantine import CRASHES_KEY, CallQuarantine
from ashpond.controllers.crashdetection import CrashEvidence, WatchedServer
from ashpond.decisions.quarantine import SETTLING_SECONDS, QuarantineState
from ashpond.filters.quarantine import make_quarantine
from ashpond.metrics import Metrics
from ashpond.outcomes import RunState
from tests.builders import make_call, make_settings

GAP_SECONDS = 3.0


class FakeMembers:
    """Members that pass the facts of one instance to another."""

    def __init__(self) -> None:
        self.listener: Any = None
        self.produce: Any = None

    def add_fact_part(self, name: str, produce: Any) -> None:
        assert name == CRASHES_KEY
        self.produce = produce

    def on_fact(self, listener: Any) -> None:
        self.listener = listener

    def send_facts(self, other: FakeMembers) -> None:
        body = {CRASHES_KEY: self.produce()}
        other.listener(SimpleNamespace(origin="a", body=body))


class QuarantineBench:
    """One instance's call quarantine with fake members and engines."""

    def __init__(self) -> None:
        self.members = FakeMembers()
        self.engines = SimpleNamespace(servers={}, on_crash=None)
        self.quarantine = CallQuarantine(
            make_settings(),
            self.engines,  # type: ignore[arg-type]
            self.members,  # type: ignore[arg-type]
            Metrics(),
        )

    def crash_server(self, call: Call, start: str) -> None:
        """Crash a start of a server while a call is in flight there."""
        server = WatchedServer(start, start, None, "127.0.0.1:9", "reader", False)
        self.quarantine.note_failed_attempt(call, server, trio.current_time() - 0.1)
        self.engines.on_crash(server, CrashEvidence.NEW_START)

    def classify(self, call: Call) -> QuarantineState:
        return self.quarantine.classify(self.quarantine.compute_fingerprint(call))


async def crash_three_servers(bench: QuarantineBench, call: Call) -> None:
    for number in range(3):
        bench.crash_server(call, f"e{number}#1")
        await trio.sleep(GAP_SECONDS)


async def test_call_that_crashed_three_servers_is_refused_without_retry(
    autojump_clock: object,
) -> None:
    bench = QuarantineBench()
    call = make_call()
    await crash_three_servers(bench, call)
    assert bench.classify(call) is QuarantineState.QUARANTINED
    keep_away = make_quarantine(bench.quarantine, Metrics())

    async def follow(call: Call) -> Reply:
        raise AssertionError("a quarantined call was sent")

    reply = await keep_away(call, follow)
    assert reply.status == 400
    assert "Retry-After" not in reply.headers
    assert b"quarantined" in reply.body  # type: ignore[operator]
    other = make_call(body=b"{ }")
    assert bench.classify(other) is QuarantineState.FREE


async def test_crashes_are_reported_to_other_instances(autojump_clock: object) -> None:
    one, other = QuarantineBench(), QuarantineBench()
    call = make_call()
    await crash_three_servers(one, call)
    one.members.send_facts(other.members)
    assert other.classify(call) is QuarantineState.QUARANTINED
    # Repeated reports neither count again nor extend the quarantine.
    await trio.sleep(callquarantine.RETENTION_SECONDS - 1)
    one.members.send_facts(other.members)
    other.members.send_facts(one.members)
    await trio.sleep(GAP_SECONDS * 3)
    assert {one.classify(call), other.classify(call)} == {QuarantineState.FREE}


@pytest.mark.parametrize(
    "part", [None, 7, [7], [["x"] * 5], [["f" * 24, "e", -1.0, 0.0, False]], {"a": 1}]
)
async def test_invalid_crash_reports_are_ignored(
    part: object, autojump_clock: object
) -> None:
    bench = QuarantineBench()
    bench.members.listener(SimpleNamespace(origin="a", body={CRASHES_KEY: part}))
    assert bench.members.produce() == []


async def answer(call: Call) -> Reply:
    call.progress.run = RunState.RUN
    return Reply(200, {}, b"whole")


async def test_suspected_call_runs_alone_and_a_whole_answer_clears_it(
    autojump_clock: object,
) -> None:
    bench = QuarantineBench()
    call = make_call()
    bench.crash_server(call, "e1#1")
    await trio.sleep(SETTLING_SECONDS)
    keep_away = make_quarantine(bench.quarantine, Metrics())
    seen: list[Call] = []
    replies: list[Reply] = []

    async def hold(call: Call) -> Reply:
        seen.append(call)
        await trio.sleep(1.0)
        return await answer(call)

    async def ask(again: Call) -> None:
        replies.append(await keep_away(again, hold))
        await again.exits.aclose()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask, make_call())
        await trio.sleep(0.1)
        nursery.start_soon(ask, make_call())
    assert [c.is_suspected for c in seen] == [True]
    assert [reply.status for reply in replies] == [503, 200]
    assert replies[0].headers["Retry-After"]
    assert bench.classify(call) is QuarantineState.FREE


async def test_incomplete_stream_does_not_clear_a_call(autojump_clock: object) -> None:
    bench = QuarantineBench()
    call = make_call()
    bench.crash_server(call, "e1#1")
    keep_away = make_quarantine(bench.quarantine, Metrics())

    async def stream(call: Call) -> Reply:
        async def pieces() -> Any:
            yield b"x"

        call.progress.run = RunState.RUN
        return Reply(200, {}, pieces())

    again = make_call()
    await keep_away(again, stream)
    await again.exits.aclose()
    assert bench.classify(call) is QuarantineState.SUSPECTED


async def test_server_that_refuses_connections_has_crashed(
    autojump_clock: object, monkeypatch: Any, nursery: trio.Nursery
) -> None:
    async def refuse(address: str) -> ConnectResult:
        return ConnectResult.REFUSED

    monkeypatch.setattr(callquarantine, "check_address", refuse)
    bench = QuarantineBench()
    nursery.start_soon(bench.quarantine.run)
    call = make_call()
    server = WatchedServer("e#1", "e#1", None, "127.0.0.1:9", "reader", False)
    bench.quarantine.note_failed_attempt(call, server, trio.current_time())
    await trio.sleep(0.01)
    assert bench.classify(call) is QuarantineState.SUSPECTED
