"""Find ports that are free, for tests that listen."""

from __future__ import annotations

import random
import socket

# Below the ports that outgoing connections take by themselves (32768 and up): one of
# those may be the very port that a test has found free a moment ago.
LISTENING_PORTS = range(10_240, 32_000)
_handed_out: set[int] = set()


def find_free_port() -> int:
    # A quarter of the ports at most is ever looked at; a shuffle of all takes longer.
    for _ in range(len(LISTENING_PORTS) // 4):
        port = random.choice(LISTENING_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _handed_out:
            _handed_out.add(port)
            return port
    raise RuntimeError("no port is free")
