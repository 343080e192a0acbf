"""Parsing of TOML text, with a report of its faults."""

from __future__ import annotations

__all__ = ["MAX_SHOWN_CHARACTERS", "load_toml"]

import tomllib
from typing import Any

from ashpond.errors import InputProblem

# Error messages show at most this many characters of a faulty value.
MAX_SHOWN_CHARACTERS = 60


def load_toml(name: str, text: str) -> tuple[dict[str, Any], list[InputProblem]]:
    """Parse TOML; return the table and the problems found."""
    try:
        return tomllib.loads(text), []
    except tomllib.TOMLDecodeError as error:
        return {}, [InputProblem(name, "(file)", "", f"not valid TOML: {error}")]
