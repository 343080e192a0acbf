"""Tests of a whole gateway with real sockets for clients and servers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import orjson
import pytest
import trio
from click.testing import CliRunner

from ashpond.cli import main
from ashpond.clients.channelpools import ChannelPool
from ashpond.decisions.quarantine import ServerCrash
from ashpond.errors import SettingsError
from ashpond.gateway.admission import UNCERTAIN_AGE_SHARE
from ashpond.gateway.application import LEAVE_SECONDS, Gateway
from ashpond.gateway.decisionlog import DecisionLog
from ashpond.gateway.settings import (
    GatewayBounds,
    GatewaySettings,
    SettingsFile,
    parse_gateway_settings,
)
from ashpond.standins.tables import MemoryStore
from ashpond_platform.composition import build_platform
from ashpond_platform.rows import OPERATOR_TABLE, SERVERS_TABLE
from tests.gateway_builders import make_settings
from tests.peer_fleet import wait_for
from tests.row_builders import CONFIGURATION, ROUTE, SERVER
from tests.servers import make_answer, read_request, run_server

# Long enough that no request of a test reaches its timeout.
LONG_ROUTE = {**ROUTE, "backends": None, "service": "s1", "timeout_ms": 120_000}
ROUTES = [
    {**LONG_ROUTE, "kind": "idempotent"},
    {**LONG_ROUTE, "prefix": "/s/", "name": "stream"},
]
REQUEST = (
    "{method} {target} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\n"
    "X-Deadline-Ms: 120000\r\nAuthorization: Token {key}\r\n"
    "Content-Length: {length}\r\n\r\n"
)
STREAM_BEGIN = (
    b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n7\r\nid: 1\n\n\r\n"
)


def make_request(
    target: str = "/x/1", body: bytes = b"", key: str = "k1", method: str = "POST"
) -> bytes:
    head = REQUEST.format(target=target, key=key, method=method, length=len(body))
    return head.encode() + body


class RunningGateway:
    def __init__(self, gateway: Gateway, store: MemoryStore):
        self.gateway = gateway
        self.store = store

    async def connect(self) -> trio.SocketStream:
        address = self.gateway.settings.callers_address.split(":")
        return await trio.open_tcp_stream(address[0], int(address[1]))

    async def send_request(self, request: bytes) -> bytes:
        stream = await self.connect()
        async with stream:
            await stream.send_all(request)
            return await read_request(stream)

    async def fetch(self, address: str, path: str = "/") -> bytes:
        host, port = address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return await read_request(stream)


@asynccontextmanager
async def run_gateway(
    *server_addresses: str,
    is_known: bool = True,
    memory_mb: float = 0.0,
    routes: list[dict[str, Any]] = ROUTES,
) -> AsyncIterator[RunningGateway]:
    store = MemoryStore()
    configuration = {**CONFIGURATION, "routes": routes}
    if is_known:
        store.put(OPERATOR_TABLE, "config", orjson.dumps(configuration))
    for number, address in enumerate(server_addresses, start=1):
        entry = orjson.dumps({**SERVER, "address": address})
        store.put(SERVERS_TABLE, f"i-{number}", entry)
    pool = ChannelPool()
    platform = build_platform(store.build_port(), pool)
    log = DecisionLog("i0", 2)
    log.flush = lambda: log._lines.clear()  # type: ignore[method-assign]
    settings = make_settings()._replace(memory_mb=memory_mb)
    gateway = Gateway(SettingsFile("", settings), platform, pool, log)
    running = RunningGateway(gateway, store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gateway.run)
        await wait_for(lambda: gateway.is_ready() or not is_known)
        await wait_for(lambda: bool(gateway.members.by_name))
        yield running
        nursery.cancel_scope.cancel()


async def answer_all(stream: trio.SocketStream, number: int) -> None:
    while request := await read_request(stream):
        head = request.split(b"\r\n")[0]
        await stream.send_all(make_answer(head, extra="X-Engine-Seal: s\r\n"))


async def test_request_and_answer_are_forwarded_unchanged() -> None:
    async with run_server(answer_all) as address, run_gateway(address) as running:
        answer = await running.send_request(make_request("/x/a%2Fb/../?q=%20", b"body"))
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"x-engine-seal: s" in answer.lower()
    assert answer.endswith(b"POST /x/a%2Fb/../?q=%20 HTTP/1.1")


async def test_target_with_scheme_and_host_is_accepted() -> None:
    async with run_server(answer_all) as address, run_gateway(address) as running:
        answer = await running.send_request(make_request("http://a.example/x/1?q"))
    assert answer.endswith(b"POST /x/1?q HTTP/1.1")


async def test_answer_to_head_has_no_body_and_keeps_the_connection() -> None:
    async def answer_head(stream: trio.SocketStream, number: int) -> None:
        while await read_request(stream):
            await stream.send_all(
                b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\nContent-Length: 5\r\n\r\n"
            )

    async with run_server(answer_head) as address, run_gateway(address) as running:
        stream = await running.connect()
        async with stream:
            for _ in range(2):
                await stream.send_all(make_request(method="HEAD"))
                answer = await read_request(stream, with_body=False)
                assert answer.startswith(b"HTTP/1.1 200")


async def test_unknown_route_wrong_key_and_large_body_are_refused() -> None:
    async with run_server(answer_all) as address, run_gateway(address) as running:
        unknown = await running.send_request(make_request("/none/"))
        no_key = await running.send_request(make_request(key="other"))
        large = await running.send_request(make_request(body=b"x" * ((4 << 20) + 1)))
    assert unknown.startswith(b"HTTP/1.1 404")
    assert no_key.startswith(b"HTTP/1.1 401")
    assert large.startswith(b"HTTP/1.1 413")


async def test_calls_without_a_configuration_get_503_with_retry_after() -> None:
    async with (
        run_server(answer_all) as address,
        run_gateway(address, is_known=False) as running,
    ):
        answer = await running.send_request(make_request())
        ready = await running.fetch(running.gateway.settings.readiness_address)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in answer.lower()
    assert ready.startswith(b"HTTP/1.1 503")


async def test_readiness_and_metrics_are_served() -> None:
    async with run_server(answer_all) as address, run_gateway(address) as running:
        await running.send_request(make_request())
        settings = running.gateway.settings
        ready = await running.fetch(settings.readiness_address)
        metrics = await running.fetch(settings.metrics_address, "/metrics")
    assert ready.startswith(b"HTTP/1.1 200")
    assert metrics.startswith(b"HTTP/1.1 200")
    assert b"ashpond_gateway_seconds" in metrics


async def test_status_page_shows_configuration_members_and_servers() -> None:
    async with run_server(answer_all) as address, run_gateway(address) as running:
        await running.send_request(make_request())
        answer = await running.fetch(
            running.gateway.settings.metrics_address, "/status"
        )
    status = orjson.loads(answer.partition(b"\r\n\r\n")[2])
    assert status["configuration"] == 7
    assert status["ready"]
    assert status["members"] == ["i0"]
    assert status["servers"][0]["weights"] == {"m1": 3}


async def test_quarantined_request_is_listed_and_can_be_released() -> None:
    async with run_server(answer_all) as address, run_gateway(address) as running:
        gateway = running.gateway
        assert (await running.send_request(make_request("/x/1"))).startswith(
            b"HTTP/1.1 200"
        )
        (name,) = gateway.quarantine.crash_records._answered
        gateway.quarantine.crash_records._answered.clear()
        now = gateway.quarantine._now()
        ends = [
            ServerCrash(name, f"s{n}", n, now - 9 + n, now - 8.5 + n) for n in (1, 2, 3)
        ]
        gateway.quarantine.merge_reported(ends, "i7")
        assert (await running.send_request(make_request("/x/1"))).startswith(
            b"HTTP/1.1 400"
        )
        assert (await running.send_request(make_request("/x/2"))).startswith(
            b"HTTP/1.1 200"
        )
        metrics = gateway.settings.metrics_address
        shown = await running.fetch(metrics, "/status")
        (case,) = orjson.loads(shown.partition(b"\r\n\r\n")[2])["quarantine"]
        assert case == {
            "fingerprint": name,
            "standing": "quarantined",
            "servers": ["s1", "s2", "s3"],
            "told_by": ["i7"],
            "refused_here": 1,
        }
        pages = await running.fetch(metrics, "/metrics")
        assert b"ashpond_gateway_quarantined 1" in pages
        runner = CliRunner()
        released = await trio.to_thread.run_sync(
            lambda: runner.invoke(main, ["gateway", "release", metrics, name])
        )
        assert (released.exit_code, released.output) == (0, f"released: {name}\n")
        assert (await running.send_request(make_request("/x/1"))).startswith(
            b"HTTP/1.1 200"
        )
        again = await trio.to_thread.run_sync(
            lambda: runner.invoke(main, ["gateway", "release", metrics, name])
        )
        assert again.exit_code == 1
        assert "nothing counts against" in again.output


async def test_disconnect_of_the_client_closes_the_server_connection() -> None:
    request_received = trio.Event()
    connection_closed = trio.Event()

    async def wait_for_close(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        request_received.set()
        assert await stream.receive_some(1) == b""
        connection_closed.set()

    async with run_server(wait_for_close) as address, run_gateway(address) as running:
        stream = await running.connect()
        await stream.send_all(make_request("/s/1"))
        await request_received.wait()
        await stream.aclose()
        with trio.fail_after(20):
            await connection_closed.wait()


async def test_broken_stream_does_not_look_complete() -> None:
    async def break_stream(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(STREAM_BEGIN)
        await stream.aclose()

    async with run_server(break_stream) as address, run_gateway(address) as running:
        stream = await running.connect()
        await stream.send_all(make_request("/s/1"))
        data = b""
        while piece := await stream.receive_some(65_536):
            data += piece
    assert b"id: 1" in data
    assert not data.endswith(b"0\r\n\r\n")


async def test_shutdown_lets_open_streams_end() -> None:
    may_finish = trio.Event()

    async def stream_slowly(stream: trio.SocketStream, number: int) -> None:
        await read_request(stream)
        await stream.send_all(STREAM_BEGIN)
        await may_finish.wait()
        await stream.send_all(b"7\r\nid: 2\n\n\r\n0\r\n\r\n")

    async with run_server(stream_slowly) as address, run_gateway(address) as running:
        stream = await running.connect()
        await stream.send_all(make_request("/s/1"))
        data = await stream.receive_some(65_536)
        running.gateway.leave()
        ready = await running.fetch(running.gateway.settings.readiness_address)
        assert ready.startswith(b"HTTP/1.1 503")
        other = await running.send_request(make_request("/none/"))
        assert b"connection: close" in other.lower()
        may_finish.set()
        while piece := await stream.receive_some(65_536):
            data += piece
        assert data.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"callers_address": '"nowhere"'}, "callers_address"),
        ({"name": "3"}, "name"),
        ({"unknown": '"x"'}, "unknown"),
    ],
)
def test_error_for_bad_settings_names_file_key_and_reason(
    change: dict[str, str], key: str
) -> None:
    values: dict[str, Any] = {
        name: f'"{value}"'
        for name, value in make_settings()._asdict().items()
        if name != "bounds"
    }
    text = "\n".join(f"{name} = {value}" for name, value in (values | change).items())
    with pytest.raises(SettingsError) as caught:
        parse_gateway_settings("node.toml", text)
    problem = caught.value.problems[0]
    assert (problem.file, problem.key) == ("node.toml", key)
    assert problem.reason


def test_the_least_instances_for_coordinators_are_checked() -> None:
    """A negative number would count as a fleet that is always large enough."""
    values = make_settings()._asdict().items()
    lines = [f'{name} = "{value}"' for name, value in values if isinstance(value, str)]

    def parse(number: int) -> GatewaySettings:
        text = "\n".join([*lines, f"coordinated_from = {number}"])
        return parse_gateway_settings("node.toml", text)

    assert parse(13).coordinated_from == 13
    with pytest.raises(SettingsError) as caught:
        parse(-1)
    assert caught.value.problems[0].key == "coordinated_from"


def write_settings(path: str, revocation_ms: str) -> None:
    values = make_settings()._asdict()
    lines = [
        f'{name} = "{value}"'
        for name, value in values.items()
        if isinstance(value, str)
    ]
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join([*lines, "[bounds]", f"revocation_ms = {revocation_ms}"]))


def test_reload_applies_valid_settings_and_keeps_old_ones_on_errors(
    tmp_path: object,
) -> None:
    path = f"{tmp_path}/node.toml"
    write_settings(path, "5000")
    settings = SettingsFile(path)
    write_settings(path, "4000")
    assert settings.reload()
    assert settings.current.bounds.revocation_ms == 4000
    write_settings(path, '"soon"')
    with pytest.raises(SettingsError):
        settings.reload()
    assert settings.current.bounds.revocation_ms == 4000


def test_the_end_of_the_first_start_is_no_change_of_settings(
    tmp_path: object,
) -> None:
    """A change of settings resets the retry budgets."""
    path = f"{tmp_path}/node.toml"
    write_settings(path, "5000")
    with open(path, encoding="utf-8") as file:
        text = file.read()
    with open(path, "w", encoding="utf-8") as file:
        file.write(f"first_start = true\n{text}")
    settings = SettingsFile(path)
    assert settings.current.first_start
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    assert not settings.reload()
    assert settings.current.first_start


@pytest.mark.parametrize("bound_ms", [2000, 3000, 5000, 30_000])
async def test_long_poll_ends_before_the_configuration_counts_as_outdated(
    bound_ms: float,
) -> None:
    """The store must be polled again before the configuration counts as outdated.

    With a bound of 3 s, each late answer of the store left an instance in doubt about
    keys and routes that it does not know.
    """
    settings = make_settings()._replace(bounds=GatewayBounds(revocation_ms=bound_ms))
    pool = ChannelPool()
    platform = build_platform(MemoryStore().build_port(), pool)
    gateway = Gateway(SettingsFile("", settings), platform, pool, DecisionLog("i0", 2))
    feeds = {feed.table: feed for feed in gateway._build_feeds()}
    operator = feeds[OPERATOR_TABLE]
    outdated_after = bound_ms / 1000 * UNCERTAIN_AGE_SHARE
    assert operator.wait <= outdated_after * 0.7
    assert operator.wait < operator.idle_timeout < outdated_after


async def test_slow_store_does_not_delay_the_close(autojump_clock: object) -> None:
    """A store that does not answer must not use up the grace period.

    The close began a second too late, and instances were killed with calls open.
    """
    pool = ChannelPool()
    platform = build_platform(MemoryStore().build_port(), pool)
    log = DecisionLog("i0", 2)
    gateway = Gateway(SettingsFile("", make_settings()), platform, pool, log)
    gateway.members.leave = trio.sleep_forever  # type: ignore[method-assign]
    gateway.leave()
    left_at = trio.current_time()
    await gateway._wait_to_close()
    assert trio.current_time() - left_at == pytest.approx(LEAVE_SECONDS)


@pytest.mark.parametrize("counts", ["1460,80", None, "x,1"])
async def test_a_request_for_a_model_is_sent_with_its_cache_namespace(
    counts: str | None,
) -> None:
    """Guards against cached parts that an isolated team shares with others."""
    requests: list[bytes] = []

    async def answer(stream: trio.SocketStream, number: int) -> None:
        while request := await read_request(stream):
            requests.append(request.lower())
            await stream.send_all(make_answer(extra="X-Engine-Seal: s\r\n"))

    headers = "X-Model: m1\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"
    if counts is not None:
        headers += f"X-Token-Counts: {counts}\r\n"
    request = make_request().replace(b"\r\n\r\n", f"\r\n{headers}\r\n".encode())
    async with run_server(answer) as address, run_gateway(address) as running:
        assert (await running.send_request(request)).startswith(b"HTTP/1.1 200")
    assert b"x-cache-salt: " in requests[-1]
