"""Run a complete deployment on the loopback interface.

The platform, the engines and the services are stand-ins; each of them and each
instance is a process of its own.
"""

from __future__ import annotations

__all__ = ["Fleet", "FleetOptions", "find_ports"]

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import httpx

from tools.ports import choose_share

EXAMPLES = Path(__file__).parent.parent / "examples" / "khangai"
ADMIN_TOKEN = "fleet-admin-token-0001"
PEER_SECRET = "fleet-peer-secret-0001"
# Below the ephemeral ports (32768 and up): an outgoing connection of any process could
# take the port of one that is being restarted.
ALL_PORTS = range(4_096, 10_240)
# A port is free when it is picked, and taken once its process has started: fleets that
# start at the same time must not pick from the same ones.
LISTENING_PORTS = choose_share(ALL_PORTS, os.environ.get("PYTEST_XDIST_WORKER", ""))
_handed_out: set[int] = set()
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05
DOMAINS = ("ub-north", "ub-south", "ub-east", "ub-west")


class FleetOptions(NamedTuple):
    """The processes to start and their configuration.

    ``engine_args`` are passed to each stand-in engine. ``program`` is the command
    that runs ashpond. ``settings_lines`` are appended to each instance's settings.
    """

    instances: int = 6
    engines: int = 5
    services: int = 4
    policy: str = "ashpond"
    engine_args: tuple[str, ...] = ()
    program: tuple[str, ...] = (sys.executable, "-m", "ashpond")
    config_files: tuple[Path, ...] = (
        EXAMPLES / "priorities.toml",
        EXAMPLES / "services.toml",
        EXAMPLES / "teams.toml",
    )
    settings_lines: str = ""


class Process(NamedTuple):
    """A started process; ``admin`` and ``peers`` are empty unless it is an instance."""

    name: str
    popen: subprocess.Popen[bytes]
    address: str
    admin: str = ""
    peers: str = ""


def find_ports(count: int) -> list[int]:
    """Return ``count`` distinct free ports of the loopback address.

    A process that was given one earlier may not have taken it yet, so that all others
    are picked before it.

    :raises RuntimeError: if there are not so many.
    """
    found: list[int] = []
    unused = [port for port in LISTENING_PORTS if port not in _handed_out]
    candidates = random.sample(unused, len(unused)) + list(_handed_out)
    with contextlib.ExitStack() as stack:
        for port in candidates:
            if len(found) == count:
                _handed_out.update(found)
                return found
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                found.append(port)
    raise RuntimeError(f"no {count} free ports")


