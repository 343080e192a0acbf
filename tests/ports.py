"""Free ports for tests that listen."""

from __future__ import annotations

import os
import random
import socket

from tools.ports import choose_share

# Below the ephemeral ports (32768 and up): an outgoing connection of another process
# could take one of those between the check below and the start of the listener.
ALL_PORTS = range(10_240, 32_000)
LISTENING_PORTS = choose_share(ALL_PORTS, os.environ.get("PYTEST_XDIST_WORKER", ""))
_handed_out: set[int] = set()
# Hypothesis sets the global generator back for each example, which would then pick the
# ports of the examples before.
_rng = random.Random()


def find_free_port() -> int:
    # Random picks are faster than a shuffle of all ports; at most a quarter is tried.
    for _ in range(len(LISTENING_PORTS) // 4):
        port = _rng.choice(LISTENING_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _handed_out:
            _handed_out.add(port)
            return port
    raise RuntimeError("no port is free")
