"""Run a call with an idempotency key at most once across all instances."""

from __future__ import annotations

__all__ = ["make_idempotency"]

import hashlib
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import msgpack

from ashpond.call import Call, Filter, Handler, Reply
from ashpond.decisions.claims import Replay
from ashpond.outcomes import Refusal, RunState
from ashpond.replies import make_refusal_reply

if TYPE_CHECKING:
    from ashpond.controllers.claims import Claim, ClaimsController
    from ashpond.metrics import Metrics

CONFLICT = 409
REPLAY_HEADER = "Ashpond-Replayed"


def make_idempotency(claims: ClaimsController, metrics: Metrics) -> Filter:
    """Return the filter that claims a call's key before the call is sent."""

    async def claim_once(call: Call, following: Handler) -> Reply:
        if call.idempotency_key is None:
            return await following(call)
        assert call.service is not None
        ttl = call.service.claim_retention_seconds
        claim = await claims.claim(make_claim_key(call), digest_call(call), ttl)
        if isinstance(claim, Refusal):
            metrics.refusals.inc({"kind": claim.kind})
            return make_refusal_reply(claim)
        if isinstance(claim, Replay):
            return make_replay_reply(claim.answer)
        return await run_claimed(call, claim, following)

    async def run_claimed(call: Call, claim: Claim, following: Handler) -> Reply:
        try:
            reply = await following(call._replace(claim_attempt=claim.attempt))
        except BaseException:
            release_if_not_run(call, claim)
            raise
        if call.progress.run is not RunState.RUN:
            release_if_not_run(call, claim)
            return reply
        if isinstance(reply.body, bytes):
            # Duplicates must not get as whole what may have broken off.
            is_kept = not reply.is_close_delimited
            claims.finish(claim, pack_reply(reply, reply.body) if is_kept else b"")
            return reply
        return reply._replace(body=record_stream(call, claim, reply, reply.body))

    def release_if_not_run(call: Call, claim: Claim) -> None:
        # A call whose outcome is unknown keeps its claim, so that it never runs again.
        if call.progress.run is RunState.NOT_RUN:
            claims.release(claim)

    async def record_stream(
        call: Call, claim: Claim, reply: Reply, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        parts = []
        try:
            async for part in body:
                parts.append(part)
                yield part
        finally:
            # The caller may disconnect right after the end event, before the engine
            # closes the stream, so the end event decides whether the answer is whole.
            if call.progress.is_whole:
                claims.finish(claim, pack_reply(reply, b"".join(parts)))
            await body.aclose()  # type: ignore[attr-defined]

    return claim_once


def make_claim_key(call: Call) -> str:
    """Return the table key of a call's claim."""
    scope = "\x1f".join([call.team_name, call.service_name])
    digest = hashlib.sha256(f"{scope}\x1f{call.idempotency_key}".encode())
    return f"claim/{digest.hexdigest()}"


def digest_call(call: Call) -> str:
    """Return a digest that tells apart different requests under the same key."""
    head = f"{call.method} {call.path}?{call.query}\n".encode()
    return hashlib.sha256(head + call.body).hexdigest()


def pack_reply(reply: Reply, body: bytes) -> bytes:
    """Return the stored form of a whole answer."""
    packed: bytes = msgpack.packb([reply.status, reply.headers, body])
    return packed


def make_replay_reply(answer: bytes) -> Reply:
    """Return the stored answer to a duplicate."""
    if not answer:
        text = "the request has run, but its answer was not kept"
        refusal = Refusal(CONFLICT, "answer_not_kept", text, RunState.RUN)
        return make_refusal_reply(refusal)
    status, headers, body = msgpack.unpackb(answer)
    return Reply(status, headers | {REPLAY_HEADER: "true"}, body)
