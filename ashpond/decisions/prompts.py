"""The description of a prompt that its client sends."""

from __future__ import annotations

__all__ = ["Prompt", "PromptPart"]

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt; other prompts may begin with the same parts."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """A client's description of its prompt.

    All parts but the last may be shared with other prompts.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
