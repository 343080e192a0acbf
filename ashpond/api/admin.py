"""HTTP application for operators and for the platform's probes.

All paths except the probes and the metrics require the admin token. The application
reports state and applies configurations; it changes no running component directly.
"""

from __future__ import annotations

__all__ = ["build_admin_app"]

import hmac
import resource
from typing import TYPE_CHECKING, Any

import orjson
import trio
from quart import Response, request

from ashpond.decisions.generations import Accepted, Rejected
from ashpond.errors import ConfigError
from ashpond.outcomes import Unavailable
from ashpond.server import make_app, read_body

if TYPE_CHECKING:
    from ashpond.clients.platform import PlatformClient
    from ashpond.controllers.burn import BurnController
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.controllers.engines import EnginesController, ServerState
    from ashpond.controllers.members import MembersController
    from ashpond.metrics import Metrics
    from ashpond.settings import Settings

PUBLIC_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
MAX_APPLY_ID_CHARACTERS = 64


def build_admin_app(
    settings: Settings,
    configuration: ConfigurationController,
    members: MembersController,
    engines: EnginesController,
    burn: BurnController,
    platform: PlatformClient,
    metrics: Metrics,
    is_draining: trio.Event,
) -> Any:
    """Return the ASGI application."""
    app = make_app("ashpond.admin", settings.limits.max_body_bytes)

    @app.before_request
    async def check_token() -> Response | None:
        if request.path in PUBLIC_PATHS:
            return None
        given = request.headers.get("Authorization", "").encode()
        expected = f"Bearer {settings.admin_token}".encode()
        if hmac.compare_digest(given, expected):
            return None
        return reply({"error": "the admin token is missing or wrong"}, 401)

    @app.get("/healthz")
    async def check_health() -> Response:
        return reply({"state": "alive"})

    @app.get("/readyz")
    async def check_ready() -> Response:
        if is_draining.is_set():
            return reply({"state": "leaving"}, 503)
        if not configuration.ready.is_set():
            return reply({"state": "no configuration yet"}, 503)
        return reply({"state": "ready", "generation": configuration.generation})

    @app.get("/metrics")
    async def show_metrics() -> Response:
        metrics.generation.set({}, configuration.generation)
        metrics.store.set({"kind": "read"}, platform.reads)
        metrics.store.set({"kind": "write"}, platform.writes)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        metrics.processor.set({}, usage.ru_utime + usage.ru_stime)
        body, headers = metrics.render(request.headers.get("Accept", ""))
        return Response(body, 200, headers)

    @app.get("/admin/status")
    async def show_status() -> Response:
        own: dict[str, Any] = {"name": settings.name, "address": settings.peers_address}
        own |= {"state": str(members.state), "generation": configuration.generation}
        others = members.table.list_others(trio.current_time())
        listed = [describe_member(fact.origin, fact.body) for fact in others]
        return reply(
            {
                "instances": [own, *listed],
                "servers": [describe_server(s) for s in engines.servers.values()],
                "teams": sorted(configuration.current.teams),
                "services": sorted(configuration.current.services),
            }
        )

    @app.get("/admin/configuration")
    async def show_configuration() -> Response:
        shown = {"generation": configuration.generation, "files": configuration.files}
        return reply(shown)

    @app.post("/admin/apply")
    async def apply() -> Response:
        problem, change = parse_apply(await read_body())
        if problem:
            return reply({"error": problem}, 400)
        try:
            outcome = await configuration.apply(*change)
        except ConfigError as error:
            problems = [str(problem) for problem in error.problems]
            return reply({"error": "the files hold faults", "problems": problems}, 422)
        if isinstance(outcome, Accepted):
            members.update_own_fact()
            members.announce()
            return reply({"generation": outcome.generation})
        if isinstance(outcome, Rejected):
            text = (
                f"based on generation {outcome.base}, but {outcome.current} is in force"
            )
            conflict = {"error": text, "base": outcome.base, "current": outcome.current}
            return reply(conflict, 409)
        return reply({"error": outcome.reason}, 503)

    @app.get("/admin/burn")
    async def show_burn() -> Response:
        rows = await burn.report()
        if isinstance(rows, Unavailable):
            return reply({"error": rows.reason}, 503)
        return reply({"rows": [row._asdict() for row in rows]})

    return app


def reply(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(value), status, content_type="application/json")


def parse_apply(body: bytes) -> tuple[str, tuple[Any, int | None, str]]:
    """Parse the body of an apply request.

    :returns: what is wrong with it, empty if nothing; and its files, base and id.
    """
    no_change: tuple[Any, int | None, str] = ({}, None, "")
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return f"the body is not JSON: {error}", no_change
    if not isinstance(value, dict):
        return "the body must be an object", no_change
    files, base = value.get("files"), value.get("base")
    apply_id = value.get("apply_id")
    if not isinstance(files, dict) or not files:
        return "files must be an object with entries", no_change
    if not all(isinstance(text, str | None) for text in files.values()):
        return "each file must be text, or null to remove it", no_change
    if base is not None and (not isinstance(base, int) or isinstance(base, bool)):
        return "base must be a generation", no_change
    if (
        not isinstance(apply_id, str)
        or not 0 < len(apply_id) <= MAX_APPLY_ID_CHARACTERS
    ):
        return (
            f"apply_id must have 1 to {MAX_APPLY_ID_CHARACTERS} characters",
            no_change,
        )
    return "", (files, base, apply_id)


def describe_member(origin: str, body: dict[str, Any]) -> dict[str, Any]:
    """Return the status entry of another instance."""
    return {
        "name": body.get("name", ""),
        "address": origin,
        "state": body.get("state", ""),
        "generation": body.get("generation", 0),
    }


def describe_server(state: ServerState) -> dict[str, Any]:
    """Return the status entry of a backend server."""
    report = state.report
    return {
        "name": state.name,
        "service": state.config.service,
        "failure_domain": state.config.failure_domain,
        "state": describe_health(state),
        "running": report.running if report else len(state.in_flight),
        "waiting": report.waiting if report else 0,
        "weights": report.weights if report else "",
        "loading": report.loading if report else "",
        "fence": report.fence if report else 0,
        "checks_fencing": state.config.checks_fencing,
        "cached_blocks_known": len(state.view),
    }


def describe_health(state: ServerState) -> str:
    """Return a server's state in one word."""
    if state.health.draining:
        return "leaving"
    if state.health.ejected_until > trio.current_time():
        return "ejected"
    return "usable" if state.health.is_usable(trio.current_time()) else "silent"
