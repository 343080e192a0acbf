"""Instances as processes and the signals sent to them."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import trio

from tests.gateway_builders import make_settings

ROOT = Path(__file__).resolve().parent.parent.parent
# Equal to the values of production deployments.
REVOCATION_SECONDS = 5.0
GRACE_SECONDS = 4.0
FIRST_START = "first_start = true"


class SentSignal(NamedTuple):
    """One signal and when it was sent, on the clock of the soak."""

    at: float
    number: signal.Signals


class Instance:
    """One instance as a process, which may be stopped and started again."""

    def __init__(
        self,
        name: str,
        folder: Path,
        store: str,
        host: str,
        mesh_limit: int,
        coordinated_from: int = 0,
        extra_bounds: Mapping[str, float] | None = None,
        extra_settings: Mapping[str, float] | None = None,
    ):
        self.name = name
        self.path = folder / f"{name}.toml"
        self.log = (folder / f"{name}.log").open("ab")
        values = make_settings()._asdict()
        values = {name: text for name, text in values.items() if isinstance(text, str)}
        # Each soak has its own loopback addresses, so that several can run at once.
        values = {k: v.replace("127.0.0.1", host) for k, v in values.items()}
        values |= {"name": name, "store_address": store}
        bounds = {
            "revocation_ms": REVOCATION_SECONDS * 1000,
            "grace_s": GRACE_SECONDS,
            **(extra_bounds or {}),
        }
        lines = [f'{key} = "{value}"' for key, value in values.items()]
        lines.append(f"mesh_limit = {mesh_limit}")
        lines.append(f"coordinated_from = {coordinated_from}")
        lines += [f"{key} = {value}" for key, value in (extra_settings or {}).items()]
        lines.append(FIRST_START)
        lines += ["[bounds]", *(f"{key} = {value}" for key, value in bounds.items())]
        self.path.write_text("\n".join(lines))
        self.address: str = values["callers_address"]
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.answered_at = 0.0
        self.is_restarting = False
        # Whether the settings still say that no instance has served before, once the
        # instance starts again.
        self.keeps_first_start = False
        self.signals: list[SentSignal] = []
        self._changes = 0

    @property
    def is_up(self) -> bool:
        """Whether this process has answered, so that its signal handlers are set."""
        return self.answered_at > self.started_at and not self.is_restarting

    def start(self) -> None:
        """Start the process, unless it is running after another fault has ended."""
        if self.process is not None and self.process.poll() is None:
            return
        self.started_at = trio.current_time()
        if self.process is not None:
            text = self.path.read_text().replace(f"{FIRST_START}\n", "")
            prefix = f"{FIRST_START}\n" if self.keeps_first_start else ""
            self.path.write_text(prefix + text)
        self.process = subprocess.Popen(
            [sys.executable, "platform/serve.py"],
            cwd=ROOT,
            env={**os.environ, "ASHPOND_NODE_FILE": str(self.path)},
            stdout=self.log,
            stderr=self.log,
        )

    def change_settings(self) -> None:
        """Write another value of a setting that no check depends on."""
        self._changes += 1
        text = self.path.read_text()
        kept = [x for x in text.splitlines() if not x.startswith("quarantine_s")]
        kept.append(f"quarantine_s = {600 + self._changes}")
        self.path.write_text("\n".join(kept))

    def send(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.signals.append(SentSignal(trio.current_time(), signal.Signals(number)))
            self.process.send_signal(number)

    async def stop(self, number: int) -> None:
        """Send a signal and wait for the process to exit; kill it if it does not."""
        process = self.process
        self.send(signal.SIGCONT)
        self.send(number)
        with trio.move_on_after(GRACE_SECONDS + 1):
            while process is not None and process.poll() is None:
                await trio.sleep(0.02)
        if process is self.process:
            self.send(signal.SIGKILL)
        if process is not None:
            process.wait()

    async def restart(self, number: int, down_seconds: float) -> None:
        """Stop the process, wait and start it again, even if cancelled meanwhile."""
        # A stopped instance has to be started again.
        with trio.CancelScope(shield=True):
            self.is_restarting = True
            await self.stop(number)
            await trio.sleep(down_seconds)
            self.start()
            self.is_restarting = False

    def find_signal(self, number: int, since: float, until: float) -> SentSignal | None:
        """Return the first signal of this number between two times."""
        sent = (s for s in self.signals if since <= s.at <= until)
        return next((s for s in sent if s.number == number), None)

    def find_last_signal(self, until: float) -> SentSignal | None:
        """Return the last signal sent until a time."""
        return next((s for s in reversed(self.signals) if s.at <= until), None)

    def measure_stopped(self, since: float, until: float) -> float:
        """Return how many seconds between two times SIGSTOP suspended the process."""
        seconds = 0.0
        stopped_at: float | None = None
        end = SentSignal(until, signal.SIGCONT)
        for sent in [*(s for s in self.signals if s.at < until), end]:
            if sent.number == signal.SIGSTOP:
                stopped_at = sent.at if stopped_at is None else stopped_at
            elif stopped_at is not None and sent.number in RESUMING_SIGNALS:
                seconds += max(0.0, sent.at - max(stopped_at, since))
                stopped_at = None
        return seconds


RESUMING_SIGNALS = (signal.SIGCONT, signal.SIGKILL)
