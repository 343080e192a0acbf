"""Parse and validate the body and headers of a call."""

from __future__ import annotations

__all__ = ["make_parsing"]

from typing import TYPE_CHECKING, Any

import orjson

from ashpond.call import Call, CallKind, Filter, Handler, Reply
from ashpond.identity import count_tokens, render_chat
from ashpond.outcomes import Refusal
from ashpond.replies import make_refusal_reply

if TYPE_CHECKING:
    from ashpond.configuration import Configuration, ServiceConfig
    from ashpond.controllers.configuration import ConfigurationController

PRIORITY_HEADER = "ashpond-priority"
DEADLINE_HEADER = "ashpond-deadline-ms"
REPEATABLE_HEADER = "ashpond-repeatable"
RESUMABLE_HEADER = "ashpond-resumable"
LEVELS_HEADER = "ashpond-prefix-levels"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
MAX_LEVELS = 16
MAX_DEADLINE_MS = 86_400_000
MAX_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 16
BAD_REQUEST = 400
FORBIDDEN = 403
NOT_FOUND = 404
FLAGS = {"true": True, "false": False}


class _InvalidCall(Exception):
    """A call that is refused; raised and caught within this module only."""

    def __init__(self, status: int, kind: str, message: str):
        self.refusal = Refusal(status, kind, message)
        super().__init__(message)


def make_parsing(configuration: ConfigurationController) -> Filter:
    """Return the filter that parses a call, or refuses an invalid one."""

    async def parse(call: Call, following: Handler) -> Reply:
        try:
            parsed = parse_call(call, configuration.current)
        except _InvalidCall as error:
            return make_refusal_reply(error.refusal)
        call.progress.service = parsed.service_name
        return await following(parsed)

    return parse


def parse_call(call: Call, configuration: Configuration) -> Call:
    """Return the call with the fields that its body and headers give.

    :raises _InvalidCall: if a part of the call is invalid or not allowed to the team.
    """
    if call.kind is not CallKind.PLAIN:
        call = _parse_body(call)
    call = _find_service(call, configuration)
    assert call.service is not None
    call = _parse_headers(call, configuration, call.service)
    if call.kind is not CallKind.PLAIN:
        call = _parse_prompt(call)
    return call


def _parse_body(call: Call) -> Call:
    try:
        payload = orjson.loads(call.body)
    except orjson.JSONDecodeError as error:
        raise _InvalidCall(
            BAD_REQUEST, "bad_json", f"the body is not JSON: {error}"
        ) from error
    if not isinstance(payload, dict):
        raise _InvalidCall(BAD_REQUEST, "bad_request", "the body must be an object")
    model = payload.get("model")
    if not isinstance(model, str):
        raise _InvalidCall(BAD_REQUEST, "bad_request", "model must be a string")
    streamed = payload.get("stream", False)
    if not isinstance(streamed, bool):
        raise _InvalidCall(BAD_REQUEST, "bad_request", "stream must be true or false")
    return call._replace(payload=payload, service_name=model, streamed=streamed)


def _find_service(call: Call, configuration: Configuration) -> Call:
    assert call.team is not None
    expected_kind = "plain" if call.kind is CallKind.PLAIN else "model"
    service = configuration.services.get(call.service_name)
    # A service that the team may not use gets the same answer as an unknown one, so
    # that the answer does not disclose its name.
    is_allowed = call.service_name in call.team.services
    if service is None or service.kind != expected_kind or not is_allowed:
        text = f"no {expected_kind} service {call.service_name!r:.80} for this team"
        raise _InvalidCall(NOT_FOUND, "unknown_service", text)
    return call._replace(service=service)


def _parse_headers(
    call: Call, configuration: Configuration, service: ServiceConfig
) -> Call:
    key = call.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
        text = f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
        raise _InvalidCall(BAD_REQUEST, "bad_header", text)
    # A caller may forbid retries, but not allow them where the service forbids them.
    repeatable = _read_flag(call.headers, REPEATABLE_HEADER, True)
    bound = _read_deadline(call.headers, service.deadline_seconds)
    return call._replace(
        priority=_read_priority(call, configuration),
        deadline=call.arrived + bound,
        # A call with an idempotency key runs at most once, so it is not retried.
        repeatable=repeatable and service.repeatable and key is None,
        resumable=_read_flag(call.headers, RESUMABLE_HEADER, False),
        idempotency_key=key,
    )


