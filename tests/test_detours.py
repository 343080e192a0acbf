"""Connections through a peer keep what direct ones promise, whatever fails."""

from __future__ import annotations

import math

import pytest
import trio

from ashpond.clients.channelpools import ConnectResult
from ashpond.clients.channels import ChannelError
from ashpond.controllers import detours
from ashpond.decisions.contact import LONGEST_SECONDS, PeerContact
from tests.peer_fleet import wait_for
from tests.ports import find_free_port
from tests.relays import Relay, Sender, make_request, run_relays
from tests.servers import make_answer, read_request, run_server
from tests.soak.resets import reset

UNFRAMED = b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\n\r\nid: 1\n\n"


async def answer_all(stream: trio.SocketStream, number: int) -> None:
    while await read_request(stream):
        await stream.send_all(make_answer(str(number).encode()))


@pytest.mark.parametrize("is_hanging", [False, True])
async def test_a_server_is_reached_through_a_peer(is_hanging: bool) -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address}) as (sender, relays),
    ):
        sender.pool.cut(is_hanging=is_hanging)
        with trio.fail_after(0.4):
            assert await sender.fetch() == b"1"
        assert await sender.fetch() == b"1"
        assert relays[0].server.tunnels == 1
        assert "server_detoured" in sender.events


async def test_requests_go_straight_again_once_one_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A direct connection that is slow on a busy machine must not lose its race.
    monkeypatch.setattr(detours, "HEDGE_SECONDS", 5.0)
    async with run_server(answer_all) as address:
        servers = {"s1": address, "s2": address}
        async with run_relays(servers) as (sender, relays):
            await sender.fetch("s1")
            await sender.fetch("s2")
            assert sender.detours.is_cut_off
            sender.pool.error = None
            with trio.fail_after(3):
                while sender.detours.is_cut_off:
                    await sender.fetch("s1")
                    await trio.sleep(0.05)
            assert sender.events.count("servers_regained") == 1
            channel = await sender.acquire("s2")
            assert not channel.relay


async def test_servers_that_crash_together_are_no_partition() -> None:
    """Two that failed in a row sent all requests of an instance through its peers."""
    async with run_server(answer_all) as address:
        servers = {"s1": address, "s2": address, "s3": address}
        async with run_relays(servers) as (sender, _):
            sender.is_engine_up = True
            await sender.fetch("s1")
            await sender.fetch("s2")
            assert "servers_cut_off" in sender.events
            await trio.sleep(0.05)
            assert not sender.detours.is_cut_off
            # A partition is noticed as before.
            sender.is_engine_up = False
            await sender.fetch("s1")
            await sender.fetch("s2")
            await trio.sleep(0.05)
            assert sender.detours.is_cut_off


