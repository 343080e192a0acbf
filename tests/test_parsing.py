"""Tests that any input results in a valid call or a documented error."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, strategies as st

from ashpond.call import Call, CallKind, Reply
from ashpond.configuration import parse_configuration
from ashpond.controllers.configuration import ConfigurationController
from ashpond.errors import ConfigError
from ashpond.filters.authentication import find_team, make_authentication
from ashpond.filters.parsing import make_parsing
from ashpond.tokens import StreamToken, make_stream_token, read_stream_token
from tests.builders import FILES, OTHER_KEY, TEAM_KEY, make_call, make_configuration


class FixedConfiguration:
    current = make_configuration()


async def parse(call: Call) -> Call | Reply:
    forwarded: list[Call] = []

    async def following(parsed: Call) -> Reply:
        forwarded.append(parsed)
        return Reply(200, {}, b"")

    reply = await make_parsing(FixedConfiguration())(call, following)  # type: ignore
    return forwarded[0] if forwarded else reply


def make_chat(**changes: object) -> bytes:
    messages = [{"role": "system", "content": "r" * 50}, {"role": "user"}]
    return orjson.dumps({"model": "reader", "messages": messages} | changes)


any_json = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=10,
)
body_fields = st.sampled_from(["model", "messages", "stream", "max_tokens", "prompt"])


@given(
    changes=st.dictionaries(body_fields, any_json, max_size=3),
    kind=st.sampled_from([CallKind.CHAT, CallKind.TEXT]),
)
async def test_any_body_is_a_call_or_an_error(changes, kind):
    outcome = await parse(make_call(kind, body=make_chat(**changes)))
    if isinstance(outcome, Reply):
        assert 400 <= outcome.status < 500
        assert orjson.loads(outcome.body)["error"]["run"] == "not_run"


@given(body=st.binary(max_size=60))
async def test_any_bytes_are_an_error(body):
    assert isinstance(await parse(make_call(body=body)), Reply)


header_names = st.sampled_from(
    [
        "ashpond-priority",
        "ashpond-deadline-ms",
        "ashpond-repeatable",
        "ashpond-prefix-levels",
        "ashpond-resumable",
        "idempotency-key",
    ]
)


@given(headers=st.dictionaries(header_names, st.text(max_size=20), max_size=3))
async def test_any_header_is_a_value_or_an_error(headers):
    call = make_call(body=make_chat(), headers=headers)
    outcome = await parse(call)
    if isinstance(outcome, Reply):
        assert outcome.status in (400, 403)
    else:
        assert call.arrived < outcome.deadline <= call.arrived + 10
        assert all(0 < end <= len(outcome.prompt) for end in outcome.level_ends)


async def test_caller_cannot_allow_retries_that_the_service_forbids():
    call = make_call(
        CallKind.PLAIN,
        service_name="booker",
        headers={"ashpond-repeatable": "true"},
    )
    parsed = await parse(call)
    assert isinstance(parsed, Call)
    assert not parsed.repeatable


async def test_service_of_another_team_looks_unknown():
    hidden = await parse(make_call(body=make_chat(model="secret")))
    absent = await parse(make_call(body=make_chat(model="absent")))
    assert isinstance(hidden, Reply)
    assert isinstance(absent, Reply)
    assert hidden.status == absent.status == 404
    assert hidden.body.replace(b"secret", b"absent") == absent.body


@given(header=st.text(max_size=60))
def test_header_without_a_valid_key_does_not_authenticate(header):
    found = find_team(FixedConfiguration.current, header)
    assert found is None or TEAM_KEY in header or OTHER_KEY in header


async def test_key_identifies_its_team():
    async def following(call: Call) -> Reply:
        return Reply(200, {}, call.team_name.encode())

    authenticate = make_authentication(FixedConfiguration())  # type: ignore
    call = make_call(headers={"authorization": f"Bearer {OTHER_KEY}"})
    assert (await authenticate(call, following)).body == b"other"


@given(text=st.text(max_size=80))
def test_any_text_is_a_configuration_or_an_error(text):
    try:
        parse_configuration(FILES | {"more.toml": text})
    except ConfigError as error:
        assert all(problem.file for problem in error.problems)


@given(text=st.text(max_size=60))
def test_unsigned_text_is_no_valid_stream_token(text):
    assert read_stream_token("s" * 16, text) is None


def test_stream_token_is_valid_only_with_its_secret():
    token = StreamToken("engine-1", "i1", "s1", "desk")
    text = make_stream_token("s" * 16, token)
    assert read_stream_token("s" * 16, text) == token
    assert read_stream_token("t" * 16, text) is None


def test_the_controller_starts_without_a_configuration():
    controller = ConfigurationController(None, 1.0)  # type: ignore
    assert controller.generation == 0
    with pytest.raises(ConfigError):
        parse_configuration({"a.toml": "["})
