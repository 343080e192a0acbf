"""Addresses of processes: what is one, and what is not."""

from __future__ import annotations

import pytest
import trio
from hypothesis import given, strategies as st

from ashpond.addresses import Address, parse_address
from ashpond.clients.sockets import close_socket, open_socket
from ashpond.gateway.store import InvalidRow
from ashpond_platform.rows import decode_server_row
from tests.row_builders import SERVER, make_row

INVALID = {
    "digits of another script": "127.0.0.1:\u0661",
    "superscript digits": "127.0.0.1:\u00b2",
    "host in digits of another script": "127.0.0.\u0661:80",
    "leading zero": "127.0.0.1:08",
    "leading zero in the host": "127.0.0.01:80",
    "IPv6 without brackets": "::1:1",
    "IPv4 in brackets": "[127.0.0.1]:80",
    "unbalanced brackets": "[::1:80",
    "double brackets": "[[::1]]:80",
    "IPv6 zone": "[fe80::1%eth0]:80",
    "IPv6 zone with a line break": "[fe80::1%\r\n]:80",
    "port 0": "127.0.0.1:0",
    "port too large": "127.0.0.1:65536",
    "port of many digits": "127.0.0.1:" + "9" * 5000,
    "signed port": "127.0.0.1:+80",
    "port with an underscore": "127.0.0.1:8_0",
    "no port": "127.0.0.1",
    "empty port": "127.0.0.1:",
    "no host": ":80",
    "name": "localhost:80",
    "number": "2130706433:80",
    "line feed after it": "127.0.0.1:80\n",
    "space before it": " 127.0.0.1:80",
    "NUL": "127.0.0.1\0:80",
}


@pytest.mark.parametrize("text", INVALID.values(), ids=INVALID)
def test_entry_whose_address_no_connection_can_be_made_to_is_invalid(text: str) -> None:
    with pytest.raises(ValueError, match="must be"):
        parse_address(text)
    row = make_row("i-1", SERVER | {"address": text}, "servers")
    assert isinstance(decode_server_row(row), InvalidRow)


@pytest.mark.parametrize(
    "address", [Address("10.0.0.9", 1), Address("::1", 8080), Address("::", 65535)]
)
def test_address_is_parsed_back(address: Address) -> None:
    assert parse_address(str(address)) == address


@given(st.text(max_size=24) | st.from_regex(r"[\[\]:0-9a-f.%]{0,30}"))
def test_what_is_parsed_is_written_in_one_way(text: str) -> None:
    try:
        address = parse_address(text)
    except ValueError:
        return
    assert str(address) == text


async def test_address_of_ipv6_can_be_connected_to() -> None:
    """Sockets were those of IPv4, for which such an address is a name to look up."""
    (listener,) = await trio.open_tcp_listeners(0, host="::1")
    port = listener.socket.getsockname()[1]
    sock = await open_socket(f"[::1]:{port}", 1.0)
    assert sock.getpeername()[:2] == ("::1", port)
    close_socket(sock)
    await listener.aclose()
