"""Replies that ashpond itself generates, with errors in the documented form."""

from __future__ import annotations

__all__ = ["make_error_event", "make_json_reply", "make_refusal_reply"]

import math
from typing import Any

import orjson

from ashpond.call import Reply
from ashpond.outcomes import Refusal

JSON = "application/json"


def make_json_reply(value: Any, status: int = 200) -> Reply:
    """Return a reply whose body is ``value`` as JSON."""
    return Reply(status, {"Content-Type": JSON}, orjson.dumps(value))


def make_refusal_reply(refusal: Refusal) -> Reply:
    """Return the error reply of a refusal, with ``Retry-After`` if it is known."""
    reply = make_json_reply(describe_refusal(refusal), refusal.status)
    if refusal.retry_after is not None:
        reply.headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    return reply


def make_error_event(refusal: Refusal) -> bytes:
    """Return the server-sent event that ends a failed stream."""
    return b"event: error\ndata: " + orjson.dumps(describe_refusal(refusal)) + b"\n\n"


def describe_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON body of an error reply."""
    milliseconds = None
    if refusal.retry_after is not None:
        milliseconds = math.ceil(refusal.retry_after * 1000)
    return {
        "error": {
            "message": refusal.message,
            "type": refusal.kind,
            "code": refusal.status,
            "run": str(refusal.run),
            "retry_after_ms": milliseconds,
        }
    }
