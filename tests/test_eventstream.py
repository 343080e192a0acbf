"""Streams are cut into whole events, however their bytes arrive."""

from __future__ import annotations

from hypothesis import given, strategies as st

from ashpond.decisions.eventstream import EventSplitter


def make_stream(count: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(count))


@given(st.integers(0, 12), st.lists(st.integers(1, 40), max_size=60))
def test_any_cutting_gives_back_the_same_bytes(count: int, sizes: list[int]) -> None:
    stream = make_stream(count)
    cutter = EventSplitter()
    given_back = b""
    rest = stream
    for size in sizes:
        piece, rest = rest[:size], rest[size:]
        whole = cutter.feed(piece)
        assert whole == b"" or whole.endswith(b"\n\n")
        given_back += whole
    given_back += cutter.feed(rest)
    assert given_back + cutter.take_remainder() == stream
    assert cutter.last_id == (str(count - 1) if count else None)


@given(st.integers(1, 200), st.integers(2, 12))
def test_a_stream_that_goes_on_has_each_event_once(cut: int, count: int) -> None:
    stream = make_stream(count)
    cutter = EventSplitter()
    out = cutter.feed(stream[:cut])
    cutter.drop_remainder()
    after = -1 if cutter.last_id is None else int(cutter.last_id)
    rest = stream[len(make_stream(after + 1)) :]
    out += cutter.feed(rest) + cutter.take_remainder()
    assert out == stream


def test_a_request_that_goes_on_itself_starts_after_its_event() -> None:
    assert EventSplitter("7").last_id == "7"
