"""Streams are split into complete events, however their bytes arrive."""

from __future__ import annotations

from hypothesis import given, strategies as st

from ashpond.decisions.eventstream import EventSplitter


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
