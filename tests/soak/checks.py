"""What no run of the soak may break."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from tests.soak.clients import PATIENCE_SECONDS, STAY_SECONDS, Ending, Seen
from tests.soak.faults import ROUTE_TIMEOUTS_MS
from tests.soak.instances import GRACE_SECONDS, REVOCATION_SECONDS, Instance
from tests.soak.servers import EVENTS, Run, make_body, make_event
from tests.soak.statements import find_overruns

if TYPE_CHECKING:
    from tests.soak.world import World

LEAST_SERVED = 0.9
# Harm before a request may still act: pieces that were held back, open breakers.
UNHARMED_BEFORE_SECONDS = 1.0
# Instances keep this back from the grace period for the end of the process.
GRACE_MARGIN_SECONDS = 0.4


def check(world: World, settled: float) -> list[str]:
    """Return what was broken in a play that has ended."""
    broken = [f for seen in world.seen for f in _check_one(world, seen)]
    broken += find_lost(world)
    broken += find_overruns(world)
    if settled < LEAST_SERVED:
        broken.append(f"only {settled:.2f} served after the faults")
    return broken


def find_lost(world: World) -> list[str]:
    """Return a line on each request that a server got and nobody answered."""
    return [_describe(world, seen) for seen in world.seen if _is_lost(world, seen)]


def _check_one(world: World, seen: Seen) -> list[str]:
    runs = world.ledger.runs.get(seen.request_id, [])
    broken = []
    if any(run.key_leaked for run in runs):
        broken.append(f"{seen.request_id}: a server saw the key")
    if seen.kind == "once" and len(runs) > 1:
        broken.append(f"{seen.request_id}: ran {len(runs)} times")
    if seen.status in (408, 421, 429, 503) and seen.kind == "once" and runs:
        broken.append(f"{seen.request_id}: answered {seen.status} but ran")
    if seen.status == 200 and seen.is_whole:
        expected = make_body(seen.request_id)
        if seen.kind == "stream":
            expected = b"".join(make_event(n) for n in range(1, EVENTS + 1))
        if seen.body != expected:
            broken.append(f"{seen.request_id}: another answer than its own")
    removed_at = world.removed_keys.get(seen.key, float("inf"))
    if runs and seen.sent_at > removed_at + REVOCATION_SECONDS:
        broken.append(f"{seen.request_id}: ran with a key removed long before")
    return broken


def _is_lost(world: World, seen: Seen) -> bool:
    """Whether a request was passed on and then not answered, without an excuse.

    A request that crossed a close and reached no server is not lost: its client
    knows that it may send it again.
    """
    runs = world.ledger.runs.get(seen.request_id, [])
    instance = world.find_instance(seen.way.instance)
    if seen.is_whole or not runs or instance is None:
        return False
    return not (
        _was_harmed(world, seen, runs[-1])
        or _may_instance_fail(seen, instance)
        or _may_stream_be_cut(seen)
    )


def _was_harmed(world: World, seen: Seen, run: Run) -> bool:
    proxy = world.server_proxies[run.server_id]
    since = seen.sent_at - UNHARMED_BEFORE_SECONDS
    return proxy.was_harmed(since, seen.ended_at)


def _may_instance_fail(seen: Seen, instance: Instance) -> bool:
    sent_at, ended_at = seen.sent_at, seen.ended_at
    if instance.find_sent(signal.SIGKILL, sent_at, ended_at):
        return True
    if instance.measure_stopped(sent_at, ended_at) > PATIENCE_SECONDS:
        return True
    last_word = ended_at - STAY_SECONDS
    if seen.ending is Ending.GIVEN_UP and instance.measure_stopped(last_word, ended_at):
        # Stopped at the time for its refusal.
        return True
    term = instance.find_sent(signal.SIGTERM, seen.way.life_began_at, ended_at)
    grace = GRACE_SECONDS - GRACE_MARGIN_SECONDS
    return term is not None and ended_at >= term.at + grace


def _may_stream_be_cut(seen: Seen) -> bool:
    """Whether a limit may have run out after the head, when no refusal can follow."""
    elapsed = seen.ended_at - seen.sent_at
    return bool(seen.status) and elapsed >= ROUTE_TIMEOUTS_MS[0] / 1000


def _describe(world: World, seen: Seen) -> str:
    runs = world.ledger.runs[seen.request_id]
    instance = world.find_instance(seen.way.instance)
    assert instance is not None
    last = instance.find_last(seen.ended_at)
    begun = world.begun_at
    signalled = f"{last.number.name} at {last.at - begun:.3f}" if last else "none"
    way = seen.way
    term = instance.find_sent(signal.SIGTERM, way.life_began_at, seen.ended_at)
    leaving = f"{seen.ended_at - term.at:.3f} after SIGTERM" if term else "not leaving"
    return (
        f"LOST seed {world.seed} {seen.request_id} ({seen.kind}) on {instance.name}: "
        f"sent {seen.sent_at - begun:.3f}, ran {runs[-1].at - begun:.3f}, "
        f"{seen.ending} {seen.ended_at - begun:.3f} with status {seen.status}, "
        f"idle before {way.idle_before:.3f} of {way.idle_limit}, "
        f"{way.uses} uses before, last signal: {signalled}, {leaving}, "
        f"life from {way.life_began_at - begun:.3f}"
    )
