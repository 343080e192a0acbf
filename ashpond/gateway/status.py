"""The status page of an instance, as JSON for operators."""

from __future__ import annotations

__all__ = ["render_status"]

from typing import TYPE_CHECKING

import orjson
import trio

if TYPE_CHECKING:
    from ashpond.controllers.directory import ServerState
    from ashpond.gateway.application import Gateway


def render_status(gateway: Gateway) -> bytes:
    """Return configuration, members, lease, servers and retry budgets as JSON."""
    now = trio.current_time()
    declaration = gateway.knowledge.declaration
    age = gateway.knowledge.measure_age(now)
    lease = gateway.rollouts.lease
    status = {
        "name": gateway.settings.name,
        "ready": gateway.is_ready(),
        "leaving": gateway.leave_event.is_set(),
        "configuration": declaration.version if declaration else None,
        "store_era": gateway.platform.store.era.current,
        "knowledge_age_seconds": round(age, 3) if declaration else None,
        "weight_targets": gateway.knowledge.targets,
        "invalid_rows": [row._asdict() for row in gateway.invalid_rows.list_all()],
        "quarantine": gateway.quarantine.describe(),
        "allowances": gateway.allowances.describe(),
        "members": sorted(gateway.members.by_name),
        "news": {
            "group": gateway.peers.links.group,
            "speaks_for_group": gateway.peers.is_hub,
            "peers_told": len(gateway.peers.list_links()),
        },
        "lease": {
            "holder": lease.last_known_holder,
            "held_here": lease.holds(now),
            "fence": lease.fence,
        },
        "streams": gateway.software.describe(),
        "software_versions": {
            service: gateway.table.versions.list_present(service)
            for service in sorted({s.info.service for s in gateway.table.list_all()})
        },
        "contact": gateway.detours.describe(),
        "tunnels_for_peers": gateway.relay_server.tunnels,
        "cache_stores_up": gateway.cache_stores.count_up(),
        "waiting": gateway.reservations.waiting,
        "placements": gateway.reservations.describe(),
        "coordinated_here": gateway.coordinator.describe(),
        "memory": gateway.memory.describe(),
        "open_calls": gateway.ingress.open_calls,
        "log_lines_dropped": dict(gateway.log.dropped),
        "repeats_left": {
            service: budget.measure_left()
            for service, budget in gateway.retry_budgets.by_service.items()
        },
        "servers": [
            _describe_server(gateway, state, now) for state in gateway.table.list_all()
        ],
    }
    return orjson.dumps(status)


def _describe_server(
    gateway: Gateway, state: ServerState, now: float
) -> dict[str, object]:
    return {
        "id": state.info.id,
        "service": state.info.service,
        "software_version": state.info.software_version,
        "address": state.info.address,
        "open": state.is_usable(now),
        "draining": state.info.is_draining,
        "entry_invalid": state.is_entry_invalid,
        "born": state.info.started_ms,
        "rate_limit": state.rate_limit.rate,
        "leaving": state.is_leaving,
        "backoff_seconds": round(max(0.0, state.backoff_until - now), 3),
        "weights": state.weights,
        "load": gateway.table.sum_load(state.info.id, now)._asdict(),
        "failure_share": round(state.failure_share, 3),
    }
