"""Requests through separate processes: kills, pauses, cuts and lost answers.

No test depends on how fast the machine is: each waits for a state and fails only if
the state is not reached.
"""

from __future__ import annotations

import signal
import socket
import uuid
from concurrent.futures import Future

import httpx
import openai
import pytest

from tests.processes import (
    KEY,
    TIMEOUT_SECONDS,
    ask,
    call,
    count_prefilled,
    count_running,
    count_runs,
    make_body,
    read_events,
    restart,
    set_all,
    wait_for,
)
from tools.fleet import Fleet

# The last event of a stream that ends early holds the reason, in some 200 characters.
MAX_SHOWN = 400


def test_an_unmodified_client_library_gets_both_kinds_of_answer(fleet):
    url = f"http://{fleet.instances[0].address}/v1"
    client = openai.OpenAI(base_url=url, api_key="demo-key-market-desk")
    assert [model.id for model in client.models.list()] == ["bid-reader"]
    whole = client.chat.completions.create(**make_body())
    stream = client.chat.completions.create(**make_body(), stream=True)
    parts = [chunk.choices[0].delta.content for chunk in stream]
    assert "".join(parts) == whole.choices[0].message.content
    text = client.completions.create(model="bid-reader", prompt="x", max_tokens=3)
    assert len(text.choices[0].text.split()) == 3


@pytest.mark.parametrize(
    ("content", "headers", "status", "kind"),
    [
        (b"{", {}, 400, "bad_json"),
        (b"[]", {}, 400, "bad_request"),
        (b'{"model": "ghost"}', {}, 404, "unknown_service"),
        (b'{"model": "settle-pub"}', {}, 404, "unknown_service"),
        (b'{"model": "bid-reader"}', {}, 400, "bad_request"),
        (b"x" * (5 << 20), {}, 413, "request_entity_too_large"),
        (b"{}", {"Authorization": "Bearer wrong"}, 401, "unauthorized"),
        (b"{}", {"Authorization": "Basic x"}, 401, "unauthorized"),
        (None, {"Ashpond-Deadline-Ms": "0"}, 400, "bad_header"),
        (None, {"Ashpond-Deadline-Ms": "1e9"}, 400, "bad_header"),
        (None, {"Ashpond-Priority": "royal"}, 400, "bad_header"),
        (None, {"Ashpond-Prefix-Levels": "9"}, 400, "bad_header"),
        (None, {"Ashpond-Repeatable": "maybe"}, 400, "bad_header"),
        (None, {"Idempotency-Key": "x" * 300}, 400, "bad_header"),
    ],
)
def test_bad_input_gets_its_documented_error(fleet, content, headers, status, kind):
    instance = fleet.instances[0]
    url = f"http://{instance.address}/v1/chat/completions"
    given = {"json": make_body()} if content is None else {"content": content}
    response = httpx.post(url, headers=KEY | headers, **given)
    error = response.json()["error"]
    assert (response.status_code, error["type"]) == (status, kind)
    assert error["run"] == "not_run"
    assert ask(instance).status_code == 200


def test_invalid_frames_on_the_peers_port_are_refused(fleet):
    host, port = fleet.instances[0].peers.split(":")
    for junk in (b"GET / HTTP/1.1\r\n\r\n", b"\x00\x00\x00\x02\x92\x01", b"\xff" * 64):
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(junk)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(4096):
                pass
    assert ask(fleet.instances[0]).status_code == 200


def test_a_graceful_shutdown_cuts_no_stream(fleet, threads):
    instance = fleet.instances[2]
    body = make_body(stream=True, max_tokens=150)
    streams = [threads.submit(ask, instance, body) for _ in range(8)]
    wait_for(lambda: count_running(fleet) >= 8)
    instance.popen.send_signal(signal.SIGTERM)
    try:
        for stream in streams:
            text = stream.result().text
            assert read_events(text) == list(range(1, 152)), text[-MAX_SHOWN:]
        assert instance.popen.wait(TIMEOUT_SECONDS) == 0
        assert ask(fleet.instances[0]).status_code == 200
    finally:
        # Later tests need the instance even if this one fails.
        restart(fleet, 2)


def test_a_cut_stream_is_continued_without_a_gap(fleet):
    set_all(fleet, fleet.engines, cut_after=5)
    response = ask(fleet.instances[0], make_body(stream=True, max_tokens=20))
    assert read_events(response.text) == list(range(1, 22))
    set_all(fleet, fleet.engines, cut_after=0)


def test_an_answer_to_another_request_is_not_passed_on(fleet):
    expected = ask(fleet.instances[0]).json()["choices"]
    set_all(fleet, fleet.engines, cross_answers=1)
    response = ask(fleet.instances[0])
    set_all(fleet, fleet.engines, cross_answers=0)
    if response.status_code == 200:
        assert response.json()["choices"] == expected
    else:
        assert response.json()["error"]["run"] == "outcome_unknown"


def test_a_caller_resumes_its_stream_through_another_instance(fleet):
    first, second = fleet.instances[:2]
    url = f"http://{first.address}/v1/chat/completions"
    body = make_body(stream=True, max_tokens=30)
    extra_headers = KEY | {"Ashpond-Resumable": "true"}
    with httpx.stream("POST", url, json=body, headers=extra_headers) as response:
        token = response.headers["Ashpond-Stream"]
        head = next(response.iter_text())
    received = read_events(head[: head.rindex("\n\n") + 1])
    url = f"http://{second.address}/v1/streams/{token}?after={received[-1]}"
    rest = httpx.get(url, headers=KEY, timeout=TIMEOUT_SECONDS)
    assert received + read_events(rest.text) == list(range(1, 32))
    other = {"Authorization": "Bearer demo-key-auditors"}
    assert httpx.get(url, headers=other).status_code == 404
    assert httpx.get(url + "x", headers=KEY).status_code == 400
    forged = url.replace(token, token[:-2] + "xx")
    assert httpx.get(forged, headers=KEY).status_code == 404


