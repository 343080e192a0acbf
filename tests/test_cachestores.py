"""A reader polls the cache store, and other instances apply the events it forwards."""

from __future__ import annotations

import trio
import trio.testing

from ashpond.controllers.cachestores import (
    READERS_IDLE_TIMEOUT_SECONDS,
    CacheStores,
    StoreContents,
)
from ashpond.controllers.feeds import TableUpdate
from ashpond.decisions.declared import CacheStore
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.orders import CacheEvent, CacheEvents, EnginePort
from ashpond.gateway.store import Row
from ashpond.outcomes import MaybeRun, NotRun
from tests.gateway_builders import make_prompt

STORE = CacheStore("10.0.0.9:80", "north")
PROMPT = make_prompt("rules", "shop", "own")
MAX_CALLS = 12


class FakeCacheStore:
    """A cache store whose events a test adds."""

    def __init__(self) -> None:
        self.epoch = 5
        self.events: list[CacheEvent] = []
        self.calls = 0
        self.first_kept = 0
        self.is_down = False

    def add(self, part: str, *, is_stored: bool = True) -> None:
        self.events.append(CacheEvent(len(self.events) + 1, "s", part, is_stored))

    async def read(
        self, address: str, since: int, wait: float
    ) -> CacheEvents | NotRun | MaybeRun:
        self.calls += 1
        if self.is_down:
            return NotRun("down")
        if len(self.events) <= since:
            await trio.sleep(wait)
        new = tuple(self.events[max(since, self.first_kept) :])
        is_gap = since < self.first_kept
        return CacheEvents(self.epoch, len(self.events), is_gap, new)

    def build_port(self) -> EnginePort:
        return EnginePort(None, None, self.read)  # type: ignore[arg-type]


class LimitedCacheStore(FakeCacheStore):
    """A cache store that refuses calls beyond a dozen at once."""

    def __init__(self) -> None:
        super().__init__()
        self.running_calls = 0
        self.refused = 0

    async def read(
        self, address: str, since: int, wait: float
    ) -> CacheEvents | NotRun | MaybeRun:
        if self.running_calls >= MAX_CALLS:
            self.refused += 1
            return NotRun("status 429")
        self.running_calls += 1
        try:
            return await super().read(address, since, wait)
        finally:
            self.running_calls -= 1


class ReaderAndReceiver:
    """A reader, and an instance that receives its updates."""

    def __init__(self) -> None:
        self.store = FakeCacheStore()
        self.is_forwarding = True
        self.reader = CacheStores(lambda: True, self.forward)
        self.receiver = CacheStores(lambda: False)

    def forward(self, update: TableUpdate) -> None:
        if self.is_forwarding:
            self.receiver.apply_update(update)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for stores in (self.reader, self.receiver):
                nursery.start_soon(
                    stores.follow,
                    lambda: (STORE,),
                    self.store.build_port(),
                    DecisionLog("test"),
                )


async def test_forwarded_events_are_applied(autojump_clock: object) -> None:
    pair = ReaderAndReceiver()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pair.run)
        await trio.sleep(3.0)
        before = pair.store.calls
        pair.store.add("rules")
        await trio.sleep(1.5)
        assert pair.receiver.by_address[STORE.address].count_tokens("s", PROMPT) == 1000
        pair.store.add("rules", is_stored=False)
        pair.store.add("shop")
        await trio.sleep(1.5)
        assert pair.receiver.by_address[STORE.address].count_tokens("s", PROMPT) == 0
        # Only the reader has called: at most one call a second, and one a pause.
        assert pair.store.calls - before <= 5
        nursery.cancel_scope.cancel()


async def test_instance_asks_the_store_after_the_idle_timeout(
    autojump_clock: object,
) -> None:
    pair = ReaderAndReceiver()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pair.run)
        await trio.sleep(3.0)
        pair.is_forwarding = False
        pair.store.add("rules")
        await trio.sleep(READERS_IDLE_TIMEOUT_SECONDS + 1.5)
        assert pair.receiver.by_address[STORE.address].count_tokens("s", PROMPT) == 1000
        nursery.cancel_scope.cancel()


async def test_missed_event_is_requested_at_once(autojump_clock: object) -> None:
    pair = ReaderAndReceiver()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pair.run)
        await trio.sleep(3.0)
        calls = pair.store.calls
        pair.is_forwarding = False
        pair.store.add("rules")
        while pair.reader.by_address[STORE.address].count_tokens("s", PROMPT) == 0:
            await trio.sleep(0.01)
        pair.is_forwarding = True
        pair.store.add("shop")
        # At once after the update that shows the gap, not after the idle timeout.
        with trio.fail_after(READERS_IDLE_TIMEOUT_SECONDS / 2):
            while (
                pair.receiver.by_address[STORE.address].count_tokens("s", PROMPT) == 0
            ):
                await trio.sleep(0.01)
        assert pair.receiver.by_address[STORE.address].count_tokens("s", PROMPT) == 2000
        assert pair.store.calls > calls
        nursery.cancel_scope.cancel()