async def test_rejected_request_is_sent_again_through_another_tunnel() -> None:
    """A late copy of the rejection would look like the next answer."""

    async def reject_once(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        rejection = make_answer(b"full", status=503)
        await stream.send_all(rejection)
        await read_request(stream)
        await stream.send_all(rejection)

    async def answer(stream: trio.SocketStream, number: int) -> None:
        serve = reject_once if number == 1 else answer_all
        await serve(stream, number)

    async with (
        run_server(answer) as address,
        run_relays({"s1": address}) as (sender, relays),
    ):
        assert await sender.fetch() == b"full"
        assert relays[0].server.tunnels == 1
        assert await sender.fetch() == b"2"
        assert relays[0].server.tunnels == 2


async def send_half_and_wait(stream: trio.SocketStream, number: int) -> None:
    await read_request(stream)
    await stream.send_all(UNFRAMED)
    await trio.sleep_forever()


@pytest.mark.parametrize("ending", ["closed", "reset", "relay_killed"])
async def test_only_the_servers_own_end_ends_an_answer_without_a_length(
    ending: str,
) -> None:
    """A killed relay's connection ends as regularly as that of a server."""
    may_end = trio.Event()

    async def script(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(UNFRAMED)
        await may_end.wait()
        if ending == "closed":
            await stream.send_eof()
        elif ending == "reset":
            reset(stream)
        await trio.sleep_forever()

    async with (
        run_server(script) as address,
        run_relays({"s1": address}) as (sender, relays),
    ):
        channel = await sender.acquire()
        response = await channel.exchange(make_request())
        assert await response.read() == b"id: 1\n\n"
        may_end.set()
        if ending == "relay_killed":
            relays[0].kill()
        with trio.fail_after(2):
            if ending == "closed":
                assert await response.read() == b""
            else:
                with pytest.raises(ChannelError):
                    await response.read()


async def test_a_request_may_have_run_if_its_relay_is_lost() -> None:
    received = trio.Event()

    async def never_answer(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        received.set()
        await trio.sleep_forever()

    async with (
        run_server(never_answer) as address,
        run_relays({"s1": address}) as (sender, relays),
    ):
        channel = await sender.acquire()

        async def kill_relay() -> None:
            await received.wait()
            relays[0].kill()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_relay)
            with trio.fail_after(2), pytest.raises(ChannelError) as caught:
                await channel.exchange(make_request())
        assert caught.value.is_sent


async def test_a_request_that_no_peer_could_carry_has_not_run() -> None:
    def cut_off(relays: list[Relay]) -> None:
        for relay in relays:
            relay.is_cut_off = True

    async with run_server(answer_all) as address:
        servers = {"s1": address, "s2": address}
        async with run_relays(servers, 2, cut_off) as (sender, relays):
            for name in ("s1", "s2", "s1"):
                with trio.fail_after(1), pytest.raises(ChannelError) as caught:
                    await sender.acquire(name)
                assert not caught.value.is_sent
                assert caught.value.is_own_fault
            assert all(not relay.server.tunnels for relay in relays)


async def test_repeatable_requests_go_straight_while_no_peer_relays() -> None:
    """Streams were broken off, and servers of other services not used."""

    def cut_off(relays: list[Relay]) -> None:
        for relay in relays:
            relay.is_cut_off = True

    async with run_server(answer_all) as address:
        servers = {"s1": address, "s2": address}
        async with run_relays(servers, 2, cut_off) as (sender, _):
            sender.pool.cut(is_hanging=True)
            for name in ("s1", "s2", "s1"):
                with pytest.raises(ChannelError):
                    await sender.acquire(name)
            assert sender.detours.is_cut_off
            with trio.fail_after(0.4), pytest.raises(ChannelError) as caught:
                await sender.acquire("s2")
            assert caught.value.is_own_fault
            sender.pool.error = None
            channel = await sender.acquire("s2")
            assert not channel.relay
            with pytest.raises(ChannelError):
                await sender.acquire("s1", is_repeatable=False)


async def test_a_relay_does_not_ask_another_one() -> None:
    """Both instances are cut off, and the second does not know it yet."""
    gone = f"127.0.0.1:{find_free_port()}"
    async with run_relays({"s1": gone}) as (sender, relays):
        with pytest.raises(ChannelError):
            await sender.acquire()
        assert relays[0].outcomes == ["refused"]


async def test_a_server_that_two_peers_cannot_reach_is_gone() -> None:
    gone = f"127.0.0.1:{find_free_port()}"
    async with run_relays({"s1": gone}, 3) as (sender, _):
        with pytest.raises(ChannelError) as caught:
            await sender.acquire()
        assert caught.value.is_refused
        assert not caught.value.is_own_fault
        state = sender.table.by_id["s1"]
        found = await sender.detours.check(state.owner, state.info.address)
        assert found is not ConnectResult.CONNECTED


async def test_crashes_of_all_servers_are_not_taken_for_a_partition_alone() -> None:
    def cut_off(relays: list[Relay]) -> None:
        for relay in relays:
            relay.is_cut_off = True

    gone = f"127.0.0.1:{find_free_port()}"
    async with run_relays({"s1": gone}, 3, cut_off) as (sender, _):
        state = sender.table.by_id["s1"]
        found = await sender.detours.check(state.owner, state.info.address)
        assert found not in (ConnectResult.UNKNOWN, ConnectResult.CONNECTED)
        assert found is not ConnectResult.REFUSED


async def test_a_server_that_a_peer_reaches_has_not_crashed() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address}) as (sender, _),
    ):
        state = sender.table.by_id["s1"]
        found = await sender.detours.check(state.owner, state.info.address)
        assert found is ConnectResult.CONNECTED


async def test_a_peer_that_is_cut_off_too_is_passed_over() -> None:
    def cut_off_first(relays: list[Relay]) -> None:
        relays[0].is_cut_off = True

    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address}, 2, cut_off_first) as (sender, relays),
    ):
        for _ in range(4):
            channel = await sender.acquire()
            assert channel.relay == "r1"
        assert relays[0].outcomes.count("cut_off") <= 1


