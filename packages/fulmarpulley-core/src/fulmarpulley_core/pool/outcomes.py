"""Handle what attempts report, and what they fail to report."""

from fulmarpulley_schema.generated.http import Ran

from ..ids import Version
from .load import note_tokens
from .messages import AttemptFailed, AttemptFinished, AttemptProgress, Failure
from .parts import Parts
from .state import Attempt, HealthState

# Where all upstreams are slow, items would never end if each attempt was cut after
# the same silence. It doubles with each further attempt cut. Two upstreams that hang
# are more likely, so the second silence is cut as soon as the first one.
FREE_STALLS = 1
MAX_STALL_DOUBLINGS = 4


class Outcomes:
    """Turn the outcome of an attempt into an end or a retry of its item."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    def started(self, attempt: Attempt) -> None:
        """Watch an attempt that was started."""
        if attempt.upstream.is_engine():
            self._watch(attempt)

    def progress(self, event: AttemptProgress, now: float) -> None:
        """Record the tokens received so far."""
        attempt = self._parts.ledger.attempts.get(event.attempt_id)
        if attempt is not None:
            received = attempt.tokens
            self._receive(attempt, event.tokens)
            if attempt.tokens > received:
                self._parts.health.streamed(attempt, now)
            self._note_version(attempt, event.version)

    def finished(self, event: AttemptFinished, now: float) -> None:
        """End an item with the answer of the first attempt that finishes."""
        attempt = self._parts.ledger.attempts.get(event.attempt_id)
        if attempt is None:
            return
        self._receive(attempt, event.tokens)
        self._parts.admission.note_finished(attempt, now)
        self._parts.lengths.note_finished(attempt, now)
        self._parts.retries.budget.deposit()
        self._parts.hedges.budget.deposit()
        self._parts.health.finished(attempt, now)
        self._parts.ledger.finish(attempt)

    def failed(self, event: AttemptFailed, now: float) -> None:
        """Release a failed attempt and decide what follows."""
        attempt = self._parts.ledger.attempts.get(event.attempt_id)
        if attempt is None:
            return
        self._receive(attempt, event.tokens)
        self._parts.ledger.release(attempt)
        self._fail(attempt, event.failure, now)
        if event.failure is Failure.REFUSED:
            self._parts.health.refused(attempt.upstream, event.retry_after, now)
        else:
            self._parts.health.failed(attempt.upstream, now)

    def _receive(self, attempt: Attempt, tokens: int) -> None:
        if tokens > attempt.tokens:
            if attempt.tokens == attempt.resume_from:
                self._parts.lengths.note_first_token(attempt, self._parts.now)
            attempt.last_token = self._parts.now
        note_tokens(attempt, tokens)
        if tokens > attempt.item.received:
            attempt.item.received = tokens
            attempt.item.stalls = 0

    def _note_version(self, attempt: Attempt, version: Version | None) -> None:
        parts, model = self._parts, attempt.item.work.model
        if version is not None:
            parts.weights.report(attempt.upstream, model, version, parts.now)
        if attempt.item.oldest is None:
            attempt.item.oldest = attempt.upstream.versions.get(model)

    def _fail(self, attempt: Attempt, failure: Failure, now: float) -> None:
        item = attempt.item
        item.avoid = attempt.upstream.upstream_id
        ran = failure in {Failure.BROKEN, Failure.ERRORED}
        if ran:
            item.failures += 1
            errored = failure is Failure.ERRORED
            item.note_run(Ran.RAN if errored else Ran.MAY_HAVE_RUN)
        if item.attempts:
            return
        if failure is Failure.REFUSED and self._parts.settings.refuse_while_loading:
            # The upstream rests for a while; a back-off of the item and the budget
            # for retries held up steps by 8 s after a round of loads.
            self._parts.enqueue(item)
            return
        probing = attempt.upstream.health.state is HealthState.PROBING
        if failure is Failure.NOT_SENT and probing:
            # The upstream is ejected again, so that a back-off would only delay the
            # item, which is among those that have waited longest.
            self._parts.enqueue(item)
            return
        spent = item.failures >= self._parts.document.retries.attempts
        if ran and (spent or not item.work.repeatable):
            broken = failure is Failure.BROKEN
            self._parts.refuse(item, "upstream_broken" if broken else "upstream_error")
        else:
            self._parts.retries.schedule(item, now)

    def _watch(self, attempt: Attempt) -> None:
        # A token that comes meanwhile ends the patience, so this looks again early.
        now = self._parts.now
        due = min(self._stalled_from(attempt, now), now + self._parts.document.stall_s)
        self._parts.timers.at(due, lambda now: self._check_stall(attempt, now))

    def _stalled_from(self, attempt: Attempt, now: float) -> float:
        stalls = max(0, attempt.item.stalls - FREE_STALLS)
        doublings = min(stalls, MAX_STALL_DOUBLINGS)
        patience_s = self._parts.document.stall_s * 2.0**doublings
        return attempt.silent_since(now) + patience_s

    def _check_stall(self, attempt: Attempt, now: float) -> None:
        if not self._parts.ledger.is_live(attempt):
            return
        if self._stalled_from(attempt, now) > now:
            self._watch(attempt)
            return
        attempt.item.stalls += 1
        self._parts.ledger.cancel(attempt)
        self._fail(attempt, Failure.BROKEN, now)
        self._parts.health.failed(attempt.upstream, now)
