"""Metrics of ``aioprometheus`` that import it when they are first rendered.

The library imports ``asyncio``, which nothing else needs: together they take an eighth
of the processor time of a start. Until then, values are recorded and later applied in
their order. The classes have the part of the library's interface that is used here.
"""

from __future__ import annotations

__all__ = ["Counter", "Gauge", "Histogram", "Registry", "render"]

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aioprometheus

Labels = dict[str, str]
# Values that are recorded before the library is imported even if nothing is rendered,
# which bounds their memory (values, about 300 bytes each).
MAX_RECORDED = 2000


class Registry:
    """Metrics that are rendered together, in the order of their creation."""

    def __init__(self) -> None:
        self._builders: list[Callable[[aioprometheus.Registry], None]] = []
        self._records: list[Callable[[], None]] = []
        self._library: aioprometheus.Registry | None = None

    def register(self, build: Callable[[aioprometheus.Registry], None]) -> None:
        """Add a metric.

        :param build: creates the library's metric in the registry that it is given.
        """
        if self._library is None:
            self._builders.append(build)
        else:
            build(self._library)

    def apply(self, record: Callable[[], None]) -> None:
        """Apply a value to its metric, or keep it until the library is imported."""
        if self._library is not None:
            record()
            return
        self._records.append(record)
        if len(self._records) >= MAX_RECORDED:
            self.load()

    def load(self) -> aioprometheus.Registry:
        """Return the library's registry, with all values recorded so far."""
        if self._library is None:
            from aioprometheus import Registry as LibraryRegistry

            self._library = LibraryRegistry()
            for build in self._builders:
                build(self._library)
            for record in self._records:
                record()
            self._builders.clear()
            self._records.clear()
        return self._library


class Counter:
    """A counter for each combination of labels."""

    def __init__(self, name: str, doc: str, registry: Registry):
        self._metric: aioprometheus.Counter
        self._registry = registry

        def build(library: aioprometheus.Registry) -> None:
            from aioprometheus import Counter as LibraryCounter

            self._metric = LibraryCounter(name, doc, registry=library)

        registry.register(build)

    def inc(self, labels: Labels) -> None:
        """Add one."""
        self.add(labels, 1)

    def add(self, labels: Labels, value: float) -> None:
        """Add a value."""
        self._registry.apply(lambda: self._metric.add(labels, value))


class Gauge:
    """A value that goes up and down, for each combination of labels."""

    def __init__(self, name: str, doc: str, registry: Registry):
        self._metric: aioprometheus.Gauge
        self._registry = registry

        def build(library: aioprometheus.Registry) -> None:
            from aioprometheus import Gauge as LibraryGauge

            self._metric = LibraryGauge(name, doc, registry=library)

        registry.register(build)

    def set(self, labels: Labels, value: float) -> None:
        """Replace the value."""
        self._registry.apply(lambda: self._metric.set(labels, value))


class Histogram:
    """A histogram for each combination of labels; ``buckets`` are the upper bounds."""

    def __init__(
        self, name: str, doc: str, buckets: Sequence[float], registry: Registry
    ):
        self._metric: aioprometheus.Histogram
        self._registry = registry

        def build(library: aioprometheus.Registry) -> None:
            from aioprometheus import Histogram as LibraryHistogram

            self._metric = LibraryHistogram(
                name, doc, buckets=list(buckets), registry=library
            )

        registry.register(build)

    def observe(self, labels: Labels, value: float) -> None:
        """Count a value in its bucket."""
        self._registry.apply(lambda: self._metric.observe(labels, value))


def render(registry: Registry) -> bytes:
    """Return all metrics of a registry in the Prometheus text format."""
    import aioprometheus

    return aioprometheus.render(registry.load(), [])[0]
