"""Stand-in for the platform: tables, objects, instance list and weight store."""

from __future__ import annotations

__all__ = ["build_platform"]

from typing import Any

import orjson
import trio
from quart import Response, request

from ashpond.server import make_app, read_body

DEFAULT_LIST_LAG = 0.5
WEIGHT_SECONDS = 0.3
WEIGHT_LOADS_AT_FULL_RATE = 2


class PlatformState:
    """Data that the platform stores and the faults that are switched on."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.members: dict[str, dict[str, Any]] = {}
        self.next_version = 1
        self.counts = {"reads": 0, "writes": 0}
        self.weight_loads = 0
        self.outage = False
        self.delay_seconds = 0.0
        self.lose_answers = 0
        self.list_lag = DEFAULT_LIST_LAG

    def transact(self, puts: list[dict[str, Any]]) -> dict[str, Any]:
        """Apply all puts and return their versions.

        If the version of any row differs, apply none and return those rows.
        """
        now = trio.current_time()
        conflicts = {}
        for put in puts:
            row = self.read_row(put["key"], now)
            version = row["version"] if row else 0
            if put["version"] != version:
                conflicts[put["key"]] = row
        if conflicts:
            return {"conflicts": conflicts}
        versions = []
        for put in puts:
            version = self.next_version
            self.next_version += 1
            ttl = put.get("ttl")
            expires = now + ttl if ttl else None
            self.rows[put["key"]] = {
                "value": put["value"],
                "version": version,
                "expires": expires,
            }
            versions.append(version)
        return {"versions": versions}

    def read_row(self, key: str, now: float) -> dict[str, Any] | None:
        """Return the row, or ``None`` if it is absent or has expired."""
        row = self.rows.get(key)
        if row is None or (row["expires"] is not None and row["expires"] <= now):
            return None
        return row

    def set_member(self, member: dict[str, Any]) -> None:
        """Record an instance; the list shows the change after ``list_lag`` seconds."""
        known = self.members.get(member["address"])
        previous = known["now"] if known else None
        entry = {"now": member, "before": previous, "changed": trio.current_time()}
        self.members[member["address"]] = entry

    def list_members(self) -> list[dict[str, Any]]:
        """Return the instances as they were before changes younger than the lag."""
        shown = []
        for entry in self.members.values():
            fresh = trio.current_time() - entry["changed"] < self.list_lag
            member = entry["before"] if fresh else entry["now"]
            if member is not None and member["state"] != "gone":
                shown.append(member)
        return shown


def _reply(value: Any, status: int = 200) -> Response:
    body = orjson.dumps(value)
    return Response(body, status, content_type="application/json")


def build_platform() -> Any:
    """Return the platform's application."""
    app = make_app("platform")
    state = PlatformState()

    async def apply_outage() -> Response | None:
        if state.delay_seconds:
            await trio.sleep(state.delay_seconds)
        if state.outage:
            return _reply({"error": "outage"}, 503)
        return None

    @app.before_request
    async def apply_faults() -> Response | None:
        if request.path.startswith("/control/"):
            return None
        state.counts["writes" if request.method in ("POST", "PUT") else "reads"] += 1
        return await apply_outage()

    @app.post("/tables/transact")
    async def transact() -> Response:
        puts = orjson.loads(await read_body())["puts"]
        result = state.transact(puts)
        if state.lose_answers > 0:
            state.lose_answers -= 1
            await trio.sleep_forever()
        return _reply(result, 409 if "conflicts" in result else 200)

    @app.get("/tables/row")
    async def get_row() -> Response:
        row = state.read_row(request.args["key"], trio.current_time())
        return _reply({"row": row})

    @app.get("/objects")
    async def list_objects() -> Response:
        prefix = request.args.get("prefix", "")
        return _reply([key for key in state.objects if key.startswith(prefix)])

    @app.get("/objects/<path:key>")
    async def get_object(key: str) -> Response:
        if key not in state.objects:
            return _reply({"error": "no such object"}, 404)
        return Response(state.objects[key], content_type="application/octet-stream")

    @app.put("/objects/<path:key>")
    async def put_object(key: str) -> Response:
        state.objects[key] = await read_body()
        return _reply({})

    @app.get("/instances")
    async def list_instances() -> Response:
        return _reply(state.list_members())

    @app.get("/weights/<model>/<version>")
    async def load_weights(model: str, version: str) -> Response:
        state.weight_loads += 1
        try:
            slowdown = max(1.0, state.weight_loads / WEIGHT_LOADS_AT_FULL_RATE)
            await trio.sleep(WEIGHT_SECONDS * slowdown)
        finally:
            state.weight_loads -= 1
        return _reply({"model": model, "version": version})

    @app.post("/control/instances")
    async def set_instance() -> Response:
        state.set_member(orjson.loads(await read_body()))
        return _reply({})

    @app.post("/control/faults")
    async def set_faults() -> Response:
        for name, value in orjson.loads(await read_body()).items():
            setattr(state, name, value)
        return _reply({})

    @app.get("/control/counts")
    async def get_counts() -> Response:
        return _reply(state.counts)

    return app
