"""The loads in updates, built and encoded once for all peers that are sent the same."""

from __future__ import annotations

__all__ = ["SharedLoads"]

from collections.abc import Callable

from ashpond.clients.peer import PeerUpdate
from ashpond.controllers.directory import ServerTable
from ashpond.decisions.budget import AttemptCounts
from ashpond.fleet.links import Link, PeerRole
from ashpond.fleet.updates import Digest, encode_update
from ashpond.fleet.view import FleetView, InstanceLoad

# Links that are checked and written in the same steps of the event loop share a load
# for this long (seconds). A hub of a fleet of 84 has 23 links and sends eight updates a
# second over each.
SHARE_SECONDS = 0.02


class SharedLoads:
    """Builds the load for each link: of this instance, its group or the fleet.

    :param incarnation: that of this instance, the sender of the messages.
    :param list_attempts: returns this instance's attempts by service.
    """

    def __init__(
        self,
        incarnation: str,
        view: FleetView,
        table: ServerTable,
        list_attempts: Callable[[], dict[str, AttemptCounts]],
    ):
        self._incarnation = incarnation
        self._view = view
        self._table = table
        self._list_attempts = list_attempts
        self._built_at = float("-inf")
        self._own = InstanceLoad({}, {})
        self._group: InstanceLoad | None = None
        self._digest: Digest | None = None
        self._update: PeerUpdate | None = None

    def encode(self, digest: Digest) -> PeerUpdate:
        """Return the message for a digest; equal ones in a row share a message."""
        if self._update is None or digest != self._digest:
            self._update = encode_update(self._incarnation, digest)
            self._digest = digest
        return self._update

    def build(self, link: Link, now: float) -> InstanceLoad:
        """Return the load for a link; links of the same role may get the same object.

        :param now: the time on this process's clock.
        """
        if not 0 <= now - self._built_at < SHARE_SECONDS:
            self._built_at = now
            self._own = InstanceLoad(
                self._table.list_own_loads(), self._list_attempts()
            )
            self._group = None
        if link.role is PeerRole.MEMBER:
            return self._view.sum_fleet(self._own, link.name, now)
        if link.role is not PeerRole.OTHER_HUB:
            return self._own
        if self._group is None:
            self._group = self._view.sum_group(self._own, now)
        return self._group
