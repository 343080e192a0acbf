"""The log format of what the choice of a server depended on."""

from __future__ import annotations

__all__ = ["describe_candidate", "describe_demand", "parse_candidate", "parse_demand"]

from typing import Any

from ashpond.decisions.loads import Load
from ashpond.decisions.prompts import Prompt, PromptPart
from ashpond.decisions.selection import Candidate, Demand

# The last fields of a candidate, which are on its speed.
SPEED_FIELDS = 3


def describe_candidate(candidate: Candidate) -> list[Any]:
    """Return a candidate as a list for a log line, see :func:`parse_candidate`.

    The fields on its speed are left out where they have their defaults.
    """
    load = list(candidate.load)
    share = round(candidate.failure_share, 3)
    fields = list(candidate._replace(load=load, failure_share=share))  # type: ignore
    defaults = list(Candidate._field_defaults.values())
    if fields[-SPEED_FIELDS:] == defaults[-SPEED_FIELDS:]:
        return fields[:-SPEED_FIELDS]
    return fields


def parse_candidate(fields: list[Any]) -> Candidate:
    """Return the candidate that :func:`describe_candidate` wrote to a log line."""
    candidate = Candidate(*fields)
    return candidate._replace(load=Load(*candidate.load))


def describe_demand(demand: Demand) -> list[Any]:
    """Return the properties that the choice of a server depends on, for a log line."""
    prompt = demand.prompt
    sizes = [part.tokens for part in prompt.parts] if prompt else []
    tokens = [prompt.tokens, prompt.max_output_tokens, sizes] if prompt else None
    described = [demand.service, demand.model, demand.is_resumable, tokens]
    return [*described, True] if demand.is_suspected else described


def parse_demand(fields: list[Any]) -> Demand:
    """Return the demand that a log line holds; its parts have sizes only."""
    service, model, is_resumable, tokens, *rest = fields
    prompt = None
    if tokens is not None:
        parts = tuple(PromptPart("", size) for size in tokens[2])
        prompt = Prompt(model or "", tokens[0], tokens[1], parts)
    return Demand(
        service,
        model,
        prompt,
        "",
        is_resumable=is_resumable,
        is_suspected=bool(rest),
    )
