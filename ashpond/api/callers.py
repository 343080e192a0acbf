"""HTTP application for clients."""

from __future__ import annotations

__all__ = ["build_callers_app"]

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, cast

import trio
from quart import Response, request
from quart_trio.asgi import TrioASGIHTTPConnection
from werkzeug.exceptions import HTTPException

from ashpond.asgi import CLOSE_DELIMITED
from ashpond.call import Call, CallKind, Handler, Progress, Reply
from ashpond.clients.responseheads import Framing, find_framing
from ashpond.filters.authentication import find_team
from ashpond.filters.parsing import RESUMABLE_HEADER
from ashpond.outcomes import Refusal, RunState
from ashpond.replies import make_json_reply, make_refusal_reply
from ashpond.server import make_app, read_body
from ashpond.tokens import read_stream_token

if TYPE_CHECKING:
    from ashpond.controllers.configuration import ConfigurationController
    from ashpond.filters.resumption import ResumeForCaller
    from ashpond.settings import Settings

EXIT_STACK_KEY = "ashpond.exits"
CLOSE_SECONDS = 2.0
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"]
UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_REQUEST = 400
MAX_EVENT_DIGITS = 12


class CallerConnection(TrioASGIHTTPConnection):
    """Connection that releases a call's resources when its exchange ends or fails."""

    async def __call__(self, receive: Any, send: Any) -> None:
        """Serve one exchange."""
        exits = AsyncExitStack()
        cast("dict[str, Any]", self.scope)[EXIT_STACK_KEY] = exits
        try:
            await super().__call__(receive, send)
        finally:
            with trio.move_on_after(CLOSE_SECONDS, shield=True):
                await exits.aclose()


def build_callers_app(
    settings: Settings,
    configuration: ConfigurationController,
    chain: Handler,
    resume: ResumeForCaller,
    is_draining: trio.Event,
) -> Any:
    """Return the ASGI application.

    :param chain: handler of new calls.
    :param resume: handler of clients that resume a stream by its token.
    """
    app = make_app("ashpond.callers", settings.limits.max_body_bytes)
    app.asgi_http_class = CallerConnection

    async def make_call(kind: CallKind, **fields: Any) -> Call:
        body = await read_body()
        return Call(
            kind=kind,
            method=request.method,
            path=request.path,
            headers={name.lower(): value for name, value in request.headers.items()},
            body=body,
            arrived=trio.current_time(),
            exits=get_exit_stack(),
            progress=Progress(),
            **fields,
        )

    def identify_caller() -> str | None:
        header = request.headers.get("Authorization", "")
        return find_team(configuration.current, header)

    def respond(reply: Reply) -> Response:
        if is_draining.is_set():
            reply.headers["Connection"] = "close"
        if isinstance(reply.body, bytes):
            response = Response(reply.body, reply.status, reply.headers)
            if reply.is_close_delimited:
                mark_close_delimited(response)
            elif not reply.body and is_bodyless(reply.status):
                response.headers.pop("Content-Length", None)
            return response
        get_exit_stack().push_async_callback(close_body, reply.body)
        return Response(reply.body, reply.status, reply.headers)

    @app.post("/v1/chat/completions")
    async def complete_chat() -> Response:
        return respond(await chain(await make_call(CallKind.CHAT)))

    @app.post("/v1/completions")
    async def complete_text() -> Response:
        return respond(await chain(await make_call(CallKind.TEXT)))

    @app.get("/v1/models")
    async def list_models() -> Response:
        team = find_team(
            configuration.current, request.headers.get("Authorization", "")
        )
        if team is None:
            refusal = Refusal(UNAUTHORIZED, "unauthorized", "no valid bearer key")
            return respond(make_refusal_reply(refusal))
        declared = configuration.current
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "ashpond"}
            for name in declared.teams[team].services
            if declared.services[name].kind == "model"
        ]
        return respond(make_json_reply({"object": "list", "data": models}))

    @app.route("/services/<name>/<path:path>", methods=METHODS)
    async def call_service(name: str, path: str) -> Response:
        call = await make_call(CallKind.PLAIN, service_name=name)
        query = request.query_string.decode("latin-1")
        return respond(await chain(call._replace(path=f"/{path}", query=query)))

    @app.get("/v1/streams/<token>")
    async def resume_stream(token: str) -> Response:
        after = request.args.get("after", request.headers.get("Last-Event-ID", "0"))
        if not after.isdecimal() or len(after) > MAX_EVENT_DIGITS:
            text = "after must be the number of an event"
            refusal = Refusal(BAD_REQUEST, "bad_header", text)
            return respond(make_refusal_reply(refusal))
        team = find_team(
            configuration.current, request.headers.get("Authorization", "")
        )
        stream_token = read_stream_token(settings.peer_secret, token)
        if team is None or stream_token is None or stream_token.team != team:
            text = "no such stream for this team"
            return respond(
                make_refusal_reply(Refusal(NOT_FOUND, "unknown_stream", text))
            )
        call = await make_call(CallKind.CHAT)
        resumable = call.headers.get(RESUMABLE_HEADER, "").lower() == "true"
        call = call._replace(resumable=resumable)
        server = configuration.current.backend_servers.get(stream_token.server)
        if server is not None:
            service = configuration.current.services[server.service]
            call = call._replace(service_name=server.service, service=service)
        outcome = await resume(call, stream_token, int(after))
        if isinstance(outcome, Refusal):
            outcome = make_refusal_reply(outcome)
        return respond(outcome)

    @app.errorhandler(HTTPException)
    async def handle_http_error(error: HTTPException) -> Response:
        status = error.code or 500
        kind = (error.name or "error").lower().replace(" ", "_")
        text = error.description or error.name or "error"
        return respond(make_refusal_reply(Refusal(status, kind, text)))

    @app.errorhandler(Exception)
    async def handle_unexpected_error(error: Exception) -> Response:
        app.logger.exception("a call failed")
        text = "an internal error"
        unknown = RunState.OUTCOME_UNKNOWN
        return respond(make_refusal_reply(Refusal(500, "internal", text, unknown)))

    return app


def get_exit_stack() -> AsyncExitStack:
    """Return the exit stack that is closed when the current exchange ends."""
    scope = cast("dict[str, Any]", request.scope)
    exits: AsyncExitStack = scope[EXIT_STACK_KEY]
    return exits


def is_bodyless(status: int) -> bool:
    """Return whether the response has no body, whose length only its server knows."""
    return find_framing(request.method, status, []) is Framing.NO_BODY


def mark_close_delimited(response: Response) -> None:
    """Have the response end with its connection, without a length."""
    scope = cast("dict[str, Any]", request.scope)
    scope["extensions"][CLOSE_DELIMITED]["is_set"] = True
    response.headers.pop("Content-Length", None)


async def close_body(body: AsyncIterator[bytes]) -> None:
    """Close a streamed body that may not have been read completely."""
    await body.aclose()  # type: ignore[attr-defined]
