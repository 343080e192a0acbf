"""One instance asks the cache store, the others hear of its events."""

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
MAX_HELD = 12


class StandIn:
    """A cache store whose events a test adds."""

    def __init__(self) -> None:
        self.epoch = 5
        self.events: list[CacheEvent] = []
        self.calls = 0
        self.forgotten = 0
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
        new = tuple(self.events[max(since, self.forgotten) :])
        is_gap = since < self.forgotten
        return CacheEvents(self.epoch, len(self.events), is_gap, new)

    def build_port(self) -> EnginePort:
        return EnginePort(None, None, self.read)  # type: ignore[arg-type]


class BusyStandIn(StandIn):
    """A cache store that holds a dozen calls at once, and refuses others."""

    def __init__(self) -> None:
        super().__init__()
        self.held = 0
        self.refused = 0

    async def read(
        self, address: str, since: int, wait: float
    ) -> CacheEvents | NotRun | MaybeRun:
        if self.held >= MAX_HELD:
            self.refused += 1
            return NotRun("status 429")
        self.held += 1
        try:
            return await super().read(address, since, wait)
        finally:
            self.held -= 1


class Fleet:
    """A reader and one that listens to it."""

    def __init__(self) -> None:
        self.store = StandIn()
        self.passes_on = True
        self.reader = CacheStores(lambda: True, self.pass_on)
        self.other = CacheStores(lambda: False)

    def pass_on(self, news: TableUpdate) -> None:
        if self.passes_on:
            self.other.apply_update(news)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for stores in (self.reader, self.other):
                nursery.start_soon(
                    stores.follow,
                    lambda: (STORE,),
                    self.store.build_port(),
                    DecisionLog("test"),
                )


async def test_events_that_a_reader_passes_on_are_known(autojump_clock: object) -> None:
    fleet = Fleet()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(3.0)
        before = fleet.store.calls
        fleet.store.add("rules")
        await trio.sleep(1.5)
        assert fleet.other.by_address[STORE.address].count_tokens("s", PROMPT) == 1000
        fleet.store.add("rules", is_stored=False)
        fleet.store.add("shop")
        await trio.sleep(1.5)
        assert fleet.other.by_address[STORE.address].count_tokens("s", PROMPT) == 0
        # Only the reader has asked: at most once a second and a pause.
        assert fleet.store.calls - before <= 5
        nursery.cancel_scope.cancel()


async def test_a_silent_reader_is_not_waited_for(autojump_clock: object) -> None:
    fleet = Fleet()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(3.0)
        fleet.passes_on = False
        fleet.store.add("rules")
        await trio.sleep(READERS_IDLE_TIMEOUT_SECONDS + 1.5)
        assert fleet.other.by_address[STORE.address].count_tokens("s", PROMPT) == 1000
        nursery.cancel_scope.cancel()


async def test_a_missed_event_is_asked_for(autojump_clock: object) -> None:
    fleet = Fleet()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(3.0)
        calls = fleet.store.calls
        fleet.passes_on = False
        fleet.store.add("rules")
        while fleet.reader.by_address[STORE.address].count_tokens("s", PROMPT) == 0:
            await trio.sleep(0.01)
        fleet.passes_on = True
        fleet.store.add("shop")
        # At once after the word that shows the gap, not after the readers' silence.
        with trio.fail_after(READERS_IDLE_TIMEOUT_SECONDS / 2):
            while fleet.other.by_address[STORE.address].count_tokens("s", PROMPT) == 0:
                await trio.sleep(0.01)
        assert fleet.other.by_address[STORE.address].count_tokens("s", PROMPT) == 2000
        assert fleet.store.calls > calls
        nursery.cancel_scope.cancel()


async def test_an_answer_does_not_undo_what_was_told_meanwhile(
    autojump_clock: object,
) -> None:
    """A waiting call's answer is older than what a reader tells while it travels.

    Evidence: looked for after an incident in which one task acted on what it had
    known before another went on; the part counted as held until its next event.
    """
    answer_made, told = trio.Event(), trio.Event()
    first = CacheEvent(1, "s", "rules", True)

    async def read(address: str, since: int, wait: float) -> CacheEvents:
        if since == 0:
            answer_made.set()
            await told.wait()
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
        told.set()
        await trio.testing.wait_all_tasks_blocked()
        assert contents.count_tokens("s", PROMPT) == 0
        nursery.cancel_scope.cancel()


async def test_who_starts_late_knows_that_it_does_not_know_all(
    autojump_clock: object,
) -> None:
    """The store's older events are gone: reader and listener both know so."""
    fleet = Fleet()
    for part in ("rules", "shop"):
        fleet.store.add(part)
    fleet.store.forgotten = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(3.0)
        contents = [s.by_address[STORE.address] for s in (fleet.reader, fleet.other)]
        assert [c.is_complete for c in contents] == [False, False]
        fleet.store.epoch += 1
        fleet.store.events.clear()
        fleet.store.forgotten = 0
        await trio.sleep(6.0)
        assert [c.is_complete for c in contents] == [True, True]
        nursery.cancel_scope.cancel()


async def test_a_store_that_starts_anew_holds_nothing(autojump_clock: object) -> None:
    fleet = Fleet()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(1.0)
        fleet.store.add("rules")
        await trio.sleep(1.5)
        assert fleet.other.by_address[STORE.address].count_tokens("s", PROMPT) == 1000
        fleet.store.epoch = 6
        fleet.store.events.clear()
        fleet.store.add("shop")
        await trio.sleep(4.0)
        assert fleet.reader.by_address[STORE.address].count_tokens("s", PROMPT) == 0
        assert fleet.other.by_address[STORE.address].count_tokens("s", PROMPT) == 0
        nursery.cancel_scope.cancel()


async def test_the_parts_of_prompts_are_shared_out_over_all_stores(
    autojump_clock: object,
) -> None:
    stores = [CacheStore(f"10.0.0.{n}:80", "north") for n in range(3)]
    declared = list(stores)
    contents = CacheStores()
    stand_in = StandIn()
    prompts = [make_prompt("rules", f"shop{n}", "own") for n in range(30)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            contents.follow,
            lambda: tuple(declared),
            stand_in.build_port(),
            DecisionLog("test"),
        )
        await trio.sleep(2.0)
        picked = [contents.pick(prompt, "w") for prompt in prompts]
        addresses = [one.store.address for one in picked if one is not None]
        assert min(addresses.count(store.address) for store in stores) >= 4
        # One that is down, or no longer declared, gets nothing; others keep theirs.
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


async def test_a_great_fleet_does_not_press_a_store_that_takes_few_calls(
    autojump_clock: object,
) -> None:
    """A hundred asked again and again: 2,000 calls refused in 10 s, and most of the
    instances took the store for lost."""
    store = BusyStandIn()
    others = [CacheStores(lambda: False) for _ in range(100)]

    def pass_on(news: TableUpdate) -> None:
        for other in others:
            other.apply_update(news)

    reader = CacheStores(lambda: True, pass_on)
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
        # Instances that start late ask once for what there was before, all at once.
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
