"""Estimate the load of upstreams from own attempts and lagging reports."""

from .messages import LoadReport
from .state import Attempt, Upstream

# A report loses half its weight in this time, since the load that others
# caused may have ended.
FOREIGN_HALF_LIFE_S = 2.0
# Changes of the own attempts that are kept to compare reports with.
HISTORY = 512
# Tokens assumed per foreign attempt while an upstream runs none of our own.
DEFAULT_ATTEMPT_TOKENS = 512


def note_attempts(upstream: Upstream, now: float) -> None:
    """Remember how many own attempts the upstream runs from now on."""
    history = upstream.history
    history.append((now, len(upstream.attempts)))
    if len(history) > HISTORY:
        history.popleft()


def note_report(upstream: Upstream, report: LoadReport, now: float) -> None:
    """Take what a report shows beyond the own attempts of its time as foreign."""
    at = now - report.age
    foreign = report.running + report.queued - _own_attempts(upstream, at)
    upstream.foreign = float(max(0, foreign))
    upstream.foreign_at = at


def note_tokens(attempt: Attempt, tokens: int) -> None:
    """Take tokens that were received off the load of the upstream."""
    received = max(0, tokens - attempt.tokens)
    attempt.tokens += received
    done = min(received, attempt.expected)
    attempt.expected -= done
    attempt.upstream.expected_tokens -= done


def load_tokens(upstream: Upstream, now: float) -> float:
    """Return the tokens that the upstream has yet to process."""
    if not upstream.foreign:
        return upstream.expected_tokens
    halves = (now - upstream.foreign_at) / FOREIGN_HALF_LIFE_S
    own = len(upstream.attempts)
    each = upstream.expected_tokens / own if own else DEFAULT_ATTEMPT_TOKENS
    return float(upstream.expected_tokens + upstream.foreign * each * 0.5**halves)


def _own_attempts(upstream: Upstream, at: float) -> int:
    for time, count in reversed(upstream.history):
        if time <= at:
            return count
    return 0
