"""A request's history from the logs, and the replay of logged choices."""

from __future__ import annotations

import orjson
from click.testing import CliRunner

from ashpond.cli import main
from ashpond.decisions.selectionlog import describe_candidate, describe_demand
from ashpond.gateway.explanations import explain_request, read_lines, replay_choices
from tests.gateway_builders import make_candidate, make_demand, make_prompt


def make_sent(server: str, **changes: object) -> dict[str, object]:
    candidates = [
        make_candidate("a", cached_tokens=2000),
        make_candidate("b", failure_share=0.5),
    ]
    line: dict[str, object] = {
        "t": 1.0,
        "instance": "i0",
        "event": "sent",
        "id": "id-1",
        "after": 0.001,
        "server": server,
        "demand": describe_demand(make_demand(make_prompt())),
        "candidates": [describe_candidate(c) for c in candidates],
    }
    return line | changes


FAILED = {
    "t": 2.0,
    "instance": "i0",
    "event": "send_failed",
    "id": "id-1",
    "after": 1.5,
    "server": "a",
    "reason": "reset",
}
REFUSED = {
    "t": 3.0,
    "instance": "i0",
    "event": "refused",
    "id": "id-1",
    "after": 1.6,
    "status": 502,
    "reason": "reset",
}


def test_an_explanation_names_who_chose_the_server() -> None:
    """A late request's wait has to be found at the instance that decided it."""
    placed = make_sent(
        "a", coordinator="i7", shard="north", waited=0.12, forecast=0.1, candidates=[]
    )
    alone = make_sent("b", fallback="no_answer", waited=0.04, t=1.5)
    history = explain_request([placed, alone, REFUSED], "id-1")
    assert history[3:6] == [
        "=> placements:",
        "   a was chosen by the coordinator i7 of north after 0.120 s; "
        "it had estimated 0.100 s",
        "   b was chosen by i0 without a coordinator (no_answer) after 0.040 s",
    ]
    # The candidates are known to the coordinator, so nothing can be replayed.
    assert replay_choices([placed]).choices == 0


def write_log(*lines: dict[str, object]) -> str:
    return "\n".join(orjson.dumps(line).decode() for line in lines)


def test_decision_lines_are_found_among_other_text() -> None:
    text = ["12.3 node-1 " + write_log(FAILED), "no line", '{"x": 1}', "{broken"]
    assert list(read_lines(text)) == [FAILED]


def test_a_request_history_is_in_order_and_ends_with_its_cause() -> None:
    other = {**FAILED, "id": "id-2"}
    history = explain_request([REFUSED, other, FAILED, make_sent("a")], "id-1")
    for line, event in zip(history, ("sent", "send_failed", "refused"), strict=False):
        assert event in line
    assert len(history) == 4
    assert "502" in history[-1]
    assert "send_failed at a: reset" in history[-1]


def test_logged_choices_are_replayed() -> None:
    result = replay_choices([make_sent("a"), make_sent("b", id="id-2")])
    assert result.choices == 2
    assert result.changed == [("id-2", "b", "a")]


def test_the_explain_and_replay_commands() -> None:
    log = write_log(make_sent("a"), FAILED, REFUSED)
    shown = CliRunner().invoke(main, ["explain", "id-1"], input=log)
    assert shown.exit_code == 0
    assert shown.output.count("\n") == 4
    missing = CliRunner().invoke(main, ["explain", "id-9"], input=log)
    assert missing.exit_code == 1
    replayed = CliRunner().invoke(main, ["replay"], input=log)
    assert replayed.output == "1 choices, 0 would differ\n"


def test_check_settings_names_file_key_and_reason(tmp_path: object) -> None:
    path = f"{tmp_path}/node.toml"
    with open(path, "w", encoding="utf-8") as file:
        file.write('name = "i0"\nstore_address = "nowhere"\n')
    result = CliRunner().invoke(main, ["gateway", "check", path])
    assert result.exit_code == 2
    assert f"{path}: store_address" in result.output
    assert CliRunner().invoke(main, ["gateway", "check", "/none"]).exit_code == 2


def test_the_history_lists_the_servers_that_crashed_under_a_request() -> None:
    case = {"fingerprint": "f1", "t": 1.0}
    ended = {"t": 1.1, "event": "server_ended", "evidence": "refused"}
    lines = [
        make_sent("a", **case),
        FAILED,
        {**ended, "instance": "i0", "server": "a", "in_flight": ["f1", "f2"]},
        {**ended, "instance": "i3", "server": "b", "in_flight": ["f1"]},
        {**ended, "instance": "i3", "server": "c", "in_flight": ["f2"]},
        make_sent("b", fingerprint="f1", id="id-2", instance="i3"),
        {
            **case,
            "event": "request_quarantined",
            "instance": "i0",
            "servers": ["a", "b"],
            "told_by": ["i3", "own"],
        },
        {
            **case,
            "event": "refused",
            "id": "id-3",
            "instance": "i0",
            "status": 400,
        },
        {**case, "event": "request_suspected", "fingerprint": "f2", "instance": "i0"},
    ]
    history = "\n".join(explain_request(lines, "id-1"))
    assert "servers have ended under this request (f1)" in history
    assert "i0 saw a end (refused) with it and 1 others in flight" in history
    assert "i3 saw b end (refused) with it and 0 others in flight" in history
    assert "saw c end" not in history
    assert "servers=['a', 'b'] told_by=['i3', 'own']" in history
    assert "refused since: 1" in history
    assert "request_suspected" not in history


def test_the_history_names_the_prompt_part_that_a_request_was_refused_for() -> None:
    part = f"p{'f' * 24}"
    ended = {"t": 1.1, "event": "server_ended", "evidence": "refused"}
    lines = [
        {**ended, "instance": "i0", "server": "a", "in_flight": ["f1", part]},
        {**ended, "instance": "i3", "server": "b", "in_flight": ["f2", part]},
        {
            "t": 2.0,
            "event": "refused",
            "id": "id-3",
            "fingerprint": part,
            "instance": "i0",
            "status": 400,
        },
    ]
    history = "\n".join(explain_request(lines, "id-3"))
    assert f"servers have ended under a part of this prompt ({part})" in history
    assert "i3 saw b end" in history
    assert "refused since: 1" in history


def test_a_stream_is_followed_over_its_tries() -> None:
    """A client names the request that brought the first event, at any instance."""
    broken = {
        "t": 4.0,
        "instance": "i0",
        "event": "broken_off",
        "id": "id-1",
        "after": 2.0,
        "reason": "reset",
    }
    taken_up = [
        {
            "t": 5.0 + n,
            "instance": f"i{n}",
            "event": event,
            "id": f"id-{n}",
            "first_id": "id-1",
            "after": 0.01,
            "known_by": "keeper",
        }
        for n, event in ((2, "stream_origin"), (3, "stream_origin_unknown"))
    ]
    other = {**FAILED, "id": "id-4", "first_id": "id-5"}
    lines = [*taken_up, make_sent("a"), broken, other]
    for request_id in ("id-1", "id-2", "id-3"):
        history = explain_request(lines, request_id)
        headings = [line for line in history if line.startswith("=> request")]
        assert headings == [f"=> request id-{n}:" for n in (1, 2, 3)]
        assert not any("send_failed" in line for line in history)
