"""Mutations that each remove a guard, to check that the tests fail without it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

MUTANT_EXAMPLES = 1500


class Mutant(NamedTuple):
    """A mutation that replaces ``target.name`` with ``function``."""

    label: str
    target: Any
    name: str
    function: Callable[..., Any] | Any


def expect_caught(machine: Any, mutant: Mutant, monkeypatch: Any) -> None:
    """Check that ``machine`` fails with the mutation applied."""
    monkeypatch.setattr(mutant.target, mutant.name, mutant.function)
    limits = settings(
        max_examples=MUTANT_EXAMPLES,
        stateful_step_count=40,
        derandomize=True,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        phases=(Phase.generate,),
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=limits)
