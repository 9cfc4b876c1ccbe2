"""Define the metrics of a node on the platform."""

from fulmarpulley_core.pool.relocation import MoveCounts

from ..observe.metrics import Collectors

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
# A move that has not won or lost is in progress, or one of its attempts ended itself.
MOVE_OUTCOMES = ("started", "won", "lost", "over_budget", "without_engine")


class RolloutMetrics(Collectors):
    """Hold the metric collectors of the node."""

    def __init__(self) -> None:
        super().__init__(LATENCY_BUCKETS_S)
        self.requests = self.seconds("request", "Time of a request by route and code")
        self.items = self.seconds("item", "Time from submission to an item's result")
        self.attempts = self.counter("attempts", "Attempts by service and outcome")
        self.moves = self.counter(
            "moves", "Moves of long runs from slow engines by service and outcome"
        )
        self.moved_tokens = self.counter(
            "moved_tokens", "Tokens that engines read again after moves, by service"
        )
        self.moved_connections = self.counter(
            "moved_connections", "Connections opened by moves, by service"
        )
        self.steps = self.counter("steps", "Submissions by outcome")
        self.store_calls = self.counter("store_calls", "Calls to the log by outcome")
        self.limited_responses = self.counter(
            "limited_responses", "Responses of upstreams that state a rate limit"
        )
        self.upstream_crashes = self.counter(
            "upstream_crashes", "Crashes of upstreams under requests of this node"
        )
        self.blocked_requests = self.gauge(
            "blocked_requests", "Requests that are blocked since they crash upstreams"
        )
        self.replacement_checks = self.counter(
            "replacement_checks", "Reports read without contact to the store by outcome"
        )
        self.duty_calls = self.counter("duty_calls", "Duty calls by duty and outcome")
        self.duties_held = self.gauge(
            "duties_held", "Partitions for which this node holds a duty"
        )
        self.ownership_checks = self.counter(
            "ownership_checks", "Checks of the owners' capacity by decision and reason"
        )
        self.ownership_member = self.gauge(
            "ownership_member", "1 when the node takes part in the ownership"
        )
        self.upstream_orders = self.counter(
            "upstream_orders", "Orders of upstreams by service, reason and outcome"
        )
        self.wanted_upstreams = self.gauge(
            "wanted_upstreams", "Upstreams that a service is to have"
        )
        self.desired_upstreams = self.gauge(
            "desired_upstreams", "Upstreams present or ordered by data centre"
        )
        self.listed_upstreams = self.gauge(
            "listed_upstreams", "Upstreams listed and not leaving by data centre"
        )
        self.usage_requests = self.counter(
            "usage_requests", "Requests counted for usage reports by outcome"
        )
        self.usage_reports = self.seconds(
            "usage_report", "Time from the end of a window to its answered report"
        )
        self.unauthorized = self.counter(
            "unauthorized_requests", "Requests refused for their key by reason"
        )
        self.config_version = self.gauge(
            "config_version", "Version of the configuration in force"
        )
        self.topic_read_at = self.gauge(
            "topic_read_timestamp_seconds", "Unix time of a topic's last read"
        )
        self.log_lines = self.counter("log_lines_dropped", "Log lines not written")

    def count_dropped_lines(self, event: str, count: int) -> None:
        """Count dropped log lines of an event."""
        self.log_lines.add(labels(event=event), count)

    def add_moves(self, service: str, known: MoveCounts, counts: MoveCounts) -> None:
        """Count the moves of a service since the known counts."""
        for outcome in MOVE_OUTCOMES:
            added = getattr(counts, outcome) - getattr(known, outcome)
            self.moves.add(labels(service=service, outcome=outcome), added)
        self.moved_tokens.add(labels(service=service), counts.tokens - known.tokens)


def labels(**values: str | int) -> dict[str, str]:
    """Return label values as strings."""
    return {key: str(value) for key, value in values.items()}
