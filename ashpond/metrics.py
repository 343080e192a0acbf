"""Counters and gauges in the Prometheus format, by ``aioprometheus``."""

from __future__ import annotations

__all__ = ["Metrics"]

from aioprometheus import Counter, Gauge, Histogram, Registry, render

FIRST_TOKEN_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]


class Metrics:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._count("requests", "Calls by service and status")
        self.refusals = self._count("refusals", "Refusals by kind")
        self.attempts = self._count("attempts", "Attempts by server and result")
        self.retries = self._count("retries", "Repeated attempts by service")
        self.resumes = self._count("stream_resumes", "Streams gone on after a cut")
        self.events = self._count("stream_events", "Streamed chunks passed on")
        self.prompt_tokens = self._count("prompt_tokens", "Prompt tokens sent")
        self.cached_tokens = self._count("cached_tokens", "Those found cached")
        self.ejections = self._count("ejections", "Backend servers ejected")
        self.event_gaps = self._count("cache_event_gaps", "Gaps in cache events")
        self.claims = self._count("claims", "Claims by verdict")
        self.peer_bytes = self._count("peer_bytes", "Bytes sent to peers")
        self.refused_peers = self._count("peers_refused", "Peers refused")
        self.orders = self._count("orders", "Orders to engines by outcome")
        self.running = self._gauge("running", "Calls that have started")
        self.waiting = self._gauge("waiting", "Calls that wait to start")
        self.generation = self._gauge("generation", "Configuration in force")
        self.members = self._gauge("members", "Live instances known")
        self.store = self._gauge("store_operations", "Platform calls by kind")
        self.processor = self._gauge("processor_seconds", "Processor time used")
        self.first_token = Histogram(
            "ashpond_first_token_seconds",
            "Time to the first token",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )

    def _count(self, name: str, text: str) -> Counter:
        return Counter(f"ashpond_{name}", text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"ashpond_{name}", text, registry=self.registry)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page in the accepted format, and its headers."""
        return render(self.registry, [accept] if accept else [])
