"""Callers that ask one real coordinator, and come back at the times it names."""

from __future__ import annotations

from typing import NamedTuple

import trio

from ashpond.clients.peer import PlacementAnswer
from ashpond.clients.placements import (
    DecisionState,
    EndedPlacement,
    PlacementDecision,
    decode_placement_answer,
    encode_placement_query,
)
from ashpond.decisions.placementterms import PlacementEvent
from ashpond.decisions.timeleft import MAX_RETRY_SHARE
from tests.placement_builders import World, make_ask


class Attempt(NamedTuple):
    """A request of a caller, which keeps its deadline when it comes back."""

    deadline: float
    is_return: bool


class Work(NamedTuple):
    """What a request takes of its server.

    A plain server has a place for each of its slots and works for ``seconds``. An
    engine reads one prompt at a time for so long, and generates for ``output_seconds``.
    """

    places: int
    seconds: float
    output_seconds: float = 0.0


class ReturningCallers:
    """The callers of one instance, and the servers that their requests run at.

    :param parts: the prompt parts of each request, none for plain servers.
    """

    def __init__(
        self,
        world: World,
        nursery: trio.Nursery,
        service: str,
        work: Work,
        parts: list[tuple[str, int]],
    ):
        self._names = ("i1#a", service, "")
        self._nursery = nursery
        self._work = work
        self._places: dict[str, trio.Semaphore] = {}
        self._parts = parts
        self._attempts: dict[int, Attempt] = {}
        self._session = world.coordinator._open(
            *self._names, self._receive, is_local=False
        )
        self.served: list[Attempt] = []
        self.refused: list[Attempt] = []
        # The refusals that named a time which their callers accept.
        self.named: list[Attempt] = []

    def send(self, left: float) -> None:
        """Let a caller ask that leaves after ``left`` seconds."""
        self._ask(Attempt(trio.current_time() + left, is_return=False))

    def count_kept(self) -> tuple[int, int]:
        """Return how many came back, and how many of these were served."""
        returns = [a for a in self._attempts.values() if a.is_return]
        return len(returns), sum(attempt.is_return for attempt in self.served)

    def _ask(self, attempt: Attempt) -> None:
        number = len(self._attempts) + 1
        self._attempts[number] = attempt
        parts = [(f"{name}{number}", tokens) for name, tokens in self._parts]
        left = attempt.deadline - trio.current_time()
        self._submit(asks=(make_ask(number, parts=parts, left=left),))

    def _submit(self, **entries: tuple) -> None:
        values = {"asks": (), "held": (), "ended": ()} | entries
        query = encode_placement_query(*self._names, **values)
        self._session.submit(query)

    def _receive(self, answer: PlacementAnswer) -> None:
        decisions, _ = decode_placement_answer(answer)
        for decision in decisions:
            attempt = self._attempts[decision.number]
            if decision.state is DecisionState.GRANTED:
                self._nursery.start_soon(self._run, decision, attempt)
            elif decision.state is DecisionState.REFUSED:
                self._take_refusal(attempt, decision.seconds)

    def _take_refusal(self, attempt: Attempt, seconds: float) -> None:
        self.refused.append(attempt)
        left = attempt.deadline - trio.current_time()
        if 0 <= seconds <= left * MAX_RETRY_SHARE + 1e-9:
            self.named.append(attempt)
            if not attempt.is_return:
                self._nursery.start_soon(self._return, attempt, seconds)

    async def _return(self, attempt: Attempt, seconds: float) -> None:
        await trio.sleep(seconds)
        self._ask(attempt._replace(is_return=True))

    async def _run(self, decision: PlacementDecision, attempt: Attempt) -> None:
        number, start_id = decision.number, decision.start_id
        if start_id not in self._places:
            self._places[start_id] = trio.Semaphore(self._work.places)
        async with self._places[start_id]:
            await trio.sleep(self._work.seconds)
        if self._parts:
            self._submit(ended=(EndedPlacement(number, PlacementEvent.READ),))
            await trio.sleep(self._work.output_seconds)
        self._submit(ended=(EndedPlacement(number, PlacementEvent.ANSWERED),))
        if trio.current_time() <= attempt.deadline:
            self.served.append(attempt)
