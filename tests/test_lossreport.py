"""The loss report finds late and lost requests in decision logs, with their causes."""

from __future__ import annotations

from typing import Any

from click.testing import CliRunner

from ashpond.cli import main
from ashpond.decisions.loads import Load
from ashpond.decisions.selectionlog import describe_candidate, describe_demand
from ashpond.lossreport import Cause, find_losses
from tests.gateway_builders import make_candidate, make_demand, make_prompt
from tests.test_explanations import write_log


def make_sent(**changes: Any) -> dict[str, Any]:
    load = Load(3, changes.pop("unread", 0))
    line = {
        "t": 1.0,
        "event": "sent",
        "id": "id-1",
        "route": "r1",
        "after": 0.001,
        "server": "a",
        "objective": 0.6,
        "held": 2000,
        "fetch": 0,
        "demand": describe_demand(make_demand(make_prompt())),
        "candidates": [describe_candidate(make_candidate("a", load=load))],
    }
    return line | changes


def make_end(event: str = "ended", **changes: Any) -> dict[str, Any]:
    line = {"t": 2.0, "event": event, "id": "id-1", "route": "r1", "after": 1.0}
    return line | {"status": 200} | changes


def find_cause(*lines: dict[str, Any]) -> Cause | None:
    losses, totals = find_losses(lines)
    assert totals["r1"] == 1
    return losses[0].cause if losses else None


def test_an_answer_on_time_is_no_loss() -> None:
    assert find_cause(make_sent(), make_end(first_after=0.5)) is None


def test_a_late_answer_has_the_largest_part_as_its_cause() -> None:
    late = make_end(first_after=0.7)
    assert find_cause(make_sent(unread=5000), late) is Cause.QUEUED
    assert find_cause(make_sent(held=0), late) is Cause.READ_SHARED
    assert find_cause(make_sent(), late) is Cause.READ_OWN
    assert find_cause(make_sent(after=0.3), late) is Cause.WAITED_FOR_SLOT
    assert find_cause(make_sent(), make_sent(t=1.2), late) is Cause.RETRIED


def test_each_request_that_was_not_served_has_a_cause() -> None:
    refused = make_end("refused", status=503)
    assert find_cause(refused) is Cause.BUSY
    assert find_cause(refused | {"knowledge_age": 4.0}) is Cause.STALE_KNOWLEDGE
    assert find_cause(make_sent(), refused | {"status": 502}) is Cause.FAILED
    assert find_cause(make_sent(), make_end(status=500)) is Cause.FAILED
    assert find_cause(make_sent()) is Cause.NO_END_RECORDED


def test_requests_of_an_unknown_route_are_left_out() -> None:
    assert find_losses([make_end("refused", status=404)]) == ([], {})


def test_the_command_shows_causes_and_ids() -> None:
    text = write_log(make_sent(unread=5000), make_end(first_after=0.7))
    result = CliRunner().invoke(main, ["report", "losses"], input=text)
    assert result.exit_code == 0
    assert "behind other prompts in the engine" in result.output
    assert "id-1" in result.output
