"""Order configurations: one head row, contents that never change, no way back."""

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

    ``applies`` maps the ids of the latest applies to their generations, so
    that an operator whose answer was lost can be told.
    """

    generation: int = 0
    files: dict[str, str] = {}
    applies: dict[str, int] = {}


class ApplyRequest(NamedTuple):
    """An operator's change: files by name and digest, ``None`` to remove one.

    ``base`` is the generation that the operator had before them, ``None`` for
    whichever is in force.
    """

    apply_id: str
    base: int | None
    digests: dict[str, str | None]


class Accepted(NamedTuple):
    """The apply is, or already was, in force as ``generation``."""

    generation: int


class Rejected(NamedTuple):
    """The apply was based on ``base``, but ``current`` is in force."""

    base: int
    current: int


def plan_head(current: Head, request: ApplyRequest) -> Head | Accepted | Rejected:
    """Return the head to swap in, or the answer if there is nothing to write."""
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
    """Return the acceptance if a lost write of this request took effect."""
    if request.apply_id in head.applies:
        return Accepted(head.applies[request.apply_id])
    return None


def is_newer(running: Head | None, received: Head) -> bool:
    """Return whether to adopt ``heard``: only ever a higher generation."""
    return received.generation > (running.generation if running else 0)
