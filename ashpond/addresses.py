"""Listening addresses of processes: an IP address with a port."""

from __future__ import annotations

__all__ = ["Address", "parse_address"]

import ipaddress
import re
from typing import NamedTuple

MAX_PORT = 65535
# Without an IPv6 zone, which means nothing on another machine.
_ADDRESS = re.compile(
    r"(?:(?P<ipv4>[^\[\]:]+)|\[(?P<ipv6>[0-9A-Fa-f:.]+)\]):(?P<port>[1-9][0-9]{0,4})"
)


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return (
            f"[{self.host}]:{self.port}"
            if ":" in self.host
            else f"{self.host}:{self.port}"
        )


def parse_address(text: str) -> Address:
    """Parse an address of the form ``IPv4:PORT`` or ``[IPv6]:PORT``.

    :raises ValueError: if the host is not an IP address or the port is invalid.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found["port"]) <= MAX_PORT:
        raise ValueError(
            "must be IP:PORT with a port from 1 to 65535, and an IPv6 address in []"
        )
    host = found["ipv4"] or found["ipv6"]
    try:
        if found["ipv4"]:
            ipaddress.IPv4Address(host)
        else:
            ipaddress.IPv6Address(host)
    except ValueError as error:
        raise ValueError("the host must be an IP address, not a name") from error
    return Address(host, int(found["port"]))
