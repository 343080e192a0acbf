"""Servers that fall silent, for a second or for good, as the kernel sees them."""

from __future__ import annotations

import pytest
import trio

from ashpond.clients.channelpools import ChannelPool
from ashpond.clients.channels import Channel, ChannelError
from ashpond.clients.liveness import PATIENT_UNACKNOWLEDGED_MS
from tests.relays import make_request
from tests.servers import make_answer, read_request, run_server
from tests.silence import silence

# A sound server may be silent for so long (seconds).
SOUND_SECONDS = 1.3
# Clients give up a stream that pauses for two seconds; a dead server has to be noticed
# soon after (seconds).
NOTICED_SECONDS = 3.5


async def connect(address: str) -> Channel:
    pool = ChannelPool()
    return await pool.connect(address, PATIENT_UNACKNOWLEDGED_MS)


@pytest.mark.parametrize("is_read", [True, False])
async def test_a_second_of_silence_ends_no_connection(is_read: bool) -> None:
    """One lost probe ended a connection 2 s after its last byte, before the answer."""

    async def be_silent(stream: trio.SocketStream, number: int) -> None:
        raw = stream.socket._sock  # type: ignore[attr-defined]
        if is_read:
            await read_request(stream)
        with silence(raw):
            await trio.sleep(SOUND_SECONDS)
        if not is_read:
            await read_request(stream)
        await trio.sleep(2.0)
        await stream.send_all(make_answer(b"late"))

    async with run_server(be_silent) as address:
        channel = await connect(address)
        await trio.sleep(0.05)
        response = await channel.exchange(make_request())
        assert await response.read_all(100) == b"late"


async def test_a_server_that_is_silent_for_good_is_noticed() -> None:
    async def be_silent(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        with silence(stream.socket._sock):  # type: ignore[attr-defined]
            await trio.sleep_forever()

    async with run_server(be_silent) as address:
        channel = await connect(address)
        with trio.fail_after(NOTICED_SECONDS), pytest.raises(ChannelError) as caught:
            await channel.exchange(make_request())
        assert caught.value.is_sent
