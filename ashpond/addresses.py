"""Listening addresses of processes: an IP address with a port."""

from __future__ import annotations

__all__ = ["Address", "parse_address"]

import ipaddress
from typing import NamedTuple


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
    """Parse an address of the form ``IP:PORT``.

    :raises ValueError: if the host is not an IP address or the port is invalid.
    """
    host, separator, port = text.rpartition(":")
    host = host.strip("[]")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("must be IP:PORT with a port from 1 to 65535")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise ValueError("the host must be an IP address, not a name") from error
    return Address(host, int(port))