async def test_late_answer_does_not_undo_newer_events(
    autojump_clock: object,
) -> None:
    """Guards against an answer that is applied after a newer update.

    The answer is made before an update that removes a part, but arrives after it. The
    part then counted as stored until its next event.
    """
    answer_made, update_taken = trio.Event(), trio.Event()
    first = CacheEvent(1, "s", "rules", True)

    async def read(address: str, since: int, wait: float) -> CacheEvents:
        if since == 0:
            answer_made.set()
            await update_taken.wait()
            return CacheEvents(5, 1, False, (first,))
        await trio.sleep(wait)
        return CacheEvents(5, since, False, ())

    contents = StoreContents(STORE)
    contents._epoch = 5
    async with trio.open_nursery() as nursery:
        port = EnginePort(None, None, read)  # type: ignore[arg-type]
        nursery.start_soon(contents.follow, port, DecisionLog("test"))
        await answer_made.wait()
        name = contents._make_table_name()
        rows = (Row(name, "s\x1frules", b"", 1), Row(name, "s\x1frules", None, 2))
        assert contents.apply_update(TableUpdate(name, 0, 2, 0.0, rows))
        assert contents.count_tokens("s", PROMPT) == 0
        update_taken.set()
        await trio.testing.wait_all_tasks_blocked()
        assert contents.count_tokens("s", PROMPT) == 0
        nursery.cancel_scope.cancel()


async def test_contents_are_incomplete_when_history_is_gone(
    autojump_clock: object,
) -> None:
    """The store has dropped its oldest events, so neither instance has all parts.

    Both have them after the store's next epoch, which starts with all events.
    """
    pair = ReaderAndReceiver()
    for part in ("rules", "shop"):
        pair.store.add(part)
    pair.store.first_kept = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pair.run)
        await trio.sleep(3.0)
        contents = [s.by_address[STORE.address] for s in (pair.reader, pair.receiver)]
        assert [c.is_complete for c in contents] == [False, False]
        pair.store.epoch += 1
        pair.store.events.clear()
        pair.store.first_kept = 0
        await trio.sleep(6.0)
        assert [c.is_complete for c in contents] == [True, True]
        nursery.cancel_scope.cancel()


async def test_restarted_store_is_empty(autojump_clock: object) -> None:
    pair = ReaderAndReceiver()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pair.run)
        await trio.sleep(1.0)
        pair.store.add("rules")
        await trio.sleep(1.5)
        assert pair.receiver.by_address[STORE.address].count_tokens("s", PROMPT) == 1000
        pair.store.epoch = 6
        pair.store.events.clear()
        pair.store.add("shop")
        await trio.sleep(4.0)
        assert pair.reader.by_address[STORE.address].count_tokens("s", PROMPT) == 0
        assert pair.receiver.by_address[STORE.address].count_tokens("s", PROMPT) == 0
        nursery.cancel_scope.cancel()


async def test_prompt_parts_are_spread_over_all_stores(
    autojump_clock: object,
) -> None:
    stores = [CacheStore(f"10.0.0.{n}:80", "north") for n in range(3)]
    declared = list(stores)
    contents = CacheStores()
    fake_store = FakeCacheStore()
    prompts = [make_prompt("rules", f"shop{n}", "own") for n in range(30)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            contents.follow,
            lambda: tuple(declared),
            fake_store.build_port(),
            DecisionLog("test"),
        )
        await trio.sleep(2.0)
        picked = [contents.pick(prompt, "w") for prompt in prompts]
        addresses = [one.store.address for one in picked if one is not None]
        assert min(addresses.count(store.address) for store in stores) >= 4
        # A store that is down or undeclared gets no prompt; the others keep theirs.
        contents.by_address[stores[0].address].is_up = False
        for prompt, address in zip(prompts, addresses, strict=True):
            now = contents.pick(prompt, "w")
            assert now is not None
            assert now.store.address != stores[0].address
            if address != stores[0].address:
                assert now.store.address == address
        declared.clear()
        await trio.sleep(1.0)
        assert contents.pick(prompts[0], "w") is None
        nursery.cancel_scope.cancel()


async def test_large_fleet_does_not_overload_a_store(
    autojump_clock: object,
) -> None:
    """Guards against a fleet that overloads a cache store with calls.

    When all of a hundred instances polled the store, it refused 2,000 calls in 10 s,
    and most instances regarded it as down.
    """
    store = LimitedCacheStore()
    others = [CacheStores(lambda: False) for _ in range(100)]

    def forward(update: TableUpdate) -> None:
        for other in others:
            other.apply_update(update)

    reader = CacheStores(lambda: True, forward)
    async with trio.open_nursery() as nursery:

        def start(stores: CacheStores) -> None:
            port, log = store.build_port(), DecisionLog("test")
            nursery.start_soon(stores.follow, lambda: (STORE,), port, log)

        for stores in (*others, reader):
            start(stores)
        await trio.sleep(4.0)
        store.add("rules")
        await trio.sleep(4.0)
        assert store.refused == 0
        # Instances that start late each call once for the earlier events, all at once.
        late = [CacheStores(lambda: False) for _ in range(100)]
        others += late
        for stores in late:
            start(stores)
        await trio.sleep(4.0)
        assert store.refused <= len(late)
        store.add("shop")
        await trio.sleep(2.0)
        assert all(stores.count_up() == 1 for stores in (*others, reader))
        early = [o for o in others if o not in late]
        for stores in early:
            assert stores.by_address[STORE.address].count_tokens("s", PROMPT) == 2000
        nursery.cancel_scope.cancel()
