"""The configuration in force on this instance, and how a new one is accepted."""

from __future__ import annotations

__all__ = ["ApplyFailed", "ApplyOutcome", "ConfigurationController"]

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import trio
from logbook import Logger

from ashpond.clients.peer import ConfigAnswer
from ashpond.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    digest_text,
    parse_configuration,
)
from ashpond.decisions.generations import (
    Accepted,
    ApplyRequest,
    Head,
    Rejected,
    check_read_back,
    is_newer,
    plan_head,
)
from ashpond.errors import ConfigError
from ashpond.outcomes import Done, Unavailable, Unknown

if TYPE_CHECKING:
    from ashpond.clients.platform import PlatformClient, Row

from ashpond.clients.platform import Put

logger = Logger("ashpond.configuration")

HEAD_KEY = "configuration/head"
MAX_SWAP_ATTEMPTS = 8


class ApplyFailed(NamedTuple):
    """The apply may not have been accepted; retry it with the same id."""

    reason: str


ApplyOutcome = Accepted | Rejected | ApplyFailed


class ConfigurationController:
    """Adopts higher generations from the platform and from peers."""

    def __init__(self, platform: PlatformClient, poll_seconds: float):
        self._platform = platform
        self._poll_seconds = poll_seconds
        self._listeners: list[Callable[[], None]] = []
        self.head: Head | None = None
        self.files: dict[str, str] = {}
        self.current: Configuration = EMPTY_CONFIGURATION
        self.ready = trio.Event()

    @property
    def generation(self) -> int:
        """The generation in force on this instance, 0 for none."""
        return self.head.generation if self.head else 0

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the configuration in force."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Poll the platform's head row, forever."""
        while True:
            await self.refresh()
            await trio.sleep(self._poll_seconds * random.uniform(0.8, 1.2))

    async def refresh(self) -> None:
        """Adopt the platform's generation if it is higher."""
        outcome = await self._platform.get_row(HEAD_KEY)
        if not isinstance(outcome, Done):
            return
        head = make_head(outcome.value)
        if not is_newer(self.head, head):
            return
        files = await self._fetch_files(head)
        if files is not None:
            self.adopt(head, files)

    def adopt_from_peer(self, answer: ConfigAnswer) -> bool:
        """Adopt a peer's generation if it is higher; return whether it was."""
        digests = {name: digest_text(text) for name, text in answer.files.items()}
        head = Head(answer.generation, digests, answer.applies)
        return self.adopt(head, answer.files)

    def answer_peer(self) -> ConfigAnswer:
        """Return the configuration in force, for a peer."""
        applies = self.head.applies if self.head else {}
        return ConfigAnswer(self.generation, self.files, applies)

    def adopt(self, head: Head, files: dict[str, str]) -> bool:
        """Put a higher generation in force; return whether it was higher."""
        if not is_newer(self.head, head):
            return False
        try:
            parsed = parse_configuration(files)
        except ConfigError as error:
            # An instance of another version accepted it: keep the present generation.
            logger.error("generation_unreadable", extra={"reason": str(error)})
            return False
        self.head, self.files, self.current = head, files, parsed
        self.ready.set()
        logger.notice("generation_adopted", extra={"generation": head.generation})
        for listener in self._listeners:
            listener()
        return True

    async def apply(
        self, files: dict[str, str | None], base: int | None, apply_id: str
    ) -> ApplyOutcome:
        """Make a change of files the next generation.

        :param files: the new texts by file name, None to remove a file.
        :param base: the generation that the change was made from, None for any.
        :raises ConfigError: if the resulting set of files is invalid.
        """
        digests = {
            name: None if text is None else digest_text(text)
            for name, text in files.items()
        }
        request = ApplyRequest(apply_id, base, digests)
        for _ in range(MAX_SWAP_ATTEMPTS):
            outcome = await self._try_apply(request, files)
            if outcome is not None:
                return outcome
        return ApplyFailed("too many other applies at the same time")

    async def _try_apply(
        self, request: ApplyRequest, files: dict[str, str | None]
    ) -> ApplyOutcome | None:
        read = await self._platform.get_row(HEAD_KEY)
        if not isinstance(read, Done):
            return ApplyFailed("the platform's table service is unavailable")
        row: Row | None = read.value
        current = make_head(row)
        planned = plan_head(current, request)
        if not isinstance(planned, Head):
            return planned
        merged = await self._merge_files(current, files)
        if merged is None:
            return ApplyFailed("the platform's object store is unavailable")
        parse_configuration(merged)
        if not await self._store_files(planned, merged):
            return ApplyFailed("the platform's object store is unavailable")
        put = Put(HEAD_KEY, planned._asdict(), row.version if row else 0)
        written = await self._platform.transact([put])
        if isinstance(written, Done):
            self.adopt(planned, merged)
            return Accepted(planned.generation)
        if isinstance(written, Unavailable):
            return ApplyFailed("the platform's table service is unavailable")
        if isinstance(written, Unknown):
            return await self._read_back(request)
        return None

    async def _read_back(self, request: ApplyRequest) -> ApplyOutcome:
        read = await self._platform.get_row(HEAD_KEY)
        if isinstance(read, Done):
            accepted = check_read_back(make_head(read.value), request)
            if accepted is not None:
                return accepted
        return ApplyFailed("the answer to the write was lost; it may yet take effect")

    async def _merge_files(
        self, head: Head, changes: dict[str, str | None]
    ) -> dict[str, str] | None:
        files = await self._fetch_files(head)
        if files is None:
            return None
        merged: dict[str, str | None] = {**files, **changes}
        return {name: text for name, text in merged.items() if text is not None}

    async def _fetch_files(self, head: Head) -> dict[str, str] | None:
        known = {digest_text(text): text for text in self.files.values()}
        files = {}
        for name, digest in head.files.items():
            text = known.get(digest) or await self._fetch_file(digest)
            if text is None:
                return None
            files[name] = text
        return files

    async def _fetch_file(self, digest: str) -> str | None:
        outcome = await self._platform.get_object(f"configuration/{digest}")
        if not isinstance(outcome, Done) or outcome.value is None:
            return None
        text = outcome.value.decode()
        return text if digest_text(text) == digest else None

    async def _store_files(self, head: Head, files: dict[str, str]) -> bool:
        running = set(self.head.files.values()) if self.head else set()
        for name, digest in head.files.items():
            if digest in running:
                continue
            key = f"configuration/{digest}"
            outcome = await self._platform.put_object(key, files[name].encode())
            if not isinstance(outcome, Done):
                return False
        return True


def make_head(row: Row | None) -> Head:
    """Return the head that a table row holds."""
    return Head(**row.value) if row else Head()