async def test_a_request_ends_at_its_server_when_its_client_leaves() -> None:
    has_ended = trio.Event()

    async def wait_for_end(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        try:
            await stream.receive_some(1)
        finally:
            has_ended.set()

    async with (
        run_server(wait_for_end) as address,
        run_relays({"s1": address}) as (sender, _),
    ):
        channel = await sender.acquire()
        with trio.move_on_after(0.2):
            await channel.exchange(make_request())
        channel.close()
        with trio.fail_after(0.5):
            await has_ended.wait()


async def test_a_slow_client_holds_up_its_server_and_no_other_tunnel() -> None:
    sent = 0

    async def send_much(stream: trio.SocketStream, number: int) -> None:
        nonlocal sent
        request = await read_request(stream)
        if not request.endswith(b"slow"):
            await stream.send_all(make_answer(b"ok"))
            return
        head = b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\n"
        await stream.send_all(head + b"Content-Length: 100000000\r\n\r\n")
        while True:
            await stream.send_all(b"x" * 100_000)
            sent += 100_000

    async with (
        run_server(send_much) as address,
        run_relays({"s1": address}) as (sender, _),
    ):
        slow = await sender.acquire()
        response = await slow.exchange(make_request(b"slow"))
        await response.read()
        await trio.sleep(0.5)
        held = sent
        await trio.sleep(0.5)
        assert sent == held < 30_000_000
        with trio.fail_after(0.5):
            assert await sender.fetch() == b"ok"
        slow.close()


async def test_a_relay_follows_the_backoff_that_a_server_asked_its_peer_for() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address}) as (sender, relays),
    ):
        channel = await sender.acquire()
        await channel.exchange(make_request())
        sender.detours.note_answered(channel, 3.0)
        state = relays[0].table.by_id["s1"]
        await wait_for(lambda: state.backoff_until > trio.current_time() + 2)
        with pytest.raises(ChannelError) as caught:
            await sender.acquire()
        assert not caught.value.is_sent


async def test_a_relay_that_is_frozen_is_avoided() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address}, 2) as (sender, relays),
    ):
        first = await sender.acquire()
        for _ in range(2):
            sender.detours.note_unanswered("s1 0", first, 0.0)
        other = await sender.acquire()
        assert {first.relay, other.relay} == {"r0", "r1"}


async def test_a_relay_that_leaves_lets_its_tunnels_finish() -> None:
    may_answer = trio.Event()

    async def answer_later(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await may_answer.wait()
            await stream.send_all(make_answer(b"late"))

    async with (
        run_server(answer_later) as address,
        run_relays({"s1": address}) as (sender, relays),
    ):
        channel = await sender.acquire()
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + 10
            nursery.start_soon(relays[0].server.drain, until)
            await trio.testing.wait_all_tasks_blocked()
            with pytest.raises(ChannelError):
                await sender.acquire()
            nursery.start_soon(_set_later, may_answer)
            response = await channel.exchange(make_request())
            assert await response.read_all(100) == b"late"
            sender.release(channel)
        assert relays[0].server.tunnels == 0


async def _set_later(event: trio.Event) -> None:
    await trio.sleep(0.3)
    event.set()


async def test_a_relay_refuses_servers_that_it_must_not_send_to() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address}) as (sender, relays),
    ):
        state = relays[0].table.by_id["s1"]
        state.is_leaving = True
        with pytest.raises(ChannelError):
            await sender.acquire()
        assert relays[0].outcomes == ["unusable"]


async def test_a_trial_whose_client_leaves_is_no_evidence() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address, "s2": address}) as (sender, _),
    ):
        await sender.fetch("s1")
        await sender.fetch("s2")
        contact = sender.detours.contact
        contact.note_probe(is_reachable=True)
        await trio.sleep(1.0)
        sender.pool.delay = 5.0
        contact.note_probe(is_reachable=True)
        with trio.move_on_after(0.05):
            await sender.acquire()
        contact.note_probe(is_reachable=True)
        assert contact.begin_trial(trio.current_time(), is_repeatable=True)


async def test_an_instance_without_peers_is_as_before() -> None:
    gone = f"127.0.0.1:{find_free_port()}"
    async with run_relays({"s1": gone}, 0) as (sender, _):
        for _ in range(3):
            with pytest.raises(ChannelError) as caught:
                await sender.acquire()
            assert caught.value.is_refused
            assert not caught.value.is_own_fault


async def be_silent_to(sender: Sender, *servers: str) -> None:
    """Let each server leave a request without an answer for a second."""
    for name in servers:
        channel = await sender.acquire(name)
        owner = sender.table.by_id[name].owner
        sender.detours.note_unanswered(owner, channel, trio.current_time() - 1.0)
        channel.close()
    await trio.sleep(0.05)


