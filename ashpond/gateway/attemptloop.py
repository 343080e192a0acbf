"""The attempts of one call at backend servers, until one answers it."""

from __future__ import annotations

__all__ = ["AttemptLoop"]

import math

import trio

from ashpond.controllers.allowancegrants import AllowanceGrant
from ashpond.controllers.quarantine import AttemptDecision
from ashpond.decisions.placementterms import PlacementRefusal
from ashpond.decisions.quarantine import QuarantineState
from ashpond.decisions.streamorigins import UnknownReason
from ashpond.decisions.timeleft import MIN_ATTEMPT_SECONDS, choose_retry_after
from ashpond.gateway.answertimeouts import RunTimes
from ashpond.gateway.attempts import Attempt
from ashpond.gateway.callprogress import (
    Answer,
    AttemptFailed,
    AttemptNotRun,
    AttemptOutcome,
    CallProgress,
    Delivered,
    DispatchContext,
)
from ashpond.gateway.replies import send_refusal
from ashpond.gateway.reservations import Reservation
from ashpond.gateway.triedservers import TriedServers
from ashpond.gateway.wholeanswers import find_obstacle, forward_answer
from ashpond.outcomes import Refusal, RunState

# How long a request that may crash servers waits for another attempt of it to end: if
# nothing of its answer has been sent yet, and else (seconds).
ADMISSION_SECONDS = 0.15
RESUMED_ADMISSION_SECONDS = 1.0
BAD_REQUEST = 400
QUARANTINED_MESSAGE = (
    "the backend servers that ran this request, or others with a part of it, ended"
)


