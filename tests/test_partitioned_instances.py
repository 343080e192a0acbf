"""Instance processes that reach no server, while their peers do."""

from __future__ import annotations

import itertools
import time
from collections.abc import Sequence
from pathlib import Path

import orjson
import pytest
import trio

from ashpond_platform.rows import SERVERS_TABLE
from tests.crashingservers import ClientResult, World
from tests.ports import find_free_port
from tests.row_builders import SERVER
from tests.soak.partitions import Cut, Partitions
from tests.soak.proxy import Proxy

pytestmark = pytest.mark.alone
# From the beginning of a partition until its instances have to serve (seconds).
CONTACT_SECONDS = 3.0
CALM_SECONDS = 2.0
CUT_SECONDS = 10.0
# Requests that are sent later than this before the end of a partition may be answered
# after it (seconds).
DEADLINE_SECONDS = 4.0
# From the end of a partition until requests go straight to the servers (seconds).
RETURN_SECONDS = 2.0
PER_SECOND = 50.0
# A share is that of at least so many requests: a partition lasts until they are sent.
LEAST_REQUESTS = 20
LONGEST_CUT_SECONDS = 60.0
# Instances that are cut off serve at least this share of what the others do, or no
# more than these requests and this share of all fail there.
LEAST_SHARE = 2 / 3
FAILURES, FAILURE_SHARE = 10, 1 / 50


class PartitionWorld(World):
    """Servers behind proxies that cut off some of the instances."""

    def __init__(
        self, folder: Path, instances: int, servers: int, unrepeatable: int = 0
    ):
        super().__init__(folder, instances, servers, lambda body: False)
        # The first instances, which get no other requests.
        self.unrepeatable = unrepeatable
        self.partitions = Partitions(self._list_pids)
        self.cut_at = float("inf")
        # During a partition, the time at which its requests were counted last.
        self.healed_at = float("inf")
        self.is_healed = False

    def make_configuration(self) -> dict[str, object]:
        """Return a configuration with a route whose requests may not be repeated."""
        configuration = super().make_configuration()
        [route] = configuration["routes"]  # type: ignore[misc]
        once = {**route, "name": "once", "prefix": "/n/", "kind": "non_idempotent"}
        configuration["routes"] = [route, once]
        return configuration

    def _list_pids(self) -> dict[str, int]:
        return {
            instance.name: instance.process.pid
            for instance in self.instances
            if instance.process is not None
        }

    async def _run_server(self, name: str) -> None:
        port = find_free_port()
        proxy = Proxy(f"127.0.0.1:{port}", self.partitions)
        async with trio.open_nursery() as nursery:
            await nursery.start(proxy.run)
            entry = {**SERVER, "address": proxy.address, "models": []}
            self.memory.put(SERVERS_TABLE, f"{name}-0", orjson.dumps(entry))
            await self._serve_until_crash(f"{name}-0", port)

    async def play(self, cut_instances: int, kind: Cut) -> None:
        """Send requests to all instances, before, during and after a partition."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests)
            await trio.sleep(CALM_SECONDS)
            self.cut_at = time.monotonic()
            self.partitions.cut([f"i{n}" for n in range(cut_instances)], kind)
            await trio.sleep(CUT_SECONDS)
            with trio.move_on_after(LONGEST_CUT_SECONDS - CUT_SECONDS):
                while not self._has_requests(cut_instances):
                    await trio.sleep(0.1)
            self.partitions.cut([], kind)
            self.healed_at = time.monotonic()
            self.is_healed = True

    def _has_requests(self, cut_instances: int) -> bool:
        """Return whether enough requests were sent to each kind of instance."""
        self.healed_at = time.monotonic()
        there = self.select(cut_instances, is_cut=True)
        others = self.select(cut_instances, is_cut=False)
        unrepeatable = sum(is_to(result, range(self.unrepeatable)) for result in there)
        counts = [len(there), len(others)] + [unrepeatable] * bool(self.unrepeatable)
        return min(counts) >= LEAST_REQUESTS

    def _is_over(self) -> bool:
        end = self.healed_at + RETURN_SECONDS + 1.0
        return self.is_healed and time.monotonic() >= end

    async def _send_requests(self) -> None:
        begin = time.monotonic()
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                at = begin + number / PER_SECOND
                await trio.sleep(max(0.0, at - time.monotonic()))
                if self._is_over():
                    break
                target = number % len(self.instances)
                body = f"to {target}".encode()
                path = "/n/1" if target < self.unrepeatable else "/x/1"
                nursery.start_soon(self.ask_and_record, target, body, path)

    def select(self, cut_instances: int, *, is_cut: bool) -> list[ClientResult]:
        """Return the results at instances that had to serve in the partition."""
        return [
            result
            for result in self.results
            if self.cut_at + CONTACT_SECONDS <= result.sent_at
            and result.sent_at < self.healed_at - DEADLINE_SECONDS
            and (int(result.body.split()[1]) < cut_instances) == is_cut
        ]


def is_to(result: ClientResult, instances: Sequence[int]) -> bool:
    """Return whether a request was sent to one of these instances."""
    return int(result.body.split()[1]) in instances


def measure_served(results: list[ClientResult]) -> float:
    return sum(result.status == 200 for result in results) / len(results)


@pytest.mark.parametrize(
    ("instances", "cut", "kind"),
    [(6, 2, Cut.RESET), (6, 2, Cut.REFUSE_NEW), (6, 2, Cut.HANG), (12, 8, Cut.RESET)],
)
async def test_instances_that_reach_no_server_still_serve(
    instances: int, cut: int, kind: Cut, tmp_path: Path
) -> None:
    world = PartitionWorld(tmp_path, instances, 4)
    await world.run(lambda: world.play(cut, kind))
    there = world.select(cut, is_cut=True)
    others = world.select(cut, is_cut=False)
    share, other_share = measure_served(there), measure_served(others)
    print(f"{kind} {cut} of {instances}: {share:.3f}, others {other_share:.3f}")
    failed = sum(result.status != 200 for result in there)
    is_excused = failed <= FAILURES + FAILURE_SHARE * (len(there) + len(others))
    assert other_share >= 0.98
    assert share >= LEAST_SHARE * other_share or is_excused
    later = [r for r in world.results if r.sent_at >= world.healed_at + RETURN_SECONDS]
    assert measure_served(later) >= 0.98


async def test_an_instance_with_unrepeatable_requests_only_notices_a_partition(
    tmp_path: Path,
) -> None:
    world = PartitionWorld(tmp_path, 6, 4, unrepeatable=1)
    await world.run(lambda: world.play(2, Cut.HANG))
    there = [r for r in world.select(2, is_cut=True) if is_to(r, [0])]
    others = world.select(2, is_cut=False)
    share, other_share = measure_served(there), measure_served(others)
    print(f"unrepeatable {share:.3f} of {len(there)}, others {other_share:.3f}")
    assert other_share >= 0.98
    assert share >= LEAST_SHARE * other_share
