"""Counts of good and bad requests, kept in the platform's object store."""

from __future__ import annotations

__all__ = ["BurnController"]

import time
from typing import TYPE_CHECKING

import msgpack
import trio

from ashpond.decisions.burn import (
    BUCKET_SECONDS,
    BUCKETS_PER_HOUR,
    WINDOWS,
    BurnRow,
    Counts,
    coarsen_counts,
    compute_burn,
    count_outcome,
    merge_counts,
)
from ashpond.outcomes import Done, Unavailable

if TYPE_CHECKING:
    from ashpond.clients.platform import PlatformClient
    from ashpond.controllers.configuration import ConfigurationController

PREFIX = "burn/"
FLUSH_SECONDS = 10.0
FIRST_TOKEN = "first_token"
ANSWERED = "answered"

Buckets = dict[tuple[str, str, int], Counts]


class BurnController:
    """Counts requests by service, team and minute.

    Each incarnation of an instance writes an object of its own, so that writes need no
    merge and a restart loses no counts.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        platform: PlatformClient,
        configuration: ConfigurationController,
    ):
        self._key = f"{PREFIX}{name}/{incarnation}"
        self._platform = platform
        self._configuration = configuration
        self._buckets: Buckets = {}
        self._flushed: Buckets = {}

    def note(self, service: str, team: str, *, answered: bool, in_time: bool) -> None:
        """Count one request."""
        key = (service, team, int(time.time()) // BUCKET_SECONDS)
        counts = count_outcome(answered=answered, in_time=in_time)
        self._buckets[key] = self._buckets.get(key, Counts()).plus(counts)

    async def run(self) -> None:
        """Write the counts to the object store periodically, forever."""
        while True:
            await trio.sleep(FLUSH_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Write the counts to the object store if they have changed."""
        self._compact()
        if self._buckets == self._flushed:
            return
        snapshot = dict(self._buckets)
        outcome = await self._platform.put_object(self._key, pack_buckets(snapshot))
        if isinstance(outcome, Done):
            self._flushed = snapshot

    def _compact(self) -> None:
        newest = int(time.time()) // BUCKET_SECONDS
        oldest = newest - WINDOWS[-1].seconds // BUCKET_SECONDS - BUCKETS_PER_HOUR
        kept = {key: c for key, c in self._buckets.items() if key[2] >= oldest}
        self._buckets = coarsen_counts(kept, newest)

    async def report(self) -> list[BurnRow] | Unavailable:
        """Return the burn over all instances, including those that have stopped."""
        listed = await self._platform.list_objects(PREFIX)
        if not isinstance(listed, Done):
            return Unavailable("the platform's object store does not answer")
        parts = [self._buckets]
        for key in listed.value:
            if key == self._key:
                continue
            read = await self._platform.get_object(key)
            if not isinstance(read, Done):
                return Unavailable("the platform's object store does not answer")
            if read.value is not None:
                parts.append(unpack_buckets(read.value))
        return compute_burn(merge_counts(parts), self._list_targets(), time.time())

    def _list_targets(self) -> dict[str, dict[str, float]]:
        return {
            name: {
                FIRST_TOKEN: service.objective.first_token_share,
                ANSWERED: service.objective.answered_share,
            }
            for name, service in self._configuration.current.services.items()
        }


def pack_buckets(buckets: Buckets) -> bytes:
    """Return the stored form of the counts."""
    packed: bytes = msgpack.packb([[*key, *value] for key, value in buckets.items()])
    return packed


def unpack_buckets(packed: bytes) -> Buckets:
    """Return the counts of a stored object."""
    return {
        (service, team, bucket): Counts(*counts)
        for service, team, bucket, *counts in msgpack.unpackb(packed)
    }
