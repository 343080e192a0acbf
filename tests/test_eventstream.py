"""Streams are split into complete events, however their bytes arrive."""

from __future__ import annotations

from hypothesis import given, strategies as st

from ashpond.decisions.eventstream import EventBoundary, EventSplitter


def make_stream(count: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(count))


@given(st.integers(0, 12), st.lists(st.integers(1, 40), max_size=60))
def test_any_chunking_returns_the_same_bytes(count: int, sizes: list[int]) -> None:
    stream = make_stream(count)
    splitter = EventSplitter()
    returned = b""
    remaining = stream
    for size in sizes:
        piece, remaining = remaining[:size], remaining[size:]
        complete = splitter.feed(piece)
        assert complete == b"" or complete.endswith(b"\n\n")
        returned += complete
    returned += splitter.feed(remaining)
    assert returned + splitter.take_remainder() == stream
    assert splitter.last_id == (str(count - 1) if count else None)


@given(st.integers(1, 200), st.integers(2, 12))
def test_a_resumed_stream_has_each_event_once(length: int, count: int) -> None:
    stream = make_stream(count)
    splitter = EventSplitter()
    out = splitter.feed(stream[:length])
    splitter.drop_remainder()
    after = -1 if splitter.last_id is None else int(splitter.last_id)
    remaining = stream[len(make_stream(after + 1)) :]
    out += splitter.feed(remaining) + splitter.take_remainder()
    assert out == stream


def test_a_client_that_resumes_starts_after_its_last_event() -> None:
    assert EventSplitter("7").last_id == "7"


LINES = st.sampled_from([b"id: 1", b"data: a", b"", b": c", b":"])


@given(
    st.lists(LINES, max_size=8),
    st.sampled_from([b"\n", b"\r\n", b"\r"]),
    st.integers(0, 30),
    st.lists(st.integers(1, 9), max_size=30),
)
def test_a_torn_end_is_found_in_any_chunking(
    lines: list[bytes], line_end: bytes, cut: int, sizes: list[int]
) -> None:
    stream = b"".join(line + line_end for line in lines)
    received = stream[: max(0, len(stream) - cut)]
    boundary = EventBoundary()
    remaining = received
    for size in sizes:
        piece, remaining = remaining[:size], remaining[size:]
        boundary.feed(piece)
    boundary.feed(remaining)
    whole_lines = received.split(line_end)
    is_mid_line = whole_lines.pop() != b""
    block: list[bytes] = []
    for line in whole_lines:
        block = [*block, line] if line else []
    has_field = any(line[:1] != b":" for line in block)
    assert boundary.is_between_events() == (not is_mid_line and not has_field)


@given(st.integers(0, 4), st.lists(st.integers(1, 9), max_size=60))
def test_any_chunking_returns_streams_of_any_line_end(
    kind: int, sizes: list[int]
) -> None:
    stream = make_stream(5).replace(b"\n", (b"\n", b"\r\n", b"\r")[kind % 3])
    splitter = EventSplitter()
    returned = b""
    remaining = stream
    for size in sizes:
        piece, remaining = remaining[:size], remaining[size:]
        returned += splitter.feed(piece)
    returned += splitter.feed(remaining)
    assert returned + splitter.take_remainder() == stream
    assert splitter.last_id == "4"
