"""An old write of a draining server is performed late and makes it ready again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.cases import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    IS_TROUBLED,
    Case,
    main,
)
from standins.http import fetch  # noqa: E402
from standins.platform import Instance  # noqa: E402

DRAIN_SECONDS = 2.0
# When the unanswered write is performed, and when the server reports that it leaves,
# both after that write was sent (seconds). The store has then been without impairment
# for longer than contact_ms.
LATE_SECONDS = 4.9
DRAIN_AFTER_SECONDS = 3.3
# How long the server serves on after its report (seconds).
LINGER_SECONDS = 2.6
WATCH_SECONDS = 2.0
REQUEST_SECONDS = 0.02
WORK_SECONDS = 0.09


def make_configuration() -> dict[str, object]:
    """Return a configuration with one route that may not be repeated."""
    route = {
        "name": "record",
        "host": "shop.example",
        "prefix": "/record/",
        "kind": "non_idempotent",
        "service": "app",
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "max_attempts": 1,
        "priority": 2,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "app", "max_conns": 110}],
        "limits": {"idle_timeout_ms": 15_000},
    }


class LateEntry(Case):
    """One run of the case."""

    requests = 0

    async def ask(self, instance: Instance) -> int:
        """Send one request and return its status, 0 for none."""
        self.requests += 1
        request_id = f"r{self.requests}"
        self.record.write("sent", id=request_id, to=instance.name)
        headers = {
            "Host": "shop.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
        }
        answer = await fetch(instance.front, "POST", "/record/1", headers, b"x" * 600)
        status = answer.status if answer else 0
        self.record.write("answered", id=request_id, status=status)
        return status

    async def send_requests(self) -> None:
        """Send requests to all instances in turn, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                for instance in self.instances:
                    tasks.create_task(self.ask(instance))
                    await asyncio.sleep(REQUEST_SECONDS)

    async def run(self) -> int:
        """Play the case; return the exit code."""
        await self.store.open()
        for number in (1, 2, 3):
            self.add_server(f"app-{number}", "app", work_seconds=WORK_SECONDS)
        for server in self.servers:
            await server.open()
        self.store.put("op", "config", make_configuration())
        if not await self.start_fleet(2):
            return COULD_NOT_RUN
        for instance in self.instances:
            if await self.ask(instance) != 200:
                return COULD_NOT_RUN
        leaver = self.servers[2]
        sending = asyncio.create_task(self.send_requests())
        await asyncio.sleep(2.0)
        if IS_TROUBLED:
            late = asyncio.create_task(leaver.write_entry_late(LATE_SECONDS))
        await asyncio.sleep(DRAIN_AFTER_SECONDS)
        leaver.drain()
        drained_at = self.record.now()
        await asyncio.sleep(LINGER_SECONDS)
        leaver.close()
        self.store.put("servers", leaver.id, None)
        self.record.write("server_left", server=leaver.id)
        await asyncio.sleep(WATCH_SECONDS)
        if IS_TROUBLED:
            await late
        sending.cancel()
        await asyncio.wait([sending])
        return self.judge(leaver.id, drained_at)

    def judge(self, leaver: str, drained_at: float) -> int:
        """Return BROKEN if a request reached the server long after it was draining."""
        runs = [x for x in self.record.list_events("run") if x["server"] == leaver]
        if not any(line["t"] < drained_at for line in runs):
            return COULD_NOT_RUN
        late = [line for line in runs if line["t"] > drained_at + DRAIN_SECONDS]
        for line in late:
            after = round(line["t"] - drained_at, 3)
            self.record.write("broken", id=line["id"], after_s=after)
        ids = {line["id"] for line in late}
        lost = [
            line["id"]
            for line in self.record.list_events("answered")
            if line["id"] in ids and line["status"] != 200
        ]
        self.record.write("verdict", reached_late=len(late), lost=lost)
        return BROKEN if late else HELD


if __name__ == "__main__":
    main(LateEntry, HERE)
