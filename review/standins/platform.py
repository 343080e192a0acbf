"""The platform: starts instances with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

from standins.http import fetch

ROOT = Path(__file__).resolve().parent.parent.parent
# The bounds of the site hinokuni-book.
BOUNDS = """
[bounds]
revocation_ms = 5000
grace_s = 8
retry_share = 0.2
retry_slack = 52
retry_window_s = 10
weights_ms = 10000
lease_ms = 3000
"""


class Record:
    """The record of a case: one JSON object a line, with seconds since its start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields: Any) -> None:
        """Add a line."""
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self.lines.append(line)
        print(json.dumps(line), file=self._file, flush=True)

    def list_events(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one kind."""
        return [line for line in self.lines if line["event"] == event]


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Instance:
    """One instance: its settings, and its present process."""

    def __init__(
        self, name: str, folder: Path, store: str, *, is_first_start: bool
    ) -> None:
        ports = find_free_ports("127.0.0.1", 4)
        front, ready, peers, metrics = (f"127.0.0.1:{port}" for port in ports)
        self.name = name
        self.front = front
        self.ready = ready
        self._log = (folder / f"{name}.log").open("ab")
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            f'name = "{name}"\n'
            'failure_domain = "zone-a"\n'
            f'callers_address = "{front}"\n'
            f'readiness_address = "{ready}"\n'
            f'peers_address = "{peers}"\n'
            f'metrics_address = "{metrics}"\n'
            f'store_address = "{store}"\n'
            "coordinated_from = 13\n"
            f"first_start = {json.dumps(is_first_start)}\n"
            "link_mbps = 1000.0\n"
            "memory_mb = 300\n" + BOUNDS
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ASHPOND_NODE_FILE": str(self._settings),
        }
        self.process = subprocess.Popen(
            shlex.split(deploy["roles"]["router"]["run"]),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    async def ask_readiness(self) -> int:
        """Ask whether the instance is ready, as the platform does; 0 for no answer."""
        answer = await fetch(
            self.ready, "GET", "/api/ready", {"Host": self.ready}, timeout=1.0
        )
        return 0 if answer is None else answer.status

    async def wait_until_up(self, seconds: float = 20.0) -> bool:
        """Wait until the process answers, ready or not; return whether it did."""
        return await self._wait_for_readiness((200, 503), seconds)

    async def wait_until_ready(self, seconds: float = 20.0) -> bool:
        """Wait for readiness; return whether it came in time."""
        return await self._wait_for_readiness((200,), seconds)

    async def _wait_for_readiness(
        self, statuses: tuple[int, ...], seconds: float
    ) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.ask_readiness() in statuses:
                return True
            await asyncio.sleep(0.05)
        return False

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the process to end; return its exit code, None if it runs on."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.process is not None:
            code = self.process.poll()
            if code is not None:
                return code
            await asyncio.sleep(0.01)
        return None

    def kill(self) -> None:
        """End the process, whatever it does."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self._log.close()
