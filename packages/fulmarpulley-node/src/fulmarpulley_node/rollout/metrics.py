"""Hold the metrics of a node on the platform."""

from collections.abc import Sequence

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS_S = (
    0.01,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
    float("inf"),
)


class RolloutMetrics:
    """Hold every collector of the node."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._seconds("request", "Time of a request by route and code")
        self.items = self._seconds("item", "Time from submission to an item's result")
        self.attempts = self._counter("attempts", "Attempts by service and outcome")
        self.steps = self._counter("steps", "Submissions by outcome")
        self.store_calls = self._counter("store_calls", "Calls to the log by outcome")
        self.log_lines = self._counter("log_lines_dropped", "Log lines not written")
        self.owned = Gauge(
            "fulmarpulley_partitions_owned",
            "Partitions that this node owns",
            registry=self.registry,
        )

    def count_dropped_lines(self, event: str, count: int) -> None:
        """Count log lines of an event that were not written."""
        self.log_lines.add(labels(event=event), count)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers."""
        return render(self.registry, ["text/plain"])

    def _seconds(self, name: str, doc: str) -> Histogram:
        return Histogram(
            f"fulmarpulley_{name}_seconds",
            f"{doc}, in seconds",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"fulmarpulley_{name}_total", doc, registry=self.registry)


def labels(**values: str | int) -> dict[str, str]:
    """Return labels as text."""
    return {key: str(value) for key, value in values.items()}


__all__: Sequence[str] = ("RolloutMetrics", "labels")
