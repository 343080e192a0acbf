"""Learn how fast each backend server works, from the requests that it answers.

The load is that of engines whose speeds differ by a factor of two, that are 2.5 times
slower for 15% of the time in periods of 0.6 s, and of which some become 3.5 times
slower for seconds. The value is the median of the recent measurements, which single
long answers and short slow periods don't change.
"""

from __future__ import annotations

__all__ = ["ServerSpeeds"]

from collections import deque
from typing import NamedTuple

from ashpond.decisions.servercosts import PREFILL_TOKENS_PER_SECOND, SLOT_COST_SECONDS

DEFAULT_READ_SECONDS = 1.0 / PREFILL_TOKENS_PER_SECOND
# The median is that of the last 1.5 s: a slow period of 0.6 s is less than half of it,
# and a lasting change is the majority after 0.75 s.
WINDOW_SECONDS = 1.5
# At least this many are used, however old, and at most MAX_SAMPLES.
MIN_SAMPLES = 3
MAX_SAMPLES = 32
# With fewer measurements than this, the value of the pool counts as the missing ones.
TRUSTED_SAMPLES = 3
# A server that gets no requests counts as fast as the others again. Otherwise a server
# that was slow once would never be tried again.
SILENT_SECONDS = 10.0
# Reads without a pause between them are one measurement until it covers this much
# (tokens, seconds). An engine reads chunks of 4,096 tokens, of several prompts, and all
# that end in one chunk have their first event at its end: single reads gave 30,000
# tokens a second for an engine that reads 43,000.
MERGED_TOKENS = 8_192
MERGED_SECONDS = 0.25
# The step in which an engine reads so few tokens takes longer than reading them.
MIN_READ_TOKENS = 512
# A prompt shorter than this that was not queued shows the time that a first event takes
# besides reading, a longer one the speed. Without that difference, engines of 57,000
# tokens a second seemed to read 28,000 (tokens).
SHORT_TOKENS = 1_000
# Times of first events that differ by less are equal.
ROUNDING_SECONDS = 1e-6
# Starts that were not reported as ended are forgotten after this silence (seconds).
FORGET_SECONDS = 60.0
# The pool's value is computed this often; it changes slowly.
POOL_SECONDS = 0.25


class _Sample(NamedTuple):
    """A measurement: seconds for one unit of work, and how many units it covers."""

    at: float
    seconds: float
    weight: float


class _Server:
    """The measurements of one start of a server, and the value they give."""

    def __init__(self) -> None:
        self.samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)
        self.value = 0.0
        # From then on, the last measurement is too old to count.
        self.silent_at = 0.0

    def merge(self, sample: _Sample) -> _Sample:
        """Return a sample joined with the last one if they are one measurement."""
        if not self.samples:
            return sample
        last = self.samples[-1]
        seconds = sample.seconds * sample.weight
        last_seconds = last.seconds * last.weight
        is_next = abs(sample.at - last.at - seconds) < ROUNDING_SECONDS
        is_open = last.weight < MERGED_TOKENS and last_seconds < MERGED_SECONDS
        if not is_next or not (is_open or seconds < ROUNDING_SECONDS):
            return sample
        self.samples.pop()
        weight = last.weight + sample.weight
        return _Sample(sample.at, (last_seconds + seconds) / weight, weight)

    def add(self, sample: _Sample, pool_value: float) -> None:
        """Record a sample; the pool's value counts as those that are missing."""
        if not sample.seconds:
            return
        self.samples.append(sample)
        self.silent_at = sample.at + SILENT_SECONDS
        oldest = sample.at - WINDOW_SECONDS
        recent = [entry for entry in self.samples if entry.at >= oldest]
        if len(recent) < MIN_SAMPLES:
            recent = list(self.samples)[-MIN_SAMPLES:]
        missing = TRUSTED_SAMPLES - len(recent)
        recent += [_Sample(0.0, pool_value, sample.weight)] * max(0, missing)
        self.value = compute_weighted_median(recent)


def compute_weighted_median(samples: list[_Sample]) -> float:
    """Return the value at which half of the weight is reached."""
    ordered = sorted(samples, key=lambda sample: sample.seconds)
    half = sum(sample.weight for sample in ordered) / 2
    total = 0.0
    for sample in ordered:
        total += sample.weight
        if total >= half:
            return sample.seconds
    return ordered[-1].seconds


