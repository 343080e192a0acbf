"""Stand-in for a plain service that counts how often each call ID is run."""

from __future__ import annotations

__all__ = ["build_service"]

from typing import Any

import orjson
import trio
from quart import Response, request

from ashpond.server import make_app, read_body


def build_service(work_seconds: float = 0.005) -> Any:
    """Return an application that runs calls and counts the runs of each call ID.

    :param work_seconds: time that each call takes.
    """
    app = make_app("service")
    runs: dict[str, int] = {}
    faults: dict[str, Any] = {"drop_answers": 0, "slow_seconds": 0.0}

    @app.get("/load")
    async def load() -> Response:
        return Response(orjson.dumps({"draining": bool(faults.get("draining"))}))

    @app.get("/control/runs")
    async def get_runs() -> Response:
        return Response(orjson.dumps(runs))

    @app.post("/control/faults")
    async def set_faults() -> Response:
        faults.update(orjson.loads(await read_body()))
        return Response(b"{}")

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "PATCH", "DELETE"])
    async def run(path: str) -> Response:
        body = await read_body()
        echo = {"X-Attempt-Id": request.headers.get("X-Attempt-Id", "")}
        if faults.get("draining"):
            return Response(b"{}", 503, {"X-Not-Run": "true", **echo})
        name = request.headers.get("X-Call-Id", path)
        runs[name] = runs.get(name, 0) + 1
        await trio.sleep(work_seconds + faults["slow_seconds"])
        if faults["drop_answers"] > 0:
            faults["drop_answers"] -= 1
            await trio.sleep_forever()
        answer = {"path": path, "method": request.method, "runs": runs[name]}
        answer["received"] = len(body)
        return Response(
            orjson.dumps(answer), 200, echo, content_type="application/json"
        )

    return app