async def test_late_answers_of_peers_too_are_no_partition() -> None:
    """On an overloaded machine, instances refused as no peer relayed for them."""

    def cut_off(relays: list[Relay]) -> None:
        for relay in relays:
            relay.is_cut_off = True

    async with run_server(answer_all) as address:
        servers = {"s1": address, "s2": address}
        async with run_relays(servers, 2, cut_off) as (sender, _):
            sender.pool.error = None
            sender.peer_contacts = [PeerContact(1.2, 0.9), PeerContact(math.inf)]
            await be_silent_to(sender, "s1", "s2", "s1", "s2")
            assert not sender.detours.is_cut_off
            assert await sender.fetch() == b"5"


@pytest.mark.parametrize(
    "contacts",
    [
        [],
        [PeerContact(0.1, 2.0)],
        [PeerContact(LONGEST_SECONDS)],
        [PeerContact(0.1)] * 2,
    ],
)
async def test_late_answers_are_a_partition_unless_peers_wait_too(
    contacts: list[PeerContact],
) -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address, "s2": address}) as (sender, _),
    ):
        sender.pool.error = None
        sender.peer_contacts = contacts
        await be_silent_to(sender, "s1", "s2")
        assert sender.detours.is_cut_off


async def test_late_answers_are_no_partition_if_all_asked_peers_are_cut_off() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address, "s2": address}) as (sender, _),
    ):
        sender.pool.error = None
        sender.peer_contacts = [PeerContact(math.inf)] * 3
        await be_silent_to(sender, "s1", "s2", "s1", "s2")
        assert not sender.detours.is_cut_off


async def test_streams_that_wait_behind_others_at_engines_are_no_partition() -> None:
    """Their first event takes seconds, while peers get answers all the time."""
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address, "s2": address}) as (sender, _),
    ):
        sender.pool.error = None
        sender.peer_contacts = [PeerContact(0.0)]
        sender.is_engine_up = True
        await be_silent_to(sender, "s1", "s2", "s1", "s2")
        assert not sender.detours.is_cut_off
        assert "answers_late" in sender.events
        sender.is_engine_up = False
        await trio.sleep(1.1)
        await be_silent_to(sender, "s1", "s2")
        assert sender.detours.is_cut_off


async def test_an_answer_while_peers_are_asked_ends_the_doubt() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address, "s2": address}) as (sender, _),
    ):
        sender.pool.error = None
        may_answer = trio.Event()

        async def ask_slowly() -> list[PeerContact]:
            await may_answer.wait()
            return [PeerContact(0.0)]

        assert sender.detours._doubts is not None
        sender.detours._doubts._ask_peers = ask_slowly
        await be_silent_to(sender, "s1", "s2")
        await sender.fetch()
        may_answer.set()
        await trio.sleep(0.05)
        assert not sender.detours.is_cut_off


async def test_requests_that_wait_show_a_partition_before_they_end() -> None:
    """Requests that may not be repeated wait until their deadline."""
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address, "s2": address}) as (sender, relays),
    ):
        sender.pool.error = None
        channels = []
        for name in ("s1", "s2"):
            channel = await sender.acquire(name, is_repeatable=False)
            sender.detours.note_sent(sender.table.by_id[name].owner, channel, 0.2)
            channels.append(channel)
        assert not sender.detours.is_cut_off
        await trio.sleep(0.4)
        assert sender.detours.is_cut_off
        relayed = await sender.acquire("s1", is_repeatable=False)
        assert relayed.relay == relays[0].member.name
        for channel in [*channels, relayed]:
            channel.close()


async def test_answered_and_ended_requests_show_no_partition() -> None:
    async with (
        run_server(answer_all) as address,
        run_relays({"s1": address, "s2": address}) as (sender, _),
    ):
        sender.pool.error = None
        for name in ("s1", "s2", "s1", "s2"):
            channel = await sender.acquire(name)
            sender.detours.note_sent(sender.table.by_id[name].owner, channel, 0.1)
            if name == "s1":
                sender.detours.note_answered(channel, None)
            else:
                sender.detours.note_unused(channel)
            channel.close()
        assert sender.detours.watch.measure_longest_wait(trio.current_time()) == 0
        await trio.sleep(0.3)
        assert not sender.detours.is_cut_off
        assert "answers_late" not in sender.events
