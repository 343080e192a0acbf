"""Peers without the secret and invalid frames are refused; the listener stays up."""

from __future__ import annotations

import msgpack
import pytest
import trio
import trio.testing
from hypothesis import given, strategies as st

from ashpond.clients.peer import (
    KINDS,
    AttemptQuery,
    Facts,
    PeerStream,
    parse_message,
    unpack_value,
)
from ashpond.controllers.members import MembersController, parse_fact
from ashpond.controllers.peers import PeerServer
from ashpond.errors import FrameError
from ashpond.metrics import Metrics
from tests.builders import make_settings

SECRET = "s" * 16
MAX_FRAME_BYTES = 4096


def make_pair(one: str, other: str) -> tuple[PeerStream, PeerStream]:
    left, right = trio.testing.memory_stream_pair()
    return PeerStream(left, one, MAX_FRAME_BYTES), PeerStream(
        right, other, MAX_FRAME_BYTES
    )


async def shake_hands(client: PeerStream, server: PeerStream) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: client.authenticate(is_server=False))
        await server.authenticate(is_server=True)


async def test_messages_arrive_as_sent():
    client, server = make_pair(SECRET, SECRET)
    await shake_hands(client, server)
    for message in (AttemptQuery("a/b/1"), Facts("x", [["o", 1, 2, {"k": [1]}]])):
        await client.send(message)
        assert await server.receive() == message


async def test_a_peer_without_the_secret_is_refused():
    client, server = make_pair("other" * 4, SECRET)
    with pytest.raises(ExceptionGroup) as caught:
        await shake_hands(client, server)
    assert caught.group_contains(FrameError, match="does not know the shared secret")


async def test_a_peer_that_sends_nothing_is_refused(autojump_clock):
    _, server = make_pair(SECRET, SECRET)
    with pytest.raises(FrameError, match="in time"):
        await server.authenticate(is_server=True)


async def test_an_oversize_frame_is_refused_before_it_is_read():
    client, server = make_pair(SECRET, SECRET)
    await shake_hands(client, server)
    with pytest.raises(FrameError, match="too large"):
        await client.send(AttemptQuery("x" * MAX_FRAME_BYTES))
    await client._stream.send_all(b"\xff\xff\xff\xff")
    with pytest.raises(FrameError, match="too large"):
        await server.receive()


@given(junk=st.binary(max_size=300))
async def test_junk_never_passes_the_handshake(junk):
    left, right = trio.testing.memory_stream_pair()
    server = PeerStream(right, SECRET, MAX_FRAME_BYTES)
    await left.send_all(junk)
    await left.aclose()
    with pytest.raises((FrameError, trio.BrokenResourceError)):
        await server.authenticate(is_server=True)


values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
malformed_messages = st.tuples(
    st.sampled_from([*KINDS, "x"]), st.lists(values, max_size=4)
)


@given(value=st.one_of(values, malformed_messages.map(list)))
def test_any_value_is_a_message_or_a_frame_error(value):
    try:
        message = parse_message(unpack_value(msgpack.packb(value)))
    except FrameError:
        return
    assert type(message) in KINDS.values()


@given(item=values)
def test_malformed_facts_are_ignored(item):
    fact = parse_fact(item)
    assert fact is None or fact.origin is not None


class AnsweringInstance:
    """An instance that answers peers with its facts."""

    def __init__(self) -> None:
        settings = make_settings()
        metrics = Metrics()
        self.members = MembersController(settings, None, metrics)  # type: ignore[arg-type]
        self.members.update_own_fact()
        self.server = PeerServer(
            settings,
            self.members,
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            metrics,
        )

    async def connect(self, nursery: trio.Nursery) -> PeerStream:
        left, right = trio.testing.memory_stream_pair()
        nursery.start_soon(self.server._serve, right)
        client = PeerStream(left, SECRET, MAX_FRAME_BYTES)
        await client.authenticate(is_server=False)
        return client


async def test_facts_are_resent_after_a_lost_connection() -> None:
    """A peer closes the connection before the answer with the facts arrives.

    The facts of that answer counted as sent and were never sent again.
    """
    instance = AnsweringInstance()
    async with trio.open_nursery() as nursery:
        client = await instance.connect(nursery)
        await client.send(Facts("peer", []))
        await trio.testing.wait_all_tasks_blocked()
        await client.aclose()
        await trio.testing.wait_all_tasks_blocked()
        again = await instance.connect(nursery)
        await again.send(Facts("peer", []))
        answer = await again.receive()
        nursery.cancel_scope.cancel()
    assert isinstance(answer, Facts)
    assert [fact[0] for fact in answer.facts] == [instance.members.address]


async def test_facts_are_resent_after_a_dropped_link() -> None:
    """A link is dropped before its facts have arrived, and later opened again.

    The facts counted as sent and were not sent on the new link.
    """
    members = AnsweringInstance().members
    link_scope = trio.CancelScope()

    async def serve(stream: trio.SocketStream) -> None:
        peer = PeerStream(stream, SECRET, MAX_FRAME_BYTES)
        await peer.authenticate(is_server=True)
        assert isinstance(await peer.receive(), Facts)
        link_scope.cancel()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await members._run_link(address, link_scope)
        nursery.cancel_scope.cancel()
    resent = members.collect_facts(address).facts
    assert [fact[0] for fact in resent] == [members.address]


async def test_facts_are_sent_once_per_connection() -> None:
    instance = AnsweringInstance()
    async with trio.open_nursery() as nursery:
        client = await instance.connect(nursery)
        for count in (1, 0):
            await client.send(Facts("peer", []))
            answer = await client.receive()
            assert isinstance(answer, Facts) and len(answer.facts) == count
        nursery.cancel_scope.cancel()
