"""The time that an instance which stops has left for its answers."""

from __future__ import annotations

__all__ = ["GracePeriod"]

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator


class GracePeriod:
    """When the answers of this instance must have ended.

    ``ends_at`` is infinite until the instance stops.
    """

    def __init__(self) -> None:
        self.ends_at = math.inf
        # The scopes that are open, with the time that is needed after each (seconds).
        self._needed: dict[trio.CancelScope, float] = {}

    def begin(self, ends_at: float) -> None:
        """Limit all open scopes, and later ones.

        :param ends_at: in trio's time.
        """
        self.ends_at = ends_at
        for scope, needed in self._needed.items():
            scope.deadline = min(scope.deadline, ends_at - needed)

    def leaves_time(self, needed: float) -> bool:
        """Return whether something that takes so long can still end (seconds)."""
        return trio.current_time() + needed <= self.ends_at

    @contextmanager
    def limit(self, deadline: float, needed: float = 0.0) -> Iterator[trio.CancelScope]:
        """Cancel the body at ``deadline``, or sooner if this instance stops.

        :param needed: what has to be left of the grace period (seconds).
        """
        with trio.move_on_at(min(deadline, self.ends_at - needed)) as scope:
            self._needed[scope] = needed
            try:
                yield scope
            finally:
                del self._needed[scope]
