"""Order configurations by generation: one head row, immutable contents, no rollback."""

from __future__ import annotations

__all__ = [
    "Accepted",
    "ApplyRequest",
    "Head",
    "Rejected",
    "check_read_back",
    "is_newer",
    "plan_head",
]

from typing import NamedTuple

MAX_APPLY_IDS = 32


class Head(NamedTuple):
    """The accepted configuration: a generation and the digest of each file.

    ``applies`` maps the ids of recent applies to their generations, so that a retry by
    an operator whose answer was lost returns the same generation.
    """

    generation: int = 0
    files: dict[str, str] = {}
    applies: dict[str, int] = {}


class ApplyRequest(NamedTuple):
    """An operator's change: the digest of each file by name, ``None`` to remove it.

    ``base`` is the generation that the change was made from, ``None`` for the one in
    force.
    """

    apply_id: str
    base: int | None
    digests: dict[str, str | None]


class Accepted(NamedTuple):
    """Result: the apply took effect, now or on an earlier try, as ``generation``."""

    generation: int


class Rejected(NamedTuple):
    """Result: the apply was based on ``base``, but ``current`` is in force."""

    base: int
    current: int


def plan_head(current: Head, request: ApplyRequest) -> Head | Accepted | Rejected:
    """Return the head to write, or the result if there is nothing to write."""
    if request.apply_id in current.applies:
        return Accepted(current.applies[request.apply_id])
    if request.base is not None and request.base != current.generation:
        return Rejected(request.base, current.generation)
    files = dict(current.files)
    for name, digest in request.digests.items():
        if digest is None:
            files.pop(name, None)
        else:
            files[name] = digest
    generation = current.generation + 1
    recent = list(current.applies.items())[-(MAX_APPLY_IDS - 1) :]
    applies = dict(recent) | {request.apply_id: generation}
    return Head(generation, files, applies)


def check_read_back(head: Head, request: ApplyRequest) -> Accepted | None:
    """Return the acceptance if a write whose answer was lost took effect."""
    if request.apply_id in head.applies:
        return Accepted(head.applies[request.apply_id])
    return None


def is_newer(running: Head | None, received: Head) -> bool:
    """Return whether to adopt ``received``: only if its generation is higher."""
    return received.generation > (running.generation if running else 0)
