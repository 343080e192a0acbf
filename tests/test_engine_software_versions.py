"""Streams of the callers' API while engines of several software versions serve."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest
import trio

from ashpond.call import Call
from ashpond.clients.engine import EngineAnswer
from ashpond.clients.http import make_client
from ashpond.controllers.engines import InFlight
from ashpond.filters.dispatch import Dispatcher, _Attempt
from ashpond.filters.placement import Placement
from ashpond.outcomes import Answered
from tests.builders import make_call, make_report, make_settings


class Response:
    def __init__(self) -> None:
        self.is_closed = False

    async def aclose(self) -> None:
        self.is_closed = True


def make_answer(software: str) -> EngineAnswer:
    response: Any = Response()
    return EngineAnswer("x", 200, "i1", "s1", "w1", None, response, software)


class ScriptedDispatcher(Dispatcher):
    """Chooses among engines that report a version, and answer with one."""

    def __init__(self, reported: dict[str, str], answered: dict[str, str]):
        unused: Any = None
        engines: Any = SimpleNamespace(
            servers={
                name: SimpleNamespace(report=make_report(software=software))
                for name, software in reported.items()
            }
        )
        self.answered = answered
        self.opened: list[str] = []
        self.answers: list[EngineAnswer] = []
        super().__init__(
            make_settings(),
            unused,
            engines,
            unused,
            self._place,
            unused,
            random.Random(1),
            make_client(0.5, 0.5),
            unused,
        )

    def _place(self, call: Call, skipped: set[str]) -> Placement | None:
        names = [name for name in self.answered if name not in skipped]
        return make_placement(names[0]) if names else None

    async def _open(self, call: Call, attempt: _Attempt, after: int) -> Answered:
        await trio.lowlevel.checkpoint()
        name = attempt.placement.server
        self.opened.append(name)
        self.answers.append(make_answer(self.answered[name]))
        return Answered(self.answers[-1])


def make_placement(name: str) -> Placement:
    return Placement(name, f"{name}:1", "w1", "salt", (), 0.0, 0)


async def continue_after(
    dispatcher: ScriptedDispatcher, after: int
) -> EngineAnswer | None:
    """Continue a stream that an engine of software v1 has begun."""
    in_flight: Any = InFlight
    attempt = _Attempt(make_placement("e1"), "a1", in_flight)
    return await dispatcher._continue_elsewhere(
        make_call(), attempt, make_answer("v1"), after
    )


async def test_a_stream_goes_on_at_an_engine_of_its_software_version() -> None:
    versions = {"e1": "v1", "e2": "v1.1", "e3": "v1"}
    dispatcher = ScriptedDispatcher(versions, versions)
    answer = await continue_after(dispatcher, 3)
    assert answer is not None
    assert (answer.software, dispatcher.opened) == ("v1", ["e3"])


async def test_a_stream_ends_without_an_engine_of_its_software_version() -> None:
    versions = {"e1": "v1", "e2": "v1.1", "e3": ""}
    dispatcher = ScriptedDispatcher(versions, versions)
    assert await continue_after(dispatcher, 3) is None
    assert dispatcher.opened == []


async def test_an_engine_that_restarted_with_other_software_does_not_continue() -> None:
    reported = {"e1": "v1", "e2": "v1"}
    dispatcher = ScriptedDispatcher(reported, {"e1": "v1", "e2": "v2"})
    assert await continue_after(dispatcher, 3) is None
    assert dispatcher.answers[0].response.is_closed  # type: ignore[attr-defined]


@pytest.mark.parametrize("software", ["v1", "v1.1", ""])
async def test_any_engine_may_begin_a_stream_of_which_no_event_came(
    software: str,
) -> None:
    versions = {"e1": "v1", "e2": software}
    dispatcher = ScriptedDispatcher(versions, versions)
    assert await continue_after(dispatcher, 0) is not None
