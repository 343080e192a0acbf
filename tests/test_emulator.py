"""Tests of the emulator: engines in virtual time, scenarios, experiment files."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
import trio.testing
from click.testing import CliRunner

from ashpond.cli import main
from ashpond.emulator.engines import EmulatedEngine, EngineShape, Run
from ashpond.emulator.experiments import load_experiment, measure
from ashpond.emulator.scenarios import (
    Crash,
    EngineStatement,
    RequestKind,
    Scenario,
    StatementKind,
)
from ashpond.emulator.simulation import _Simulation, run_scenario
from ashpond.errors import InputError
from tests.gateway_builders import make_prompt

SHAPE = EngineShape(step_seconds=0.005, read_tokens_per_second=40_000.0)
CHECK = RequestKind("check", 10.0, 0.6, 6.0)
EXPERIMENT = Path("examples/lab.toml")


async def run_one(engine: EmulatedEngine, run: Run, **changes: object) -> float:
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        engine.submit(run, changes.get("source"))  # type: ignore[arg-type]
        await run.has_begun.wait()
        nursery.cancel_scope.cancel()
    return trio.current_time() - started


def make_run(own: str = "own") -> Run:
    return Run(make_prompt("rules", "shop", own, tokens=4000), "salt", 10, 5)


async def test_cached_prompt_parts_are_not_read_again(autojump_clock: object) -> None:
    engine = EmulatedEngine("e", SHAPE, set())
    first = await run_one(engine, make_run())
    assert 12_000 / 40_000 < first < 12_000 / 40_000 + 0.06
    assert await run_one(engine, make_run("other")) < 4000 / 40_000 + 0.06
    assert (engine.tokens_read, engine.tokens_read_again) == (16_000, 0)


async def test_fetched_parts_are_not_read_and_take_link_time(
    autojump_clock: object,
) -> None:
    ever_read: set[tuple[str, str]] = set()
    source = EmulatedEngine("e1", SHAPE, ever_read)
    await run_one(source, make_run())
    other = EmulatedEngine("e2", SHAPE, ever_read)
    seconds = await run_one(other, make_run("other"), source=source)
    fetch = 8000 / SHAPE.link_tokens_per_second
    assert fetch + 0.1 <= seconds < fetch + 0.1 + 0.06
    assert other.tokens_read == 4000


async def test_weights_load_after_the_runs_end_and_clear_the_cache(
    autojump_clock: object,
) -> None:
    engine = EmulatedEngine("e", SHAPE, set())
    run = make_run()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        engine.submit(run, None)
        await run.has_begun.wait()
        engine.order_weights(2, cuts_runs=False)
        await run.has_ended.wait()
        assert (engine.version, run.has_failed) == (1, False)
        await trio.sleep(SHAPE.load_seconds + 0.1)
        nursery.cancel_scope.cancel()
    assert (engine.version, engine.has_cached("salt", "rules")) == (2, False)


def test_the_same_seed_gives_the_same_outcomes() -> None:
    scenario = Scenario((CHECK,), seconds=3.0, crashes=(Crash(1.0, 0),))
    assert run_scenario(scenario) == run_scenario(scenario)
    assert run_scenario(scenario) != run_scenario(scenario._replace(seed=2))


def test_callers_earn_most_of_the_worth_despite_crashes() -> None:
    """The earned share of the worth with seed 1 is 1.0, and 0.978 with two crashes."""
    calm = measure(Scenario((CHECK,), seconds=10.0))
    assert calm.worth > 0.98
    assert calm.unserved == 0
    crashes = (Crash(3.0, 0), Crash(3.0, 1))
    assert measure(Scenario((CHECK,), seconds=10.0, crashes=crashes)).worth > 0.95


def test_the_standard_experiment_is_valid() -> None:
    experiment = load_experiment(str(EXPERIMENT))
    assert set(experiment.scenarios) == {
        "calm",
        "versions",
        "crashes",
        "burst",
        "limits",
        "backoffs",
        "leaves",
    }


@pytest.mark.parametrize(
    ("old", "new", "key", "reason"),
    [
        ("seeds = 4", "seeds = 'x'", "seeds", "Expected `int`"),
        ("worth = 3.6", "wort = 3.6", "kinds.check.wort", "unknown key"),
        ("objective = 0.6\n", "", "kinds.check.objective", "required"),
        ('["check", "note"]', '["chek"]', "scenarios.calm.kinds", "no kind"),
        ("[[4.0, 0,", "[[4.0, 9,", "scenarios.crashes.crashes", "no engine"),
        ("[[4.0, 0, 10", "[[4.0, 7, 10", "scenarios.limits.statements", "no engine"),
        ('"leaving"], [9', '"gone"], [9', "(file)", "Invalid enum value"),
    ],
)
def test_an_invalid_experiment_file_names_file_key_and_reason(
    tmp_path: Path, old: str, new: str, key: str, reason: str
) -> None:
    path = tmp_path / "lab.toml"
    text = EXPERIMENT.read_text(encoding="utf-8")
    assert old in text
    path.write_text(text.replace(old, new, 1), encoding="utf-8")
    with pytest.raises(InputError) as caught:
        load_experiment(str(path))
    problem = str(caught.value)
    assert str(path) in problem
    assert key in problem
    assert reason in problem


def test_the_lab_command_prints_a_repeatable_row_per_scenario(tmp_path: Path) -> None:
    path = tmp_path / "lab.toml"
    text = "seeds = 2\n[kinds.a]\nper_second = 5.0\nobjective = 0.6\ntimeout = 6.0\n"
    text += '[scenarios.calm]\nkinds = ["a"]\nseconds = 2.0\n'
    path.write_text(text, encoding="utf-8")
    runs = [CliRunner().invoke(main, ["lab", str(path)]) for _ in range(2)]
    assert runs[0].exit_code == 0
    assert "calm" in runs[0].output
    assert runs[0].output == runs[1].output


NOTE = RequestKind(
    "note", 15.0, 0.4, 15.0, 1.7, 0.1, 0, 50, 150, 628, 290, 150, is_resumable=True
)
LIMIT = EngineStatement(4.0, 0, 12.0, StatementKind.LIMIT, 1.5)


@pytest.mark.parametrize("instances", [1, 8])
@pytest.mark.parametrize(
    "statements",
    [
        (LIMIT,),
        (LIMIT, LIMIT._replace(at=6.0, engine=1, seconds=8.0, value=0.0)),
        (EngineStatement(4.0, 0, 8.0, StatementKind.BACKOFF, 3.0),),
        (EngineStatement(4.0, 0, 16.0, StatementKind.LEAVING),),
    ],
)
def test_callers_are_served_while_engines_limit_back_off_or_leave(
    statements: tuple[EngineStatement, ...], instances: int
) -> None:
    """Guards against lost requests while three of five engines are unaffected."""
    scenario = Scenario(
        (CHECK, NOTE), seconds=20.0, instances=instances, statements=statements
    )
    figures = measure(scenario)
    assert figures.unserved == 0
    assert figures.worth > 0.95


def test_engines_receive_requests_only_within_their_statements() -> None:
    """Guards against instances that together exceed what an engine allows.

    Only arrivals from 3 s after the first statement are checked for the rate limit.
    """
    simulation = _Simulation(
        Scenario(
            (CHECK, NOTE),
            seconds=20.0,
            statements=(
                LIMIT,
                EngineStatement(4.0, 1, 8.0, StatementKind.BACKOFF, 3.0),
                EngineStatement(4.0, 2, 16.0, StatementKind.LEAVING),
            ),
        )
    )
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(simulation.run, clock=clock)
    limited_arrivals, backoff_arrivals, leaving_arrivals = (
        simulation.engines[f"e{n}"].arrivals for n in range(3)
    )
    arrivals = [at for at in limited_arrivals if 7.0 <= at <= 16.0]
    window_counts = [
        sum(1 for at in arrivals if end - 4.0 <= at <= end) for end in arrivals
    ]
    assert max(window_counts) <= 1.5 * 1.5 * 4 + 5
    assert len(arrivals) >= 0.7 * 1.5 * 9
    assert not [at for at in leaving_arrivals if at > 6.5]
    # In each backoff of 3 s, each of the eight instances may still have two requests
    # on their way.
    assert len([at for at in backoff_arrivals if 4.5 <= at <= 12.0]) <= 8 * 3 * 3
