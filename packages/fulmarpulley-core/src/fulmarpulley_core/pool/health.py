"""Eject failing and slow upstreams, probe them, and ramp up those that recover."""

import math
import statistics
from collections.abc import Callable

from ..seeded_random import SeededRandom
from .ledger import Ledger
from .messages import Availability
from .state import Attempt, HealthState, Upstream
from .timers import Timers

EJECT_FAILURES = 3
EJECT_BASE_S = 2.0
# A longer ejection extends an outage after the upstream has recovered: with 60 s, a
# restart after 60 s was detected up to 30 s late while the desk stayed overloaded.
EJECT_MAX_S = 4.0
EJECT_SPREAD = (0.75, 1.25)
# Ejecting more would shift so much load to the remaining upstreams that they fail too.
MAX_EJECTED_SHARE = 0.5
# Pause of a failing upstream that may not be ejected. Its failed attempts are short, so
# it would otherwise look like the least loaded one.
FAILURE_PAUSE_S = 0.5
REFUSAL_PAUSE_S = 0.2
MAX_REFUSAL_PAUSE_S = 30.0
# Consecutive successful probes that end the probation.
REQUIRED_PROBES = 2
# Work that must not repeat is not used as a probe, so an upstream that gets no other
# work leaves probation after this time.
UNPROBED_TIMEOUT_S = 10.0
# A longer ramp extends the backlog after a crash: with 5 s, the p99 latency of a desk
# was up to 0.24 s higher.
RAMP_S = 2.5
RAMP_STEPS = 4
# After this time without an ejection, the next one has the base duration again.
EJECTION_RESET_S = 60.0
# An upstream is ejected as slow when its mean time per token exceeds this multiple of
# the median of all upstreams after this many consecutive attempts.
SLOW_RATIO = 3.0
SLOW_STREAK_LIMIT = 5
PACE_WEIGHT = 0.3
MIN_MEASURED_UPSTREAMS = 3


