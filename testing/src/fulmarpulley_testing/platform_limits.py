"""Count requests against the rate limits that workers state."""

import bisect
from collections.abc import Sequence

WINDOW_S = 4.0
# Share of the limit that a window may hold, and requests that it may hold besides.
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5


def most_allowed(requests_per_s: float) -> float:
    """Return the most requests that a worker with this limit may get in a window."""
    return requests_per_s * WINDOW_S * ALLOWED_SHARE + ALLOWED_EXTRA


def busiest_window(arrivals: Sequence[float], since: float) -> int:
    """Return the most requests that arrived in a window that starts after a time."""
    counted = sorted(at for at in arrivals if at >= since)
    return max(
        (
            bisect.bisect_right(counted, start + WINDOW_S) - index
            for index, start in enumerate(counted)
        ),
        default=0,
    )
