"""A call of the callers' API that crashes every engine which runs it.

As in ``test_requests_that_crash_servers.py``, but through the callers' API: the same
chat request arrives repeatedly at all instances, and crashed engines are restarted.
"""

from __future__ import annotations

import time

from tests.processes import ask, make_body
from tools.fleet import Fleet

DEADLY = "end now"
# By then all instances know three crashes, each reported within a gossip period, and
# the state has settled.
MAX_CALLS = 40
GAP_SECONDS = 0.3


def restart_dead(fleet: Fleet) -> int:
    """Restart the engines that have crashed; return their number."""
    dead = [engine for engine in fleet.engines if engine.popen.poll() is not None]
    for engine in dead:
        fleet.set_faults(fleet.restart_engine(engine), deadly_text=DEADLY)
    return len(dead)


def test_call_that_crashed_engines_is_refused_by_all_instances(
    fleet: Fleet,
) -> None:
    for engine in fleet.engines:
        fleet.set_faults(engine, deadly_text=DEADLY)
    deadly = make_body(messages=[{"role": "user", "content": DEADLY}])
    crashes = 0
    refused: set[str] = set()
    for number in range(MAX_CALLS):
        instance = fleet.instances[number % 3]
        if ask(instance, deadly).status_code == 400:
            refused.add(instance.name)
        time.sleep(GAP_SECONDS)
        crashes += restart_dead(fleet)
        if len(refused) == len(fleet.instances):
            break
    assert len(refused) == len(fleet.instances)
    assert crashes >= 3
    for instance in fleet.instances:
        answer = ask(instance, deadly)
        assert answer.status_code == 400
        assert "retry-after" not in answer.headers
        assert answer.json()["error"]["type"] == "quarantined", answer.text
        assert ask(instance).status_code == 200
    assert restart_dead(fleet) == 0
