"""Build the parts of a gateway instance that depend on most of the others."""

from __future__ import annotations

__all__ = ["build_dispatcher", "build_rollouts", "build_target_dates"]

from typing import TYPE_CHECKING

from ashpond.controllers.targetdates import TargetDates
from ashpond.gateway.callprogress import DispatchContext, compute_fingerprints
from ashpond.gateway.dispatch import Dispatcher
from ashpond.gateway.orders import watch_answers
from ashpond.gateway.rollouts import RolloutController

if TYPE_CHECKING:
    from ashpond.gateway.composition import GatewayParts

MS = 1000.0


def build_rollouts(parts: GatewayParts) -> RolloutController:
    """Return the controller of the engines' weights."""
    return RolloutController(
        parts.settings.name,
        parts.table,
        parts.knowledge,
        parts.platform.store,
        parts.store_view.clock,
        watch_answers(parts.platform.engines, parts.detours.note_reached),
        parts.log,
        lambda: list(parts.members.by_name),
        parts.peers.announce,
        parts.slot_queue.assign,
        parts.retry_budgets.measure_left,
        parts.settings.bounds.lease_ms / MS,
        lambda: parts.peers.get_max_lag(),
        parts.invalid_rows,
        parts.has_service,
        lambda: not parts.detours.is_cut_off,
        parts.era_record,
        parts.settings.bounds.weights_ms / MS,
        parts.find_required_version,
    )


def build_target_dates(parts: GatewayParts) -> TargetDates:
    """Return the exchange of the dates of weight targets."""
    return TargetDates(
        parts.platform.store,
        parts.knowledge,
        parts.store_view.clock,
        parts.log,
        parts.invalid_rows,
        parts.rng,
        lambda: parts.peers.is_reader,
        parts.rollouts.has_outdated,
    )


def build_dispatcher(parts: GatewayParts) -> Dispatcher:
    """Return the dispatcher of calls."""
    return Dispatcher(
        DispatchContext(
            parts.reservations,
            parts.detours,
            parts.platform.codec,
            parts.platform.id_header,
            parts.knowledge,
            parts.log,
            parts.retry_budgets.get,
            parts.server_updates.note_cached_prompt,
            lambda call, accepted: compute_fingerprints(
                parts.members.secret, call, accepted
            ),
            parts.crash_detector,
            parts.directives,
            parts.quarantine,
            parts.server_updates.announce_unreachable,
            parts.allowances.take,
            parts.allowances.refund,
            parts.permits.take,
            parts.metrics.count_refusal,
            parts.rng,
            parts.origins,
            parts.times,
            parts.software.list_avoided,
            parts.software.is_version_certain,
            parts.find_required_version,
            parts.grace,
            parts.metrics.count_rejection,
            parts.loop_watch.move_on_after,
        )
    )
