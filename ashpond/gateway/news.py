"""Tell the other instances of work in flight and of changes at backend servers."""

from __future__ import annotations

__all__ = ["MEMBERS_TABLE", "Newsroom", "ServerNotice"]

import secrets
from collections.abc import Callable
from typing import NamedTuple

import orjson
import trio

from ashpond.addresses import parse_address
from ashpond.clients.peer import News, PeerStream, connect_peer
from ashpond.errors import FrameError
from ashpond.gateway.budget import SendCounts
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.directory import Load, ServerTable
from ashpond.gateway.holdings import Holding
from ashpond.gateway.store import Condition, Row, Snapshot, Store
from ashpond.outcomes import Conflict, Done

MEMBERS_TABLE = "ashpond-members"
SECRET_TABLE = "ashpond-secret"
SECRET_KEY = "peers"
SECRET_BYTES = 24
LIFE_BYTES = 4
# Loads are told at most so often among few instances, and at least so often
# (seconds). Among more, the pause grows with their number, so that what one
# instance sends and takes stays the same.
NEWS_SECONDS = 0.08
FEW_INSTANCES = 8
HEARTBEAT_SECONDS = 0.6
# A peer that does not take a frame within this is connected to anew (seconds).
SEND_SECONDS = 1.0
# Instances that restart together reach one another some 0.1 s later.
RECONNECT_SECONDS = 0.15
RECONNECT_LIMIT_SECONDS = 2.4
MAX_FRAME_BYTES = 1 << 20
RETRY_SECONDS = 0.3
# For a peer that is away; what it misses costs it some reading (entries).
MAX_PENDING_HOLDINGS = 500


class ServerNotice(NamedTuple):
    """A change at a backend server that the sender knows first.

    ``version`` 0 tells nothing of the weights; ``closed_seconds`` is how long the
    server should get no new work, 0 that it may again. ``is_unreached`` tells
    that the sender could not connect, and nothing of orders.
    """

    server_id: str
    model: str
    version: int
    closed_seconds: float
    is_unreached: bool = False


