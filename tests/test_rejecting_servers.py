"""Servers that reject requests, and whose answers prove less than they seem to."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.rejectingservers import Count, Oddity, RejectingWorld

PER_SECOND = 60.0
PLAY_SECONDS = 2.5
REQUESTS = round(PER_SECOND * PLAY_SECONDS)
RAN = [Oddity.RAN_408, Oddity.RAN_421, Oddity.RAN_429, Oddity.RAN_503]


async def play(world: RejectingWorld) -> Count:
    counts: list[Count] = []

    async def send() -> None:
        counts.append(await world.send_requests(PER_SECOND, PLAY_SECONDS))

    await world.run(send)
    return counts[0]


@pytest.mark.parametrize("servers", [1, 2, 4])
@pytest.mark.parametrize("oddity", [Oddity.COPY, Oddity.COPY_WITHOUT_ID])
async def test_copy_of_a_rejection_is_not_taken_for_the_answer_to_the_next_attempt(
    oddity: Oddity, servers: int, tmp_path: Path
) -> None:
    world = RejectingWorld(tmp_path, servers, oddity)
    count = await play(world)
    assert world.rejected
    assert (count.twice, count.refused, count.foreign) == (0, 0, 0)


@pytest.mark.parametrize("oddity", RAN)
async def test_request_that_ran_is_neither_refused_nor_sent_again(
    oddity: Oddity, tmp_path: Path
) -> None:
    count = await play(RejectingWorld(tmp_path, 2, oddity))
    assert count.served < REQUESTS
    assert (count.twice, count.refused) == (0, 0)


@pytest.mark.parametrize("servers", [1, 2])
async def test_answer_without_an_id_on_a_used_connection_is_not_given_to_a_client(
    servers: int, tmp_path: Path
) -> None:
    count = await play(RejectingWorld(tmp_path, servers, Oddity.STRAY))
    assert (count.served, count.foreign) == (REQUESTS, 0)
