"""Track the contents and the availability of the cache stores.

All parts of a prompt go to one store, chosen by rendezvous hashing of the last shared
part, so that the memory and the links of all stores are used.
"""

from __future__ import annotations

__all__ = ["EVENTS_PREFIX", "CacheStores", "StoreContents"]

from collections.abc import Callable

import trio

from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.declared import CacheStore
from ashpond.decisions.prompts import Prompt
from ashpond.decisions.selection import rank_homes
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.orders import CacheEvent, CacheEvents, EnginePort
from ashpond.gateway.store import Row

# One call at a time is held open for events. The pause after an answer lets the next
# one return several events at once (seconds).
WAIT_SECONDS = 1.0
PAUSE_SECONDS = 0.25
RETRY_SECONDS = 0.4
RECHECK_SECONDS = 0.5
# A part that a request is saving is not saved again within this time (seconds).
SAVING_SECONDS = 2.0
# Time without an update from the readers after which an instance calls the store, and
# the interval of further calls while no update arrives (seconds).
READERS_IDLE_TIMEOUT_SECONDS = 3.0
# Events are forwarded as rows of a table that is named by this prefix, the store's
# address and its epoch. A row's key is the salt and the part; neither contains the
# separator.
EVENTS_PREFIX = "cache-events "
SEPARATOR = "\x1f"


