"""Tables are followed through outages, lost history and changes in between."""

from __future__ import annotations

import os
from typing import Any

import orjson
import trio
import trio.testing

from ashpond.gateway.decisionlog import MAX_QUEUED, DecisionLog
from ashpond.gateway.feeds import Feed, follow_feed
from ashpond.gateway.store import Snapshot
from ashpond.standins.tables import MemoryStore


class Followed:
    """What a feed has told."""

    def __init__(self, store: MemoryStore, pause: float = 0.0):
        self.rows: dict[str, bytes | None] = {}
        self.wholes = 0
        self.failures = 0
        self.log = DecisionLog("test")
        self.feed = Feed("t", 2.0, pause, self.on_rows, self.on_failure)
        self.store = store

    def on_rows(self, snapshot: Snapshot, is_whole: bool) -> None:
        if is_whole:
            self.rows = {}
            self.wholes += 1
        self.rows |= {row.key: row.value for row in snapshot.rows}

    def on_failure(self) -> None:
        self.failures += 1

    async def run(self) -> None:
        await follow_feed(self.feed, self.store.build_port(), self.log)

    def list_events(self) -> list[str]:
        return [line["event"] for line in self.log._lines]


async def test_changes_arrive_at_once(autojump_clock: object) -> None:
    store = MemoryStore()
    store.put("t", "a", b"1")
    followed = Followed(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.run)
        await trio.sleep(0.1)
        assert followed.rows == {"a": b"1"}
        store.put("t", "a", b"2")
        store.put("other", "x", b"3")
        await trio.sleep(0.02)
        assert followed.rows == {"a": b"2"}
        store.put("t", "a", None)
        await trio.sleep(0.02)
        assert followed.rows == {"a": None}
        nursery.cancel_scope.cancel()
    assert followed.wholes == 1


async def test_lost_history_is_read_anew(autojump_clock: object) -> None:
    store = MemoryStore()
    store.put("t", "a", b"1")
    followed = Followed(store, pause=1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.run)
        await trio.sleep(0.5)
        store.put("t", "a", None)
        store.put("t", "b", b"2")
        store.forget_history()
        await trio.sleep(1.0)
        assert followed.rows == {"b": b"2"}
        nursery.cancel_scope.cancel()
    assert followed.wholes == 2


async def test_an_outage_is_told_once_and_ends(autojump_clock: object) -> None:
    store = MemoryStore()
    followed = Followed(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followed.run)
        await trio.sleep(0.1)
        store.is_down = True
        store.put("t", "a", b"1")
        await trio.sleep(4.0)
        assert followed.rows == {}
        assert followed.failures > 3
        store.is_down = False
        await trio.sleep(0.7)
        assert followed.rows == {"a": b"1"}
        nursery.cancel_scope.cancel()
    events = followed.list_events()
    assert events.count("store_lost") == 1
    assert events.count("store_regained") == 1


def drain(log: DecisionLog, reader: int) -> list[dict[str, Any]]:
    """Write out all of a log and return its lines."""
    data = b""
    log.flush()
    while log._lines or log._rest:
        data += os.read(reader, 1 << 20)
        log.flush()
    data += os.read(reader, 1 << 20)
    return [orjson.loads(line) for line in data.splitlines()]


async def test_lines_are_written_and_dropped_ones_counted() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = DecisionLog("i1", writer)
    for number in range(MAX_QUEUED + 5):
        log.note("sent", id=str(number))
    assert log.dropped == {"sent": 5}
    lines = drain(log, reader)
    assert (lines[0]["event"], lines[0]["instance"]) == ("sent", "i1")
    assert lines[-1]["event"] == "log_lines_dropped"
    assert lines[-1]["counts"] == {"sent": 5}
    os.close(reader)
    os.close(writer)


async def test_a_full_pipe_is_never_waited_for() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = DecisionLog("i1", writer)
    for number in range(MAX_QUEUED):
        log.note("sent", id=str(number), text="x" * 200)
    log.flush()
    log.flush()
    # No line is torn by a write that the pipe took in part.
    ids = [line["id"] for line in drain(log, reader)]
    assert ids == [str(number) for number in range(MAX_QUEUED)]
    os.close(reader)
    os.close(writer)
