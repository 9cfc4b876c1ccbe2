"""Define the metrics of a node."""

from collections.abc import Sequence

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
    float("inf"),
)
STALENESS_BUCKETS = (0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 16.0, float("inf"))


class Collectors:
    """Create the collectors of one registry; durations are in seconds."""

    def __init__(self, buckets: tuple[float, ...]) -> None:
        self.registry = Registry()
        self.buckets = buckets

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the exposition page and its HTTP headers."""
        return render(self.registry, list(accepts))

    def seconds(self, name: str, doc: str) -> Histogram:
        """Return a new histogram of durations."""
        return Histogram(
            f"fulmarpulley_{name}_seconds",
            f"{doc}, in seconds",
            registry=self.registry,
            buckets=self.buckets,
        )

    def counter(self, name: str, doc: str) -> Counter:
        """Return a new counter."""
        return Counter(f"fulmarpulley_{name}_total", doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Return a new gauge."""
        return Gauge(f"fulmarpulley_{name}", doc, registry=self.registry)


class Metrics(Collectors):
    """Hold the collectors of one node."""

    def __init__(self) -> None:
        super().__init__(LATENCY_BUCKETS_S)
        self.queue_wait = self.seconds("queue_wait", "Wait in a pool queue")
        self.first_token = self.seconds("first_token", "Time to the first token")
        self.total = self.seconds("total", "Time from submission to the answer")
        self.trainer_wait = self.seconds("trainer_wait", "Wait of a trainer in take")
        self.staleness = Histogram(
            "fulmarpulley_staleness_versions",
            "Versions between a sample and its trainer at hand-over",
            registry=self.registry,
            buckets=STALENESS_BUCKETS,
        )
        self.requests = self.counter("requests", "Requests by outcome")
        self.attempts = self.counter("attempts", "Attempts by outcome")
        self.orders = self.counter("orders", "Weight orders by outcome")
        self.log_appends = self.counter("log_appends", "Appends by outcome")
        self.peer_calls = self.counter("peer_calls", "Peer calls by outcome")
        self.members = self.gauge("members", "Live nodes in the membership view")
        self.config_offset = self.gauge("config_offset", "Folded config offset")
        self.ready = self.gauge("ready", "1 when the node is ready")