class HealthTracker:
    """Set how many attempts each upstream may run at once, by its health."""

    def __init__(
        self,
        ledger: Ledger,
        timers: Timers,
        jitter: SeededRandom,
        request_dispatch: Callable[[], None],
    ) -> None:
        self._ledger = ledger
        self._timers = timers
        self._jitter = jitter
        self._request_dispatch = request_dispatch

    def update_all_slots(self) -> None:
        """Recompute the slots of every upstream."""
        for upstream in self._ledger.upstreams.values():
            self.update_slots(upstream)

    def update_slots(self, upstream: Upstream) -> None:
        """Recompute the slots of an upstream."""
        upstream.slots = _slots(upstream)
        self._request_dispatch()

    def start_ramp(self, upstream: Upstream, now: float) -> None:
        """Raise the slots of an upstream gradually, since its caches are empty."""
        record = upstream.health
        record.state = HealthState.RAMPING
        record.ramp_step = 0
        record.failures = record.slow_streak = 0
        record.slow = False
        record.seconds_per_token = None
        record.epoch += 1
        self._advance_ramp(upstream, record.epoch, now)

    def record_finished(self, attempt: Attempt, now: float) -> None:
        """Update the health of an upstream after a finished attempt."""
        upstream = attempt.upstream
        record = upstream.health
        record.failures = 0
        record.answering = True
        if now - record.ejected_at > EJECTION_RESET_S:
            record.ejections = 0
        if record.state is HealthState.PROBING:
            self._pass_probe(attempt, now)
        elif attempt.started_at > upstream.swap_until:
            # Attempts that were paused by a weight swap say nothing about the speed.
            self._record_pace(attempt, now)

    def record_tokens(self, attempt: Attempt, now: float) -> None:
        """Record that an upstream answers, and pass the probe of these tokens."""
        record = attempt.upstream.health
        if not record.answering:
            record.answering = True
            self._request_dispatch()
        # The first token of a probe shows that a failed upstream has recovered; waiting
        # for two whole answers took 15 s. A slow upstream has to finish its probes.
        if record.state is not HealthState.PROBING or record.slow:
            return
        if attempt.started_at >= record.probing_since and not attempt.counted_as_probe:
            # The next probe may run in parallel with this one.
            record.probe_slots = REQUIRED_PROBES
            self.update_slots(attempt.upstream)
            self._pass_probe(attempt, now)

    def record_failure(self, upstream: Upstream, now: float) -> None:
        """Count an attempt that broke, erred, stalled or was not sent."""
        record = upstream.health
        record.failures += 1
        record.answering = False
        if record.state is HealthState.EJECTED:
            return
        if record.state is HealthState.PROBING or record.failures >= EJECT_FAILURES:
            self._eject(upstream, now)

    def record_refusal(
        self, upstream: Upstream, retry_after: float | None, now: float
    ) -> None:
        """Pause an upstream that takes no work now, without counting a failure."""
        upstream.health.answering = False
        pause = REFUSAL_PAUSE_S if retry_after is None else retry_after
        self._pause(upstream, min(pause, MAX_REFUSAL_PAUSE_S), now)

    def _pass_probe(self, attempt: Attempt, now: float) -> None:
        record = attempt.upstream.health
        if attempt.counted_as_probe:
            return
        attempt.counted_as_probe = True
        record.probes += 1
        if record.probes >= REQUIRED_PROBES:
            self.start_ramp(attempt.upstream, now)

    def _record_pace(self, attempt: Attempt, now: float) -> None:
        record = attempt.upstream.health
        tokens = max(1, attempt.tokens - attempt.resume_from)
        pace = (now - attempt.started_at) / tokens
        known = pace if record.seconds_per_token is None else record.seconds_per_token
        record.seconds_per_token = known + PACE_WEIGHT * (pace - known)
        usual = self.median_pace()
        slow = usual is not None and record.seconds_per_token > SLOW_RATIO * usual
        record.slow_streak = record.slow_streak + 1 if slow else 0
        if record.slow_streak >= SLOW_STREAK_LIMIT:
            self._eject(attempt.upstream, now, slow=True)

    def median_pace(self) -> float | None:
        """Return the median seconds per token, or None if too few are measured."""
        upstreams = self._ledger.upstreams.values()
        paces = [
            u.health.seconds_per_token
            for u in upstreams
            if u.health.seconds_per_token is not None
        ]
        return (
            statistics.median(paces) if len(paces) >= MIN_MEASURED_UPSTREAMS else None
        )

    def _eject(self, upstream: Upstream, now: float, slow: bool = False) -> None:
        record = upstream.health
        if record.state is not HealthState.PROBING and not self._may_eject():
            self._pause(upstream, FAILURE_PAUSE_S, now)
            return
        record.state = HealthState.EJECTED
        record.epoch += 1
        record.ejected_at = now
        record.slow = record.slow or slow
        record.slow_streak = 0
        record.seconds_per_token = None
        pause = min(EJECT_MAX_S, EJECT_BASE_S * 2.0 ** min(record.ejections, 8))
        record.ejections += 1
        due = now + pause * self._jitter.uniform(*EJECT_SPREAD)
        epoch = record.epoch
        self._timers.at(
            due, lambda later: self._start_probation(upstream, epoch, later)
        )
        self.update_slots(upstream)

    def _may_eject(self) -> bool:
        states = [
            u.health.state
            for u in self._ledger.upstreams.values()
            if u.availability() is Availability.AVAILABLE
        ]
        ejected = sum(s in {HealthState.EJECTED, HealthState.PROBING} for s in states)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(states)

    def _start_probation(self, upstream: Upstream, epoch: int, now: float) -> None:
        record = upstream.health
        if record.epoch == epoch:
            record.state = HealthState.PROBING
            record.probes = 0
            record.probing_since = now
            record.probe_slots = 1
            record.failures = 0
            due = now + UNPROBED_TIMEOUT_S
            self._timers.at(
                due, lambda later: self._end_probation(upstream, epoch, later)
            )
            self.update_slots(upstream)

    def _end_probation(self, upstream: Upstream, epoch: int, now: float) -> None:
        if upstream.health.epoch == epoch and not upstream.attempts:
            self.start_ramp(upstream, now)

    def _advance_ramp(self, upstream: Upstream, epoch: int, now: float) -> None:
        record = upstream.health
        if record.epoch != epoch:
            return
        record.ramp_step += 1
        if record.ramp_step >= RAMP_STEPS:
            record.state = HealthState.HEALTHY
        else:
            due = now + RAMP_S / (RAMP_STEPS - 1)
            self._timers.at(
                due, lambda later: self._advance_ramp(upstream, epoch, later)
            )
        self.update_slots(upstream)

    def _pause(self, upstream: Upstream, pause: float, now: float) -> None:
        record = upstream.health
        if now + pause <= record.paused_until:
            return
        record.paused_until = now + pause
        record.paused = True
        self._timers.at(now + pause, lambda later: self._resume(upstream, later))
        self.update_slots(upstream)

    def _resume(self, upstream: Upstream, now: float) -> None:
        record = upstream.health
        if record.paused_until <= now:
            record.paused = False
            self.update_slots(upstream)


def _slots(upstream: Upstream) -> int:
    record = upstream.health
    if upstream.availability() is not Availability.AVAILABLE or record.paused:
        return 0
    capacity = upstream.entry.capacity
    match record.state:
        case HealthState.EJECTED:
            return 0
        case HealthState.PROBING:
            return min(record.probe_slots, capacity)
        case HealthState.RAMPING:
            return math.ceil(capacity * record.ramp_step / RAMP_STEPS)
        case HealthState.HEALTHY:
            return capacity
