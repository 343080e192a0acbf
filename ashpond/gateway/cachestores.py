"""Follow what the cache stores hold, and whether they answer."""

from __future__ import annotations

__all__ = ["EVENTS_PREFIX", "CacheStores"]

from collections.abc import Callable

import trio

from ashpond.gateway.calls import Prompt
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.declared import CacheStore
from ashpond.gateway.feeds import TableNews
from ashpond.gateway.orders import CacheEvent, CacheEvents, EnginePort
from ashpond.gateway.store import Row

# One waiting call at a time; changes are left to gather between them (seconds).
WAIT_SECONDS = 1.0
PAUSE_SECONDS = 0.25
RETRY_SECONDS = 0.4
IDLE_SECONDS = 0.5
# A part on its way to the store is not sent again within this (seconds).
SAVING_SECONDS = 2.0
# Without word from the readers for so long an instance asks the store itself.
READERS_SILENCE_SECONDS = 3.0
# What the events are passed on as: a table by this prefix, address and epoch, whose
# rows are salt and part. Neither holds the separator.
EVENTS_PREFIX = "cache-events "
SEPARATOR = "\x1f"


class CacheStores:
    """What the one cache store in use holds, as its events tell.

    A store answers a dozen callers at once: among many instances the readers ask it
    and pass its events on as changes of a table.

    :param is_reader: whether this instance asks for others as well.
    :param publish: tells the others what a call has brought.
    """

    def __init__(
        self,
        is_reader: Callable[[], bool] = lambda: True,
        publish: Callable[[TableNews], None] = lambda news: None,
    ) -> None:
        self.store: CacheStore | None = None
        self.is_up = False
        self._held: set[tuple[str, str]] = set()
        self._saving: dict[tuple[str, str], float] = {}
        self._is_reader = is_reader
        self._publish = publish
        self._epoch: int | None = None
        self._since = 0
        self._told_at = float("-inf")
        self._told = trio.Event()

    def count_tokens(self, salt: str, prompt: Prompt) -> int:
        """Return how many of the prompt's first tokens the store holds."""
        if not self.is_up:
            return 0
        tokens = 0
        for part in prompt.parts[:-1]:
            if (salt, part.id) not in self._held:
                break
            tokens += part.tokens
        return tokens

    def plan_save(self, salt: str, prompt: Prompt, now: float) -> bool:
        """Return whether a request should have its shared parts saved."""
        if not self.is_up:
            return False
        missing = [
            (salt, part.id)
            for part in prompt.parts[:-1]
            if (salt, part.id) not in self._held
            and now - self._saving.get((salt, part.id), float("-inf")) > SAVING_SECONDS
        ]
        for key in missing:
            self._saving[key] = now
        return bool(missing)

    def expire(self, now: float) -> None:
        """Drop what has long been saved."""
        self._saving = {
            key: at for key, at in self._saving.items() if now - at <= SAVING_SECONDS
        }

    async def follow(
        self,
        get_stores: Callable[[], tuple[CacheStore, ...]],
        engines: EnginePort,
        log: DecisionLog,
    ) -> None:
        """Follow the first declared store until cancelled."""
        while True:
            stores = get_stores()
            wanted = stores[0] if stores else None
            if wanted != self.store:
                self._use(wanted)
            if self.store is None:
                await trio.sleep(IDLE_SECONDS)
            elif self._is_told(trio.current_time()):
                with trio.move_on_after(IDLE_SECONDS):
                    await self._told.wait()
            else:
                await self._ask(self.store.address, engines, log)

    def take(self, news: TableNews) -> bool:
        """Take what a reader passes on; return whether it was worth hearing."""
        now = trio.current_time()
        if self.store is None or news.table != self._name_events():
            # Another life of the store, or none known: ask it.
            self._told_at = float("-inf")
            return False
        if news.after > self._since:
            self._told_at = float("-inf")
            self._wake()
            return False
        is_new = news.version > self._since
        is_worth = is_new or now - self._told_at >= PAUSE_SECONDS
        self._told_at = now
        self.is_up = True
        if is_new:
            self._apply(_decode_events(news, self._since))
            self._since = news.version
        self._wake()
        return is_worth

    def _is_told(self, now: float) -> bool:
        """Return whether readers tell what there is to know."""
        if self._epoch is None or self._is_reader():
            return False
        return now - self._told_at < READERS_SILENCE_SECONDS

    async def _ask(self, address: str, engines: EnginePort, log: DecisionLog) -> None:
        """Ask the store once for its changes, and tell the others."""
        since = self._since
        answer = await engines.read_cache_events(address, since, WAIT_SECONDS)
        if not isinstance(answer, CacheEvents):
            if self.is_up:
                log.note("cache_store_lost", reason=answer.reason)
            self.is_up = False
            await trio.sleep(RETRY_SECONDS)
            return
        if not self.is_up:
            log.note("cache_store_up", epoch=answer.epoch, next=answer.next)
        self.is_up = True
        if self._epoch is not None and answer.epoch != self._epoch:
            self._held.clear()
            self._epoch, self._since = answer.epoch, 0
            return
        self._epoch, self._since = answer.epoch, max(self._since, answer.next)
        self._told_at = trio.current_time()
        self._apply(answer.events)
        if self._is_reader():
            self._publish(_encode_events(self._name_events(), since, answer))
        await trio.sleep(PAUSE_SECONDS)

    def _name_events(self) -> str:
        """Return what the events of this life of the store are passed on as."""
        address = self.store.address if self.store else ""
        return f"{EVENTS_PREFIX}{address} {self._epoch}"

    def _use(self, store: CacheStore | None) -> None:
        self.store = store
        self.is_up = False
        self._epoch, self._since = None, 0
        self._held.clear()

    def _wake(self) -> None:
        self._told.set()
        self._told = trio.Event()

    def _apply(self, events: tuple[CacheEvent, ...]) -> None:
        for event in events:
            key = (event.salt, event.part)
            if event.is_stored:
                self._held.add(key)
            else:
                self._held.discard(key)


def _encode_events(name: str, since: int, answer: CacheEvents) -> TableNews:
    rows = tuple(
        Row(
            name,
            f"{event.salt}{SEPARATOR}{event.part}",
            b"" if event.is_stored else None,
            event.number,
        )
        for event in answer.events
    )
    return TableNews(name, since, answer.next, 0.0, rows)


def _decode_events(news: TableNews, since: int) -> tuple[CacheEvent, ...]:
    events = []
    for row in news.rows:
        salt, _, part = row.key.rpartition(SEPARATOR)
        if row.version > since:
            events.append(CacheEvent(row.version, salt, part, row.value is not None))
    return tuple(events)
