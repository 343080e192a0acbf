"""The answers to a peer, until they are sent."""

from __future__ import annotations

__all__ = ["OutgoingAnswers"]

from collections.abc import Iterable
from typing import Any

import trio

from ashpond.clients.peer import PeerStream, PlacementAnswer

# How long a peer may take to receive its answers (seconds); they are kept until then.
SEND_SECONDS = 0.5


class OutgoingAnswers:
    """The answers that a peer has not been sent yet."""

    def __init__(self) -> None:
        self._answers: list[PlacementAnswer] = []
        self._has_new = trio.Event()

    def put(self, answer: PlacementAnswer) -> None:
        """Queue an answer."""
        self._answers.append(answer)
        self._has_new.set()

    async def send_all(self, stream: PeerStream) -> None:
        """Send what is queued until cancelled.

        :raises trio.TooSlowError: if the peer doesn't receive it in time.
        """
        while True:
            await self._has_new.wait()
            self._has_new = trio.Event()
            answers, self._answers = self._answers, []
            with trio.fail_after(SEND_SECONDS):
                await stream.send(merge_answers(answers))


def merge_answers(answers: Iterable[PlacementAnswer]) -> PlacementAnswer:
    """Return one message for several answers; the last waits hold."""
    decisions: list[Any] = []
    waits: list[Any] = []
    for answer in answers:
        decisions += answer.answers
        waits = answer.waits
    return PlacementAnswer(decisions, waits)
