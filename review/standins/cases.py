"""What all cases share: their parts, their record, and the end of all processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

from standins.platform import Instance, Record
from standins.servers import Server
from standins.store import Store

# With TROUBLE=0 a case does the same without the disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
# Python exits with 1 after an error, so that a broken rule has a code of its own;
# run.sh makes 1 of it, and 2 of every other code but 0.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10


class Case:
    """One run of a case: a store, servers and instances, and what they do."""

    def __init__(self, folder: Path, record: Record):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.instances: list[Instance] = []
        self.servers: list[Server] = []

    async def run(self) -> int:
        """Play the case; return the exit code."""
        raise NotImplementedError

    def add_server(self, server_id: str, service: str, **options: Any) -> Server:
        """Return another server, which does not run yet."""
        server = Server(self.store, server_id, service, self.record, **options)
        self.servers.append(server)
        return server

    def start_instance(self, name: str, *, is_first_start: bool) -> Instance:
        """Start another instance."""
        address = self.store.listener.address
        instance = Instance(name, self.folder, address, is_first_start=is_first_start)
        self.instances.append(instance)
        instance.start()
        self.record.write("started", instance=name)
        return instance

    async def start_fleet(self, count: int) -> bool:
        """Start the first instances; return whether all are ready."""
        for number in range(1, count + 1):
            self.start_instance(f"front-{number}", is_first_start=True)
        return all([await i.wait_until_ready() for i in self.instances])

    def close(self) -> None:
        """End all that was started."""
        for instance in self.instances:
            instance.kill()
        for server in self.servers:
            server.close()
        self.store.close()


async def _play(make_case: type[Case], path: Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        case = make_case(Path(folder), Record(path / "record.txt"))
        try:
            return await case.run()
        except asyncio.CancelledError:
            return COULD_NOT_RUN
        finally:
            case.close()


def main(make_case: type[Case], path: Path) -> None:
    """Play a case, write its record to a folder, and exit with its code."""
    sys.exit(asyncio.run(_play(make_case, path)))
