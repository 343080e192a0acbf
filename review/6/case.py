"""Replace the instance that orders weights while the store comes back from a copy.

Exits with ``BROKEN`` if one engine gets orders of two instances within ``lease_ms``.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from platform_standins import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST,
    Folder,
    Instance,
    QuietServer,
    Record,
    Store,
    end_on_sigterm,
    make_configuration,
    make_server_entry,
    serve_store,
)

LEASE_SECONDS = 3.0
LOAD_SECONDS = 0.8
MODEL = "m1"
ENGINES = 5
# How long the store is away, and when the new machine starts after the old one is
# lost (seconds).
AWAY_SECONDS = 0.4
REPLACED_AFTER = 1.0
# How long orders are awaited after the replacement (seconds).
WATCHED_SECONDS = 8.0


class Order(NamedTuple):
    """An order that has reached an engine."""

    at: float
    engine: str
    holder: str
    fence: int
    version: int


class Engine:
    """An engine that takes orders and reports its state."""

    def __init__(self, name: str, store: Store, orders: list[Order], record: Record):
        self.name = name
        self.version = 1
        self.seq = 0
        self.busy = False
        self.address = ""
        self._store = store
        self._orders = orders
        self._record = record
        self._born = int(time.time() * 1000)
        self._entries = 0
        self._lock = threading.Lock()

    def serve(self) -> None:
        """Serve on a free port and write the entry."""
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:  # noqa: N802
                if self.path == "/api/report":
                    self.answer(200, engine.report())
                else:
                    self.answer(404, {})

            def do_POST(self) -> None:  # noqa: N802
                body = self.rfile.read(int(self.headers["Content-Length"]))
                self.answer(engine.take_order(json.loads(body)), {})

            def answer(self, status: int, body: dict) -> None:
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *args: object) -> None:
                pass

        server = QuietServer((HOST, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.address = f"{HOST}:{server.server_address[1]}"
        self.write_entry()

    def _list_models(self) -> list[dict]:
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def write_entry(self) -> None:
        """Write the entry, as after each change and after the store's return."""
        self._entries += 1
        entry = make_server_entry(
            self.address,
            slots=64,
            stage="colocated",
            models=self._list_models(),
            seq=self._entries,
            born=self._born,
        )
        self._store.put("servers", self.name, entry)

    def report(self) -> dict:
        """Return the state."""
        return {
            "stage": "colocated",
            "models": self._list_models(),
            "busy": self.busy,
            "seq": self.seq,
            "queued": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "born": self._born,
        }

    def take_order(self, body: dict) -> int:
        """Take an order; return the status."""
        holder, fence = body["holder"], body["fencing_token"]
        order = Order(time.monotonic(), self.name, holder, fence, body["version"])
        with self._lock:
            if self.busy or body.get("precondition", self.seq) != self.seq:
                status = 409
            elif self.version == body["version"]:
                status = 200
            else:
                status = 202
                self.busy = True
                self.seq += 1
                threading.Thread(target=self._load, args=(order.version,)).start()
            self._record.note(f"{self.name}: {order[2:]}, status {status}")
            self._orders.append(order)
        return status

    def _load(self, version: int) -> None:
        time.sleep(LOAD_SECONDS)
        with self._lock:
            self.version = version
            self.busy = False
        if not self._store.is_away:
            self.write_entry()


def name_version(store: Store, version: int) -> None:
    """Name new weights, as the operator does."""
    store.put("op", f"version/{MODEL}", {"model": MODEL, "version": version})


def make_engine_configuration() -> dict:
    """Return a configuration with the engines' service."""
    models = [{"name": MODEL}]
    engine = {"slots": 64, "kv_capacity_tokens": 90_000, "models": models}
    services = [{"name": "app", "max_conns": 370, "engine": engine}]
    return make_configuration(services=services)


def find_turn(orders: list[Order]) -> str | None:
    """Return where an engine had orders of two holders within the bound, if any."""
    for engine in {order.engine for order in orders}:
        own = [order for order in orders if order.engine == engine]
        for before, after in zip(own, own[1:], strict=False):
            gap = after.at - before.at
            if before.holder != after.holder and gap < LEASE_SECONDS:
                return f"{engine}: {before.holder}, {gap:.3f} s later {after.holder}"
    return None


def play(
    record: Record, folder: Path, *, has_trouble: bool, is_replaced: bool
) -> list[Order]:
    """Play the case; return the orders.

    :param has_trouble: whether the holder is lost and the store comes back.
    :param is_replaced: whether only the holder is lost.
    """
    store = Store()
    orders: list[Order] = []
    store.put("op", "config", make_engine_configuration())
    engines = [Engine(f"i-e{n}", store, orders, record) for n in range(1, ENGINES + 1)]
    for engine in engines:
        engine.serve()
    address = serve_store(store)
    instances = [Instance(f"front-a-{n}", folder, address) for n in (1, 2)]
    new = Instance("front-a-3", folder, address)
    new.path.write_text(new.path.read_text().replace("first_start = true\n", ""))
    try:
        for instance in instances:
            instance.start()
        for instance in instances:
            instance.await_ready()
        time.sleep(2.0)
        copy = store.copy()
        record.note("the copy of the store is made")
        time.sleep(1.5)
        name_version(store, 2)
        record.note("operator: names version 2")
        until = time.monotonic() + 10
        while not orders and time.monotonic() < until:
            time.sleep(0.005)
        if not orders:
            sys.exit(COULD_NOT_RUN)
        lost_at = time.monotonic()
        holder = next(i for i in instances if i.name == orders[0].holder)
        if has_trouble or is_replaced:
            time.sleep(0.05)
            holder.send(signal.SIGKILL)
            record.note(f"platform: {holder.name} is lost for good")
        if has_trouble:
            store.go_away()
            time.sleep(AWAY_SECONDS)
            store.come_back(copy)
            record.note("the store is back from the copy")
            for engine in engines:
                engine.write_entry()
            name_version(store, 2)
        time.sleep(max(0.0, lost_at + REPLACED_AFTER - time.monotonic()))
        name_version(store, 3)
        record.note(f"operator: names version 3; {new.name} starts")
        new.start()
        time.sleep(WATCHED_SECONDS)
    finally:
        for instance in [*instances, new]:
            instance.stop()
    return orders


def main() -> None:
    """Run the case."""
    end_on_sigterm()
    record = Record(FOLDER / "record.txt")
    with Folder() as folder:
        trouble = os.environ.get("TROUBLE", "1")
        orders = play(
            record,
            folder,
            has_trouble=trouble not in ("0", "replacement"),
            is_replaced=trouble == "replacement",
        )
    turn = find_turn(orders)
    record.note("the rule held" if turn is None else f"ONE is broken: {turn}")
    sys.exit(HELD if turn is None else BROKEN)


if __name__ == "__main__":
    main()