class _Pool:
    """The servers of one service, measured in one unit."""

    def __init__(self, default: float):
        self.servers: dict[str, _Server] = {}
        self._value = default
        self._computed_at = float("-inf")
        self._overheads: deque[float] = deque(maxlen=MAX_SAMPLES)
        # The time from a grant to the first event besides the reading (seconds).
        self.overhead = 0.0

    def note_overhead(self, seconds: float) -> None:
        """Record the time to a first event besides the reading of its prompt."""
        self._overheads.append(max(0.0, seconds))
        ordered = sorted(self._overheads)
        self.overhead = ordered[(len(ordered) - 1) // 2]

    def get_value(self, now: float) -> float:
        """Return the median of the servers that are measured, or the last one."""
        if now - self._computed_at > POOL_SECONDS:
            oldest = now - FORGET_SECONDS
            for start_id in [
                n for n, s in self.servers.items() if s.silent_at < oldest
            ]:
                del self.servers[start_id]
            measured = [s for s in self.servers.values() if now <= s.silent_at]
            values = sorted(s.value for s in measured or self.servers.values())
            self._value = values[(len(values) - 1) // 2] if values else self._value
            self._computed_at = now
        return self._value

    def add(self, start_id: str, sample: _Sample, *, merges: bool = False) -> None:
        server = self.servers.get(start_id)
        if server is None and not sample.seconds:
            return
        pool_value = self.get_value(sample.at)
        if server is None:
            server = self.servers[start_id] = _Server()
            # The median of the others changes with their number.
            self._computed_at = float("-inf")
        server.add(server.merge(sample) if merges else sample, pool_value)

    def get_seconds(self, start_id: str, now: float) -> float:
        """Return the seconds of a server, the pool's if it isn't measured."""
        server = self.servers.get(start_id)
        if server is None or now > server.silent_at:
            return self.get_value(now)
        return server.value

    def forget(self, start_id: str) -> None:
        if self.servers.pop(start_id, None) is not None:
            self._computed_at = float("-inf")


class ServerSpeeds:
    """The read rates of engines and the work times of plain servers.

    A start of a server without measurements, or without any for some seconds, has the
    median of its service, or the constants of
    :mod:`~ashpond.decisions.servercosts` if no server of it is measured.
    """

    def __init__(self) -> None:
        self._readers: dict[str, _Pool] = {}
        self._workers: dict[str, _Pool] = {}

    def note_read(
        self,
        service: str,
        start_id: str,
        tokens: int,
        seconds: float,
        was_queued: bool,
        now: float,
    ) -> None:
        """Record how long an engine read prompt tokens and nothing else.

        :param seconds: from the later of the grant and the previous first event there
            to this request's first event.
        :param was_queued: whether the prompt waited for the reading of another one. If
            not, the way to the engine and the start of the answer took a part of the
            time, which is learned from short prompts.
        """
        if seconds < 0.0:
            return
        pool = self._readers.get(service)
        if pool is None:
            pool = self._readers[service] = _Pool(DEFAULT_READ_SECONDS)
        if not was_queued:
            if tokens < SHORT_TOKENS:
                pool.note_overhead(seconds - tokens * pool.get_value(now))
                return
            seconds -= pool.overhead
        if tokens < MIN_READ_TOKENS or seconds < 0.0:
            return
        pool.add(start_id, _Sample(now, seconds / tokens, tokens), merges=True)

    def note_run(self, service: str, start_id: str, seconds: float, now: float) -> None:
        """Record how long a plain server worked on a request that began at once."""
        if seconds <= 0.0:
            return
        pool = self._workers.get(service)
        if pool is None:
            pool = self._workers[service] = _Pool(SLOT_COST_SECONDS)
        pool.add(start_id, _Sample(now, seconds, 1.0))

    def get_read_rate(self, service: str, start_id: str, now: float) -> float:
        """Return how many prompt tokens an engine reads a second."""
        pool = self._readers.get(service)
        if pool is None:
            return PREFILL_TOKENS_PER_SECOND
        seconds = pool.get_seconds(start_id, now)
        # The constant must be returned as it is, not as the inverse of its inverse.
        is_measured = seconds != DEFAULT_READ_SECONDS
        return 1.0 / seconds if is_measured else PREFILL_TOKENS_PER_SECOND

    def get_work_seconds(self, service: str, start_id: str, now: float) -> float:
        """Return how long a plain server works on a request (seconds)."""
        pool = self._workers.get(service)
        return SLOT_COST_SECONDS if pool is None else pool.get_seconds(start_id, now)

    def forget(self, start_id: str) -> None:
        """Remove a start of a server that has ended."""
        for pool in (*self._readers.values(), *self._workers.values()):
            pool.forget(start_id)