class AttemptLoop:
    """The attempts of one call, one after the other."""

    def __init__(self, context: DispatchContext, call: CallProgress):
        self.context = context
        self.call = call
        self._tried = TriedServers(call.route.max_attempts)
        self._times = RunTimes(call, context.times)
        self.last_answer: Answer | None = None
        # The fingerprint that it is refused for, of itself or of a part of its prompt.
        self._suspect = ""
        self._grant: AllowanceGrant | None = None

    async def find_origin(self) -> bool:
        """Find where a stream began that the client takes up, or refuse the call."""
        call = self.call
        envelope = call.request.envelope
        if not (call.route.is_resumable and envelope.is_continuation):
            return True
        team = call.accepted.team
        services = [share.service for share in call.route.shares]
        found = await self.context.origins.find(
            team.name if team else "", envelope.resumes or "", services
        )
        if isinstance(found, UnknownReason):
            call.note("stream_origin_unknown", first_id=envelope.resumes, reason=found)
            self.context.count_refusal("unknown_origin")
            await self._refuse(Refusal(503, "unknown_origin", found))
            return False
        call.continue_at(found.origin)
        call.note(
            "stream_origin",
            first_id=envelope.resumes,
            service=found.origin.service,
            software=found.origin.version,
            known_by=found.by,
            age=round(found.age, 3),
        )
        return True

    async def take_allowance(self) -> bool:
        """Take the first run's cost from the team's allowance, or refuse the call."""
        grant = await self._request_allowance()
        if isinstance(grant, Refusal):
            self.context.count_refusal(grant.kind)
            await self._refuse(grant)
            return False
        self._grant = grant
        return True

    async def _request_allowance(self) -> AllowanceGrant | Refusal:
        accepted = self.call.accepted
        return await self.context.take_allowance(
            accepted.team,
            self.call.request.envelope.tokens,
            accepted.urgency,
            accepted.deadline,
        )

    async def _take_retry_allowance(self, outcome: AttemptOutcome) -> bool:
        """Take a retry from the budget and the allowance; return whether both had it.

        A request that may have run uses its team's allowance again; one that a server
        rejected keeps it. One that was not sent keeps its right to arrive as well.
        """
        if isinstance(outcome, AttemptNotRun) and not outcome.is_rejected:
            return True
        service = self.call.demand.service
        budget = self.context.get_budget(service)
        if not await budget.take(self.call.deadline):
            rights = budget.rights.describe(trio.current_time())
            self.call.note("budget_used_up", service=service, rights=rights)
            return False
        if isinstance(outcome, AttemptNotRun):
            return True
        grant = await self._request_allowance()
        if isinstance(grant, Refusal):
            self.call.note("allowance_used_up", reason=grant.message)
            return False
        return True

    async def run(self) -> None:
        """Make attempts until there is an answer or no retry is allowed."""
        budget = self.context.get_budget(self.call.demand.service)
        budget.note_first_attempt(trio.current_time())
        while True:
            result = await self._attempt()
            if result is None:
                return
            outcome, reservation = result
            if isinstance(outcome, Delivered):
                return
            if isinstance(outcome, Answer):
                obstacle = find_obstacle(self.call, outcome)
                if obstacle is None:
                    self.last_answer = outcome
                else:
                    outcome = AttemptFailed(obstacle)
            if not self._may_retry(outcome, reservation):
                await self._finish(outcome)
                return
            if not await self._take_retry_allowance(outcome):
                await self._finish(outcome)
                return

    async def _attempt(self) -> tuple[AttemptOutcome, Reservation] | None:
        """Make one attempt; return None if the call was refused before it."""
        if not self.context.grace.leaves_time(self._times.estimate_longest()):
            await self.give_up_for_stop()
            return None
        until = self.call.find_end_of_wait()
        pause = self._tried.choose_pause()
        if trio.current_time() + pause + MIN_ATTEMPT_SECONDS > until:
            await self.give_up("no server has taken it")
            return None
        await trio.sleep(pause)
        while True:
            result = await self._attempt_if_admitted(until)
            if not isinstance(result, QuarantineState):
                return result

    async def _attempt_if_admitted(
        self, until: float
    ) -> tuple[AttemptOutcome, Reservation] | QuarantineState | None:
        """Make an attempt; return a state that requires another admission before it.

        None if the call was refused.
        """
        quarantine = self.context.quarantine
        async with quarantine.admit_attempt(
            self.call.fingerprints, self._find_end_of_admission(until)
        ) as decision:
            if decision is AttemptDecision.BUSY:
                await self.give_up("another attempt of it may end the server there")
                return None
            if decision is AttemptDecision.QUARANTINED:
                await self._refuse_quarantined()
                return None
            self.call.is_suspected = decision is AttemptDecision.ALONE
            if self.call.is_suspected:
                until = self._find_end_of_admission(until)
            needed = self._times.estimate_longest()
            with self.context.grace.limit(math.inf, needed) as scope:
                reservation = await self._reserve_with_permit(until)
            if scope.cancelled_caught:
                await self.give_up_for_stop()
                return None
            if reservation is None:
                await self.give_up("no place at any backend server")
                return None
            if isinstance(reservation, PlacementRefusal):
                await self.give_up(reservation.reason, reservation)
                return None
            state = quarantine.judge(self.call.fingerprints).state
            if state in (QuarantineState.HELD, QuarantineState.QUARANTINED):
                # Servers have crashed under this request while it waited here.
                self.context.reservations.release(reservation)
                await self.give_up("it may end the server that runs it")
                return None
            if state is not QuarantineState.FREE and not self.call.is_suspected:
                # One has crashed meanwhile: of all that wait, one is tried at a time.
                self.context.reservations.release(reservation)
                return state
            outcome = await Attempt(self.context, self.call, reservation).run()
            return outcome, reservation

    def _find_end_of_admission(self, until: float) -> float:
        """Return until when a request that may crash servers waits for others like it.

        Those that wait are tried one after the other, and each may end a server. A
        stream that has begun waits longer: a refusal would break it off.
        """
        is_started = self.call.is_started
        seconds = RESUMED_ADMISSION_SECONDS if is_started else ADMISSION_SECONDS
        return min(until, trio.current_time() + seconds)

    async def _reserve_with_permit(
        self, until: float
    ) -> Reservation | PlacementRefusal | None:
        """Reserve a server, and take a permit if the server has a rate limit."""
        while True:
            reservation = await self._reserve(until)
            if reservation is None or isinstance(reservation, PlacementRefusal):
                return reservation
            if not reservation.state.is_limited:
                return reservation
            try:
                is_permitted = await self.context.take_permit(
                    reservation.state, self.call.accepted.urgency
                )
            except trio.Cancelled:
                self.context.reservations.release(reservation)
                raise
            if is_permitted:
                return reservation._replace(permitted_at=trio.current_time())
            self.context.reservations.release(reservation)
            if trio.current_time() >= until:
                return None

    async def _reserve(self, until: float) -> Reservation | PlacementRefusal | None:
        states = self.context.reservations.table.list_service(self.call.demand.service)
        excluded = self._tried.list_excluded(state.info.id for state in states)
        origin = self.call.origin
        if origin is not None:
            excluded |= self.context.reservations.table.list_other_versions(
                *origin, self.context.is_version_certain
            )
        elif self.call.route.is_resumable:
            excluded |= self.context.list_avoided(self.call.demand.service)
        demand = self.call.demand._replace(
            excluded=excluded, is_suspected=self.call.is_suspected
        )
        return await self.context.reservations.reserve(
            demand,
            self.call.accepted.urgency,
            until,
            self.call.make_placement_terms(until),
        )

    async def _refuse_quarantined(self) -> None:
        """Answer with 400, so that clients do not retry a request that crashes servers.

        Clients retry after most failures, including 503, but not after a bad request.
        The answer does not say that the request has not run.
        """
        self._suspect = self.context.quarantine.judge(self.call.fingerprints).suspect
        self.context.quarantine.note_refused(self._suspect)
        run = RunState.OUTCOME_UNKNOWN if self.call.runs else RunState.NOT_RUN
        refusal = Refusal(BAD_REQUEST, "quarantined", QUARANTINED_MESSAGE, run)
        await self._refuse(refusal)

    def _may_retry(self, outcome: AttemptOutcome, reservation: Reservation) -> bool:
        self._tried.note(reservation.state.info.id, outcome)
        if trio.current_time() + MIN_ATTEMPT_SECONDS > self.call.deadline:
            return False
        if isinstance(outcome, AttemptNotRun):
            return True
        if (
            # One attempt shows whether the request crashes the next server too. Its
            # retries would use up the budget of other requests on crashed servers.
            self.call.is_suspected
            or not self.call.is_repeatable
            or self.call.runs >= self.call.route.max_attempts
        ):
            return False
        if isinstance(outcome, Answer):
            return outcome.status >= 500
        return True

    async def _finish(self, outcome: AttemptOutcome) -> None:
        if isinstance(outcome, Answer):
            await forward_answer(self.call, outcome)
        elif self.last_answer is not None and not self.call.is_started:
            await forward_answer(self.call, self.last_answer)
        else:
            await self.give_up(getattr(outcome, "reason", "no answer"))

    async def give_up_for_stop(self) -> None:
        """Refuse a call that would not end before this instance stops.

        Another instance may serve it at once.
        """
        left = self.call.accepted.deadline - trio.current_time()
        wait = choose_retry_after(0.0, left, self.context.rng.random())
        await self.give_up("this instance is stopping", PlacementRefusal("", wait))

    async def give_up(
        self, reason: str, placement: PlacementRefusal | None = None
    ) -> None:
        """Refuse the call, or abort its answer if that has started.

        A request that may have run gets 502, or 504 after its deadline; any other gets
        503 with a retry time, and the team gets its allowance back.

        :param placement: the refusal of a coordinator, which names the retry time.
        """
        if self.call.runs:
            refusal = Refusal(502, "failed", reason, RunState.OUTCOME_UNKNOWN)
            if trio.current_time() >= self.call.accepted.deadline:
                refusal = refusal._replace(status=504)
        else:
            retry_after = (
                self._choose_retry_after()
                if placement is None
                else placement.retry_after
            )
            refusal = Refusal(503, "busy", reason, retry_after=retry_after)
            if self._grant is not None:
                self.context.refund_allowance(self._grant)
        await self._refuse(refusal)

    def _choose_retry_after(self) -> float | None:
        """Return the Retry-After of a request that was not served (seconds)."""
        now = trio.current_time()
        accepted = self.call.accepted
        team = accepted.team.name if accepted.team else ""
        room_at = self.context.reservations.find_room_time(
            self.call.demand, accepted.urgency, team, now
        )
        left = accepted.deadline - now
        return choose_retry_after(room_at - now, left, self.context.rng.random())

    async def _refuse(self, refusal: Refusal) -> None:
        """Send a refusal, or abort the answer if it has started."""
        if self.call.is_started:
            self.call.note(
                "broken_off",
                reason=refusal.message,
                last_event=self.call.splitter.last_id,
            )
            self.call.is_finished = True
            await self.call.reply.abort()
            return
        self.call.note(
            "refused",
            fingerprint=self._suspect or self.call.fingerprint,
            status=refusal.status,
            reason=refusal.message,
            run=refusal.run,
            retry_after=refusal.retry_after,
            service=self.call.demand.service,
            places=self._describe_servers(),
        )
        self.call.is_finished = True
        await send_refusal(self.call.reply, refusal)

    def _describe_servers(self) -> list[list[object]]:
        now = trio.current_time()
        table = self.context.reservations.table
        return [
            [
                state.info.id,
                table.sum_load(state.info.id, now).requests,
                state.is_usable(now),
            ]
            for state in table.list_service(self.call.demand.service)
        ]
