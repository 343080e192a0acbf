"""Ports of the processes that a fleet starts, and starts again."""

from __future__ import annotations

import random
import socket

import pytest
import trio

from ashpond.listener import Listener
from tests.listeners import LIMITS, echo
from tests.ports import find_free_port
from tools.fleet import ALL_PORTS, find_ports
from tools.ports import choose_share

FIRST_EPHEMERAL_PORT = 32_768
MOST_PROCESS_PORTS = 500


async def test_an_instance_whose_port_an_outgoing_connection_has_fails_at_once():
    """It does not run on without listening."""
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as outgoing,
    ):
        host, port = outgoing.getsockname()
        listener = Listener({f"{host}:{port}": echo}, lambda: LIMITS)
        with trio.fail_after(5), pytest.raises(OSError, match="in use"):
            await listener.run(trio.sleep_forever, 1.0)


def test_no_outgoing_connection_takes_the_port_of_a_restarted_process():
    ports = find_ports(50)
    assert len(set(ports)) == 50
    assert max(ports) < FIRST_EPHEMERAL_PORT


def test_free_ports_are_not_picked_by_the_generator_that_hypothesis_sets_back():
    state = random.getstate()
    find_free_port()
    assert random.getstate() == state


def test_fleets_of_test_processes_that_start_together_share_no_port():
    shares = [set(choose_share(ALL_PORTS, f"gw{n}")) for n in range(8)]
    assert len(set.union(*shares)) == sum(map(len, shares))
    assert min(map(len, shares)) >= MOST_PROCESS_PORTS


def test_processes_of_a_fleet_that_start_one_after_another_share_no_port():
    ports = [port for _ in range(60) for port in find_ports(3)]
    assert len(set(ports)) == len(ports)