class Fleet:
    """The processes of one deployment; a context manager that stops them on exit."""

    def __init__(self, options: FleetOptions, directory: Path):
        self.options = options
        self.directory = directory
        self.platform: Process | None = None
        self.engines: list[Process] = []
        self.services: list[Process] = []
        self.instances: list[Process] = []
        self.http = httpx.Client(timeout=20, trust_env=False)

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes, apply the configuration and wait for readiness."""
        options = self.options
        self.platform = self._start_standin("platform", "platform")
        self._wait_for(f"http://{self.platform.address}/control/counts")
        extra = (*options.engine_args, "--platform", self.platform.address)
        for number in range(1, options.engines + 1):
            self.engines.append(
                self._start_standin(f"engine-{number}", "engine", *extra)
            )
        for number in range(1, options.services + 1):
            self.services.append(self._start_standin(f"settle-{number}", "service"))
        for process in (*self.engines, *self.services):
            self._wait_for(f"http://{process.address}/load")
            self.report_member_state(process.address, "backend_server", "live")
        for number in range(1, options.instances + 1):
            self.instances.append(self.start_instance(number))
        for instance in self.instances:
            self._wait_for(f"http://{instance.admin}/healthz")
        self.apply()
        self.wait_until_ready()

    def start_instance(
        self, number: int, addresses: Process | None = None, more: str = ""
    ) -> Process:
        """Start one instance.

        :param addresses: an earlier instance whose addresses are reused.
        :param more: lines to put before the other settings.
        """
        assert self.platform is not None
        if addresses is None:
            ports = find_ports(3)
            callers, admin, peers = (f"127.0.0.1:{port}" for port in ports)
        else:
            _, _, callers, admin, peers = addresses
        name = f"entry-{number}"
        path = self.directory / f"{name}.toml"
        path.write_text(
            f'{more}name = "{name}"\n'
            f'failure_domain = "{DOMAINS[(number - 1) % len(DOMAINS)]}"\n'
            f'callers_address = "{callers}"\n'
            f'admin_address = "{admin}"\n'
            f'peers_address = "{peers}"\n'
            f'platform_address = "{self.platform.address}"\n'
            f'admin_token = "{ADMIN_TOKEN}"\n'
            f'peer_secret = "{PEER_SECRET}"\n'
            f'policy = "{self.options.policy}"\n'
            f"{self.options.settings_lines}"
        )
        popen = self._spawn(name, "serve", str(path))
        self.report_member_state(peers, "instance", "live")
        return Process(name, popen, callers, admin, peers)

    def report_member_state(self, address: str, kind: str, state: str) -> None:
        """Report a state to the platform, as the scheduler of a real one would."""
        assert self.platform is not None
        member = {"address": address, "kind": kind, "state": state}
        url = f"http://{self.platform.address}/control/instances"
        self.http.post(url, json=member)

    def set_faults(self, process: Process | None, **faults: Any) -> None:
        """Set the fault options of a stand-in."""
        assert process is not None
        self.http.post(f"http://{process.address}/control/faults", json=faults)

    def render_servers_file(self) -> str:
        """Return a configuration file that declares the started backend servers."""
        parts = []
        groups = ((self.engines, "bid-reader"), (self.services, "settle-pub"))
        for processes, service in groups:
            for number, process in enumerate(processes):
                domain = DOMAINS[number % len(DOMAINS)]
                parts.append(
                    f"[backend_servers.{process.name}]\n"
                    f'service = "{service}"\n'
                    f'address = "{process.address}"\n'
                    f'failure_domain = "{domain}"\n'
                )
        return "\n".join(parts)

    def apply(self) -> None:
        """Apply the configuration with the ``apply`` command, as operators do."""
        servers = self.directory / "servers.toml"
        servers.write_text(self.render_servers_file())
        files = [str(path) for path in (*self.options.config_files, servers)]
        self.run_command("apply", *files, "--wait")

    def run_command(self, *arguments: str) -> str:
        """Run an operator command against the first instance and return its output.

        :raises RuntimeError: if the command fails.
        """
        admin = self.instances[0].admin
        environment = {"ASHPOND_ADMIN": admin, "ASHPOND_ADMIN_TOKEN": ADMIN_TOKEN}
        completed = subprocess.run(
            [*self.options.program, *arguments],
            env=os.environ | environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if completed.returncode:
            raise RuntimeError(f"{arguments}: {completed.stdout}{completed.stderr}")
        return completed.stdout

    def wait_until_ready(self) -> None:
        """Wait until each instance is ready and knows all the others.

        :raises RuntimeError: if this takes longer than the start timeout.
        """
        for instance in self.instances:
            self._wait_for(f"http://{instance.admin}/readyz")
            deadline = time.monotonic() + START_TIMEOUT_SECONDS
            while self.count_known_instances(instance) < len(self.instances):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{instance.name} does not see the others")
                time.sleep(POLL_SECONDS)

    def count_known_instances(self, instance: Process) -> int:
        """Return the number of instances that ``instance`` knows, itself included."""
        return len(self.read_status(instance)["instances"])

    def read_status(self, instance: Process) -> Any:
        """Return the status of the deployment as ``instance`` reports it."""
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        url = f"http://{instance.admin}/admin/status"
        return self.http.get(url, headers=headers).json()

    def kill(self, process: Process) -> None:
        """Kill a process of this deployment and wait for its exit."""
        process.popen.kill()
        process.popen.wait()

    def restart_engine(self, engine: Process) -> Process:
        """Restart a terminated engine at its previous address."""
        number = self.engines.index(engine)
        assert self.platform is not None
        extra = (*self.options.engine_args, "--platform", self.platform.address)
        options = ("--address", engine.address, *extra)
        popen = self._spawn(engine.name, "standin", "engine", *options)
        self.engines[number] = Process(engine.name, popen, engine.address)
        self._wait_for(f"http://{engine.address}/load")
        return self.engines[number]

    def stop(self) -> None:
        """Terminate all processes; kill those that exceed the stop timeout.

        Suspended processes are resumed first, so that they handle the signal.
        """
        started = [*self.instances, *self.services, *self.engines]
        if self.platform is not None:
            started.append(self.platform)
        for process in started:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in started:
            try:
                process.popen.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f"{process.name} did not end and is killed", file=sys.stderr)
                self.kill(process)
        self.http.close()

    def _start_standin(self, name: str, kind: str, *arguments: str) -> Process:
        address = f"127.0.0.1:{find_ports(1)[0]}"
        popen = self._spawn(name, "standin", kind, "--address", address, *arguments)
        return Process(name, popen, address)

    def _spawn(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        with open(self.directory / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [*self.options.program, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def _wait_for(self, url: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(httpx.HTTPError):
                if self.http.get(url).status_code == httpx.codes.OK:
                    return
            time.sleep(POLL_SECONDS)
        raise RuntimeError(f"{url} does not answer")
