"""Kept connections: who ends them, and what has been taken up from them by then.

What users saw: requests on kept connections were passed on to a backend server, the
connections were closed in the same millisecond, and no answer came. The servers' work
was cut a millisecond later.

The order of events: the event loop is held up for some 70 ms. Meanwhile requests
arrive on connections whose idle limit runs out, or which an instance that leaves is
about to close. Both become ready in one step of the event loop. The task that reads
takes up the request and tells the idle timer's task to stop; that one has already
decided to close, under a shield, and does not ask whether anything has come. The
handler passes the request on and then hears that its client is gone.

The evidence: the record has close, arrival at the server and the cut of its work in
this order within 2 ms, 67 ms after the request was sent. With the clock advanced past
the idle limit in the step in which requests arrive, 208 of 400 requests were passed on
and lost in this order; at the close of a leaving instance those that arrived 4, 5 or 6
steps after it had left (180, 382 and 176 of 400), and none in the steps beside.
"""

from __future__ import annotations

import pytest

from tests.kept_connections import BODY, SERVER_STEPS, run_desk, take_steps

CONNECTIONS = 20
# The runtime runs tasks that are ready together in either order.
ROUNDS = 12
IDLE_SECONDS = 2.0
# Steps from the end of an instance's leaving to the close of its idle connections.
LEAVING_STEPS = 8


async def test_a_request_and_the_idle_limit_in_one_step(mock_clock):
    async with run_desk() as desk:
        desk.set_idle_limit(IDLE_SECONDS)
        for _ in range(ROUNDS):
            clients = await desk.open(CONNECTIONS)
            sent = {client: client.send() for client in clients}
            mock_clock.jump(IDLE_SECONDS)
            assert await desk.find_lost(sent) == set()


@pytest.mark.parametrize("steps", range(LEAVING_STEPS))
async def test_a_request_and_the_close_of_a_leaving_instance(mock_clock, steps):
    for _ in range(ROUNDS):
        async with run_desk() as desk:
            clients = await desk.open(CONNECTIONS)
            desk.stop.set()
            await take_steps(steps)
            sent = {client: client.send() for client in clients}
            assert await desk.find_lost(sent) == set()


async def test_a_connection_goes_by_a_limit_that_grew_while_it_was_idle(mock_clock):
    """A client that knows the newest limit may use its connection for so long."""
    async with run_desk() as desk:
        desk.set_idle_limit(IDLE_SECONDS)
        (client,) = await desk.open(1)
        desk.set_idle_limit(15.0)
        mock_clock.jump(IDLE_SECONDS)
        await take_steps(20)
        mock_clock.jump(10.0)
        client.send()
        assert (await client.read()).endswith(BODY)


async def test_a_connection_goes_by_a_limit_that_shrank_while_it_was_idle(mock_clock):
    async with run_desk() as desk:
        (client,) = await desk.open(1)
        desk.set_idle_limit(IDLE_SECONDS)
        mock_clock.jump(IDLE_SECONDS)
        await take_steps(SERVER_STEPS)
        assert not client.is_open()
