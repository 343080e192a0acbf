"""Guarantees that every run of the soak has to keep."""

from __future__ import annotations

import signal
from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

from ashpond.gateway.settings import GatewayBounds
from tests.soak.clients import (
    EXTRA_WAIT_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
    Ending,
    Outcome,
)
from tests.soak.departures import find_departure_violations
from tests.soak.directives import find_directive_violations
from tests.soak.endless import find_endless_violations
from tests.soak.faults import ROUTE_TIMEOUTS_MS
from tests.soak.histories import read_history
from tests.soak.instances import GRACE_SECONDS, REVOCATION_SECONDS, Instance
from tests.soak.parts import find_part_violations
from tests.soak.servers import EVENTS, Run, make_body, make_event
from tests.soak.versions import find_version_violations

if TYPE_CHECKING:
    from tests.soak.world import World

LEAST_SERVED = 0.9
# The instances run with the default retry budget.
BOUNDS = GatewayBounds()
# Harm done before a request may still affect it: delayed data, open circuit breakers.
UNHARMED_BEFORE_SECONDS = 1.0
# Part of the grace period that instances reserve for shutting down the process.
GRACE_MARGIN_SECONDS = 0.4
# A request sent later than this after SIGTERM must not be cut at the end of the grace
# period (seconds).
LATEST_EXCUSED_SECONDS = 3.0


def check(world: World, settled: float) -> list[str]:
    """Return the violations found in a run that has ended.

    :param settled: Share of requests served after the faults have ended.
    """
    broken = [f for outcome in world.outcomes for f in _check_one(world, outcome)]
    broken += [
        "\n".join([line, *read_history(world, outcome.request_id)])
        for outcome, line in _list_lost(world)
    ]
    broken += find_directive_violations(world)
    broken += find_version_violations(world)
    broken += find_part_violations(world)
    broken += find_departure_violations(world)
    broken += find_endless_violations(world)
    broken += find_budget_violations(world)
    if settled < LEAST_SERVED:
        broken.append(f"only {settled:.2f} served after the faults")
    return broken


def find_budget_violations(world: World) -> list[str]:
    """Return a line if servers got more repeats in a window than are allowed.

    The requests are counted in the window of the repeats, the one before it or the one
    half a window before, whichever has most.
    """
    first: dict[str, float] = {}
    repeated = []
    for arrival in sorted(world.ledger.arrivals):
        if arrival.request_id in first:
            repeated.append(arrival.at)
        first.setdefault(arrival.request_id, arrival.at)
    begun = sorted(first.values())
    window = BOUNDS.retry_window_s
    for index, until in enumerate(repeated):
        since = until - window
        count = index + 1 - bisect_left(repeated, since)
        requests = max(
            bisect_right(begun, until - shift) - bisect_left(begun, since - shift)
            for shift in (0, window / 2, window)
        )
        allowed = BOUNDS.retry_share * requests + BOUNDS.retry_slack
        if count > allowed:
            return [f"{count} repeats in a window, {allowed:.0f} allowed"]
    return []


def find_lost(world: World) -> list[str]:
    """Return a line for each request that reached a server but got no answer."""
    return [line for _, line in _list_lost(world)]


def _list_lost(world: World) -> list[tuple[Outcome, str]]:
    return [
        (outcome, _describe(world, outcome))
        for outcome in world.outcomes
        if _is_lost(world, outcome)
    ]


def _check_one(world: World, outcome: Outcome) -> list[str]:
    runs = world.ledger.runs.get(outcome.request_id, [])
    broken = []
    if any(run.key_leaked for run in runs):
        broken.append(f"{outcome.request_id}: a server saw the key")
    if outcome.kind == "once" and len(runs) > 1:
        broken.append(f"{outcome.request_id}: ran {len(runs)} times")
    if outcome.status in (408, 421, 429, 503) and outcome.kind == "once" and runs:
        broken.append(f"{outcome.request_id}: answered {outcome.status} but ran")
    if outcome.status == 200 and outcome.is_whole:
        expected = make_body(outcome.request_id)
        if outcome.kind == "stream":
            expected = b"".join(make_event(n) for n in range(1, EVENTS + 1))
        if outcome.body != expected and not _may_be_short(world, outcome, expected):
            broken.append(f"{outcome.request_id}: another answer than its own")
    removed_at = world.removed_keys.get(outcome.key, float("inf"))
    if runs and outcome.sent_at > removed_at + REVOCATION_SECONDS:
        broken.append(f"{outcome.request_id}: ran with a key removed long before")
    return broken


