"""Keep the work items, attempts and upstreams of a pool, and collect its actions."""

from collections import defaultdict
from collections.abc import Callable

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran

from ..ids import AttemptId, StepNumber, TenantId, UpstreamId, WorkId
from .messages import (
    Action,
    Availability,
    CancelAttempt,
    Finish,
    PoolSettings,
    PoolView,
    Refuse,
    StartAttempt,
    StartReason,
    UpstreamView,
    Work,
    WorkKind,
)
from .state import Attempt, HealthState, Item, Upstream

# Ends of work that must not repeat are kept, so that a late duplicate of its submission
# does not run it again.
MAX_RECORDED_ENDS = 65536
# Reported states are kept for unlisted upstreams too, since a document may list an
# upstream that the instance list has already reported as leaving.
MAX_RECORDED_STATES = 4096


class Ledger:
    """Hold the open items and running attempts; each of them ends here exactly once."""

    def __init__(
        self,
        document: ServiceDocument,
        settings: PoolSettings,
        on_release: Callable[[Attempt], None],
    ) -> None:
        self.document = document
        self.settings = settings
        self.on_release = on_release
        self.items: dict[WorkId, Item] = {}
        self.attempts: dict[AttemptId, Attempt] = {}
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.reported: dict[UpstreamId, Availability] = {}
        self.ended: dict[WorkId, Refuse] = {}
        self.open_items_by_step: dict[TenantId, dict[StepNumber, int]] = defaultdict(
            dict
        )
        self.actions: list[Action] = []
        self.steps_ended = 0
        self.sequence = 0

    def update_upstreams(self, document: ServiceDocument) -> list[Upstream]:
        """Apply the upstreams of a document and return the added ones."""
        self.document = document
        listed = {UpstreamId(entry.id): entry for entry in document.upstreams}
        for upstream in list(self.upstreams.values()):
            upstream.listed = upstream.upstream_id in listed
            self._remove_if_unlisted(upstream)
        added = []
        for upstream_id, entry in listed.items():
            known = self.upstreams.get(upstream_id)
            if known is None:
                known = Upstream(entry=entry, upstream_id=upstream_id)
                known.reported = self.reported.get(upstream_id, known.reported)
                self.upstreams[upstream_id] = known
                added.append(known)
            known.entry = entry
        return added

    def record_state(
        self, upstream_id: UpstreamId, availability: Availability
    ) -> Upstream | None:
        """Record a reported state and return the upstream if its state has changed."""
        self.reported.pop(upstream_id, None)
        if availability is not Availability.AVAILABLE:
            self.reported[upstream_id] = availability
            if len(self.reported) > MAX_RECORDED_STATES:
                del self.reported[next(iter(self.reported))]
        upstream = self.upstreams.get(upstream_id)
        if upstream is None or upstream.reported is availability:
            return None
        upstream.reported = availability
        return upstream

    def recorded_end(self, work: Work) -> Refuse | None:
        """Return the recorded end of work that must not repeat, or None."""
        return self.ended.get(work.work_id)

    def add(self, work: Work, now: float) -> Item:
        """Accept a work item."""
        self.sequence += 1
        resumed = work.resume_tokens > 0
        item = Item(
            work=work,
            sequence=self.sequence,
            submitted_at=now,
            deadline=self._deadline(work, now),
            received_tokens=work.resume_tokens,
            oldest_version=work.oldest_version,
            ran_before=Ran.MAY_HAVE_RUN if resumed else Ran.NOT_RUN,
        )
        self.items[work.work_id] = item
        steps = self.open_items_by_step[work.tenant]
        steps[work.step] = steps.get(work.step, 0) + 1
        return item

    def is_open(self, item: Item) -> bool:
        """Tell whether an item has not ended."""
        return self.items.get(item.work.work_id) is item

    def is_running(self, attempt: Attempt) -> bool:
        """Tell whether an attempt has not ended."""
        return attempt.attempt_id in self.attempts

    def start(
        self,
        item: Item,
        upstream: Upstream,
        now: float,
        reason: StartReason = StartReason.QUEUED,
    ) -> Attempt:
        """Start an attempt that resumes after the received tokens."""
        hedge = reason is not StartReason.QUEUED
        self.sequence += 1
        attempt = Attempt(
            attempt_id=AttemptId(
                f"{item.work.work_id}#{self.settings.id_prefix}{self.sequence}"
            ),
            item=item,
            upstream=upstream,
            started_at=now,
            reserved_tokens=item.reserved_tokens(),
            pending_tokens=item.charge,
            resume_from=item.received_tokens,
            tokens=item.received_tokens,
            reason=reason,
        )
        item.attempts.append(attempt)
        self.attempts[attempt.attempt_id] = attempt
        upstream.attempts[attempt.attempt_id] = attempt
        upstream.tokens_in_flight += attempt.reserved_tokens
        upstream.pending_tokens += attempt.pending_tokens
        upstream.started_attempts += 1
        work_id, upstream_id = item.work.work_id, upstream.upstream_id
        self.actions.append(
            StartAttempt(
                attempt.attempt_id,
                work_id,
                upstream_id,
                item.received_tokens,
                hedge,
            )
        )
        return attempt

    def release(self, attempt: Attempt) -> None:
        """Remove an ended attempt and free its slot."""
        upstream = attempt.upstream
        attempt.item.attempts.remove(attempt)
        del self.attempts[attempt.attempt_id]
        del upstream.attempts[attempt.attempt_id]
        upstream.tokens_in_flight -= attempt.reserved_tokens
        upstream.pending_tokens -= attempt.pending_tokens
        self.on_release(attempt)
        self._remove_if_unlisted(upstream)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, and record that its item may have run."""
        self.release(attempt)
        attempt.item.record_run(Ran.MAY_HAVE_RUN)
        self.actions.append(CancelAttempt(attempt.attempt_id))

    def finish(self, attempt: Attempt) -> None:
        """End an item with the answer of an attempt and cancel its other attempts."""
        item = attempt.item
        self.release(attempt)
        self.actions.append(Finish(item.work.work_id, attempt.attempt_id))
        self._end(item, Refuse(item.work.work_id, "upstream_broken", Ran.MAY_HAVE_RUN))

    def refuse(self, item: Item, code: str, retry_after: float | None = None) -> None:
        """End an item without an answer and report whether it may have run."""
        refusal = Refuse(item.work.work_id, code, item.ran(), retry_after)
        self._end(item, refusal)
        self.actions.append(refusal)

    def view(self, queued: int) -> PoolView:
        """Return the state of the pool for status pages."""
        views = [_view(upstream) for upstream in self.upstreams.values()]
        return PoolView(queued, len(self.attempts), views)

    def _deadline(self, work: Work, now: float) -> float | None:
        if work.deadline is not None or work.kind is WorkKind.SAMPLE:
            return work.deadline
        return now + self.document.deadline_s

    def _end(self, item: Item, repeated: Refuse) -> None:
        for attempt in list(item.attempts):
            self.cancel(attempt)
        work = item.work
        del self.items[work.work_id]
        steps = self.open_items_by_step[work.tenant]
        steps[work.step] -= 1
        if not steps[work.step]:
            del steps[work.step]
            self.steps_ended += 1
        if not steps:
            del self.open_items_by_step[work.tenant]
        if not work.repeatable:
            self.ended[work.work_id] = repeated
            if len(self.ended) > MAX_RECORDED_ENDS:
                del self.ended[next(iter(self.ended))]

    def _remove_if_unlisted(self, upstream: Upstream) -> None:
        if not upstream.listed and not upstream.attempts:
            self.upstreams.pop(upstream.upstream_id, None)


def _view(upstream: Upstream) -> UpstreamView:
    availability = upstream.availability()
    ejected = upstream.health.state is HealthState.EJECTED
    if availability is Availability.AVAILABLE and ejected:
        availability = Availability.EJECTED
    return UpstreamView(
        upstream.upstream_id,
        availability,
        len(upstream.attempts),
        upstream.tokens_in_flight,
        dict(upstream.versions),
    )