def _read_priority(call: Call, configuration: Configuration) -> str:
    assert call.team is not None
    default = call.team.default_priority or call.team.priorities[0]
    name = call.headers.get(PRIORITY_HEADER, default)
    if name not in configuration.priorities:
        raise _InvalidCall(BAD_REQUEST, "bad_header", f"no priority {name!r:.80}")
    if name not in call.team.priorities:
        text = f"the team may not use priority {name!r:.80}"
        raise _InvalidCall(FORBIDDEN, "forbidden_priority", text)
    return name


def _read_flag(headers: dict[str, str], name: str, default: bool) -> bool:
    value = headers.get(name)
    if value is None:
        return default
    if value.lower() not in FLAGS:
        raise _InvalidCall(BAD_REQUEST, "bad_header", f"{name} must be true or false")
    return FLAGS[value.lower()]


def _read_deadline(headers: dict[str, str], default: float) -> float:
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return default
    if not value.isascii() or not value.isdigit():
        raise _InvalidCall(
            BAD_REQUEST, "bad_header", "Ashpond-Deadline-Ms must be a number"
        )
    if not 0 < int(value[:12]) <= MAX_DEADLINE_MS:
        text = f"Ashpond-Deadline-Ms must be from 1 to {MAX_DEADLINE_MS}"
        raise _InvalidCall(BAD_REQUEST, "bad_header", text)
    return min(default, int(value) / 1000)


def _parse_prompt(call: Call) -> Call:
    assert call.payload is not None
    if call.kind is CallKind.CHAT:
        prompt, message_ends = _read_messages(call.payload)
    else:
        prompt, message_ends = _read_text(call.payload), []
    levels = _read_levels(call, prompt, message_ends)
    max_tokens = _read_max_tokens(call.payload)
    return call._replace(
        prompt=prompt,
        level_ends=tuple(levels),
        prompt_tokens=count_tokens(prompt),
        max_tokens=max_tokens,
    )


def _read_messages(payload: dict[str, Any]) -> tuple[str, list[int]]:
    messages = payload.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _InvalidCall(
            BAD_REQUEST, "bad_request", "messages must be a list with entries"
        )
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _InvalidCall(BAD_REQUEST, "bad_request", "each message needs a role")
        if not isinstance(message.get("content"), str | list | None):
            text = "each message's content must be text or a list of parts"
            raise _InvalidCall(BAD_REQUEST, "bad_request", text)
    return render_chat(messages)


def _read_text(payload: dict[str, Any]) -> str:
    prompt = payload.get("prompt")
    if not isinstance(prompt, str):
        raise _InvalidCall(BAD_REQUEST, "bad_request", "prompt must be a string")
    return prompt


def _read_levels(call: Call, prompt: str, message_ends: list[int]) -> list[int]:
    """Return where the prompt's prefix levels end, as offsets in characters.

    The header counts messages for a chat and characters for a text prompt.
    """
    value = call.headers.get(LEVELS_HEADER)
    if value is None:
        return message_ends[-MAX_LEVELS:]
    parts = value.split(",")
    if len(parts) > MAX_LEVELS or not all(p.strip().isdecimal() for p in parts):
        text = f"Ashpond-Prefix-Levels: up to {MAX_LEVELS} numbers"
        raise _InvalidCall(BAD_REQUEST, "bad_header", text)
    numbers = [int(part.strip()[:12]) for part in parts]
    limit = len(message_ends) if call.kind is CallKind.CHAT else len(prompt)
    if numbers != sorted(numbers) or numbers[0] < 1 or numbers[-1] > limit:
        text = f"Ashpond-Prefix-Levels must ascend from 1 to at most {limit}"
        raise _InvalidCall(BAD_REQUEST, "bad_header", text)
    if call.kind is CallKind.CHAT:
        return [message_ends[number - 1] for number in numbers]
    return numbers


def _read_max_tokens(payload: dict[str, Any]) -> int:
    value = payload.get("max_completion_tokens", payload.get("max_tokens"))
    if value is None:
        return DEFAULT_MAX_TOKENS
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 < value <= MAX_TOKENS:
        text = f"max_tokens must be from 1 to {MAX_TOKENS}"
        raise _InvalidCall(BAD_REQUEST, "bad_request", text)
    return int(value)
