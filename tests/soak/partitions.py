"""Partitions of single instances from all servers, whose peers still reach them."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from enum import StrEnum

import trio

from tests.soak.resets import reset


class Cut(StrEnum):
    """How an instance loses the servers.

    With ``REFUSE_NEW``, open connections live on; ``HANG`` delivers nothing on any.
    """

    RESET = "reset"
    REFUSE_NEW = "refuse_new"
    HANG = "hang"


class Partitions:
    """Which instances are cut off, by name.

    :param list_pids: returns the process ids of the running instances, by name.
    """

    def __init__(self, list_pids: Callable[[], dict[str, int]]):
        self._list_pids = list_pids
        self.cuts: dict[str, Cut] = {}
        self.changes: list[tuple[float, dict[str, Cut]]] = [(float("-inf"), {})]
        self.proxies: list[PartitionProxy] = []

    def cut(self, names: Iterable[str], kind: Cut) -> None:
        """Cut instances off from all servers, and heal all others."""
        self.cuts = dict.fromkeys(names, kind)
        self.changes.append((trio.current_time(), self.cuts))
        for proxy in self.proxies:
            proxy.apply()

    def was_cut(self, name: str, since: float, until: float) -> bool:
        """Return whether an instance was cut off at any moment between two times."""
        ends = [at for at, _ in self.changes[1:]] + [float("inf")]
        return any(
            name in cuts and at <= until and end >= since
            for (at, cuts), end in zip(self.changes, ends, strict=True)
        )

    def find_owner(self, stream: trio.SocketStream) -> str | None:
        """Return the name of the instance that has opened a connection."""
        port = stream.socket.getpeername()[1]
        inode = _find_inode(port, stream.socket.getsockname()[1])
        if inode is None:
            return None
        wanted = f"socket:[{inode}]"
        for name, pid in self._list_pids().items():
            if wanted in _list_descriptors(pid):
                return name
        return None


class PartitionProxy:
    """The connections to one server, some of whose clients are cut off."""

    def __init__(self, partitions: Partitions):
        self._partitions = partitions
        self._streams: dict[trio.SocketStream, str | None] = {}
        partitions.proxies.append(self)

    def admit(self, stream: trio.SocketStream) -> bool:
        """Record a new connection; return whether its instance reaches the server."""
        owner = self._partitions.find_owner(stream)
        self._streams[stream] = owner
        return self._partitions.cuts.get(owner or "") in (None, Cut.HANG)

    def remove(self, stream: trio.SocketStream) -> None:
        """Forget a connection that has ended."""
        self._streams.pop(stream, None)

    def is_hanging(self, stream: trio.SocketStream) -> bool:
        """Return whether nothing is delivered on a connection now."""
        owner = self._streams.get(stream)
        return self._partitions.cuts.get(owner or "") is Cut.HANG

    def apply(self) -> None:
        """Reset the open connections of instances that are now cut off so."""
        for stream, owner in list(self._streams.items()):
            if self._partitions.cuts.get(owner or "") is Cut.RESET:
                reset(stream)


def _find_inode(port: int, server_port: int) -> int | None:
    """Return the inode of the socket with a local and a remote port."""
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            local, remote = (int(f.rpartition(":")[2], 16) for f in fields[1:3])
            if (local, remote) == (port, server_port):
                return int(fields[9])
    return None


def _list_descriptors(pid: int) -> list[str]:
    folder = f"/proc/{pid}/fd"
    found = []
    try:
        for name in os.listdir(folder):
            found.append(os.readlink(f"{folder}/{name}"))
    except OSError:
        # The process, or a descriptor, is gone.
        return found
    return found
