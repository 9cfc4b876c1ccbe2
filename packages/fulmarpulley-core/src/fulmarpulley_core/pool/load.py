"""Estimate the load of upstreams from the pool's own attempts and delayed reports."""

from .messages import LoadReport
from .state import Attempt, Upstream

# Half-life of the external load in a report, since attempts of others may have ended.
EXTERNAL_LOAD_HALF_LIFE_S = 2.0
# Recorded changes in the number of own attempts, to compare delayed reports with.
MAX_RECORDED_COUNTS = 512
# Tokens assumed per external attempt while an upstream runs none of the pool's own.
DEFAULT_ATTEMPT_TOKENS = 512


def record_attempt_count(upstream: Upstream, now: float) -> None:
    """Record how many own attempts the upstream runs from now on."""
    attempt_counts = upstream.attempt_counts
    attempt_counts.append((now, len(upstream.attempts)))
    if len(attempt_counts) > MAX_RECORDED_COUNTS:
        attempt_counts.popleft()


def record_load_report(upstream: Upstream, report: LoadReport, now: float) -> None:
    """Count reported attempts beyond the own ones at that time as external."""
    at = now - report.age
    external_attempts = report.running + report.queued - _own_attempts(upstream, at)
    upstream.external_attempts = float(max(0, external_attempts))
    upstream.external_measured_at = at


def record_tokens(attempt: Attempt, tokens: int) -> None:
    """Subtract received tokens from the pending tokens of the upstream."""
    received_tokens = max(0, tokens - attempt.tokens)
    attempt.tokens += received_tokens
    done = min(received_tokens, attempt.pending_tokens)
    attempt.pending_tokens -= done
    attempt.upstream.pending_tokens -= done


def load_tokens(upstream: Upstream, now: float) -> float:
    """Estimate the tokens that the upstream has yet to process."""
    if not upstream.external_attempts:
        return upstream.pending_tokens
    halves = (now - upstream.external_measured_at) / EXTERNAL_LOAD_HALF_LIFE_S
    own = len(upstream.attempts)
    each = upstream.pending_tokens / own if own else DEFAULT_ATTEMPT_TOKENS
    return float(
        upstream.pending_tokens + upstream.external_attempts * each * 0.5**halves
    )


def _own_attempts(upstream: Upstream, at: float) -> int:
    for time, count in reversed(upstream.attempt_counts):
        if time <= at:
            return count
    return 0
