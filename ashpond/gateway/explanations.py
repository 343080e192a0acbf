"""Explain a request, and replay choices of servers, from decision log lines."""

from __future__ import annotations

__all__ = ["ReplayResult", "explain_request", "read_lines", "replay_choices"]

import random
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

import orjson

from ashpond.decisions.fingerprints import is_part
from ashpond.decisions.selection import choose_server, estimate_seconds
from ashpond.decisions.selectionlog import parse_candidate, parse_demand

Line = dict[str, Any]
# The outcome of a request by its last event.
OUTCOMES = {
    "ended": "the answer of a backend server was forwarded completely",
    "refused": "the router refused it",
    "broken_off": "the answer was broken off, so that the client sees it",
}
HIDDEN_FIELDS = ("t", "instance", "event", "id", "candidates", "demand", "places")
# Events on the quarantine of a request; they name its fingerprint, not an id.
QUARANTINE_EVENTS = (
    "request_suspected",
    "request_held",
    "request_contested",
    "request_quarantined",
    "request_free",
    "request_cleared",
)
QUARANTINED_STATUS = 400
# Among servers whose estimates differ by less than this the choice is random.
TIE_SECONDS = 0.0021


def read_lines(lines: Iterable[str]) -> Iterator[Line]:
    """Yield the decision lines among ``lines`` and skip the others.

    A log collector may have put a prefix before the opening brace.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            value = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(value, dict) and "event" in value:
            yield value


def explain_request(lines: Iterable[Line], request_id: str) -> list[str]:
    """Return the history of one request in order, with its cause as the last line.

    If clients took up a stream again, the history is that of all its tries. If servers
    have crashed under the request, these crashes come before the cause, including those
    that other instances logged or that happened under other ids.
    """
    lines = list(lines)
    tries = _find_tries(lines, request_id)
    own_lines = []
    quarantine_lines = []
    for line in lines:
        if line.get("id") in tries:
            own_lines.append(line)
        if line["event"] in QUARANTINE_EVENTS or _is_crash(line) or _is_refusal(line):
            quarantine_lines.append(line)
    own_lines.sort(key=_get_time)
    history = []
    for number, line in enumerate(own_lines):
        is_first = number == 0 or own_lines[number - 1]["id"] != line["id"]
        if is_first and len(tries) > 1:
            history.append(f"=> request {line['id']}:")
        history.append(_describe(line))
    if own_lines:
        history += _describe_placements(own_lines)
        history += _describe_crashes(quarantine_lines, _find_fingerprint(own_lines))
        history.append(_summarize(own_lines))
    return history


def _find_tries(lines: Iterable[Line], request_id: str) -> set[str]:
    """Return the ids of the requests that began and took up the same stream."""
    first_ids = {line["id"]: line["first_id"] for line in lines if line.get("first_id")}
    first_id = first_ids.get(request_id, request_id)
    return {request_id, first_id} | {n for n, f in first_ids.items() if f == first_id}


def _get_time(line: Line) -> float:
    return line.get("t", 0)


def _is_crash(line: Line) -> bool:
    return line["event"] == "server_ended"


def _is_refusal(line: Line) -> bool:
    return line["event"] == "refused" and line.get("status") == QUARANTINED_STATUS


def _find_fingerprint(own_lines: Sequence[Line]) -> str | None:
    """Return the fingerprint that a request was refused for, else its own."""
    refusals = [line for line in own_lines if _is_refusal(line)]
    found = (line.get("fingerprint") for line in [*refusals, *own_lines])
    return next((fingerprint for fingerprint in found if fingerprint), None)


def _describe_crashes(lines: Iterable[Line], fingerprint: str | None) -> list[str]:
    """Return the crashes under a request, their reporters and its quarantine."""
    if fingerprint is None:
        return []
    history = []
    refused = 0
    for line in sorted(lines, key=_get_time):
        if _is_crash(line) and fingerprint in line.get("in_flight", ()):
            count = len(line["in_flight"])
            history.append(
                f"   {line['instance']} saw {line['server']} end ({line['evidence']}) "
                f"with it and {count - 1} others in flight"
            )
        elif line.get("fingerprint") != fingerprint:
            continue
        elif line["event"] in QUARANTINE_EVENTS:
            fields = {k: line.get(k) for k in ("servers", "told_by", "reason")}
            details = " ".join(f"{k}={v}" for k, v in fields.items() if v)
            history.append(f"   {line['instance']} {line['event']} {details}")
        else:
            refused += 1
    if history:
        what = "a part of this prompt" if is_part(fingerprint) else "this request"
        history.insert(0, f"=> servers have ended under {what} ({fingerprint}):")
        history.append(f"   refused since: {refused}")
    return history


def _describe_placements(own_lines: Iterable[Line]) -> list[str]:
    """Return who chose each server, after which wait and which estimate of it."""
    history = []
    for line in own_lines:
        if line["event"] != "sent" or "waited" not in line:
            continue
        waited = f"after {line['waited']:.3f} s"
        if "coordinator" in line:
            shard = line.get("shard") or "the whole service"
            history.append(
                f"   {line['server']} was chosen by the coordinator "
                f"{line['coordinator']} of {shard} {waited}; "
                f"it had estimated {line['forecast']:.3f} s"
            )
        else:
            history.append(
                f"   {line['server']} was chosen by {line['instance']} without a "
                f"coordinator ({line.get('fallback')}) {waited}"
            )
    if history:
        history.insert(0, "=> placements:")
    return history


def _describe(line: Line) -> str:
    after = line.get("after")
    offset = f"+{after * 1000:7.1f} ms" if after is not None else " " * 11
    fields = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in HIDDEN_FIELDS and key != "after" and value is not None
    )
    return f"{offset}  {line.get('instance', '')}  {line['event']:14} {fields}"


def _summarize(own_lines: list[Line]) -> str:
    last = own_lines[-1]
    outcome = OUTCOMES.get(last["event"], "no end is recorded; the line may be lost")
    reasons = [
        f"{line['event']} at {line['server']}: {line.get('reason', line.get('status'))}"
        for line in own_lines
        if line["event"] in ("send_failed", "not_run_there", "stream_broken")
    ]
    if last.get("reason"):
        reasons.append(str(last["reason"]))
    cause = "; ".join(reasons) if reasons else "no attempt failed"
    return f"=> {outcome} (status {last.get('status')}): {cause}"


class ReplayResult(NamedTuple):
    """The number of logged choices, and those that differ when replayed.

    ``changed`` lists the request id, the logged server and the replayed server.
    """

    choices: int
    changed: list[tuple[str, str, str]]


def replay_choices(lines: Iterable[Line]) -> ReplayResult:
    """Repeat the logged choices of servers with the current function."""
    count = 0
    changed = []
    for line in lines:
        # A coordinator's choice has no candidates in this instance's log.
        if line["event"] != "sent" or not line.get("candidates"):
            continue
        count += 1
        demand = parse_demand(line["demand"])
        candidates = [parse_candidate(fields) for fields in line["candidates"]]
        chosen = choose_server(candidates, demand, random.Random(0))
        if chosen is None:
            changed.append((line["id"], line["server"], "none"))
            continue
        logged = next((c for c in candidates if c.id == line["server"]), None)
        if logged is None:
            changed.append((line["id"], line["server"], chosen.id))
            continue
        excess_seconds = estimate_seconds(logged, demand) - estimate_seconds(
            chosen, demand
        )
        if excess_seconds > TIE_SECONDS:
            changed.append((line["id"], line["server"], chosen.id))
    return ReplayResult(count, changed)
