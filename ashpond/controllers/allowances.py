"""Ask the coordinators of allowances, and decide as one of them."""

from __future__ import annotations

__all__ = ["Allowances"]

import random
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from ashpond.clients.coordinator import (
    AllowanceDecision,
    AllowanceRequest,
    ReturnedAllowance,
    decode_accrued_time,
    decode_query,
    encode_answer,
)
from ashpond.clients.peer import AllowanceQuery, PeerStream, connect_peer
from ashpond.controllers.allowancegrants import (
    AllowanceGrant,
    grant_unlimited,
    refuse_exhausted,
    refuse_unanswered,
)
from ashpond.controllers.coordinatorlink import ANSWER_SECONDS, Connect, CoordinatorLink
from ashpond.decisions.allowances import (
    REFUND_SECONDS,
    Accrual,
    Allowance,
    AllowanceBounds,
    AllowanceUnit,
    Granted,
    Ledger,
    count_hash_slots,
    find_hash_slot,
    measure_cost,
    plan_accrual,
)
from ashpond.decisions.fleetlinks import Member
from ashpond.decisions.instancecount import InstanceCount
from ashpond.decisions.ratelimits import SERVER_BOUNDS, make_allowance
from ashpond.outcomes import Refusal

if TYPE_CHECKING:
    from ashpond.decisions.declared import Declaration, Team
    from ashpond.fleet.members import Members
    from ashpond.gateway.decisionlog import DecisionLog

INCARNATION_BYTES = 4
MAX_FRAME_BYTES = 1 << 20
# How often links, instance count and accounts are adjusted to the members (seconds).
ADJUST_SECONDS = 0.5
# The interval until configured; accrued time is sent only over links (seconds).
STARTUP_SECONDS = 0.05
# The configuration version and limit of a team that no peer has named.
_UNKNOWN: tuple[int, Allowance | None] = (0, None)
# How long links stay open after the last rate limit of a server was lifted (seconds).
LINGER_SECONDS = 30.0
# The most teams in the description for operators: those with the most use.
DESCRIBED_TEAMS = 20


class _Use(NamedTuple):
    """What this instance has granted and refused to a team since its start."""

    granted: int = 0
    refused: int = 0


