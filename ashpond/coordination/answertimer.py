"""How long the asks on a link wait for their first answers."""

from __future__ import annotations

__all__ = ["IDLE_SECONDS", "AnswerTimer"]

from ashpond.decisions.learnedtimes import LearnedTime

# After this time without an answer, the next candidate is asked (seconds).
IDLE_SECONDS = 0.2
# An ask waits for its first answer as long as nearly all have taken: the mean and this
# many mean deviations, and at least the minimum (seconds).
ANSWER_DEVIATIONS = 4.0
MIN_ANSWER_SECONDS = 0.03
# At least this share of the caller's time left, as a server that is chosen without the
# coordinator may be full, and at most that: the rest is for such a server.
MIN_ANSWER_SHARE = 0.05
MAX_ANSWER_SHARE = 0.5


class AnswerTimer:
    """The asks without any answer on the present connection, and what is learned."""

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}
        self._answer_time = LearnedTime()

    def clear(self) -> None:
        """Forget the asks, as the connection is another one."""
        self._sent_at.clear()

    def note_sent(self, number: int, now: float) -> None:
        """Record that an ask has been sent."""
        self._sent_at[number] = now

    def note_answered(self, number: int, now: float) -> None:
        """Record an answer; only the first one of an ask counts."""
        sent_at = self._sent_at.pop(number, None)
        if sent_at is not None:
            self._answer_time.note(min(now - sent_at, IDLE_SECONDS))

    def find_oldest(self) -> float | None:
        """Return when the oldest ask without an answer was sent, None without any."""
        return next(iter(self._sent_at.values()), None)

    def find_deadline(self, since: float, deadline: float) -> float:
        """Return until when an ask waits for its first answer.

        Until one is measured, that is as long as for the next candidate.

        :param since: when it began to wait for one.
        :param deadline: when its caller leaves.
        """
        usual = self._answer_time.find_bound(ANSWER_DEVIATIONS) or IDLE_SECONDS
        left = deadline - since
        least = max(MIN_ANSWER_SECONDS, left * MIN_ANSWER_SHARE)
        seconds = min(max(usual, least), IDLE_SECONDS)
        return since + min(seconds, left * MAX_ANSWER_SHARE)
