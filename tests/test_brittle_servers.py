"""Instance processes and servers that fall over if they must reject too much."""

from __future__ import annotations

import random
import time
from collections import deque
from pathlib import Path

import orjson
import pytest
import trio
from hypothesis import given, strategies as st

from ashpond.decisions.brittleness import (
    KEPT_SECONDS,
    NOTICE_SECONDS,
    RAMP_SECONDS,
    BrittleServices,
    count_own_slots,
    limit_slots,
)
from ashpond.decisions.selection import choose_server
from ashpond.fleet.updates import (
    ServerNotice,
    decode_notices,
    encode_notices,
)
from ashpond.fleet.view import Scope
from ashpond_platform.headers import CODEC
from ashpond_platform.rows import SERVERS_TABLE
from tests.crashingservers import World
from tests.gateway_builders import make_candidate, make_demand
from tests.ports import find_free_port
from tests.row_builders import SERVER
from tests.servers import make_answer, read_request
from tests.soak.resets import reset
from tests.soak.servers import parse_headers

INSTANCES, SERVERS = 6, 8
SLOTS = 4
# How many requests wait at a server, before and after the room shrinks.
USUAL_QUEUE, SHORT_QUEUE = 8, 1
WORK_SECONDS = 0.4
MAX_REJECTIONS = 3
SHRINKS_AFTER_SECONDS = 3.0
AWAY_SECONDS = 2.0
# Of the requests a second that the servers can work on.
USUAL_SHARE, BURST_SHARE = 0.7, 1.75
BURSTS = ((6.0, 8.0), (11.0, 13.0))
PLAY_SECONDS = 16.0
# In one time in which servers are brittle, as many may fall over.
ALLOWED_FALLS = 2 + SERVERS // 10


class BrittleServer:
    """A server with a bounded queue, which crashes after too many rejections."""

    def __init__(self, world: BrittleWorld, name: str):
        self._world = world
        self._name = name
        self._port = find_free_port()
        self._begin()

    def _begin(self) -> None:
        self._slots = trio.Semaphore(SLOTS)
        self._held = 0
        self._rejected: deque[float] = deque()
        self._streams: set[trio.SocketStream] = set()

    async def run(self) -> None:
        for start in range(100):
            entry = {**SERVER, "address": f"127.0.0.1:{self._port}", "models": []}
            entry |= {"slots": SLOTS}
            server_id = f"{self._name}-{start}"
            self._world.memory.put(SERVERS_TABLE, server_id, orjson.dumps(entry))
            self._begin()
            listeners = await trio.open_tcp_listeners(self._port, host="127.0.0.1")
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            for stream in self._streams:
                reset(stream)
            self._world.falls.append(time.monotonic())
            self._world.memory.put(SERVERS_TABLE, server_id, None)
            await trio.sleep(AWAY_SECONDS)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        try:
            while request := await read_request(stream):
                await stream.send_all(await self._answer(request))
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
        finally:
            self._streams.discard(stream)

    async def _answer(self, request: bytes) -> bytes:
        _, _, headers = parse_headers(request)
        request_id = headers["x-request-id"]
        extra = f"X-Engine-Seal: s\r\nServer-Brittle: {MAX_REJECTIONS}\r\n"
        if self._held >= SLOTS + self._world.get_queue():
            self._note_rejection()
            extra += "X-Not-Executed: 1\r\n"
            return make_answer(b"", request_id, 503, extra)
        self._held += 1
        try:
            async with self._slots:
                await trio.sleep(WORK_SECONDS)
        finally:
            self._held -= 1
        return make_answer(b"done", request_id, 200, extra)

    def _note_rejection(self) -> None:
        now = time.monotonic()
        self._rejected.append(now)
        while self._rejected[0] < now - 1.0:
            self._rejected.popleft()
        if len(self._rejected) > MAX_REJECTIONS:
            self._scope.cancel()


