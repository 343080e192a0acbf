"""Report from decision logs which requests were late or lost, when, and why."""

from __future__ import annotations

__all__ = ["Cause", "Loss", "find_losses", "render_losses"]

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from ashpond.decisions.selectionlog import parse_candidate, parse_demand

Line = dict[str, Any]
# Losses are counted in time spans of this length (seconds of the logs' time).
SPAN_SECONDS = 2.0
# The wait before the last attempt is the cause of a late answer if it took more than
# this share of the objective.
MIN_WAIT_SHARE = 0.3
MAX_SHOWN_IDS = 3
UNKNOWN_KEY = 401
UNKNOWN_ROUTE = 404


class Cause(StrEnum):
    """The reason why a request was late or not served.

    If nothing else explains a late answer, its cause is what the engine had to read
    most of first: other prompts, shared parts or the request's own part. Pauses within
    an answer are not detected: the router only knows what it passes on.
    """

    WAITED_FOR_SLOT = "waited for a place"
    RETRIED = "sent more than once"
    QUEUED = "behind other prompts in the engine"
    READ_SHARED = "shared parts were read"
    READ_OWN = "its own part was read"
    BUSY = "refused: no place"
    STALE_KNOWLEDGE = "refused: knowledge too old"
    FAILED = "failed at the backend server"
    NO_END_RECORDED = "no end is recorded"


class Loss(NamedTuple):
    """A request that was late or not served; ``at`` is in seconds of the logs' time."""

    id: str
    route: str
    at: float
    cause: Cause
    is_late: bool


class _RequestHistory(NamedTuple):
    """The lines of one request: its attempts, its last end and its first line."""

    sent: list[Line]
    end: Line | None
    first: Line


def find_losses(lines: Iterable[Line]) -> tuple[list[Loss], Counter[str]]:
    """Return the requests that were late or lost, and the count of all by route.

    Requests with an unknown key or route are left out.
    """
    by_id: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if "id" in line:
            by_id[line["id"]].append(line)
    losses = []
    totals: Counter[str] = Counter()
    for request_id, request_lines in by_id.items():
        request_lines.sort(key=lambda line: line["t"])
        history = _read_history(request_lines)
        if history.end and history.end.get("status") in (UNKNOWN_KEY, UNKNOWN_ROUTE):
            continue
        route = request_lines[0].get("route", "")
        totals[route] += 1
        cause = _find_cause(history)
        if cause is not None:
            is_late = bool(history.end and history.end["event"] == "ended")
            losses.append(
                Loss(request_id, route, request_lines[0]["t"], cause, is_late)
            )
    return losses, totals


def _read_history(request_lines: list[Line]) -> _RequestHistory:
    sent = [line for line in request_lines if line["event"] == "sent"]
    ends = [
        line
        for line in request_lines
        if line["event"] in ("ended", "refused", "broken_off")
    ]
    return _RequestHistory(sent, ends[-1] if ends else None, request_lines[0])


def _find_cause(history: _RequestHistory) -> Cause | None:
    """Return why a request was late or not served, None if it was on time."""
    end = history.end
    if end is None:
        return Cause.NO_END_RECORDED
    if end["event"] != "ended":
        return _find_refusal_cause(history)
    if end["status"] >= 500:
        return Cause.FAILED
    if not history.sent or "objective" not in history.sent[-1]:
        return None
    last = history.sent[-1]
    if end.get("first_after", end["after"]) <= last["objective"]:
        return None
    if len(history.sent) > 1:
        return Cause.RETRIED
    if last["after"] > MIN_WAIT_SHARE * last["objective"]:
        return Cause.WAITED_FOR_SLOT
    return _find_reading_cause(last)


def _find_refusal_cause(history: _RequestHistory) -> Cause:
    assert history.end is not None
    if history.sent:
        return Cause.FAILED
    return Cause.STALE_KNOWLEDGE if "knowledge_age" in history.end else Cause.BUSY


def _find_reading_cause(sent: Line) -> Cause:
    """Return the cause with the most tokens that the engine had to read first."""
    demand = parse_demand(sent["demand"])
    candidates = [parse_candidate(fields) for fields in sent["candidates"]]
    chosen = next((c for c in candidates if c.id == sent["server"]), None)
    if demand.prompt is None or chosen is None:
        return Cause.QUEUED
    own_tokens = demand.prompt.parts[-1].tokens if demand.prompt.parts else 0
    available_tokens = max(sent["held"], sent["fetch"])
    parts = {
        Cause.QUEUED: chosen.load.unread_tokens,
        Cause.READ_SHARED: max(0, demand.prompt.tokens - own_tokens - available_tokens),
        Cause.READ_OWN: own_tokens,
    }
    return max(parts, key=lambda cause: parts[cause])


def render_losses(losses: list[Loss], totals: Counter[str]) -> str:
    """Return tables of the losses by route, cause and time span, with sample ids."""
    if not totals:
        return "no requests are recorded"
    lines = [f"{'route':24} {'asked':>7} {'late':>6} {'lost':>6}"]
    for route, total in sorted(totals.items()):
        late = sum(loss.route == route and loss.is_late for loss in losses)
        lost = sum(loss.route == route and not loss.is_late for loss in losses)
        lines.append(f"{route:24} {total:7d} {late:6d} {lost:6d}")
    lines.append("")
    lines.append(f"{'cause':36} {'requests':>9}  some ids, for `ashpond explain`")
    for cause, count in Counter(loss.cause for loss in losses).most_common():
        ids = [loss.id for loss in losses if loss.cause is cause][:MAX_SHOWN_IDS]
        lines.append(f"{cause:36} {count:9d}  {' '.join(ids)}")
    return "\n".join([*lines, "", *_render_spans(losses)])


def _render_spans(losses: list[Loss]) -> list[str]:
    if not losses:
        return []
    start = min(loss.at for loss in losses)
    spans: dict[int, Counter[Cause]] = defaultdict(Counter)
    for loss in losses:
        spans[int((loss.at - start) // SPAN_SECONDS)][loss.cause] += 1
    lines = [f"from second (0 is the first loss)  requests, by cause; {SPAN_SECONDS} s"]
    for span, causes in sorted(spans.items()):
        counts = ", ".join(f"{count} {cause}" for cause, count in causes.most_common())
        lines.append(f"{span * SPAN_SECONDS:8.0f} {sum(causes.values()):5d}  {counts}")
    return lines