class Allowances:
    """Asks the coordinators of limits, and decides for those that ask this instance.

    :param get_declaration: returns the configuration in force.
    :param get_bounds: returns by how much limits may be exceeded.
    :param count_use: counts the cost of a team's request and whether it was granted.
    :param connect: opens a connection to a peer, by default to its address.
    :param find_server_rate: returns a start's limit (requests per second) or None.
    :param has_server_limits: returns whether any server has a rate limit.
    """

    def __init__(
        self,
        members: Members,
        log: DecisionLog,
        get_declaration: Callable[[], Declaration | None],
        get_bounds: Callable[[], AllowanceBounds],
        count_use: Callable[[str, int, bool], None],
        rng: random.Random,
        connect: Connect | None = None,
        find_server_rate: Callable[[str], float | None] = lambda start_id: None,
        has_server_limits: Callable[[], bool] = lambda: False,
    ):
        now = trio.current_time()
        self._incarnation = f"{members.own.name}#{secrets.token_hex(INCARNATION_BYTES)}"
        self._members = members
        self._log = log
        self._get_declaration = get_declaration
        self._get_bounds = get_bounds
        self._count_metric = count_use
        self._rng = rng
        self._connect = connect or self._connect_by_address
        self._find_server_rate = find_server_rate
        self._has_server_limits = has_server_limits
        self._links_needed_until = now
        # Earlier time was accrued by the previous incarnation of this instance.
        self._accrues_since = now
        self._instance_count = InstanceCount(now, members.may_lack_members)
        self._ledgers: dict[tuple[int, int], Ledger] = {}
        self._links: list[CoordinatorLink] = []
        self._last_declaration: Declaration | None = None
        self._limits: dict[str, Allowance] = {}
        # Limits from peers whose configuration is newer, with its version.
        self._peer_limits: dict[str, tuple[int, Allowance]] = {}
        self._uses: dict[str, _Use] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Keep the links to the coordinators open while there are any limits."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._adjust()
                is_configured = self._get_declaration() is not None
                await trio.sleep(ADJUST_SECONDS if is_configured else STARTUP_SECONDS)

    async def take(
        self, team: Team | None, tokens: int | None, urgency: int, deadline: float
    ) -> AllowanceGrant | Refusal:
        """Take the cost of one run of a request, or return why it may not run.

        :param tokens: the tokens that the request names, None if it names none.
        :param deadline: when the client stops waiting, on this process's clock.
        """
        if team is None or team.allowance is None:
            return await grant_unlimited(team, tokens, urgency, deadline)
        now = trio.current_time()
        allowance = team.allowance
        cost = measure_cost(allowance, tokens)
        timeout = max(0.0, deadline - now)
        link = self._find_link(team.name)
        if link is None:
            return refuse_unanswered("this instance is starting", deadline, self._rng)
        verdict = await self._ask(link, team.name, allowance, cost, urgency, timeout)
        if verdict is None:
            return refuse_unanswered("no coordinator answers", deadline, self._rng)
        self._count_use(team.name, cost, verdict.is_granted)
        if verdict.is_granted:
            return AllowanceGrant(team.name, allowance.unit, cost, now)
        return refuse_exhausted(allowance, cost, verdict, link.coordinator)

    async def request_permit(
        self, start_id: str, allowance: Allowance, urgency: int, timeout: float
    ) -> AllowanceDecision | None:
        """Ask for a permit for a limited server; return None if there is no answer.

        :param start_id: the id of the server's present start.
        :param timeout: how long the request can wait for a permit (seconds).
        """
        link = self._find_link(start_id)
        if link is None:
            return None
        return await self._ask(link, start_id, allowance, 1, urgency, timeout)

    def open_links(self) -> None:
        """Open the links to the coordinators now if there are any limits."""
        if not self._links:
            self._adjust()

    def _find_link(self, name: str) -> CoordinatorLink | None:
        if not self._links:
            self._adjust()
        if not self._links:
            return None
        return self._links[find_hash_slot(name, len(self._links))]

    async def _ask(
        self,
        link: CoordinatorLink,
        name: str,
        allowance: Allowance,
        cost: int,
        urgency: int,
        timeout: float,
    ) -> AllowanceDecision | None:
        request = AllowanceRequest(
            link.next_number(),
            self._get_version(),
            name,
            allowance.unit,
            allowance.rate,
            allowance.burst,
            cost,
            urgency,
            timeout,
        )
        return await link.ask(request)

    def refund(self, grant: AllowanceGrant) -> None:
        """Return the grant of a request that has not run, unless it has expired."""
        # A later refund could exceed the bound of the next window.
        if not grant.cost or trio.current_time() - grant.at > REFUND_SECONDS / 2:
            return
        if not self._links:
            return
        link = self._links[find_hash_slot(grant.team, len(self._links))]
        returned = ReturnedAllowance(grant.team, grant.unit, grant.cost)
        if link.is_own_coordinator:
            ledger = self._get_ledger(len(self._links), link.hash_slot)
            self._apply_refunds(ledger, [returned], trio.current_time())
        else:
            link.queue_refund(returned)

    async def serve(self, first: AllowanceQuery, stream: PeerStream) -> None:
        """Answer a peer that has chosen this instance as a coordinator.

        :raises FrameError: if the peer sends an invalid message.
        """
        message: Any = first
        while True:
            if isinstance(message, AllowanceQuery):
                await self._answer(message, stream)
            message = await stream.receive()

    async def _answer(self, message: AllowanceQuery, stream: PeerStream) -> None:
        now = trio.current_time()
        requests, returned = decode_query(message)
        ledger = self._get_ledger(message.hash_slots, message.hash_slot)
        accrued = decode_accrued_time(message)
        name = message.sender.rpartition("#")[0]
        if accrued is not None and self._instance_count.is_counted(name, now):
            ledger.receive(accrued, self._instance_count.compute_share(now), now)
        self._apply_refunds(ledger, returned, now)
        verdicts = [self._decide(ledger, request, now) for request in requests]
        if verdicts or message.wants_time:
            with trio.fail_after(ANSWER_SECONDS):
                await stream.send(encode_answer(now, verdicts))

    def decide_locally(
        self,
        hash_slots: int,
        hash_slot: int,
        link: CoordinatorLink,
        request: AllowanceRequest,
    ) -> AllowanceDecision:
        """Decide on a request of this instance as its own coordinator."""
        now = trio.current_time()
        ledger = self._get_ledger(hash_slots, hash_slot)
        self._accrue(ledger, link, now)
        return self._decide(ledger, request, now)

    def _accrue(self, ledger: Ledger, link: CoordinatorLink, now: float) -> None:
        accrued = link.accrued_time.take(now)
        if accrued is not None:
            ledger.receive(accrued, self._instance_count.compute_share(now), now)

    def _decide(
        self, ledger: Ledger, request: AllowanceRequest, now: float
    ) -> AllowanceDecision:
        allowance = self._find_allowance(request)
        if allowance is None or not allowance.rate:
            # In a request, a rate of 0 means that the team has no limit.
            return AllowanceDecision(request.number, True, None, 0.0, 0.0)
        outcome = ledger.spend(
            request.team,
            allowance,
            self._plan_accrual(allowance),
            request.cost,
            request.urgency,
            request.timeout,
            self._rng.random(),
            now,
        )
        if isinstance(outcome, Granted):
            return AllowanceDecision(request.number, True, None, 0.0, 0.0)
        return AllowanceDecision(
            request.number, False, outcome.retry_after, outcome.remaining, outcome.share
        )

    def _apply_refunds(
        self, ledger: Ledger, returned: list[ReturnedAllowance], now: float
    ) -> None:
        for entry in returned:
            allowance = self._list_limits().get(entry.team)
            if allowance is not None and allowance.unit is entry.unit:
                accrual = self._plan_accrual(allowance)
                ledger.refund(entry.team, allowance, accrual, entry.cost, now)

    def _find_allowance(self, request: AllowanceRequest) -> Allowance | None:
        """Return a team's limit by the newest configuration named in requests, or None.

        Of two different limits of a server, the lower one holds.
        """
        if request.unit is AllowanceUnit.SERVER_REQUESTS:
            known = self._find_server_rate(request.team)
            rate = request.rate if known is None else min(known, request.rate)
            return make_allowance(rate)
        limits = self._list_limits()
        own = self._get_version()
        if request.version > max(own, self._peer_limits.get(request.team, _UNKNOWN)[0]):
            limit = Allowance(request.rate, request.burst, request.unit)
            self._peer_limits[request.team] = request.version, limit
        version, allowance = self._peer_limits.get(request.team, _UNKNOWN)
        return allowance if version > own else limits.get(request.team)

    def _get_version(self) -> int:
        declaration = self._get_declaration()
        return 0 if declaration is None else declaration.version

    def _list_limits(self) -> dict[str, Allowance]:
        declaration = self._get_declaration()
        if declaration is not self._last_declaration:
            self._last_declaration = declaration
            teams = declaration.teams_by_key.values() if declaration else ()
            self._limits = {t.name: t.allowance for t in teams if t.allowance}
            self._uses = {t: u for t, u in self._uses.items() if t in self._limits}
            version = self._get_version()
            self._peer_limits = {
                t: h for t, h in self._peer_limits.items() if h[0] > version
            }
        return self._limits

    def _plan_accrual(self, allowance: Allowance) -> Accrual:
        if allowance.unit is AllowanceUnit.SERVER_REQUESTS:
            return plan_accrual(allowance, SERVER_BOUNDS)
        return plan_accrual(allowance, self._get_bounds())

    def _get_ledger(self, hash_slots: int, hash_slot: int) -> Ledger:
        return self._ledgers.setdefault((hash_slots, hash_slot), Ledger())

    def _adjust(self) -> None:
        """Open one link per hash slot, by the present number of instances."""
        now = trio.current_time()
        self._instance_count.update(
            {*self._members.by_name, self._members.own.name}, now
        )
        for ledger in self._ledgers.values():
            ledger.remove_full_accounts(now)
        if self._has_server_limits():
            self._links_needed_until = now + LINGER_SECONDS
        needs_links = self._list_limits() or now < self._links_needed_until
        count = count_hash_slots(self._members.count()) if needs_links else 0
        if count == len(self._links) or self._nursery is None:
            return
        for link in self._links:
            link.scope.cancel()
        self._links = [self._make_link(count, hash_slot) for hash_slot in range(count)]
        self._accrues_since = now
        for link in self._links:
            self._nursery.start_soon(link.run)

    def _make_link(self, hash_slots: int, hash_slot: int) -> CoordinatorLink:
        return CoordinatorLink(
            self._incarnation,
            hash_slots,
            hash_slot,
            self._members,
            self._log,
            self.decide_locally,
            self._connect,
            self._accrues_since,
        )

    async def _connect_by_address(self, member: Member) -> PeerStream:
        return await connect_peer(member.address, self._members.secret, MAX_FRAME_BYTES)

    def _count_use(self, team: str, cost: int, is_granted: bool) -> None:
        self._count_metric(team, cost, is_granted)
        use = self._uses.get(team, _Use())
        if is_granted:
            self._uses[team] = use._replace(granted=use.granted + cost)
        else:
            self._uses[team] = use._replace(refused=use.refused + cost)

    def describe(self) -> dict[str, Any]:
        """Return the coordinators, accounts and use of teams, for operators."""
        now = trio.current_time()
        uses = sorted(self._uses.items(), key=lambda entry: -sum(entry[1]))
        return {
            "keepers": [link.coordinator for link in self._links],
            "share_earned": round(self._instance_count.compute_share(now), 5),
            "kept_here": {
                f"{hash_slot}/{hash_slots}": {
                    "share": round(ledger.compute_received_share(now), 3),
                    "accounts": ledger.account_count,
                }
                for (hash_slots, hash_slot), ledger in self._ledgers.items()
            },
            "teams": {
                name: {"limit": self._describe_limit(name), **use._asdict()}
                for name, use in uses[:DESCRIBED_TEAMS]
            },
        }

    def _describe_limit(self, team: str) -> dict[str, Any] | None:
        allowance = self._list_limits().get(team)
        return None if allowance is None else allowance._asdict()
