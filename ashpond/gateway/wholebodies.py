"""Read the whole body of a server's answer within the memory of the instance."""

from __future__ import annotations

__all__ = ["MAX_ANSWER_BYTES", "read_body"]

from typing import TYPE_CHECKING

from ashpond.controllers.memory import NoMemoryError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ashpond.clients.channels import Response
    from ashpond.controllers.directory import BackendServer
    from ashpond.controllers.memory import CallMemory

MAX_ANSWER_BYTES = 16 << 20


async def read_body(
    response: Response,
    server: BackendServer,
    memory: CallMemory,
    reserve: Callable[[int], Awaitable[None]] | None,
) -> bytes:
    """Return the whole body of an answer.

    :param reserve: waits for memory for a piece; None if all has been reserved.
    :raises ChannelError: if the answer is incomplete or too large.
    :raises NoMemoryError: if answers whose length is unknown take what they may of the
        memory, from this server or from its service.
    """
    if reserve is None:
        return await response.read_all(MAX_ANSWER_BYTES)
    writers = (f"server {server.id}", f"service {server.service}")
    held = 0

    async def reserve_piece(size: int) -> None:
        nonlocal held
        if not memory.hold_for_writers(writers, held, size):
            raise NoMemoryError("answers of unknown length reach their limit")
        held += size
        await reserve(size)

    try:
        return await response.read_all(MAX_ANSWER_BYTES, reserve_piece)
    finally:
        memory.release_for_writers(writers, held)
