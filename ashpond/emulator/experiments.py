"""Experiment files: loading, running and reporting of scenarios."""

from __future__ import annotations

__all__ = ["Experiment", "Figures", "load_experiment", "measure", "render_table"]

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ashpond.emulator.engines import EngineShape
from ashpond.emulator.scenarios import (
    Crash,
    EngineStatement,
    RequestKind,
    Scenario,
)
from ashpond.emulator.simulation import Outcome, run_scenario
from ashpond.errors import InputError, InputProblem
from ashpond.tables import load_toml

# Requests are grouped by when they were first sent, in spans of this length
# (seconds); the worst spans give ``Figures.worst``.
SPAN_SECONDS = 2.0
WORST_SPANS = 2
# The interval of a mean over few runs is this many standard errors to each side.
INTERVAL_STANDARD_ERRORS = 2.0


class Figures(NamedTuple):
    """The results of one run, as shares.

    ``worth`` is the worth earned, of the worth of all requests; ``worst`` is the mean
    of the same share in the worst spans. The others are shares of all requests:
    answered late, not served, answered with a pause over the limit, and answered on
    stale weights.
    """

    worth: float
    worst: float
    late: float
    unserved: float
    paused: float
    stale: float


class Experiment(NamedTuple):
    """Scenarios by name, and how many seeds each is run with."""

    seeds: int
    scenarios: dict[str, Scenario]


class _ScenarioTable(msgspec.Struct, forbid_unknown_fields=True):
    kinds: list[str]
    seconds: float = 20.0
    engines: int = 5
    instances: int = 8
    load: float = 1.0
    crashes: list[Crash] = []
    statements: list[EngineStatement] = []
    versions_at: list[float] = []
    bound_seconds: float = 8.0


class _ExperimentTable(msgspec.Struct, forbid_unknown_fields=True):
    seeds: int
    kinds: dict[str, dict[str, Any]]
    scenarios: dict[str, _ScenarioTable]
    engine: dict[str, Any] = {}


def load_experiment(path: str) -> Experiment:
    """Read and check an experiment file.

    :raises InputError: with the file, key and reason of the first invalid entry.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InputError([InputProblem(path, "(file)", "", str(error))]) from error
    table, problems = load_toml(path, text)
    if problems:
        raise InputError(problems)
    checked = _convert(path, "(file)", table, _ExperimentTable)
    shape = _build_tuple(path, "engine", checked.engine, EngineShape)
    kinds = {
        name: _build_tuple(path, f"kinds.{name}", {"name": name} | entry, RequestKind)
        for name, entry in checked.kinds.items()
    }
    scenarios = {}
    for name, entry in checked.scenarios.items():
        key = f"scenarios.{name}"
        unknown = [kind for kind in entry.kinds if kind not in kinds]
        if unknown:
            raise InputError(
                [InputProblem(path, f"{key}.kinds", unknown[0], "no kind")]
            )
        if any(crash.engine >= entry.engines for crash in entry.crashes):
            raise InputError([InputProblem(path, f"{key}.crashes", "", "no engine")])
        if any(statement.engine >= entry.engines for statement in entry.statements):
            problem = InputProblem(path, f"{key}.statements", "", "no engine")
            raise InputError([problem])
        scenarios[name] = _build_scenario(entry, kinds, shape)
    return Experiment(checked.seeds, scenarios)


def _convert(path: str, key: str, table: Any, target_type: Any) -> Any:
    try:
        return msgspec.convert(table, target_type)
    except msgspec.ValidationError as error:
        raise InputError([InputProblem(path, key, "", str(error))]) from error


def _build_tuple(path: str, key: str, table: dict[str, Any], target_type: Any) -> Any:
    """Return ``table`` as a named tuple of the type ``target_type``.

    Fields that the file does not set get their defaults.

    :raises InputError: if a key is unknown, or a required one is missing.
    """
    unknown = [field for field in table if field not in target_type._fields]
    if unknown:
        problem = InputProblem(path, f"{key}.{unknown[0]}", "", "unknown key")
        raise InputError([problem])
    required = [
        field
        for field in target_type._fields
        if field not in target_type._field_defaults
    ]
    for name in required:
        if name not in table:
            problem = InputProblem(path, f"{key}.{name}", "", "this key is required")
            raise InputError([problem])
    values = target_type._field_defaults | table
    return _convert(
        path, key, [values[field] for field in target_type._fields], target_type
    )


def _build_scenario(
    entry: _ScenarioTable, kinds: dict[str, RequestKind], shape: EngineShape
) -> Scenario:
    selected = [kinds[name] for name in entry.kinds]
    return Scenario(
        tuple(k._replace(per_second=k.per_second * entry.load) for k in selected),
        seconds=entry.seconds,
        engines=entry.engines,
        instances=entry.instances,
        shape=shape,
        crashes=tuple(entry.crashes),
        statements=tuple(entry.statements),
        versions_at=tuple(entry.versions_at),
        bound_seconds=entry.bound_seconds,
    )


def measure(scenario: Scenario) -> Figures:
    """Run a scenario in virtual time; return its results."""
    outcomes = run_scenario(scenario)
    count = max(1, len(outcomes))
    spans: dict[int, list[Outcome]] = {}
    for outcome in outcomes:
        spans.setdefault(int(outcome.first_sent_at // SPAN_SECONDS), []).append(outcome)
    worst = sorted(_compute_earned_share(span) for span in spans.values())[:WORST_SPANS]
    return Figures(
        _compute_earned_share(outcomes),
        statistics.mean(worst) if worst else 1.0,
        sum(o.first_event_seconds is not None and not o.is_in_time for o in outcomes)
        / count,
        sum(o.first_event_seconds is None for o in outcomes) / count,
        sum(o.has_long_pause for o in outcomes) / count,
        sum(o.is_stale for o in outcomes) / count,
    )


def _compute_earned_share(outcomes: Sequence[Outcome]) -> float:
    total_worth = sum(outcome.kind.worth for outcome in outcomes)
    return (
        sum(outcome.earned_worth for outcome in outcomes) / total_worth
        if total_worth
        else 1.0
    )


def render_table(results: dict[str, list[Figures]]) -> str:
    """Return a table with a row per scenario.

    Its columns are means over the seeds, and the interval of the worth.
    """
    head = "".join(f"{field:>10}" for field in Figures._fields)
    lines = [f"{'scenario':20} {'seeds':>5}{head}  interval of worth"]
    for name, figures in results.items():
        means = [statistics.mean(values) for values in zip(*figures, strict=True)]
        row = "".join(f"{mean:10.3f}" for mean in means)
        lines.append(
            f"{name:20} {len(figures):5d}{row}  ±{_compute_interval(figures):.3f}"
        )
    return "\n".join(lines)


def _compute_interval(figures: Sequence[Figures]) -> float:
    if len(figures) < 2:
        return 0.0
    deviation = statistics.stdev(entry.worth for entry in figures)
    return INTERVAL_STANDARD_ERRORS * deviation / len(figures) ** 0.5
