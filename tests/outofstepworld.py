"""Instance processes of which one misses servers of a new software version."""

from __future__ import annotations

import signal
from enum import StrEnum
from pathlib import Path

import orjson
import trio

from ashpond.controllers.erarecord import FIRST_START_SECONDS
from ashpond_platform.rows import SERVERS_TABLE
from tests.servers import make_answer, read_request
from tests.soak.partitions import Partitions
from tests.streamclients import LEAVE, Target, play_stream
from tests.test_platform_store import answer_call
from tests.versionworld import VersionWorld

STREAMS = 24
# From the last answer of the store to the instance until new servers are in use at the
# others (seconds). Then streams begin.
JOINING_SECONDS = 0.9
# For how long the other instances do not answer (seconds).
SILENT_SECONDS = 1.5


class Fault(StrEnum):
    """What keeps the others from answering the instance that is out of step."""

    CUT_OFF = "cut off"
    CUT_OFF_AND_STOPPED = "cut off and stopped"
    KILLED = "others killed"


class OutOfStepWorld(VersionWorld):
    """The last instance reaches no store while servers of another version join.

    Streams begin at all other instances, and are taken up at the last one while the
    others do not answer it. Servers whose entry was removed serve on.
    """

    def __init__(self, folder: Path, instances: int = 6):
        super().__init__(folder, instances, ("v1",) * 4, event_seconds=0.1)
        self._partitions = Partitions(self._list_pids)
        self._is_store_cut = False
        self._has_left = trio.Event()

    def _list_pids(self) -> dict[str, int]:
        return {
            instance.name: instance.process.pid
            for instance in self.instances
            if instance.process is not None
        }

    async def _serve_store(self, stream: trio.SocketStream) -> None:
        """Answer calls, those of the instance that is cut off once it is not."""
        owner = self._partitions.find_owner(stream)
        try:
            while request := await read_request(stream):
                is_out = owner == self.instances[-1].name
                status, body = await answer_call(self.memory, request)
                while is_out and self._is_store_cut:
                    await trio.sleep(0.02)
                head = f"Store-Era: {self.memory.era}\r\n"
                data = orjson.dumps(body)
                await stream.send_all(make_answer(data, status=status, extra=head))
        except (trio.BrokenResourceError, OSError):
            return

    async def play(self, fault: Fault, *, has_leaving: bool) -> None:
        """Begin streams at the others, and take them up at the last instance.

        :param has_leaving: whether the entries of the first version's servers are
            removed as those of the next version join.
        """
        assert self.servers is not None
        await trio.sleep(FIRST_START_SECONDS + 1.0)
        # The instance gets its last rows now.
        self.start_server(self.servers, "v1")
        await trio.sleep(0.4)
        self._is_store_cut = True
        old = list(self.serving)
        for _ in range(4):
            self.start_server(self.servers, "v1.1")
        async with trio.open_nursery() as nursery:
            if has_leaving:
                for server_id in old:
                    self.memory.put(SERVERS_TABLE, server_id, None)
            if fault is Fault.CUT_OFF_AND_STOPPED:
                nursery.start_soon(self._stop_last)
            await trio.sleep(JOINING_SECONDS)
            await self.take_up_streams(fault)
            self._is_store_cut = False

    async def take_up_streams(self, fault: Fault) -> None:
        """Begin streams at the others, which do not answer once clients have left."""
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(self._play_stream, number)
            await self._has_left.wait()
            await self._silence_others(fault)

    async def _stop_last(self) -> None:
        self.instances[-1].send(signal.SIGSTOP)
        await trio.sleep(JOINING_SECONDS)
        self.instances[-1].send(signal.SIGCONT)

    async def _silence_others(self, fault: Fault) -> None:
        others = self.instances[:-1]
        if fault is Fault.KILLED:
            async with trio.open_nursery() as nursery:
                for instance in others:
                    nursery.start_soon(instance.restart, signal.SIGKILL, 0.2)
            await trio.sleep(SILENT_SECONDS)
            return
        for instance in others:
            instance.send(signal.SIGSTOP)
        await trio.sleep(SILENT_SECONDS)
        for instance in others:
            instance.send(signal.SIGCONT)

    async def _play_stream(self, number: int) -> None:
        last = len(self.instances) - 1

        def choose_target(tries: int) -> Target:
            if tries:
                self._has_left.set()
            instance = last if tries else number % last
            return Target(instance, self.instances[instance].address)

        name = f"n{number}"
        self.streams.append(
            await play_stream(name, LEAVE, choose_target, self.count_serving)
        )
