"""Instances tell each other of work in flight and of changes at servers."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from ashpond.clients.peer import News
from ashpond.gateway.budget import SendCounts
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.directory import Load
from ashpond.gateway.feeds import Feed, follow_feed
from ashpond.gateway.holdings import Holding
from ashpond.gateway.news import MEMBERS_TABLE, Newsroom, ServerNotice
from ashpond.standins.tables import MemoryStore
from tests.gateway_builders import make_server, make_table

PATIENCE_SECONDS = 10.0


class Instance:
    def __init__(self, name: str, store: MemoryStore, port: int):
        self.table = make_table(make_server("a"))
        self.notices: list[ServerNotice] = []
        self.holdings: list[Holding] = []
        self.sends: dict[str, SendCounts] = {}
        self.log = DecisionLog(name)
        self.port = store.build_port()
        self.news = Newsroom(
            name,
            f"127.0.0.1:{port}",
            self.port,
            self.table,
            self.log,
            self.notices.append,
            self.holdings.append,
            lambda: {"reader": SendCounts(10, 2)},
            lambda service, peer, counts: self.sends.update({peer: counts}),
        )

    async def run(self) -> None:
        feed = Feed(MEMBERS_TABLE, 5.0, 0.0, self.news.on_members, lambda: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.news.run)
            nursery.start_soon(follow_feed, feed, self.port, self.log)


async def wait_for(condition: Callable[[], bool]) -> None:
    with trio.fail_after(PATIENCE_SECONDS):
        while not condition():
            await trio.sleep(0.01)


def find_free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@pytest.fixture
def instances() -> list[Instance]:
    store = MemoryStore()
    return [Instance(f"i{n}", store, find_free_port()) for n in range(3)]


async def test_loads_notices_and_holdings_reach_all_peers(
    instances: list[Instance],
) -> None:
    first, *others = instances
    notice = ServerNotice("a", "m1", 2, 0.5)
    holding = Holding("a", "salt", "rules")
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await wait_for(lambda: len(first.news._senders) == 2)
        first.table.by_id["a"].load = Load(3, 100, 200)
        first.news.announce(notice)
        first.news.tell_holding(holding)
        await wait_for(lambda: all(notice in other.notices for other in others))
        await wait_for(lambda: all(holding in other.holdings for other in others))

        def all_know() -> bool:
            now = trio.current_time()
            return all(o.table.sum_load("a", now) == Load(3, 100, 200) for o in others)

        await wait_for(all_know)
        assert SendCounts(10, 2) in others[0].sends.values()
        assert first.news.count_instances() == 3
        nursery.cancel_scope.cancel()


async def test_no_peer_is_reached_before_the_secret_is_agreed(
    instances: list[Instance],
) -> None:
    first = instances[0]
    reached: list[str] = []

    async def agree_late() -> str:
        await wait_for(lambda: first.news.count_instances() == 3)
        assert not first.news._senders
        reached.append("agreed")
        return await Newsroom._agree_secret(first.news)

    first.news._agree_secret = agree_late  # type: ignore[method-assign]
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
            nursery.start_soon(instance.news.register)
        await wait_for(lambda: len(first.news._senders) == 2)
        nursery.cancel_scope.cancel()
    assert reached == ["agreed"]


def test_news_are_rarer_among_many(instances: list[Instance]) -> None:
    news = instances[0].news
    news.members = {f"i{n}": "" for n in range(8)}
    few = news._choose_pause()
    news.members = {f"i{n}": "" for n in range(80)}
    assert news._choose_pause() == 10 * few


async def test_a_member_that_leaves_is_no_longer_told(
    instances: list[Instance],
) -> None:
    first, second, third = instances
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await wait_for(lambda: first.news.count_instances() == 3)
        await third.news.leave()
        await wait_for(lambda: first.news.count_instances() == 2)
        assert len(first.news._senders) == 1
        nursery.cancel_scope.cancel()


async def test_all_agree_on_one_secret(instances: list[Instance]) -> None:
    async with trio.open_nursery() as nursery:
        for instance in instances:
            nursery.start_soon(instance.run)
        await wait_for(lambda: all(i.news._secret for i in instances))
        assert len({instance.news._secret for instance in instances}) == 1
        nursery.cancel_scope.cancel()


def test_news_that_make_no_sense_are_left_out(instances: list[Instance]) -> None:
    instance = instances[0]
    instance.news._take(News("i1", {"a": ["x"]}, [], [], {}))
    instance.news._take(News("i1", {}, [["too", "few"]], [], {}))
    events = [line["event"] for line in instance.log._lines]
    assert events == ["peer_news_invalid", "peer_news_invalid"]
    assert instance.notices == []
