"""What a client says of its prompt."""

from __future__ import annotations

__all__ = ["Prompt", "PromptPart"]

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A piece of a prompt that other prompts may begin with as well."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """What a client says of its prompt; the last part is its own."""

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