def send_together(threads, fleet: Fleet, key: str) -> list[httpx.Response]:
    futures: list[Future[httpx.Response]] = [
        threads.submit(call, fleet.instances[n % 3], key) for n in range(9)
    ]
    return [future.result() for future in futures]


def test_one_key_through_all_instances_at_once_runs_once(fleet, threads):
    key = uuid.uuid4().hex
    answers = send_together(threads, fleet, key)
    assert count_runs(fleet, key) == 1
    for answer in answers:
        if answer.status_code != 200:
            assert answer.json()["error"]["run"] == "outcome_unknown"
    assert any(answer.status_code == 200 for answer in answers)
    replay = wait_for(lambda: get_if_ok(call(fleet.instances[1], key)))
    assert replay.json()["runs"] == 1
    assert count_runs(fleet, key) == 1


def get_if_ok(response: httpx.Response) -> httpx.Response | None:
    return response if response.status_code == 200 else None


def test_a_lost_answer_of_the_store_leads_to_no_second_run(fleet):
    key = uuid.uuid4().hex
    fleet.set_faults(fleet.platform, lose_answers=1)
    first = call(fleet.instances[0], key)
    fleet.set_faults(fleet.platform, lose_answers=0)
    assert first.status_code in (200, 503)
    wait_for(lambda: get_if_ok(call(fleet.instances[1], key)))
    assert count_runs(fleet, key) == 1


def test_without_the_store_a_keyed_call_is_not_run(fleet):
    key = uuid.uuid4().hex
    fleet.set_faults(fleet.platform, outage=True)
    refused = call(fleet.instances[0], key)
    served = ask(fleet.instances[0])
    fleet.set_faults(fleet.platform, outage=False)
    assert refused.status_code == 503
    assert refused.json()["error"]["run"] == "not_run"
    assert refused.json()["error"]["retry_after_ms"] > 0
    assert count_runs(fleet, key) == 0
    assert served.status_code == 200
    wait_for(lambda: get_if_ok(call(fleet.instances[0], key)))


def test_after_the_owner_of_a_claim_is_killed_nothing_runs_twice(fleet, threads):
    key = uuid.uuid4().hex
    set_all(fleet, fleet.services, slow_seconds=2.0)
    lost = threads.submit(call, fleet.instances[2], key)
    wait_for(lambda: count_runs(fleet, key))
    restart(fleet, 2)
    set_all(fleet, fleet.services, slow_seconds=0.0)
    with pytest.raises(httpx.HTTPError):
        lost.result()
    for instance in fleet.instances:
        answer = call(instance, key)
        assert answer.status_code == 409
        assert answer.json()["error"]["type"] == "outcome_unknown"
    assert count_runs(fleet, key) == 1


def test_after_the_owner_of_a_claim_is_paused_nothing_runs_twice(fleet, threads):
    key = uuid.uuid4().hex
    owner = fleet.instances[2]
    set_all(fleet, fleet.services, slow_seconds=1.0)
    first = threads.submit(call, owner, key)
    wait_for(lambda: count_runs(fleet, key))
    owner.popen.send_signal(signal.SIGSTOP)
    second = call(fleet.instances[0], key)
    owner.popen.send_signal(signal.SIGCONT)
    set_all(fleet, fleet.services, slow_seconds=0.0)
    assert second.json()["error"]["run"] == "outcome_unknown"
    assert first.result().status_code == 200
    assert count_runs(fleet, key) == 1


def test_a_call_that_may_not_be_repeated_is_sent_once(fleet):
    key = uuid.uuid4().hex
    set_all(fleet, fleet.services, drop_answers=1)
    url = f"http://{fleet.instances[0].address}/services/settle-pub/publish"
    extra_headers = KEY | {"X-Call-Id": key}
    answer = httpx.post(
        url, content=b"x", headers=extra_headers, timeout=TIMEOUT_SECONDS
    )
    set_all(fleet, fleet.services, drop_answers=0)
    assert answer.json()["error"]["run"] == "outcome_unknown"
    assert count_runs(fleet, key) == 1


def test_no_repeatable_call_is_lost_to_a_frozen_engine(fleet, threads):
    bodies = [
        make_body(messages=[{"role": "user", "content": f"{n} " * 400}])
        for n in range(9)
    ]
    set_all(fleet, fleet.engines[:1], frozen=True)
    answers = [
        threads.submit(ask, fleet.instances[n % 3], body)
        for n, body in enumerate(bodies)
    ]
    codes = [answer.result().status_code for answer in answers]
    set_all(fleet, fleet.engines[:1], frozen=False)
    assert codes == [200] * 9


def test_a_slow_answer_of_a_busy_engine_causes_no_retry(fleet, threads):
    """Guards against retries at another engine of calls that waited for over 2 s."""
    set_all(fleet, fleet.engines, slow=40.0)
    before = sum(count_prefilled(fleet, engine) for engine in fleet.engines)
    body = make_body(messages=[{"role": "user", "content": "slow " * 800}])
    answer = threads.submit(ask, fleet.instances[0], body | {"max_tokens": 1})
    assert answer.result().status_code == 200
    set_all(fleet, fleet.engines, slow=1.0)
    after = sum(count_prefilled(fleet, engine) for engine in fleet.engines)
    assert after - before <= 1100
