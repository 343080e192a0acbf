"""Counters and latency histograms of an instance that serves routed calls."""

from __future__ import annotations

__all__ = ["GatewayMetrics"]

from collections.abc import Callable

from ashpond.gateway.deferredmetrics import (
    Counter,
    Gauge,
    Histogram,
    Registry,
    render,
)

LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]
SUSPENSION_BUCKETS = [0.1, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0]
# Teams beyond this number share one series, which bounds the size of the page.
MAX_TEAM_SERIES = 50
OTHER_TEAMS = "(others)"
PLACEMENT_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5]
DELAY_BUCKETS = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5]


class GatewayMetrics:
    """All metrics of one instance.

    ``measure_weights_lag`` is called for each page; it returns seconds.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.refusals = Counter(
            "ashpond_gateway_refusals",
            "Refusals by kind",
            registry=self.registry,
        )
        self.rejections = Counter(
            "ashpond_gateway_rejections",
            "Refusals of servers, by what shows that the request has not run",
            registry=self.registry,
        )
        self.latency = Histogram(
            "ashpond_gateway_seconds",
            "Time to the end of the answer, by kind of route",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.cut_calls = Counter(
            "ashpond_gateway_cut_calls",
            "Calls that ended before their answer did, by cause",
            registry=self.registry,
        )
        self.closed_connections = Counter(
            "ashpond_gateway_connections_closed",
            "Clients' connections that have ended, by cause",
            registry=self.registry,
        )
        self.invalid_rows = Counter(
            "ashpond_gateway_invalid_rows",
            "Rows of the store that could not be read, by table",
            registry=self.registry,
        )
        self.quarantined = Counter(
            "ashpond_gateway_quarantined",
            "Requests that were quarantined, as they end servers",
            registry=self.registry,
        )
        self.directives = Counter(
            "ashpond_gateway_server_statements",
            "What servers newly said of themselves in answers, by kind",
            registry=self.registry,
        )
        self.permits = Counter(
            "ashpond_gateway_permits",
            "Permits asked for requests to servers with a rate limit, by outcome",
            registry=self.registry,
        )
        self.allowances = Counter(
            "ashpond_gateway_allowance",
            "What teams asked for here, in the units of their limits, by outcome",
            registry=self.registry,
        )
        self.placements = Counter(
            "ashpond_gateway_placements",
            "Servers asked of coordinators, by outcome and reason",
            registry=self.registry,
        )
        self.coordinated = Counter(
            "ashpond_gateway_coordinated",
            "Asks of all instances and ends of grants at the coordinator, by outcome",
            registry=self.registry,
        )
        self.placement_waits = Histogram(
            "ashpond_gateway_placement_seconds",
            "Time from asking a coordinator to its decision, by outcome",
            buckets=PLACEMENT_BUCKETS,
            registry=self.registry,
        )
        self.forecast_errors = Histogram(
            "ashpond_gateway_forecast_error_seconds",
            "Difference of the estimated from the actual wait, by sign",
            buckets=PLACEMENT_BUCKETS,
            registry=self.registry,
        )
        self.memory = Counter(
            "ashpond_gateway_memory",
            "Actions that keep the instance within its memory limit, by kind",
            registry=self.registry,
        )
        self.taken_up = Counter(
            "ashpond_gateway_streams_taken_up",
            "Streams that clients took up again, by how their origin was known",
            registry=self.registry,
        )
        self.tunnels = Counter(
            "ashpond_gateway_tunnels",
            "Tunnels to servers that this instance asked its peers for, by outcome",
            registry=self.registry,
        )
        self.relayed = Counter(
            "ashpond_gateway_relayed",
            "Tunnels to servers that peers asked this instance for, by outcome",
            registry=self.registry,
        )
        self.weights_lag = Gauge(
            "ashpond_gateway_weights_lag_seconds",
            "For how long the weights of the engine furthest behind have been replaced",
            registry=self.registry,
        )
        self.measure_weights_lag: Callable[[], float] = lambda: 0.0
        self._teams_with_series: set[str] = set()
        self.suspensions = Histogram(
            "ashpond_gateway_suspended_seconds",
            "Times for which the machine was suspended",
            buckets=SUSPENSION_BUCKETS,
            registry=self.registry,
        )
        self.loop_delays = Histogram(
            "ashpond_gateway_loop_delay_seconds",
            "Stalls of the event loop of 25 ms and more",
            buckets=DELAY_BUCKETS,
            registry=self.registry,
        )

    def count_rejection(self, proof: str) -> None:
        """Count one refusal of a server."""
        self.rejections.inc({"proof": str(proof)})

    def count_cut_call(self, cause: str) -> None:
        """Count one call that ended before its answer was complete."""
        self.cut_calls.inc({"cause": str(cause)})

    def count_closed(self, cause: str) -> None:
        """Count one closed connection."""
        self.closed_connections.inc({"cause": str(cause)})

    def count_taken_up(self, outcome: str) -> None:
        """Count one stream that a client took up again."""
        self.taken_up.inc({"origin": str(outcome)})

    def count_tunnel(self, outcome: str) -> None:
        """Count one tunnel that a peer was asked for."""
        self.tunnels.inc({"outcome": str(outcome)})

    def count_relayed(self, outcome: str) -> None:
        """Count one tunnel that a peer asked this instance for, or its loss."""
        self.relayed.inc({"outcome": str(outcome)})

    def count_invalid_row(self, table: str) -> None:
        """Count one version of a row that could not be decoded."""
        self.invalid_rows.inc({"table": table})

    def count_quarantined(self) -> None:
        """Count one quarantined request."""
        self.quarantined.inc({})

    def count_directive(self, kind: str) -> None:
        """Count one new directive of a server: rate limit, leaving or backoff."""
        self.directives.inc({"kind": kind})

    def count_permit(self, outcome: str) -> None:
        """Count one requested permit."""
        self.permits.inc({"outcome": outcome})

    def count_memory(self, action: str) -> None:
        """Count one action at the memory limit: refused, paused, cut, server_full."""
        self.memory.inc({"action": action})

    def count_allowance(self, team: str, cost: int, is_granted: bool) -> None:
        """Count the cost that a team requested, in the unit of its limit."""
        if len(self._teams_with_series) < MAX_TEAM_SERIES:
            self._teams_with_series.add(team)
        name = team if team in self._teams_with_series else OTHER_TEAMS
        outcome = "granted" if is_granted else "refused"
        self.allowances.add({"team": name, "outcome": outcome}, cost)

    def count_placement(self, outcome: str, reason: str = "") -> None:
        """Count one outcome of an ask for a server.

        :param reason: why this instance decided by itself, empty if it did not.
        """
        self.placements.inc({"outcome": str(outcome), "reason": str(reason)})

    def count_coordinated(self, outcome: str) -> None:
        """Count one decision of the coordinator here, or the end of its grant."""
        self.coordinated.inc({"outcome": str(outcome)})

    def observe_placement(
        self, outcome: str, waited: float, forecast: float | None
    ) -> None:
        """Record the wait for a coordinator's decision.

        :param forecast: the wait that the coordinator estimated, None if it decided at
            once (seconds).
        """
        self.placement_waits.observe({"outcome": str(outcome)}, waited)
        if forecast is not None:
            sign = "longer" if waited > forecast else "shorter"
            self.forecast_errors.observe({"actual": sign}, abs(waited - forecast))

    def observe_suspension(self, seconds: float) -> None:
        """Record the length of one suspension of the machine."""
        self.suspensions.observe({}, seconds)

    def observe_delay(self, seconds: float) -> None:
        """Record one delay of the event loop."""
        self.loop_delays.observe({}, seconds)

    def count_refusal(self, kind: str) -> None:
        """Count one refused call."""
        self.refusals.inc({"kind": kind})

    def observe_latency(self, kind: str, seconds: float) -> None:
        """Record the time to the end of one call's answer."""
        self.latency.observe({"kind": str(kind)}, seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.weights_lag.set({}, self.measure_weights_lag())
        return render(self.registry)
