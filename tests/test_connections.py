"""Requests, answers and the close of a single client connection."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from ashpond.connections import CloseReason
from ashpond.exchanges import Exchange
from ashpond.wire import READ_BYTES
from tests.listeners import (
    GRACE_SECONDS,
    LIMITS,
    POST,
    REQUEST,
    answer,
    echo,
    read_all,
    read_until,
    run_listener,
    take_steps,
)

# Steps of the event loop after which the other side has seen what one side did.
STEPS = 20


async def test_pipelined_requests_are_answered_in_order():
    async with run_listener() as running:
        stream = await running.connect()
        async with stream:
            pieces = [REQUEST, REQUEST.replace(b"ab", b"cd"), REQUEST]
            await stream.send_all(b"".join(pieces))
            data = await read_until(stream, b"ab")
            while data.count(b"HTTP/1.1 200") < 3:
                data += await stream.receive_some()
    bodies = [answer[-2:] for answer in data.split(b"HTTP/1.1 200")[1:]]
    assert bodies == [b"ab", b"cd", b"ab"]


@settings(max_examples=25)
@given(cuts=st.lists(st.integers(1, 2 * len(REQUEST) - 1), max_size=6))
def test_requests_split_into_any_pieces_are_answered(cuts):
    async def run_requests() -> bytes:
        async with run_listener() as running:
            stream = await running.connect()
            async with stream:
                data = REQUEST + REQUEST
                ends = sorted({0, len(data), *cuts})
                for begin, end in zip(ends, ends[1:], strict=False):
                    await stream.send_all(data[begin:end])
                    await take_steps(2)
                seen = b""
                while seen.count(b"ab") < 2:
                    seen += await stream.receive_some()
                return seen

    assert trio.run(run_requests).count(b"HTTP/1.1 200") == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no request\r\n\r\n", b"400"),
        (POST + b"X: " + b"x" * 2000, b"431"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (POST + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nab", b"400"),
    ],
)
async def test_an_invalid_request_is_refused_and_closes_the_connection(data, status):
    async with run_listener() as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(data)
            seen = await read_all(stream)
    assert seen.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in seen.lower()


async def test_a_head_over_the_limit_is_refused_also_in_one_piece():
    async with run_listener() as running:
        seen = await running.send_and_read(POST + b"X: " + b"x" * 2000 + b"\r\n\r\n")
    assert seen.startswith(b"HTTP/1.1 431")


async def test_a_kept_connection_applies_a_raised_header_limit():
    async with run_listener() as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            await read_until(stream, b"ab")
            await take_steps(STEPS)
            running.limits = running.limits._replace(max_header_bytes=16_384)
            await stream.send_all(POST + b"X: " + b"x" * 4000)
            await take_steps(STEPS)
            await stream.send_all(b"\r\nContent-Length: 2\r\n\r\nab")
            assert (await read_until(stream, b"ab")).startswith(b"HTTP/1.1 200")


async def test_the_method_keeps_its_case_and_connect_is_refused():
    methods: list[str] = []

    async def record_method(exchange: Exchange) -> None:
        methods.append(exchange.method)
        await echo(exchange)

    async with run_listener(record_method) as running:
        seen = await running.send_and_read(
            b"head / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        tunnel = await running.send_and_read(b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n")
    assert methods == ["head"]
    assert seen.startswith(b"HTTP/1.1 200")
    assert tunnel.startswith(b"HTTP/1.1 501")


async def test_a_refused_body_is_not_reported_as_a_close_by_the_client():
    async with run_listener() as running:
        await running.send_and_read(POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n")
        await take_steps(STEPS)
    (closed,) = running.closed
    assert closed.by == CloseReason.BAD_REQUEST
    assert closed.failure


async def test_an_incomplete_head_is_refused_after_the_header_timeout(mock_clock):
    async with run_listener() as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(POST)
            await take_steps(STEPS)
            mock_clock.jump(LIMITS.header_timeout)
            seen = await read_all(stream)
        await take_steps(STEPS)
    assert seen.startswith(b"HTTP/1.1 408")
    assert [closed.by for closed in running.closed] == [CloseReason.HEADER_TIMEOUT]


async def test_an_incomplete_body_is_refused_after_the_idle_timeout(mock_clock):
    async with run_listener() as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST[:-1])
            await take_steps(STEPS)
            mock_clock.jump(LIMITS.idle_timeout)
            seen = await read_all(stream)
    assert seen.startswith(b"HTTP/1.1 408")


async def test_a_client_that_expects_100_continue_gets_it():
    async with run_listener() as running:
        stream = await running.connect()
        async with stream:
            head = POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
            await stream.send_all(head)
            assert (await read_until(stream, b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            await stream.send_all(b"ab")
            assert (await read_until(stream, b"ab")).startswith(b"HTTP/1.1 200")


async def test_an_idle_connection_is_closed_at_its_limit_and_not_before(mock_clock):
    async with run_listener() as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            await read_until(stream, b"ab")
            await take_steps(STEPS)
            mock_clock.jump(LIMITS.idle_timeout - 0.1)
            await stream.send_all(REQUEST)
            await read_until(stream, b"ab")
            await take_steps(STEPS)
            mock_clock.jump(LIMITS.idle_timeout)
            assert await read_all(stream) == b""
    (closed,) = running.closed
    assert (closed.by, closed.requests) == (CloseReason.IDLE_LIMIT, 2)
    assert closed.idle == pytest.approx(LIMITS.idle_timeout)
    assert not closed.has_call


async def test_an_answer_of_a_leaving_instance_closes_its_connection():
    async with run_listener() as running:
        running.is_leaving = True
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            seen = await read_all(stream)
        await take_steps(STEPS)
    assert b"connection: close" in seen.lower()
    assert seen.endswith(b"ab")
    assert [closed.by for closed in running.closed] == [CloseReason.LAST_ANSWER]


async def test_a_failing_handler_is_answered_500_and_reported():
    async def fail(exchange: Exchange) -> None:
        raise RuntimeError("broken")

    async with run_listener(fail) as running:
        seen = await running.send_and_read(POST + b"Content-Length: 0\r\n\r\n")
        await take_steps(STEPS)
    assert seen.startswith(b"HTTP/1.1 500")
    (closed,) = running.closed
    assert (closed.by, closed.has_call) == (CloseReason.FAILURE, True)
    assert "broken" in (closed.failure or "")


async def test_an_unfinished_answer_is_not_terminated_as_complete():
    async def stop_early(exchange: Exchange) -> None:
        await echo_head(exchange)

    async def echo_head(exchange: Exchange) -> None:
        while await exchange.read_piece():
            pass
        await exchange.start(200, [])
        await exchange.send(b"part")

    async with run_listener(stop_early) as running:
        seen = await running.send_and_read(REQUEST)
        await take_steps(STEPS)
    assert b"part" in seen
    assert not seen.endswith(b"0\r\n\r\n")
    assert [closed.by for closed in running.closed] == [CloseReason.BROKEN_ANSWER]


@pytest.mark.parametrize("status", [200, 204, 304])
async def test_an_answer_without_a_body_keeps_the_connection(status):
    async def answer_head(exchange: Exchange) -> None:
        while await exchange.read_piece():
            pass
        await exchange.start(status, [(b"content-length", b"5")][: status == 200])
        await exchange.send(b"hello")
        await exchange.finish()

    method = b"HEAD" if status == 200 else b"GET"
    async with run_listener(answer_head) as running:
        stream = await running.connect()
        async with stream:
            for _ in range(2):
                await stream.send_all(method + b" / HTTP/1.1\r\nHost: a\r\n\r\n")
                seen = await read_until(stream, b"\r\n\r\n")
                assert seen.startswith(f"HTTP/1.1 {status}".encode())


async def test_a_leaving_client_is_noticed_while_its_request_is_served():
    left = trio.Event()

    async def watch(exchange: Exchange) -> None:
        while await exchange.read_piece():
            pass
        await exchange.wait_until_client_left()
        left.set()

    async with run_listener(watch) as running:
        stream = await running.connect()
        await stream.send_all(REQUEST)
        await take_steps(STEPS)
        # Another request on the connection is not taken for its close.
        await stream.send_all(REQUEST)
        await take_steps(STEPS)
        assert not left.is_set()
        await stream.aclose()
        with trio.fail_after(20):
            await left.wait()
        await take_steps(STEPS)
    (closed,) = running.closed
    assert (closed.by, closed.has_call) == (CloseReason.CLIENT, True)


async def test_a_client_that_keeps_sending_is_not_read_without_limit():
    async def wait(exchange: Exchange) -> None:
        while await exchange.read_piece():
            pass
        with trio.move_on_after(0):
            await exchange.wait_until_client_left()
        await exchange.wait_until_client_left()

    async with run_listener(wait) as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            with trio.move_on_after(0.5) as scope:
                while True:
                    await stream.send_all(b"x" * READ_BYTES)
    assert scope.cancelled_caught


async def test_a_deadline_in_the_step_of_an_answer_does_not_cut_it_off(mock_clock):
    async def answer_late(exchange: Exchange) -> None:
        while await exchange.read_piece():
            pass
        with trio.move_on_after(1.0):
            mock_clock.jump(1.0)
            await answer(exchange)

    async with run_listener(answer_late) as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            assert (await read_until(stream, b"ok")).startswith(b"HTTP/1.1 200")


async def test_a_request_in_flight_is_cut_off_after_the_grace_period(mock_clock):
    async def hang(exchange: Exchange) -> None:
        while await exchange.read_piece():
            pass
        await trio.sleep_forever()

    async with run_listener(hang) as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            await take_steps(STEPS)
            running.stop.set()
            await take_steps(STEPS)
            assert running.closed == []
            mock_clock.jump(GRACE_SECONDS)
            assert await read_all(stream) == b""
    (closed,) = running.closed
    assert (closed.by, closed.has_call) == (CloseReason.GRACE_PERIOD, True)


async def test_a_client_that_reads_nothing_does_not_outlast_the_grace_period(
    mock_clock,
):
    async def flood(exchange: Exchange) -> None:
        while await exchange.read_piece():
            pass
        await exchange.start(200, [])
        for _ in range(1000):
            await exchange.send(b"x" * READ_BYTES)
        await exchange.finish()

    async with run_listener(flood) as running:
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            # Wait until the socket buffers are full and the handler blocks.
            await trio.testing.wait_all_tasks_blocked()
            running.stop.set()
            await take_steps(STEPS)
            mock_clock.jump(GRACE_SECONDS)
            await take_steps(STEPS)
            (closed,) = running.closed
    assert (closed.by, closed.has_call) == (CloseReason.GRACE_PERIOD, True)


async def test_connections_in_the_backlog_are_served_at_shutdown():
    async with run_listener(echo) as running:
        await take_steps(STEPS)
        stream = await running.connect()
        async with stream:
            await stream.send_all(REQUEST)
            running.stop.set()
            assert (await read_all(stream)).endswith(b"ab")
