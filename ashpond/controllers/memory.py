"""The memory that an instance holds for its open calls, within its limit."""

from __future__ import annotations

__all__ = ["CallMemory", "MemoryController", "NO_LIMIT", "NoMemoryError"]

from collections.abc import Callable
from typing import Any

import trio

from ashpond.decisions.memorybudget import (
    CALL_BYTES,
    SOCKET_BUFFER_BYTES,
    Holding,
    MemoryBudget,
    Purpose,
    compute_byte_budget,
)
from ashpond.errors import AshpondError

# Interval at which waiting reservations are decided again, as holdings grow old enough
# to be cut without any event.
CHECK_SECONDS = 0.05
# A new call waits this long for a cut holding to be released before it is refused.
OPEN_SECONDS = 0.1


class NoMemoryError(AshpondError):
    """Raised when an answer is larger than the memory for all calls."""


class _Waiting:
    """A reservation that waits for room."""

    def __init__(self, holding: Holding, size: int, ceiling: int):
        self.holding = holding
        self.size = size
        self.ceiling = ceiling
        self.decided = trio.Event()
        self.is_granted = False


class CallMemory:
    """The memory of one call: how much is held, and how its client is disconnected.

    Without a limit, nothing is counted.
    """

    def __init__(self, controller: MemoryController | None, request_id: str = ""):
        self.request_id = request_id
        self.cut: Callable[[], None] = lambda: None
        self._controller = controller
        self._credit = 0
        self.holding = Holding(0.0)
        if controller is not None:
            self.holding = controller.budget.open(trio.current_time())

    @property
    def is_limited(self) -> bool:
        """Whether the instance has a memory limit."""
        return self._controller is not None

    @property
    def is_cut(self) -> bool:
        """Whether the client is disconnected, as its bytes were the oldest."""
        return self.holding.is_cut

    async def grow(self, size: int, longest_wait: float = float("inf")) -> bool:
        """Wait for room for ``size`` bytes and hold them; return whether that worked.

        :param longest_wait: time after which the wait is given up (seconds).
        """
        if self._controller is None:
            return True
        return await self._controller.reserve(self, size, longest_wait)

    async def grow_by_answer(self, size: int) -> None:
        """Wait for room for a piece of a server's answer.

        The piece counts as credit for :meth:`take_credit` until it is handed to the
        client.

        :raises NoMemoryError: if there will never be room for it.
        """
        if not await self.grow(size):
            raise NoMemoryError("no memory for the answer")
        self._credit += size

    def take_credit(self, size: int) -> int:
        """Return how many of ``size`` bytes for the client are held already."""
        used = min(size, self._credit)
        self._credit -= used
        return used

    @property
    def credit(self) -> int:
        """The bytes held for answers that the client has not been handed."""
        return self._credit

    def drop_credit(self, kept: int) -> None:
        """Release the credit beyond ``kept`` bytes, as an answer has broken off."""
        dropped = max(0, self._credit - kept)
        self._credit -= dropped
        self.shrink(dropped)

    def shrink(self, size: int) -> None:
        """Release bytes."""
        if self._controller is not None:
            self._controller.release(self.holding, size)

    def note_purpose(self, purpose: Purpose, since: float) -> None:
        """Record what the bytes wait for, and the time of the oldest of them."""
        self.holding.purpose = purpose
        self.holding.since = since

    def hold_at_server(self, server_id: str, size: int) -> bool:
        """Count the request at a server; return whether it may be sent there."""
        if self._controller is None:
            return True
        return self._controller.hold_at_server(self, server_id, size)

    def release_at_server(self, server_id: str, size: int) -> None:
        """Stop counting the request at a server."""
        if self._controller is not None:
            self._controller.budget.release_at_server(server_id, size)

    def hold_for_writers(self, writers: tuple[str, str], held: int, size: int) -> bool:
        """Count a piece of an answer of unknown length; return whether it may be read.

        :param writers: the server and the service that write it.
        :param held: the bytes of this answer that are counted already.
        """
        if self._controller is None:
            return True
        return self._controller.hold_for_writers(writers, held, size)

    def release_for_writers(self, writers: tuple[str, str], size: int) -> None:
        """Stop counting the bytes of an answer."""
        if self._controller is not None:
            self._controller.budget.release_for_writers(writers, size)

    def close(self) -> None:
        """Release everything."""
        if self._controller is not None:
            self._controller.close(self)


NO_LIMIT = CallMemory(None)


