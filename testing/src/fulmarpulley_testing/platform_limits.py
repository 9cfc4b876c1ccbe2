"""Let workers state rate limits, and check that the nodes keep to them together."""

import bisect
import time
from collections.abc import Iterator, Sequence

from .findings import Fault, Finding
from .platform_checks import FAULT_AFTEREFFECT_S, CheckContext, checks
from .platform_faults import FaultContext, platform_faults
from .platform_history import WindowKind

WINDOW_S = 4.0
# Share of the limit that a window may hold, and requests that it may hold besides.
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5
# The bound holds from this time after a limit is first stated.
STABILITY_S = 3.0
# A period of this length holds some windows.
PERIOD_S = STABILITY_S + 2 * WINDOW_S
MIN_LIMIT = 0.5
MAX_LIMIT = 3.0


def most_allowed(requests_per_s: float) -> float:
    """Return the most requests that a worker with this limit may get in a window."""
    return requests_per_s * WINDOW_S * ALLOWED_SHARE + ALLOWED_EXTRA


def busiest_window(arrivals: Sequence[float], since: float) -> int:
    """Return the most requests that arrived in a window that starts after a time."""
    counted = sorted(at for at in arrivals if at >= since)
    return max((count for _, count in _windows(counted)), default=0)


def _windows(arrivals: Sequence[float]) -> Iterator[tuple[float, int]]:
    """Yield the start of the window after each arrival, and the arrivals in it."""
    for index, start in enumerate(arrivals):
        yield start, bisect.bisect_right(arrivals, start + WINDOW_S) - index


@platform_faults.register("worker_limits_rate")
def limit_rate(context: FaultContext) -> None:
    """Make a worker state a rate limit."""
    with context.worker() as worker:
        if worker is not None:
            worker.rate_limit = round(context.random.uniform(MIN_LIMIT, MAX_LIMIT), 1)
            time.sleep(PERIOD_S)
            worker.rate_limit = None


@checks.register("stated rate limits are kept")
def check_limits(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find workers that got more requests than the limit that they stated allows.

    The requests of machines that were not told yet, stopped or suspended do not count;
    a worker cannot tell who sent a request.
    """
    excused = (WindowKind.PROCESS, WindowKind.STOP)
    for worker in list(context.workers.values()):
        for period in list(worker.limit_periods):
            since, until = period.stated_at + STABILITY_S, period.ended_at
            counted = sorted(at for at in worker.arrivals if since <= at < until)
            allowed = most_allowed(period.requests_per_s) + context.nodes
            for start, count in _windows(counted):
                begin = period.stated_at - FAULT_AFTEREFFECT_S
                end = start + WINDOW_S
                if count > allowed and not context.history.fault_active(
                    begin, end, *excused
                ):
                    detail = f"{count} requests in {WINDOW_S} s, {allowed} allowed"
                    yield Finding(Fault.LIMIT_EXCEEDED, worker.name, detail)
                    break
