"""Stand-ins of the second review: the platform's store, and instances as processes.

The store keeps rows in memory and speaks the calls ``rows-get``, ``rows-feed`` and
``rows-tx``. Only the standard library is used.
"""

from __future__ import annotations

import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
# Python exits with 1 after an error, so that a broken rule has a code of its own;
# run.sh makes 1 of it, and 2 of every other code but 0.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10
# The longest that the instances may take to become ready (seconds).
READY_SECONDS = 30.0


class Store:
    """The platform's store: rows of all tables, and the history of their changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.history: list[dict] = []
        self.version = 0
        # The number of the drills from which the store has come back, and one more.
        self.era = 1
        self.is_away = False
        self.changed = threading.Condition()

    def copy(self) -> tuple[dict, int]:
        """Return a copy of the rows, and their version."""
        with self.changed:
            return dict(self.rows), self.version

    def come_back(self, copy: tuple[dict, int]) -> None:
        """Come back from an older copy: later writes are gone, versions go back."""
        with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.history = [r for r in self.history if r["ver"] <= self.version]
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    def go_away(self) -> None:
        """Answer nothing from now on."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def put(self, table: str, key: str, value: object) -> None:
        """Write one row as the operator or a server does; None removes it."""
        data = None if value is None else base64.b64encode(json.dumps(value).encode())
        with self.changed:
            self._apply(table, key, None if data is None else data.decode())

    def _apply(self, table: str, key: str, value: str | None) -> None:
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, key), None)
            self.history.append(row | {"removed": True})
        else:
            self.rows[table, key] = row | {"value": value}
            self.history.append(self.rows[table, key])
        self.changed.notify_all()

    def get(self, table: str, start: str) -> dict:
        """Return the rows of a table."""
        with self.changed:
            found = [r for (t, k), r in sorted(self.rows.items()) if t == table]
            rows = [row for row in found if row["key"] >= start]
            return {"rows": rows, "has_more": False} | self._stamp()

    def feed(self, table: str, after: int, wait: float) -> dict | None:
        """Return the changes of a table; None if they are no longer known."""

        def list_changes() -> list[dict]:
            return [r for r in self.history if r["table"] == table and r["ver"] > after]

        with self.changed:
            era = self.era
            if after > self.version:
                return None
            self.changed.wait_for(
                lambda: self.is_away or self.era != era or bool(list_changes()), wait
            )
            if self.era != era:
                return None
            return {"rows": list_changes()} | self._stamp()

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply all entries of a transaction, or none."""
        with self.changed:
            conflicts = []
            for wanted in body.get("precondition", []):
                row = self.rows.get((wanted["table"], wanted["key"]))
                if (row["ver"] if row else 0) != wanted["ver"]:
                    conflicts += [row] if row else []
                    return 412, {"rows": conflicts} | self._stamp()
            for row in body.get("put", []):
                self._apply(row["table"], row["key"], row["value"])
            for row in body.get("remove", []):
                self._apply(row["table"], row["key"], None)
            return 200, self._stamp()

    def _stamp(self) -> dict:
        return {"ver": self.version, "now_ms": time.monotonic() * 1000}


class QuietServer(ThreadingHTTPServer):
    """A server that prints nothing when a caller has left before its answer."""

    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Print no traceback."""


def serve_store(store: Store) -> str:
    """Serve the store on a free port; return its address."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self) -> None:  # noqa: N802
            target = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(target.query).items()}
            if target.path == "/api/rows-get":
                self.answer(200, store.get(query["table"], query.get("from", "")))
            elif target.path == "/api/rows-feed":
                wait = min(30.0, int(query["wait_ms"]) / 1000)
                after = int(query["after"])
                found = store.feed(query["table"], after, wait)
                self.answer(410 if found is None else 200, found or {})
            else:
                self.answer(404, {})

        def do_POST(self) -> None:  # noqa: N802
            body = self.rfile.read(int(self.headers["Content-Length"]))
            if store.is_away:
                self.close_connection = True
                return
            self.answer(*store.transact(json.loads(body)))

        def answer(self, status: int, body: dict) -> None:
            if store.is_away:
                self.close_connection = True
                return
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Store-Era", str(store.era))
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *args: object) -> None:
            pass

    server = QuietServer((HOST, 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"{HOST}:{server.server_address[1]}"


def end_on_sigterm() -> None:
    """Exit on SIGTERM as on an error, so that all processes are ended."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))


def find_ports(count: int) -> list[int]:
    """Return free ports."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Instance:
    """One instance, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, store: str, extra: str = "") -> None:
        callers, readiness, peers, metrics = find_ports(4)
        self.name = name
        self.callers = (HOST, callers)
        self.readiness = f"http://{HOST}:{readiness}/api/ready"
        self.path = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.path.write_text(
            f'name = "{name}"\nfailure_domain = "zone-a"\n'
            f'callers_address = "{HOST}:{callers}"\n'
            f'readiness_address = "{HOST}:{readiness}"\n'
            f'peers_address = "{HOST}:{peers}"\n'
            f'metrics_address = "{HOST}:{metrics}"\n'
            f'store_address = "{store}"\n'
            "coordinated_from = 13\nfirst_start = true\n"
            f"link_mbps = 1000.0\n{extra}\n[bounds]\n"
            "revocation_ms = 5000\ngrace_s = 8\nretry_share = 0.2\nretry_slack = 52\n"
            "retry_window_s = 10\nweights_ms = 10000\nlease_ms = 3000\n"
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["ASHPOND_NODE_FILE"] = str(self.path)
        self.process = subprocess.Popen(
            ["python3", "platform/serve.py"],
            cwd=ROOT,
            env=env,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            with urllib.request.urlopen(self.readiness, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def await_ready(self) -> None:
        """Wait until the instance is ready; exit if it takes too long."""
        until = time.monotonic() + READY_SECONDS
        while not self.is_ready():
            if time.monotonic() > until:
                print(f"{self.name} does not become ready", file=sys.stderr)
                sys.exit(COULD_NOT_RUN)
            time.sleep(0.1)

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()


class Record:
    """The record of a case, with the time since its start on each line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
            self._file.flush()


class Folder:
    """A temporary folder, removed at the end."""

    def __enter__(self) -> Path:
        """Make the folder."""
        self.path = Path(tempfile.mkdtemp(prefix="ashpond-review-"))
        return self.path

    def __exit__(self, *args: object) -> None:
        """Remove the folder."""
        shutil.rmtree(self.path, ignore_errors=True)


def make_configuration(**changes: object) -> dict:
    """Return a configuration with one route to the service ``app``."""
    route = {
        "name": "r1",
        "host": "a.example",
        "prefix": "/x/",
        "kind": "idempotent",
        "timeout_ms": 15000,
        "target_latency_ms": 5000,
        "priority": 1,
        "service": "app",
        "max_attempts": 1,
        "anonymous": True,
    }
    table = {
        "version": 1,
        "routes": [route],
        "services": [{"name": "app", "max_conns": 110}],
        "limits": {
            "max_header_bytes": 9000,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [],
    }
    return table | changes


def make_server_entry(address: str, **changes: object) -> dict:
    """Return the entry of a plain server of the service ``app``."""
    entry = {
        "service": "app",
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 16,
        "state": "ready",
        "cold_ms": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    return entry | changes
