"""Dispatch the work of one pool shard to its upstreams."""

import heapq
from collections import deque
from collections.abc import Callable

from fulmarpulley_schema.generated.document import ServiceDocument, ServiceKind
from fulmarpulley_schema.generated.http import Ran

from ..ids import AttemptId, ModelName, UpstreamId, Version, WorkId
from .messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    Availability,
    CancelAttempt,
    DocumentChanged,
    Event,
    Failure,
    Finish,
    PoolSettings,
    PoolView,
    Refuse,
    StartAttempt,
    Submit,
    UpstreamState,
    UpstreamView,
    VersionAnnounced,
    VersionReport,
    Withdraw,
    WorkKind,
)
from .state import Attempt, Item, Upstream

# Ends of work that must not repeat are remembered so that a late duplicate of
# its submission does not run it again.
REMEMBERED_ENDS = 65536


class Pool:
    """Decide where and when the work of a pool shard runs."""

    def __init__(
        self, document: ServiceDocument, settings: PoolSettings, seed: int
    ) -> None:
        self.document = document
        self.settings = settings
        self.seed = seed
        self.items: dict[WorkId, Item] = {}
        self.attempts: dict[AttemptId, Attempt] = {}
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.queue: deque[Item] = deque()
        self.deadlines: list[tuple[float, int, Item]] = []
        self.newest: dict[ModelName, Version] = {}
        self.ended: dict[WorkId, Refuse] = {}
        self.sequence = 0
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            Submit: self._submit,
            Withdraw: self._withdraw,
            AttemptFinished: self._finished,
            AttemptFailed: self._failed,
            AttemptProgress: self._progress,
            UpstreamState: self._upstream_state,
            VersionReport: self._version_report,
            VersionAnnounced: self._version_announced,
            DocumentChanged: self._document_changed,
        }
        self._list_upstreams()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event at a monotonic time in seconds and return the actions."""
        self.actions = []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event, now)
        self._expire(now)
        self._dispatch(now)
        return self.actions

    def next_wakeup(self) -> float | None:
        """Return when the pool needs a Tick at the latest."""
        while self.deadlines and not self._is_held(self.deadlines[0][2]):
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None

    def view(self) -> PoolView:
        """Return the state of the pool for status pages."""
        views = [
            UpstreamView(
                upstream.upstream_id,
                upstream.availability(),
                len(upstream.attempts),
                upstream.tokens_in_flight,
                dict(upstream.versions),
            )
            for upstream in self.upstreams.values()
        ]
        queued = sum(item.queued for item in self.queue)
        return PoolView(queued, len(self.attempts), views)

    def _submit(self, event: Submit, now: float) -> None:
        work = event.work
        if work.work_id in self.items:
            return
        if work.work_id in self.ended:
            self.actions.append(self.ended[work.work_id])
            return
        self.sequence += 1
        item = Item(
            work=work,
            sequence=self.sequence,
            submitted=now,
            deadline=self._deadline(event, now),
            received=work.resume_tokens,
            may_have_run=work.resume_tokens > 0,
        )
        self.items[work.work_id] = item
        if item.deadline is not None:
            heapq.heappush(self.deadlines, (item.deadline, item.sequence, item))
        self._enqueue(item)

    def _deadline(self, event: Submit, now: float) -> float | None:
        if event.work.deadline is not None or event.work.kind is WorkKind.SAMPLE:
            return event.work.deadline
        return now + self.document.deadline_s

    def _withdraw(self, event: Withdraw, now: float) -> None:
        item = self.items.get(event.work_id)
        if item is not None:
            self._refuse(item, "cancelled", item.ran())

    def _progress(self, event: AttemptProgress, now: float) -> None:
        attempt = self.attempts.get(event.attempt_id)
        if attempt is not None:
            attempt.item.received = max(attempt.item.received, event.tokens)

    def _finished(self, event: AttemptFinished, now: float) -> None:
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None:
            return
        item = attempt.item
        self._release(attempt)
        self.actions.append(Finish(item.work.work_id, attempt.attempt_id))
        lost = Refuse(item.work.work_id, "upstream_broken", Ran.MAY_HAVE_RUN)
        self._end(item, lost)

    def _failed(self, event: AttemptFailed, now: float) -> None:
        attempt = self.attempts.get(event.attempt_id)
        if attempt is None:
            return
        item = attempt.item
        self._release(attempt)
        item.received = max(item.received, event.tokens)
        item.avoid = attempt.upstream.upstream_id
        sent = event.failure in {Failure.BROKEN, Failure.ERRORED}
        item.may_have_run = item.may_have_run or sent
        item.failures += sent
        if item.attempts:
            return
        spent = item.failures >= self.document.retries.attempts
        if sent and (spent or not item.work.repeatable):
            self._refuse_failed(item, event.failure)
        else:
            self._enqueue(item)

    def _refuse_failed(self, item: Item, failure: Failure) -> None:
        if failure is Failure.ERRORED:
            self._refuse(item, "upstream_error", Ran.RAN)
        else:
            self._refuse(item, "upstream_broken", Ran.MAY_HAVE_RUN)

    def _upstream_state(self, event: UpstreamState, now: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            upstream.reported = event.availability

    def _version_report(self, event: VersionReport, now: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            upstream.versions[event.model] = event.version

    def _version_announced(self, event: VersionAnnounced, now: float) -> None:
        known = self.newest.get(event.model, event.version)
        self.newest[event.model] = max(known, event.version)

    def _document_changed(self, event: DocumentChanged, now: float) -> None:
        self.document = event.document
        self._list_upstreams()

    def _list_upstreams(self) -> None:
        for upstream in self.upstreams.values():
            upstream.listed = False
        for entry in self.document.upstreams:
            upstream_id = UpstreamId(entry.id)
            known = self.upstreams.get(upstream_id)
            if known is None:
                self.upstreams[upstream_id] = Upstream(entry=entry)
            else:
                known.entry = entry
                known.listed = True
        gone = [u for u in self.upstreams.values() if not u.listed and not u.attempts]
        for upstream in gone:
            del self.upstreams[upstream.upstream_id]

    def _expire(self, now: float) -> None:
        while self.deadlines and self.deadlines[0][0] <= now:
            item = heapq.heappop(self.deadlines)[2]
            if self._is_held(item):
                self._refuse(item, "deadline_passed", item.ran())

    def _is_held(self, item: Item) -> bool:
        return self.items.get(item.work.work_id) is item

    def _refuse(self, item: Item, code: str, ran: Ran) -> None:
        refusal = Refuse(item.work.work_id, code, ran)
        self._end(item, refusal)
        self.actions.append(refusal)

    def _end(self, item: Item, repeated: Refuse) -> None:
        for attempt in list(item.attempts):
            self._release(attempt)
            self.actions.append(CancelAttempt(attempt.attempt_id))
        item.queued = False
        del self.items[item.work.work_id]
        if not item.work.repeatable:
            self.ended[item.work.work_id] = repeated
            if len(self.ended) > REMEMBERED_ENDS:
                del self.ended[next(iter(self.ended))]

    def _enqueue(self, item: Item) -> None:
        item.queued = True
        self.queue.append(item)

    def _dispatch(self, now: float) -> None:
        for _ in range(len(self.queue)):
            if not any(self._is_open(upstream) for upstream in self.upstreams.values()):
                return
            item = self.queue.popleft()
            if not item.queued:
                continue
            upstream = self._choose(item)
            if upstream is None:
                self.queue.append(item)
            else:
                self._start(item, upstream, now)

    def _is_open(self, upstream: Upstream) -> bool:
        available = upstream.availability() is Availability.AVAILABLE
        return available and len(upstream.attempts) < upstream.entry.capacity

    def _choose(self, item: Item) -> Upstream | None:
        limit = self.document.limits.tokens_in_flight
        free = [
            upstream
            for upstream in self.upstreams.values()
            if self._is_open(upstream)
            and upstream.has_room(item.cost(), limit)
            and self._is_fresh(item, upstream)
        ]
        if not free:
            return None
        avoid = item.avoid
        return min(free, key=lambda u: (u.upstream_id == avoid, u.tokens_in_flight))

    def _is_fresh(self, item: Item, upstream: Upstream) -> bool:
        work = item.work
        version = upstream.versions.get(work.model)
        labelled = work.kind is WorkKind.SAMPLE
        if self.document.kind is not ServiceKind.TRAINING or not labelled:
            return work.min_version <= (version or 0)
        if version is None or version < work.min_version:
            return False
        bound = work.staleness_bound
        bound = self.document.staleness_bound if bound is None else bound
        return self.newest.get(work.model, version) - version <= bound

    def _start(self, item: Item, upstream: Upstream, now: float) -> None:
        self.sequence += 1
        attempt = Attempt(
            attempt_id=AttemptId(f"{item.work.work_id}#{self.sequence}"),
            item=item,
            upstream=upstream,
            started=now,
            cost=item.cost(),
        )
        item.queued = False
        item.attempts.append(attempt)
        self.attempts[attempt.attempt_id] = attempt
        upstream.attempts[attempt.attempt_id] = attempt
        upstream.tokens_in_flight += attempt.cost
        start = StartAttempt(
            attempt.attempt_id, item.work.work_id, upstream.upstream_id, item.received
        )
        self.actions.append(start)

    def _release(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        attempt.item.attempts.remove(attempt)
        del self.attempts[attempt.attempt_id]
        del upstream.attempts[attempt.attempt_id]
        upstream.tokens_in_flight -= attempt.cost
        if not upstream.listed and not upstream.attempts:
            self.upstreams.pop(upstream.upstream_id, None)
