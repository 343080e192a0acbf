"""The hierarchy of exceptions that ashpond raises.

Expected results (a refusal, a conflict, a lost answer) are values, defined in
:mod:`ashpond.outcomes`. These exceptions mean invalid input from an operator or a
peer; any other exception is a broken invariant and stops the process.
"""

from __future__ import annotations

__all__ = [
    "AshpondError",
    "ConfigError",
    "FrameError",
    "InputError",
    "InputProblem",
    "SettingsError",
]

from typing import NamedTuple


class InputProblem(NamedTuple):
    """A fault in a file that an operator wrote."""

    file: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        shown = f" (got {self.value})" if self.value else ""
        return f"{self.file}: {self.key}: {self.reason}{shown}"


class AshpondError(Exception):
    """Base class of all exceptions that ashpond raises."""


class InputError(AshpondError):
    """Files written by an operator have faults; none of their contents is used."""

    def __init__(self, problems: list[InputProblem]):
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class SettingsError(InputError):
    """The settings file of an instance is invalid."""


class ConfigError(InputError):
    """The declared configuration is invalid."""


class FrameError(AshpondError):
    """A peer sent bytes that are not a valid frame."""
