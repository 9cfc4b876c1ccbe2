"""Handle the results of attempts, and detect stalled ones."""

from fulmarpulley_schema.generated.http import Ran

from ..ids import Version
from .admission import longest_send_wait_s
from .components import PoolComponents
from .load import record_tokens
from .messages import (
    CRASHES_UPSTREAMS,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    Failure,
)
from .state import Attempt, HealthState

# The stall timeout doubles with each further stall of an item: with a fixed one, items
# would never end while all upstreams are slow. The second stall has the same timeout as
# the first, since two hanging upstreams are more likely than that.
STALLS_BEFORE_BACKOFF = 1
MAX_STALL_DOUBLINGS = 4


class AttemptTracker:
    """Turn the outcome of an attempt into the end or a retry of its item."""

    def __init__(self, components: PoolComponents) -> None:
        self._components = components

    def watch(self, attempt: Attempt) -> None:
        """Check a started attempt for stalls, if it sends tokens."""
        if attempt.upstream.is_engine() and attempt.item.work.streams:
            self._schedule_stall_check(attempt)

    def on_progress(self, event: AttemptProgress, now: float) -> None:
        """Record the tokens received so far."""
        attempt = self._components.ledger.attempts.get(event.attempt_id)
        if attempt is not None:
            received_tokens = attempt.tokens
            self._record_tokens(attempt, event.tokens)
            if attempt.tokens > received_tokens:
                self._components.health.record_tokens(attempt, now)
                if len(attempt.item.attempts) > 1:
                    self._components.relocator.record_progress(attempt)
            self._record_version(attempt, event.version)

    def on_finished(self, event: AttemptFinished, now: float) -> None:
        """End an item with the answer of the first attempt that finishes."""
        attempt = self._components.ledger.attempts.get(event.attempt_id)
        if attempt is None:
            return
        self._record_tokens(attempt, event.tokens)
        self._components.admission.record_finished(attempt, now)
        self._components.stopping.record_finished(attempt, now)
        self._components.lengths.record_finished(attempt, now)
        self._components.retries.budget.deposit()
        self._components.hedges.budget.deposit()
        self._components.health.record_finished(attempt, now)
        self._components.ledger.finish(attempt)

    def on_failed(self, event: AttemptFailed, now: float) -> None:
        """Release a failed attempt, and retry or end its item."""
        attempt = self._components.ledger.attempts.get(event.attempt_id)
        if attempt is None:
            return
        self._record_tokens(attempt, event.tokens)
        self._components.ledger.release(attempt)
        if event.failure is Failure.RATE_LIMITED:
            self._defer(attempt, event.retry_after, now)
            return
        if event.failure is Failure.WITHHELD:
            if not attempt.item.attempts:
                self._components.refuse(
                    attempt.item, CRASHES_UPSTREAMS, event.retry_after
                )
            return
        self._fail(attempt, event.failure, now)
        if event.failure is Failure.REFUSED:
            self._components.health.record_refusal(
                attempt.upstream, event.retry_after, now
            )
        else:
            self._components.health.record_failure(attempt.upstream, now)

    def _record_tokens(self, attempt: Attempt, tokens: int) -> None:
        if tokens > attempt.tokens:
            if attempt.tokens == attempt.resume_from:
                self._components.lengths.record_first_token(
                    attempt, self._components.now
                )
            self._components.relocator.record_event(attempt, self._components.now)
            attempt.last_token_at = self._components.now
        record_tokens(attempt, tokens)
        if tokens > attempt.item.received_tokens:
            attempt.item.received_tokens = tokens
            attempt.item.stalls = attempt.item.tries = 0

    def _record_version(self, attempt: Attempt, version: Version | None) -> None:
        components, model = self._components, attempt.item.work.model
        if version is not None:
            components.weights.record_version(
                attempt.upstream, model, version, components.now
            )
        if attempt.item.oldest_version is None:
            attempt.item.oldest_version = attempt.upstream.versions.get(model)

    def _fail(self, attempt: Attempt, failure: Failure, now: float) -> None:
        item = attempt.item
        item.avoid(attempt.upstream.upstream_id)
        ran = failure in {Failure.BROKEN, Failure.ERRORED}
        if ran:
            item.failures += 1
            is_errored = failure is Failure.ERRORED
            item.record_run(Ran.RAN if is_errored else Ran.MAY_HAVE_RUN)
        if item.attempts:
            return
        if (
            failure is Failure.REFUSED
            and self._components.settings.refuse_while_loading
        ):
            # Pausing the upstream is enough; a back-off of the item and the retry
            # budget delayed steps by 8 s after a round of loads.
            self._components.enqueue(item)
            return
        probing = attempt.upstream.health.state is HealthState.PROBING
        if failure is Failure.NOT_SENT and probing:
            # The upstream is ejected again, so a back-off would only delay the item,
            # which is among those that have waited longest.
            self._components.enqueue(item)
            return
        allowed = self._components.document.retries.attempts
        if item.work.max_attempts is not None:
            allowed = min(allowed, item.work.max_attempts)
        spent = item.failures >= allowed
        if ran and (spent or not item.work.repeatable):
            is_broken = failure is Failure.BROKEN
            self._components.refuse(
                item, "upstream_broken" if is_broken else "upstream_error"
            )
        else:
            self._components.retries.schedule(item, now)

    def _defer(self, attempt: Attempt, retry_after: float | None, now: float) -> None:
        """Queue an item again that was held back by the rate limit of an upstream."""
        components, item = self._components, attempt.item
        self._hold_back(attempt, retry_after or 0.0, now)
        if item.attempts:
            return
        refusal = components.admission.check_limits(
            item, components.ledger.upstreams.values(), now
        )
        if refusal is None:
            components.enqueue(item)
        else:
            components.refuse(item, refusal.code, refusal.retry_after)

    def _hold_back(self, attempt: Attempt, wait_s: float, now: float) -> None:
        """Record when the upstream of an attempt has its next turn."""
        components, upstream = self._components, attempt.upstream
        upstream.record_limit(True, now)
        deadline = attempt.item.deadline
        if deadline is not None and wait_s > longest_send_wait_s(deadline - now):
            # Items with more time left may still wait for a turn there.
            upstream.next_turn_at = now + wait_s
            components.timers.at(
                upstream.next_turn_at, lambda _: components.request_dispatch()
            )
        else:
            components.health.record_refusal(upstream, wait_s, now)

    def _schedule_stall_check(self, attempt: Attempt) -> None:
        # A token resets the stalls and so shortens the timeout, hence the early check.
        now = self._components.now
        due = min(
            self._stall_deadline(attempt, now), now + self._components.document.stall_s
        )
        self._components.timers.at(due, lambda now: self._check_stall(attempt, now))

    def _stall_deadline(self, attempt: Attempt, now: float) -> float:
        stalls = max(0, attempt.item.stalls - STALLS_BEFORE_BACKOFF)
        doublings = min(stalls, MAX_STALL_DOUBLINGS)
        timeout_s = self._components.document.stall_s * 2.0**doublings
        return attempt.silent_since(now) + timeout_s

    def _check_stall(self, attempt: Attempt, now: float) -> None:
        if not self._components.ledger.is_running(attempt):
            return
        if self._stall_deadline(attempt, now) > now:
            self._schedule_stall_check(attempt)
            return
        attempt.item.stalls += 1
        self._components.ledger.cancel(attempt)
        self._fail(attempt, Failure.BROKEN, now)
        self._components.health.record_failure(attempt.upstream, now)
