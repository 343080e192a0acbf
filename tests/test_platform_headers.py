"""Tests of decoding and writing the platform's request and answer headers."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, strategies as st

from ashpond.decisions.prompts import PromptPart
from ashpond.decisions.selectionlog import describe_demand
from ashpond.gateway.calls import Instructions
from ashpond_platform.headers import read_answer_headers, read_envelope, write_headers
from tests.gateway_builders import make_demand

REQUEST = [
    (b"Host", b"jepu9.example"),
    (b"X-Request-Id", b"9c41d07be2a35f68"),
    (b"X-Model", b"m1"),
    (b"X-Token-Counts", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"X-Deadline-Ms", b"5000"),
    (b"Authorization", b"Token secret"),
    (b"X-Own", b"kept"),
]
# Headers that the router sets itself; a client's value must never reach a server.
SET_BY_ROUTER = [
    b"X-Tenant",
    b"X-Expect-Instance",
    b"X-Expect-Version",
    b"X-Cache-Salt",
    b"X-Request-Urgency",
    b"X-Kv-Fetch",
    b"X-Kv-Save",
    b"X-Kv-Backup",
    b"Kv-From",
    b"X-Pin-Ms",
    b"X-Hold",
    b"X-Not-Executed",
]
INSTRUCTIONS = Instructions("i-1", "desk", 1.5, "salt", 3, 12, "7", "a:1", "b:2")


def test_request_headers_are_decoded() -> None:
    envelope = read_envelope(REQUEST)
    assert envelope.request_id == "9c41d07be2a35f68"
    assert envelope.timeout == 5.0
    assert envelope.key == "secret"
    assert envelope.prompt.tokens == 1460
    assert envelope.prompt.max_output_tokens == 80
    assert envelope.prompt.parts[1] == PromptPart("91bd3f06", 410)


@pytest.mark.parametrize(
    ("headers", "resumes", "is_continuation"),
    [
        ([], None, False),
        ([(b"Last-Event-Id", b"")], None, False),
        ([(b"Last-Event-Id", b"4")], None, True),
        ([(b"Resumes", b"9c41")], "9c41", True),
        ([(b"resumes", b" 9c41 "), (b"Last-Event-Id", b"4")], "9c41", True),
        ([(b"Resumes", b"")], "", True),
        ([(b"Resumes", b"9c41"), (b"RESUMES", b"9c41")], "9c41", True),
        ([(b"Resumes", b"9c41"), (b"Resumes", b"9c42")], "", True),
        ([(b"Resumes", "\xe9".encode("latin-1"))], "\xe9", True),
    ],
)
def test_the_stream_that_a_client_takes_up_is_decoded(
    headers: list[tuple[bytes, bytes]], resumes: str | None, is_continuation: bool
) -> None:
    envelope = read_envelope([*REQUEST, *headers])
    assert envelope.resumes == resumes
    assert envelope.is_continuation is is_continuation


def test_the_clients_key_is_not_forwarded() -> None:
    headers = write_headers(read_envelope(REQUEST), INSTRUCTIONS)
    assert b"secret" not in b"".join(value for _, value in headers)


@pytest.mark.parametrize("name", SET_BY_ROUTER)
@pytest.mark.parametrize("change", [bytes.lower, bytes.upper])
def test_a_clients_value_of_the_routers_headers_is_dropped(
    name: bytes, change: object
) -> None:
    envelope = read_envelope([*REQUEST, (change(name), b"forged")])
    headers = write_headers(envelope, INSTRUCTIONS)
    assert (b"forged") not in [value for _, value in headers]


def test_prompt_headers_and_other_headers_are_forwarded_unchanged() -> None:
    headers = write_headers(read_envelope(REQUEST), INSTRUCTIONS)
    for name in (b"X-Model", b"X-Token-Counts", b"X-Prompt-Prefix", b"X-Own"):
        assert headers.count((name, dict(REQUEST)[name])) == 1


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    request = [*REQUEST, (b"Connection", b"keep-alive, X-Own"), (b"TE", b"trailers")]
    names = [name for name, _ in read_envelope(request).headers]
    assert b"X-Own" not in names
    assert b"TE" not in names


def test_instructions_are_written() -> None:
    headers = dict(write_headers(read_envelope(REQUEST), INSTRUCTIONS))
    assert headers[b"x-expect-instance"] == b"i-1"
    assert headers[b"x-tenant"] == b"desk"
    assert headers[b"x-deadline-ms"] == b"1500"
    assert headers[b"x-cache-salt"] == b"salt"
    assert headers[b"x-expect-version"] == b"3"
    assert headers[b"x-request-urgency"] == b"9"
    assert headers[b"last-event-id"] == b"7"
    assert headers[b"x-kv-fetch"] == b"a:1"
    assert headers[b"x-kv-save"] == b"b:2"


@pytest.mark.parametrize("counts", [b"", b"x,1", b"1,y"])
def test_a_prompt_that_cannot_be_read_is_none(counts: bytes) -> None:
    request = [(n, v) for n, v in REQUEST if n != b"X-Token-Counts"]
    assert read_envelope([*request, (b"X-Token-Counts", counts)]).prompt is None


def test_a_request_without_id_is_none() -> None:
    assert read_envelope(REQUEST[2:]) is None


def test_answer_headers_are_decoded() -> None:
    answer = read_answer_headers(
        [(b"x-weight-versions", b"4"), (b"x-not-executed", b"1")]
    )
    assert (answer.weights_version, answer.is_not_run) == (4, True)
    assert read_answer_headers([(b"x-weight-versions", b"odd")]).weights_version is None


@pytest.mark.parametrize("text", ["\u00b2", "9" * 30, "-1", "", "1.0", "9" * 5000])
def test_a_version_that_is_no_number_of_64_bits_is_ignored(text: str) -> None:
    """``str.isdigit`` accepts a superscript two, but ``int`` raises an error for it.

    An instance that did not check for this crashed on such a header.
    """
    answer = read_answer_headers([(b"x-weight-versions", text.encode("latin-1"))])
    assert answer.weights_version is None


@pytest.mark.parametrize("counts", ["9" * 30 + ",1", "-5,1", "1,-5", "9" * 4000 + ",1"])
def test_impossible_token_counts_are_ignored(counts: str) -> None:
    """A number of 30 digits does not fit in the 64 bits of logs and messages.

    If it is accepted, writing the log and the updates to other instances fails, and
    the instance crashes.
    """
    headers = [(b"x-request-id", b"i"), (b"x-model", b"m")]
    headers.append((b"x-token-counts", counts.encode()))
    envelope = read_envelope(headers)
    assert envelope is not None
    assert envelope.prompt is None


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [b"x-deadline-ms", b"x-token-counts", b"x-prompt-prefix", b"x-model"]
            ),
            st.binary(max_size=12) | st.sampled_from([b"nan", b"inf", b"1,2", b"a:1"]),
        )
    )
)
def test_any_headers_of_a_client_can_be_logged(
    headers: list[tuple[bytes, bytes]],
) -> None:
    envelope = read_envelope([(b"x-request-id", b"i"), *headers])
    assert envelope is not None
    orjson.dumps(describe_demand(make_demand(envelope.prompt)))
    allowed = min(4.0, 4.0 if envelope.timeout is None else envelope.timeout)
    assert allowed <= 4.0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [b"x-weight-versions", b"x-instance-id", b"x-not-executed"]
            ),
            st.binary(max_size=12),
        )
    )
)
def test_any_headers_of_a_server_can_be_decoded(
    headers: list[tuple[bytes, bytes]],
) -> None:
    version = read_answer_headers(headers).weights_version
    assert version is None or 0 <= version < 10**18


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], (None, False)),
        ([b"1.5"], (1.5, False)),
        ([b" 0 "], (0.0, False)),
        ([b".25"], (0.25, False)),
        ([b"5."], (5.0, False)),
        ([b"999999999999999999"], (1e9, False)),
        ([b"4", b"2.5"], (2.5, False)),
        ([b"4", b"odd"], (4.0, True)),
        ([b"-1"], (None, True)),
        ([b"nan"], (None, True)),
        ([b"inf"], (None, True)),
        ([b"1e3"], (None, True)),
        ([b"1_0"], (None, True)),
        ([b"1,5"], (None, True)),
        ([b""], (None, True)),
        ([b"9" * 400], (None, True)),
        (["\u00b2".encode("latin-1")], (None, True)),
    ],
)
def test_a_servers_rate_limit_is_a_decimal_number_or_invalid(
    values: list[bytes], expected: tuple[float | None, bool]
) -> None:
    """Of several values, the lowest applies."""
    answer = read_answer_headers([(b"server-limit", value) for value in values])
    assert (answer.rate_limit, answer.is_limit_invalid) == expected


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], (False, False)),
        ([b"1"], (True, False)),
        ([b" 1 "], (True, False)),
        ([b"0"], (False, True)),
        ([b"soon"], (False, True)),
        ([b""], (False, True)),
        ([b"0", b"1"], (True, True)),
    ],
)
def test_only_the_value_1_means_that_a_server_is_leaving(
    values: list[bytes], expected: tuple[bool, bool]
) -> None:
    answer = read_answer_headers([(b"Server-Leaving", value) for value in values])
    assert (answer.is_leaving, answer.is_leaving_invalid) == expected


DATE = (b"Date", b"Thu, 03 Dec 2026 10:00:00 GMT")


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], (None, False)),
        ([b"3"], (3.0, False)),
        ([b" 0.25 "], (0.25, False)),
        ([b"0"], (0.0, False)),
        ([b"999999999999"], (999999999999.0, False)),
        ([b"1", b"4", b"2"], (4.0, False)),
        ([b"1", b"later"], (1.0, True)),
        ([b"Thu, 03 Dec 2026 10:00:07 GMT"], (7.0, False)),
        ([b"Thu, 03 Dec 2026 09:59:00 GMT"], (0.0, False)),
        ([b"Thu, 99 Dec 2026 09:59:00 GMT"], (None, True)),
        ([b"-1"], (None, True)),
        ([b"nan"], (None, True)),
        ([b"inf"], (None, True)),
        ([b""], (None, True)),
        ([b"9" * 400], (None, True)),
    ],
)
def test_retry_after_is_in_seconds_or_a_date(
    values: list[bytes], expected: tuple[float | None, bool]
) -> None:
    """Of several values, the longest applies."""
    answer = read_answer_headers([DATE, *((b"Retry-After", value) for value in values)])
    assert (answer.backoff, answer.is_backoff_invalid) == expected


@given(st.lists(st.binary(max_size=40), max_size=3))
def test_any_directives_of_a_server_can_be_decoded(values: list[bytes]) -> None:
    names = (b"retry-after", b"server-limit", b"server-leaving", b"date")
    answer = read_answer_headers([(name, value) for name in names for value in values])
    assert answer.backoff is None or 0 <= answer.backoff < float("inf")
    assert answer.rate_limit is None or 0 <= answer.rate_limit < float("inf")