class Newsroom:
    """Sends news to all other instances and takes theirs."""

    def __init__(
        self,
        name: str,
        address: str,
        store: Store,
        table: ServerTable,
        log: DecisionLog,
        on_notice: Callable[[ServerNotice], None],
        on_holding: Callable[[Holding], None],
        list_sends: Callable[[], dict[str, SendCounts]],
        on_sends: Callable[[str, str, SendCounts], None],
    ):
        self.name = name
        self.address = address
        self.members: dict[str, str] = {}
        self._store = store
        self._table = table
        self._log = log
        self._on_notice = on_notice
        self._on_holding = on_holding
        self._list_sends = list_sends
        self._on_sends = on_sends
        self._life = f"{name}#{secrets.token_hex(LIFE_BYTES)}"
        self._secret = ""
        self._senders: dict[str, trio.CancelScope] = {}
        self._notices: dict[str, list[ServerNotice]] = {}
        self._holdings: dict[str, list[Holding]] = {}
        self._wakeup = trio.Event()
        self._nursery: trio.Nursery | None = None

    def count_instances(self) -> int:
        """Return how many instances there are, this one included."""
        return max(1, len(self.members))

    def announce(self, notice: ServerNotice) -> None:
        """Tell all peers of a change at once."""
        for pending in self._notices.values():
            pending.append(notice)
        self._wakeup.set()
        self._wakeup = trio.Event()

    def tell_holding(self, holding: Holding) -> None:
        """Tell all peers, with the next news, what an engine has read."""
        for pending in self._holdings.values():
            if len(pending) < MAX_PENDING_HOLDINGS:
                pending.append(holding)

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            self._secret = await self._agree_secret()
            self._nursery = nursery
            self._adjust_senders()
            target = parse_address(self.address)
            listeners = await trio.open_tcp_listeners(target.port, host=target.host)
            nursery.start_soon(trio.serve_listeners, self._receive, listeners)
            await self.register()
            task_status.started()

    async def register(self) -> None:
        """Enter this instance into the members' table."""
        value = orjson.dumps({"address": self.address})
        row = Row(MEMBERS_TABLE, self.name, value, 0)
        while not isinstance(await self._store.write([], [row]), Done):
            await trio.sleep(RETRY_SECONDS)

    async def leave(self) -> None:
        """Take this instance out of the members' table, if the store answers."""
        outcome = await self._store.write([], [Row(MEMBERS_TABLE, self.name, None, 0)])
        if not isinstance(outcome, Done):
            self._log.note("leave_not_recorded", outcome=str(outcome))

    async def _agree_secret(self) -> str:
        """Return the secret that all instances share; the first one makes it."""
        while True:
            outcome = await self._store.read(SECRET_TABLE)
            if isinstance(outcome, Done):
                if outcome.value.rows:
                    return outcome.value.rows[0].value.decode()
                made = secrets.token_hex(SECRET_BYTES)
                row = Row(SECRET_TABLE, SECRET_KEY, made.encode(), 0)
                condition = Condition(SECRET_TABLE, SECRET_KEY, 0)
                written = await self._store.write([condition], [row])
                if isinstance(written, Done):
                    return made
                if isinstance(written, Conflict):
                    continue
            await trio.sleep(RETRY_SECONDS)

    def on_members(self, snapshot: Snapshot, is_whole: bool) -> None:
        """Take over rows of the members' table."""
        if is_whole:
            self.members = {}
        for row in snapshot.rows:
            if row.value is None:
                self.members.pop(row.key, None)
            else:
                self.members[row.key] = orjson.loads(row.value)["address"]
        self._log.note("members", members=sorted(self.members))
        self._adjust_senders()

    def _adjust_senders(self) -> None:
        if self._nursery is None:
            return
        wanted = {f"{n} {a}" for n, a in self.members.items() if n != self.name}
        for link in self._senders.keys() - wanted:
            self._senders.pop(link).cancel()
            self._notices.pop(link, None)
            self._holdings.pop(link, None)
        for link in sorted(wanted - self._senders.keys()):
            scope = trio.CancelScope()
            self._senders[link] = scope
            self._notices[link] = []
            self._holdings[link] = []
            self._nursery.start_soon(self._feed_peer, link, scope)

    async def _feed_peer(self, link: str, scope: trio.CancelScope) -> None:
        name, _, address = link.partition(" ")
        pause = RECONNECT_SECONDS
        is_lost = False
        with scope:
            while True:
                stream = None
                try:
                    with trio.fail_after(SEND_SECONDS):
                        stream = await connect_peer(
                            address, self._secret, MAX_FRAME_BYTES
                        )
                    if is_lost:
                        self._log.note("peer_regained", peer=name)
                    is_lost = False
                    pause = RECONNECT_SECONDS
                    await self._send_news(link, stream)
                except (OSError, FrameError, trio.TooSlowError) as error:
                    reason = repr(error)
                except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                    reason = repr(error)
                finally:
                    if stream is not None:
                        with trio.CancelScope(shield=True):
                            await stream.aclose()
                if not is_lost:
                    self._log.note("peer_lost", peer=name, reason=reason)
                is_lost = True
                await trio.sleep(pause)
                pause = min(RECONNECT_LIMIT_SECONDS, pause * 2)

    async def _send_news(self, link: str, stream: PeerStream) -> None:
        sent_loads: dict[str, Load] | None = None
        sent_at = trio.current_time()
        while True:
            loads = self._table.list_own_loads()
            notices = self._notices[link]
            holdings = self._holdings[link]
            now = trio.current_time()
            is_due = now - sent_at >= HEARTBEAT_SECONDS
            if notices or holdings or loads != sent_loads or is_due:
                self._notices[link] = []
                self._holdings[link] = []
                news = News(
                    self._life,
                    {server_id: list(load) for server_id, load in loads.items()},
                    [list(notice) for notice in notices],
                    [list(holding) for holding in holdings],
                    {name: list(sends) for name, sends in self._list_sends().items()},
                )
                with trio.fail_after(SEND_SECONDS):
                    await stream.send(news)
                sent_loads = loads
                sent_at = now
            wakeup = self._wakeup
            with trio.move_on_after(self._choose_pause()):
                await wakeup.wait()

    def _choose_pause(self) -> float:
        return NEWS_SECONDS * max(1.0, self.count_instances() / FEW_INSTANCES)

    async def _receive(self, raw: trio.SocketStream) -> None:
        stream = PeerStream(raw, self._secret, MAX_FRAME_BYTES)
        try:
            await stream.authenticate(is_server=True)
            while True:
                message = await stream.receive()
                if isinstance(message, News):
                    self._take(message)
        except (FrameError, trio.BrokenResourceError, OSError) as error:
            self._log.note("peer_stream_ended", reason=repr(error))
        finally:
            await stream.aclose()

    def _take(self, news: News) -> None:
        try:
            loads = {str(key): Load(*map(int, v)) for key, v in news.loads.items()}
            notices = [ServerNotice(*fields) for fields in news.notices]
            holdings = [Holding(*fields) for fields in news.holdings]
            sends = {str(k): SendCounts(*map(int, v)) for k, v in news.sends.items()}
        except (TypeError, ValueError) as error:
            self._log.note("peer_news_invalid", peer=news.sender, reason=repr(error))
            return
        self._table.note_peer_loads(news.sender, loads, trio.current_time())
        for notice in notices:
            self._on_notice(notice)
        for holding in holdings:
            self._on_holding(holding)
        for service, counts in sends.items():
            self._on_sends(service, news.sender, counts)