class StoreContents:
    """The parts that one cache store holds, according to its events.

    A store serves a dozen calls at once and refuses others: polled by all of 195
    instances, the two stores refused some 250 calls a second. In a large fleet only the
    readers therefore poll the store, and forward its events as updates of a table. Any
    other instance calls the store once for events that it has missed. If that call is
    refused, it continues with the updates, without the missed events: a part that it
    does not know of is read or saved once more, and a part that the store has evicted
    costs a failed fetch (1 ms).

    :param is_reader: returns whether this instance polls the store for others as well.
    :param publish: sends an update to the instances that this instance forwards to.
    """

    def __init__(
        self,
        store: CacheStore,
        is_reader: Callable[[], bool] = lambda: True,
        publish: Callable[[TableUpdate], None] = lambda update: None,
    ) -> None:
        self.store = store
        self.is_up = False
        # Whether all parts in the store are known, not only those saved since a gap.
        self.is_complete = False
        self._stored_parts: set[tuple[str, str]] = set()
        self._saving_since: dict[tuple[str, str], float] = {}
        self._is_reader = is_reader
        self._publish = publish
        self._epoch: int | None = None
        self._last_number = 0
        self._updated_at = float("-inf")
        self._has_gap = False
        self._accepts_gap = False
        self._update_event = trio.Event()

    def count_tokens(self, salt: str, prompt: Prompt) -> int:
        """Return how many of the prompt's first tokens the store holds."""
        if not self.is_up:
            return 0
        tokens = 0
        for part in prompt.parts[:-1]:
            if (salt, part.id) not in self._stored_parts:
                break
            tokens += part.tokens
        return tokens

    def plan_save(self, salt: str, prompt: Prompt, now: float) -> bool:
        """Return whether a request should save its shared parts in the store."""
        if not self.is_up:
            return False
        missing = [
            (salt, part.id)
            for part in prompt.parts[:-1]
            if (salt, part.id) not in self._stored_parts
            and now - self._saving_since.get((salt, part.id), float("-inf"))
            > SAVING_SECONDS
        ]
        for key in missing:
            self._saving_since[key] = now
        return bool(missing)

    def expire(self, now: float) -> None:
        """Remove records of saves that have had time to finish."""
        self._saving_since = {
            key: at
            for key, at in self._saving_since.items()
            if now - at <= SAVING_SECONDS
        }

    async def follow(self, engines: EnginePort, log: DecisionLog) -> None:
        """Follow the store until cancelled."""
        # An instance that is no reader waits for the first update before it calls.
        self._updated_at = trio.current_time()
        while True:
            if self._is_served_by_readers(trio.current_time()):
                with trio.move_on_after(RECHECK_SECONDS):
                    await self._update_event.wait()
            else:
                await self._poll(engines, log)

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply an update that was forwarded; return whether to forward it further."""
        now = trio.current_time()
        epoch = self._parse_epoch(update)
        is_new_epoch = epoch != self._epoch
        if epoch is None or (self._is_reader() and is_new_epoch):
            # A reader learns of another epoch from the store itself.
            return False
        is_gap = update.after > (0 if is_new_epoch else self._last_number)
        if is_gap and not self._accepts_gap:
            self._has_gap = True
            self._wake()
            return False
        if is_new_epoch:
            self._begin_epoch(epoch)
        self.is_complete = update.is_whole or (self.is_complete and not is_gap)
        self._accepts_gap = False
        is_new = update.version > self._last_number
        should_forward = is_new or now - self._updated_at >= PAUSE_SECONDS
        self._updated_at = now
        self.is_up = True
        if is_new:
            self._apply(_decode_events(update, self._last_number))
            self._last_number = update.version
        self._wake()
        return should_forward

    def _is_served_by_readers(self, now: float) -> bool:
        """Return whether updates from readers make a call unnecessary."""
        if self._has_gap or self._is_reader():
            return False
        return now - self._updated_at < READERS_IDLE_TIMEOUT_SECONDS

    def _begin_epoch(self, epoch: int | None) -> None:
        """Remove all parts known from an earlier epoch of the store."""
        self._stored_parts.clear()
        self.is_complete = False
        self._epoch, self._last_number = epoch, 0

    async def _poll(self, engines: EnginePort, log: DecisionLog) -> None:
        """Call the store once for new events; a reader publishes them."""
        since = self._last_number
        address = self.store.address
        answer = await engines.read_cache_events(address, since, WAIT_SECONDS)
        had_gap, self._has_gap = self._has_gap, False
        if not isinstance(answer, CacheEvents):
            await self._handle_failure(had_gap, answer.reason, log)
            return
        if not self.is_up:
            log.note("cache_store_up", store=address, epoch=answer.epoch)
        self.is_up = True
        if self._epoch is not None and answer.epoch != self._epoch:
            self._begin_epoch(answer.epoch)
            # The next call reads the new epoch's events at once.
            self._has_gap = True
            return
        if since == 0 or answer.is_gap:
            self.is_complete = not answer.is_gap
        # Updates may have brought later events during the call.
        self._apply(tuple(e for e in answer.events if e.number > self._last_number))
        self._epoch, self._last_number = (
            answer.epoch,
            max(self._last_number, answer.next),
        )
        self._updated_at = trio.current_time()
        if self._is_reader():
            self._publish(_encode_events(self._make_table_name(), since, answer))
        await trio.sleep(PAUSE_SECONDS)

    async def _handle_failure(
        self, had_gap: bool, reason: str, log: DecisionLog
    ) -> None:
        """Record a failed call and wait for the retry.

        A failed call for missed events does not mark the store as down: the next
        update is applied in spite of the gap.
        """
        if had_gap and not self._is_reader():
            self._accepts_gap = True
            return
        if self.is_up:
            log.note("cache_store_lost", store=self.store.address, reason=reason)
        self.is_up = False
        # Restarts the idle timeout: without it, all instances would poll a store that
        # no reader reaches.
        self._updated_at = trio.current_time()
        await trio.sleep(RETRY_SECONDS)

    def _parse_epoch(self, update: TableUpdate) -> int | None:
        """Return the epoch of the store that an update belongs to, None if invalid."""
        text = update.table.rpartition(" ")[2]
        return int(text) if text.isascii() and text.isdigit() else None

    def _make_table_name(self) -> str:
        """Return the table name under which events of this epoch are forwarded."""
        return f"{EVENTS_PREFIX}{self.store.address} {self._epoch}"

    def _wake(self) -> None:
        self._update_event.set()
        self._update_event = trio.Event()

    def _apply(self, events: tuple[CacheEvent, ...]) -> None:
        for event in events:
            key = (event.salt, event.part)
            if event.is_stored:
                self._stored_parts.add(key)
            else:
                self._stored_parts.discard(key)


class CacheStores:
    """All declared cache stores. Parameters are as for :class:`StoreContents`."""

    def __init__(
        self,
        is_reader: Callable[[], bool] = lambda: True,
        publish: Callable[[TableUpdate], None] = lambda update: None,
    ) -> None:
        self.by_address: dict[str, StoreContents] = {}
        self._is_reader = is_reader
        self._publish = publish
        self._scopes: dict[str, trio.CancelScope] = {}

    def pick(self, prompt: Prompt, cache_namespace: str) -> StoreContents | None:
        """Return the store for a prompt's shared parts, None if none is up."""
        up = [a for a, contents in self.by_address.items() if contents.is_up]
        if not up or len(prompt.parts) < 2:
            return None
        address = rank_homes(prompt.parts[-2].id, cache_namespace, up)[0]
        return self.by_address[address]

    def count_up(self) -> int:
        """Return how many stores answer."""
        return sum(contents.is_up for contents in self.by_address.values())

    def expire(self, now: float) -> None:
        """Remove records of saves that have had time to finish."""
        for contents in self.by_address.values():
            contents.expire(now)

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply an update to its store; return whether to forward it further."""
        address = update.table.removeprefix(EVENTS_PREFIX).partition(" ")[0]
        contents = self.by_address.get(address)
        return contents is not None and contents.apply_update(update)

    async def follow(
        self,
        get_stores: Callable[[], tuple[CacheStore, ...]],
        engines: EnginePort,
        log: DecisionLog,
    ) -> None:
        """Follow the declared stores until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                wanted = {store.address: store for store in get_stores()}
                for address in self.by_address.keys() - wanted.keys():
                    del self.by_address[address]
                    self._scopes.pop(address).cancel()
                for address in sorted(wanted.keys() - self.by_address.keys()):
                    self._add(nursery, wanted[address], engines, log)
                await trio.sleep(RECHECK_SECONDS)

    def _add(
        self,
        nursery: trio.Nursery,
        store: CacheStore,
        engines: EnginePort,
        log: DecisionLog,
    ) -> None:
        contents = StoreContents(store, self._is_reader, self._publish)
        scope = trio.CancelScope()
        self.by_address[store.address] = contents
        self._scopes[store.address] = scope

        async def follow() -> None:
            with scope:
                await contents.follow(engines, log)

        nursery.start_soon(follow)


def _encode_events(name: str, since: int, answer: CacheEvents) -> TableUpdate:
    rows = tuple(
        Row(
            name,
            f"{event.salt}{SEPARATOR}{event.part}",
            b"" if event.is_stored else None,
            event.number,
        )
        for event in answer.events
    )
    is_whole = since == 0 and not answer.is_gap
    return TableUpdate(name, since, answer.next, 0.0, rows, is_whole=is_whole)


def _decode_events(update: TableUpdate, since: int) -> tuple[CacheEvent, ...]:
    events = []
    for row in update.rows:
        salt, _, part = row.key.rpartition(SEPARATOR)
        if row.version > since:
            events.append(CacheEvent(row.version, salt, part, row.value is not None))
    return tuple(events)