def _may_be_short(world: World, outcome: Outcome, expected: bytes) -> bool:
    """Return whether a plain answer may be torn: its server ended it without a length.

    Its client then has to see no more than the end of the connection. A stream that is
    torn inside an event must not look complete at all.
    """
    is_torn = outcome.request_id in world.ledger.torn and not outcome.is_proven
    return is_torn and outcome.kind != "stream" and expected.startswith(outcome.body)


def _is_lost(world: World, outcome: Outcome) -> bool:
    """Return whether a forwarded request got no answer without an excusing fault.

    A request that met a closing connection and reached no server is not lost: its
    client knows that a retry is safe.
    """
    runs = world.ledger.runs.get(outcome.request_id, [])
    instance = world.find_instance(outcome.connection.instance)
    if outcome.is_whole or not runs or instance is None:
        return False
    if outcome.request_id in world.ledger.torn:
        return False
    if world.partitions.was_cut(
        instance.name, outcome.sent_at - UNHARMED_BEFORE_SECONDS, outcome.ended_at
    ):
        return False
    return not (
        _was_harmed(world, outcome, runs[-1])
        or _may_instance_fail(outcome, instance)
        or _may_stream_be_cut(outcome)
    )


def _was_harmed(world: World, outcome: Outcome, run: Run) -> bool:
    proxy = world.server_proxies[run.server_id]
    since = outcome.sent_at - UNHARMED_BEFORE_SECONDS
    return proxy.was_harmed(since, outcome.ended_at)


def _may_instance_fail(outcome: Outcome, instance: Instance) -> bool:
    sent_at, ended_at = outcome.sent_at, outcome.ended_at
    if instance.find_signal(signal.SIGKILL, sent_at, ended_at):
        return True
    if instance.measure_stopped(sent_at, ended_at) > REQUEST_TIMEOUT_SECONDS:
        return True
    refusal_since = ended_at - EXTRA_WAIT_SECONDS
    if outcome.ending is Ending.GIVEN_UP and instance.measure_stopped(
        refusal_since, ended_at
    ):
        # The instance was stopped when it had to send the refusal.
        return True
    term = instance.find_signal(
        signal.SIGTERM, outcome.connection.process_started_at, ended_at
    )
    if term is None or sent_at > term.at + LATEST_EXCUSED_SECONDS:
        return False
    return ended_at >= term.at + GRACE_SECONDS - GRACE_MARGIN_SECONDS


def _may_stream_be_cut(outcome: Outcome) -> bool:
    """Return whether the route timeout may have passed after the response head.

    No refusal can be sent then.
    """
    elapsed = outcome.ended_at - outcome.sent_at
    return bool(outcome.status) and elapsed >= ROUTE_TIMEOUTS_MS[0] / 1000


def _describe(world: World, outcome: Outcome) -> str:
    runs = world.ledger.runs[outcome.request_id]
    instance = world.find_instance(outcome.connection.instance)
    assert instance is not None
    last = instance.find_last_signal(outcome.ended_at)
    begun = world.faults_started_at
    signalled = f"{last.number.name} at {last.at - begun:.3f}" if last else "none"
    connection = outcome.connection
    term = instance.find_signal(
        signal.SIGTERM, connection.process_started_at, outcome.ended_at
    )
    leaving = (
        f"{outcome.ended_at - term.at:.3f} after SIGTERM" if term else "not leaving"
    )
    return (
        f"LOST seed {world.seed} {outcome.request_id} ({outcome.kind}) "
        f"on {instance.name}: "
        f"sent {outcome.sent_at - begun:.3f}, "
        f"{''.join(f'ran {r.at - begun:.3f} on {r.server_id}, ' for r in runs)}"
        f"{outcome.ending} {outcome.ended_at - begun:.3f} "
        f"with status {outcome.status}, "
        f"idle before {connection.idle_before:.3f} of {connection.idle_limit}, "
        f"{connection.uses} uses before, last signal: {signalled}, {leaving}, "
        f"life from {connection.process_started_at - begun:.3f}"
    )
