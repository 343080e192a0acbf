"""Follow what the cache stores hold, and whether they answer."""

from __future__ import annotations

__all__ = ["CacheStores"]

from collections.abc import Callable

import trio

from ashpond.gateway.calls import Prompt
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.declared import CacheStore
from ashpond.gateway.orders import CacheEvents, EnginePort

# One waiting call at a time; changes are left to gather between them (seconds).
WAIT_SECONDS = 1.0
PAUSE_SECONDS = 0.25
RETRY_SECONDS = 0.4
IDLE_SECONDS = 0.5
# A part on its way to the store is not sent again within this (seconds).
SAVING_SECONDS = 2.0


class CacheStores:
    """What the one cache store in use holds, as its events tell."""

    def __init__(self) -> None:
        self.store: CacheStore | None = None
        self.is_up = False
        self._held: set[tuple[str, str]] = set()
        self._saving: dict[tuple[str, str], float] = {}

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
        epoch: int | None = None
        since = 0
        while True:
            stores = get_stores()
            wanted = stores[0] if stores else None
            if wanted != self.store:
                self._use(wanted)
                epoch, since = None, 0
            if self.store is None:
                await trio.sleep(IDLE_SECONDS)
                continue
            answer = await engines.read_cache_events(
                self.store.address, since, WAIT_SECONDS
            )
            if not isinstance(answer, CacheEvents):
                if self.is_up:
                    log.note("cache_store_lost", reason=answer.reason)
                self.is_up = False
                await trio.sleep(RETRY_SECONDS)
                continue
            if not self.is_up:
                log.note("cache_store_up", epoch=answer.epoch, next=answer.next)
            self.is_up = True
            if epoch is not None and answer.epoch != epoch:
                self._held.clear()
                epoch, since = answer.epoch, 0
                continue
            epoch, since = answer.epoch, answer.next
            self._apply(answer)
            await trio.sleep(PAUSE_SECONDS)

    def _use(self, store: CacheStore | None) -> None:
        self.store = store
        self.is_up = False
        self._held.clear()

    def _apply(self, answer: CacheEvents) -> None:
        for event in answer.events:
            key = (event.salt, event.part)
            if event.is_stored:
                self._held.add(key)
            else:
                self._held.discard(key)
