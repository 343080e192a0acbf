"""Faults that the soak injects into the store, servers and instances."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import trio

from tests.soak.instances import Instance
from tests.soak.partitions import Cut
from tests.soak.proxy import Harm, Proxy

if TYPE_CHECKING:
    from tests.soak.world import World

FAULT_SECONDS = (0.3, 1.5)
# Suspends an event loop so that requests and expiring limits meet in one iteration.
PAUSE_SECONDS = (0.02, 0.3)
# Between pauses of a series, long enough for connections to become idle.
BETWEEN_PAUSES_SECONDS = (0.02, 0.4)
# Between the steps of other series; the shortest make changes overlap in the store's
# feed.
BETWEEN_STEPS_SECONDS = (0.03, 0.4)
DOWN_SECONDS = (0.0, 0.5)
# Age of the copy from which the store is restored, and the delay until the entries are
# written again.
COPY_AGE_SECONDS = (0.2, 4.0)
REWRITE_SECONDS = (0.0, 0.5)
UNNOTICED_SHARE = 0.5
# Idle timeouts that an operator may set (ms). The long ones exceed the 2.6 s after the
# signal in which a leaving instance closes its connections.
IDLE_LIMITS_MS = (300, 3000)
LONG_LIMITS_MS = (2700, 3000)
# Timeouts of the routes; a whole answer takes a tenth of the shortest.
ROUTE_TIMEOUTS_MS = (2000, 4000)
# How long a partition lasts, or the time after it, and how many are healed before the
# next begins.
PARTITION_SECONDS = (0.5, 4.0)
HEALED_SHARE = 0.6
STEPS = (2, 5)
PAUSES = (4, 12)


class Faults:
    """Sequence of single faults of random kinds."""

    def __init__(self, world: World):
        self._world = world
        self._rng = world.rng

    async def run(self) -> None:
        """Play faults until cancelled."""
        faults = [
            self._harm_store,
            self._harm_server,
            self._harm_server,
            self._freeze,
            self._kill,
            self._terminate,
            self._take_store_down,
            self._remove_key,
            self._drop_history,
        ]
        while True:
            await self._rng.choice(faults)(self._rng.uniform(*FAULT_SECONDS))

    async def _harm_store(self, seconds: float) -> None:
        await self._harm(self._rng.choice(self._world.store_proxies), seconds)

    async def _harm_server(self, seconds: float) -> None:
        proxies = list(self._world.server_proxies.values())
        await self._harm(self._rng.choice(proxies), seconds)

    async def _harm(self, proxy: Proxy, seconds: float) -> None:
        proxy.harm = self._rng.choice([harm for harm in Harm if harm is not Harm.NONE])
        await trio.sleep(seconds)
        proxy.harm = Harm.NONE

    async def _freeze(self, seconds: float) -> None:
        instance = self._rng.choice(self._world.instances)
        instance.send(signal.SIGSTOP)
        await trio.sleep(seconds)
        instance.send(signal.SIGCONT)

    async def _kill(self, seconds: float) -> None:
        instance = self._rng.choice(self._world.instances)
        await instance.restart(signal.SIGKILL, seconds / 2)

    async def _terminate(self, seconds: float) -> None:
        instance = self._rng.choice(self._world.instances)
        await instance.restart(signal.SIGTERM, seconds / 2)

    async def _take_store_down(self, seconds: float) -> None:
        began_at = trio.current_time()
        self._world.memory.is_down = True
        await trio.sleep(seconds)
        self._world.memory.is_down = False
        self._world.store_outages.append((began_at, trio.current_time()))

    async def _remove_key(self, seconds: float) -> None:
        self._world.remove_key(self._rng)
        await trio.sleep(seconds)

    async def _drop_history(self, seconds: float) -> None:
        self._world.memory.drop_history()
        await trio.sleep(seconds)


class StoreRestores:
    """Store failures, each followed by a restore from a copy some seconds old."""

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng

    async def run(self) -> None:
        """Restore the store until cancelled; its writers then write their entries."""
        memory = self._world.memory
        while True:
            copy = memory.take_copy()
            await trio.sleep(self._rng.uniform(*COPY_AGE_SECONDS))
            began_at = trio.current_time()
            memory.is_down = True
            await trio.sleep(self._rng.uniform(*FAULT_SECONDS))
            known = memory.version
            memory.restore_from(copy)
            memory.is_down = False
            self._world.store_outages.append((began_at, trio.current_time()))
            if self._rng.random() < UNNOTICED_SHARE:
                # Removes a key and passes the version that instances know before any
                # of them sends a query, so that the version does not show the
                # restore.
                self._world.remove_key(self._rng)
                self._world.rewrite_entries()
                while memory.version <= known:
                    memory.put("other", "beat", b"x")
                continue
            await trio.sleep(self._rng.uniform(*REWRITE_SECONDS))
            self._world.rewrite_entries()


class PartitionPlayer:
    """Partitions of some or most instances from all servers, one after the other."""

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng

    async def run(self) -> None:
        """Cut instances off until cancelled."""
        names = [instance.name for instance in self._world.instances]
        while True:
            count = self._rng.randint(1, max(1, len(names) * 2 // 3))
            kind = self._rng.choice(list(Cut))
            self._world.partitions.cut(self._rng.sample(names, count), kind)
            await trio.sleep(self._rng.uniform(*PARTITION_SECONDS))
            if self._rng.random() < HEALED_SHARE:
                self._world.partitions.cut([], kind)
                await trio.sleep(self._rng.uniform(*PARTITION_SECONDS))


class Series:
    """Series of the same fault in quick succession; several may run concurrently."""

    def __init__(self, world: World, rng: random.Random):
        self._world = world
        self._rng = rng

    async def run(self) -> None:
        """Play series until cancelled; restarts may overlap the next series."""
        series = [
            self._pause_repeatedly,
            self._pause_repeatedly,
            self._pause_many,
            self._terminate_several,
            self._kill,
            self._send_hangups,
            self._change_limits,
            self._change_limits,
            self._change_timeouts,
            self._remove_keys,
        ]
        async with trio.open_nursery() as nursery:
            while True:
                await self._rng.choice(series)(nursery)

    async def _pause(self, instance: Instance) -> None:
        instance.send(signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        instance.send(signal.SIGCONT)

    async def _pause_repeatedly(self, nursery: trio.Nursery) -> None:
        instance = self._rng.choice(self._world.instances)
        for _ in range(self._rng.randint(*PAUSES)):
            await self._pause(instance)
            await trio.sleep(self._rng.uniform(*BETWEEN_PAUSES_SECONDS))

    async def _pause_many(self, nursery: trio.Nursery) -> None:
        for _ in range(self._rng.randint(*STEPS)):
            for instance in self._world.instances:
                nursery.start_soon(self._pause, instance)
            await trio.sleep(PAUSE_SECONDS[1])
            await trio.sleep(self._rng.uniform(*BETWEEN_PAUSES_SECONDS))

    async def _terminate_several(self, nursery: trio.Nursery) -> None:
        """Terminate up to three instances within a second; pause each as it closes."""
        for instance in self._pick_running(3):
            down = self._rng.uniform(*DOWN_SECONDS)
            nursery.start_soon(instance.restart, signal.SIGTERM, down)
            nursery.start_soon(self._pause_while_leaving, instance)
            await trio.sleep(self._rng.uniform(*BETWEEN_STEPS_SECONDS))

    async def _pause_while_leaving(self, instance: Instance) -> None:
        await trio.sleep(self._rng.uniform(0, BETWEEN_STEPS_SECONDS[1]))
        while instance.is_restarting:
            await self._pause(instance)
            await trio.sleep(self._rng.uniform(*BETWEEN_PAUSES_SECONDS))

    async def _kill(self, nursery: trio.Nursery) -> None:
        for instance in self._pick_running(1):
            down = self._rng.uniform(*DOWN_SECONDS)
            nursery.start_soon(instance.restart, signal.SIGKILL, down)
        await trio.sleep(self._rng.uniform(*BETWEEN_STEPS_SECONDS))

    async def _send_hangups(self, nursery: trio.Nursery) -> None:
        for _ in range(self._rng.randint(*STEPS)):
            for instance in self._world.instances:
                if instance.is_up:
                    instance.change_settings()
                    instance.send(signal.SIGHUP)
            await trio.sleep(self._rng.uniform(*BETWEEN_STEPS_SECONDS))

    async def _change_limits(self, nursery: trio.Nursery) -> None:
        for _ in range(self._rng.randint(*STEPS)):
            span = self._rng.choice([IDLE_LIMITS_MS, IDLE_LIMITS_MS, LONG_LIMITS_MS])
            self._world.set_idle_limit(self._rng.randint(*span))
            await trio.sleep(self._rng.uniform(*BETWEEN_STEPS_SECONDS))

    async def _change_timeouts(self, nursery: trio.Nursery) -> None:
        for _ in range(self._rng.randint(*STEPS)):
            self._world.set_timeout(self._rng.randint(*ROUTE_TIMEOUTS_MS))
            await trio.sleep(self._rng.uniform(*BETWEEN_STEPS_SECONDS))

    async def _remove_keys(self, nursery: trio.Nursery) -> None:
        for _ in range(2):
            self._world.remove_key(self._rng)
            await trio.sleep(self._rng.uniform(*BETWEEN_STEPS_SECONDS))

    def _pick_running(self, count: int) -> list[Instance]:
        """Return up to ``count`` running instances; at least half are left running."""
        is_up = [instance for instance in self._world.instances if instance.is_up]
        spare = len(is_up) - len(self._world.instances) // 2
        return self._rng.sample(is_up, max(0, min(count, spare)))
