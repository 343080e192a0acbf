"""Answers that are read from their server while their client reads more slowly."""

from __future__ import annotations

__all__ = ["BufferedReply"]

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from ashpond.decisions.memorybudget import SOCKET_BUFFER_BYTES, Purpose

if TYPE_CHECKING:
    from ashpond.controllers.memory import CallMemory
    from ashpond.exchanges import Exchange
    from ashpond.gateway.calls import Headers

# The first piece is written without a task of its own if it is not larger: it fits
# into an empty socket buffer.
INLINE_BYTES = 4096
# How long an answer that is broken off waits for what its client has not read yet.
ABORT_SECONDS = 0.2


class _Piece(NamedTuple):
    """Data for the client, how much of it is counted, and when it was added."""

    data: bytes
    counted: int
    added_at: float


class BufferedReply:
    """An answer whose pieces wait in the call's memory until its client reads them.

    A task of its own writes them, so that the server is read on. They are given to the
    HTTP library in parts that fit into the socket's buffer, as it copies them.

    :param nursery: runs that task; cancelled at the end of the call.
    """

    def __init__(self, exchange: Exchange, memory: CallMemory, nursery: trio.Nursery):
        self._exchange = exchange
        self._memory = memory
        self._nursery = nursery
        self._pieces: deque[_Piece] = deque()
        self._is_first = True
        self._has_writer = False
        self._has_stopped = False
        self._failure: Exception | None = None
        self._lot = trio.lowlevel.ParkingLot()

    async def start(
        self, status: int, headers: Headers, *, is_close_delimited: bool = False
    ) -> None:
        """Start the answer."""
        await self._exchange.start(
            status, headers, is_close_delimited=is_close_delimited
        )

    async def send(self, data: bytes) -> None:
        """Add a piece of the body to the buffer.

        :raises Exception: the error that an earlier piece caused.
        """
        self._raise_failure()
        if not data:
            return
        now = trio.current_time()
        self._memory.note_purpose(Purpose.ANSWER, self._find_oldest(now))
        piece = _Piece(data, self._memory.take_credit(len(data)), now)
        is_first, self._is_first = self._is_first, False
        if is_first and len(data) <= INLINE_BYTES:
            await self._write(piece)
            self._note_read()
            return
        self._pieces.append(piece)
        if not self._has_writer:
            self._has_writer = True
            self._nursery.start_soon(self._write_pieces)
        self._lot.unpark_all()
        await trio.lowlevel.checkpoint()

    def _find_oldest(self, now: float) -> float:
        return self._pieces[0].added_at if self._pieces else now

    async def _write_pieces(self) -> None:
        try:
            while True:
                while not self._pieces:
                    await self._lot.park()
                await self._write(self._pieces[0])
                self._pieces.popleft()
                if not self._pieces:
                    self._note_read()
                    self._lot.unpark_all()
        except Exception as error:
            self._failure = error
        finally:
            self._has_stopped = True
            self._lot.unpark_all()

    async def _write(self, piece: _Piece) -> None:
        self._memory.note_purpose(Purpose.ANSWER, piece.added_at)
        for start in range(0, len(piece.data), SOCKET_BUFFER_BYTES):
            await self._exchange.send(piece.data[start : start + SOCKET_BUFFER_BYTES])
        self._memory.shrink(piece.counted)

    def _note_read(self) -> None:
        """Record that the client has nothing left to read, so that it is not cut."""
        self._memory.note_purpose(Purpose.CALL, trio.current_time())

    async def _wait_until_written(self) -> None:
        while self._pieces and not self._has_stopped:
            await self._lot.park()

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise self._failure

    async def finish(self) -> None:
        """Complete the answer once all of it has been written.

        Shielded like each single write, so that an answer is delivered also if the
        call's deadline passes meanwhile. The wait ends when the client takes nothing
        for the time that the connection allows, or is disconnected.
        """
        with trio.CancelScope(shield=True):
            await self._wait_until_written()
            self._raise_failure()
            # A writer that was cancelled has left pieces: the answer is incomplete.
            if not self._pieces:
                await self._exchange.finish()

    async def abort(self) -> None:
        """Leave the answer incomplete; its connection is closed after the call."""
        with trio.move_on_after(ABORT_SECONDS, shield=True):
            await self._wait_until_written()
        await self._exchange.abort()