class BrittleWorld(World):
    def __init__(self, folder: Path):
        super().__init__(folder, INSTANCES, SERVERS, lambda body: False)
        self.falls: list[float] = []
        self.began_at = float("inf")

    def get_queue(self) -> int:
        is_short = time.monotonic() > self.began_at + SHRINKS_AFTER_SECONDS
        return SHORT_QUEUE if is_short else USUAL_QUEUE

    async def _run_server(self, name: str) -> None:
        await BrittleServer(self, name).run()

    async def play(self) -> None:
        self.began_at = time.monotonic()
        room = SERVERS * SLOTS / WORK_SECONDS
        number = 0
        async with trio.open_nursery() as nursery:
            while (passed := time.monotonic() - self.began_at) < PLAY_SECONDS:
                is_burst = any(begin <= passed < end for begin, end in BURSTS)
                share = BURST_SHARE if is_burst else USUAL_SHARE
                number += 1
                target = number % INSTANCES
                nursery.start_soon(self.ask_and_record, target, b"any")
                await trio.sleep(1.0 / (room * share))

    def measure_served(self) -> float:
        """Return the share served of the requests sent outside the bursts."""
        calm = [
            result
            for result in self.results
            if not any(
                begin <= result.sent_at - self.began_at < end + 1.0
                for begin, end in BURSTS
            )
        ]
        return sum(result.status == 200 for result in calm) / len(calm)


async def test_brittle_servers_are_not_pushed_over_by_bursts(tmp_path: Path) -> None:
    """All fell within 0.1 s, and again each time that they were back."""
    world = BrittleWorld(tmp_path)
    await world.run(world.play)
    statuses = sorted({result.status for result in world.results})
    print(len(world.falls), world.measure_served(), statuses)
    assert len(world.falls) <= ALLOWED_FALLS
    assert world.measure_served() >= 0.95
    refused = [result for result in world.results if result.status == 503]
    assert all(float(result.retry_after or 0) > 0 for result in refused)


def test_a_service_is_brittle_until_some_time_after_the_last_such_answer() -> None:
    services = BrittleServices()
    assert services.find_limit("s1", 0.0) is None
    assert services.note_answer("s1", 3.0, 1.0)
    assert services.find_limit("s1", 1.0 + KEPT_SECONDS - 0.1) == 3.0
    assert services.find_limit("s2", 1.0) is None
    assert services.find_limit("s1", 1.0 + KEPT_SECONDS) is None


def test_one_instance_at_a_time_notifies_the_others() -> None:
    services = BrittleServices()
    services.note_peer("s1", 3.0, 0.0)
    assert services.find_limit("s1", 1.0) == 3.0
    assert not services.note_answer("s1", 3.0, NOTICE_SECONDS - 0.1)
    assert services.note_answer("s1", 3.0, NOTICE_SECONDS)


def test_a_server_that_is_back_gets_its_load_by_degrees() -> None:
    counts = [limit_slots(8, RAMP_SECONDS * n / 4) for n in range(6)]
    assert counts == [1, 2, 4, 6, 8, 8]


@given(st.integers(1, 40), st.integers(1, 64))
def test_each_slot_belongs_to_one_instance(instances: int, slots: int) -> None:
    names = [f"i{n}" for n in range(instances)]
    assert sum(count_own_slots("s1", slots, name, names) for name in names) == slots
    assert count_own_slots("s1", slots, "i0", []) == slots


def test_a_server_that_bears_few_rejections_gets_no_queue() -> None:
    demand = make_demand(service="plain")
    full = make_candidate(slots=4, memory_tokens=0)
    full = full._replace(load=full.load._replace(requests=4))
    assert choose_server([full], demand, random.Random(1)) is not None
    full = full._replace(may_queue=False)
    assert choose_server([full], demand, random.Random(1)) is None


@pytest.mark.parametrize(
    ("values", "limit", "is_invalid"),
    [
        ((), None, False),
        ((b"3",), 3.0, False),
        ((b"5", b"2"), 2.0, False),
        ((b"-1",), None, True),
        ((b"many",), None, True),
    ],
)
def test_the_rejections_that_a_server_bears_are_read(
    values: tuple[bytes, ...], limit: float | None, is_invalid: bool
) -> None:
    headers = [(b"Server-Brittle", value) for value in values]
    marks = CODEC.read_answer_headers(headers)
    assert (marks.max_rejections, marks.is_max_rejections_invalid) == (
        limit,
        is_invalid,
    )


def test_a_notice_without_such_a_limit_is_one_of_earlier_versions() -> None:
    plain = ServerNotice("s1", "m", 2, 0.5)
    brittle = ServerNotice("s1", "", 0, 0.0, max_rejections=3.0)
    message = encode_notices("i1#1", Scope.OWN, [plain, brittle])
    assert [len(notice) for notice in message.notices] == [8, 9]
    assert decode_notices(message) == (Scope.OWN, [plain, brittle])