class MemoryController:
    """Owns the budget of bytes, and the reservations that wait for room.

    :param memory_mb: the memory limit of the process; 0 for none.
    :param note: logs an event with its fields.
    :param count: counts one occurrence of an action: refused, paused, cut,
        server_full.
    """

    def __init__(
        self,
        memory_mb: float = 0.0,
        note: Callable[..., None] = lambda event, **fields: None,
        count: Callable[[str], None] = lambda action: None,
    ):
        self.budget = MemoryBudget(compute_byte_budget(memory_mb))
        self.counts: dict[str, int] = {}
        self._note = note
        self._count = count
        self._waiting: list[_Waiting] = []
        self._calls: dict[Holding, CallMemory] = {}
        self._has_waiting = trio.Event()

    @property
    def is_limited(self) -> bool:
        """Whether there is a memory limit."""
        return self.budget.limit > 0

    @property
    def socket_buffer_bytes(self) -> int:
        """Size of each buffer of a socket, 0 if the kernel may choose it."""
        return SOCKET_BUFFER_BYTES if self.is_limited else 0

    async def run(self) -> None:
        """Decide waiting reservations as time passes, forever."""
        while True:
            await self._has_waiting.wait()
            while self._waiting:
                await trio.sleep(CHECK_SECONDS)
                self._decide_waiting()
            self._has_waiting = trio.Event()

    async def open(self, request_id: str) -> CallMemory | None:
        """Return the memory of a new call, or None if there is no room for it."""
        if not self.is_limited:
            return NO_LIMIT
        memory = CallMemory(self, request_id)
        self._calls[memory.holding] = memory
        try:
            is_granted = await self.reserve(memory, CALL_BYTES, OPEN_SECONDS)
        except trio.Cancelled:
            memory.close()
            raise
        if is_granted:
            return memory
        memory.close()
        self.note_refused(request_id, "new call")
        return None

    def note_refused(self, request_id: str, reason: str) -> None:
        """Log and count a call that is refused for want of memory."""
        self._count_action("refused")
        self._note("memory_refused", id=request_id, reason=reason, **self._describe())

    def _describe(self) -> dict[str, Any]:
        return {"used": self.budget.used, "limit": self.budget.limit}

    def _count_action(self, action: str) -> None:
        self.counts[action] = self.counts.get(action, 0) + 1
        self._count(action)

    async def reserve(self, memory: CallMemory, size: int, longest_wait: float) -> bool:
        """Wait for room; return False if there will be none or the wait ends."""
        holding = memory.holding
        ceiling = self.budget.find_ceiling(holding, size)
        # Reservations with the same or a higher ceiling that wait come first.
        if not any(waiting.ceiling >= ceiling for waiting in self._waiting):
            verdict = self.budget.reserve(holding, size, trio.current_time())
            self._cut(verdict.cut)
            if verdict.is_granted or verdict.is_impossible:
                return verdict.is_granted
        waiting = _Waiting(holding, size, ceiling)
        self._waiting.append(waiting)
        self._has_waiting.set()
        if holding.size:
            self._count_action("paused")
        began = trio.current_time()
        holding.is_waiting = True
        try:
            with trio.move_on_after(longest_wait):
                await waiting.decided.wait()
        finally:
            holding.is_waiting = False
            if holding.purpose is Purpose.BODY:
                # The client did not cause this time.
                holding.since += trio.current_time() - began
            if not waiting.decided.is_set():
                self._waiting.remove(waiting)
        return waiting.is_granted

    def _decide_waiting(self) -> None:
        """Grant waiting reservations in order; small ones and answers come first.

        Only the first of each ceiling is tried, so that a large one is not overtaken
        by those that came later.
        """
        blocked: set[int] = set()
        order = sorted(self._waiting, key=lambda waiting: -waiting.ceiling)
        now = trio.current_time()
        for waiting in order:
            if waiting.ceiling in blocked:
                continue
            verdict = self.budget.reserve(waiting.holding, waiting.size, now)
            self._cut(verdict.cut)
            if verdict.is_granted or verdict.is_impossible:
                waiting.is_granted = verdict.is_granted
                waiting.decided.set()
                self._waiting.remove(waiting)
            else:
                blocked.add(waiting.ceiling)

    def _cut(self, holdings: tuple[Holding, ...]) -> None:
        now = trio.current_time()
        for holding in holdings:
            memory = self._calls[holding]
            self._count_action("cut")
            self._note(
                "memory_cut",
                id=memory.request_id,
                purpose=holding.purpose,
                size=holding.size,
                unread_for=round(now - holding.since, 3),
                **self._describe(),
            )
            memory.cut()

    def release(self, holding: Holding, size: int) -> None:
        """Release bytes of a holding."""
        self.budget.release(holding, size)
        if self._waiting:
            self._decide_waiting()

    def close(self, memory: CallMemory) -> None:
        """Release all of a call's bytes."""
        self.budget.close(memory.holding)
        self._calls.pop(memory.holding, None)
        if self._waiting:
            self._decide_waiting()

    def hold_at_server(self, memory: CallMemory, server_id: str, size: int) -> bool:
        """Count a request at a server; return whether it may be sent there."""
        if self.budget.hold_at_server(server_id, size):
            return True
        self._count_action("server_full")
        return False

    def hold_for_writers(self, writers: tuple[str, str], held: int, size: int) -> bool:
        """Count a piece of an answer; return whether it may be read."""
        if self.budget.hold_for_writers(writers, held, size):
            return True
        self._count_action("answers_full")
        return False

    def describe(self) -> dict[str, Any]:
        """Return limit, use and actions so far, for the status page."""
        return self._describe() | {
            "calls": len(self._calls),
            "waiting": len(self._waiting),
            "actions": dict(self.counts),
        }
