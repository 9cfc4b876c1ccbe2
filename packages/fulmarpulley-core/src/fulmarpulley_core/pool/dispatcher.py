"""Dispatch the work of one pool shard to its upstreams."""

from collections.abc import Callable

from fulmarpulley_schema.generated.document import ServiceDocument, ServiceKind
from fulmarpulley_schema.generated.http import Ran

from ..ids import ModelName, Version
from .fair_queue import FairQueue
from .ledger import Ledger
from .messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    Availability,
    DocumentChanged,
    Event,
    Failure,
    PoolSettings,
    PoolView,
    Submit,
    UpstreamState,
    VersionAnnounced,
    VersionReport,
    Withdraw,
)
from .state import Attempt, Item, Upstream
from .timers import Timers


class Pool:
    """Decide where and when the work of a pool shard runs."""

    def __init__(
        self, document: ServiceDocument, settings: PoolSettings, seed: int
    ) -> None:
        self.document = document
        self.settings = settings
        self.seed = seed
        self.ledger = Ledger(document, self._released)
        self.queue = FairQueue(document)
        self.timers = Timers()
        self.newest: dict[ModelName, Version] = {}
        self.can_dispatch = False
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
        self.ledger.list_upstreams(document)
        self._refresh_upstreams()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event at a monotonic time in seconds and return the actions."""
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event, now)
        self.timers.run_due(now)
        if self.can_dispatch:
            self.can_dispatch = False
            self._dispatch(now)
        actions, self.ledger.actions = self.ledger.actions, []
        return actions

    def next_wakeup(self) -> float | None:
        """Return when the pool needs a Tick at the latest."""
        return self.timers.next_due()

    def view(self) -> PoolView:
        """Return the state of the pool for status pages."""
        return self.ledger.view(self.queue.waiting)

    def _submit(self, event: Submit, now: float) -> None:
        work = event.work
        if work.work_id in self.ledger.items:
            return
        repeated = self.ledger.repeated_end(work)
        if repeated is not None:
            self.ledger.actions.append(repeated)
            return
        item = self.ledger.add(work, now)
        if item.deadline is not None:
            self.timers.at(item.deadline, lambda _: self._pass_deadline(item))
        self._enqueue(item)

    def _pass_deadline(self, item: Item) -> None:
        if self.ledger.is_held(item):
            self._refuse(item, "deadline_passed")

    def _withdraw(self, event: Withdraw, now: float) -> None:
        item = self.ledger.items.get(event.work_id)
        if item is not None:
            self._refuse(item, "cancelled")

    def _progress(self, event: AttemptProgress, now: float) -> None:
        attempt = self.ledger.attempts.get(event.attempt_id)
        if attempt is not None:
            self._receive(attempt, event.tokens)

    def _finished(self, event: AttemptFinished, now: float) -> None:
        attempt = self.ledger.attempts.get(event.attempt_id)
        if attempt is not None:
            self._receive(attempt, event.tokens)
            self.ledger.finish(attempt)

    def _failed(self, event: AttemptFailed, now: float) -> None:
        attempt = self.ledger.attempts.get(event.attempt_id)
        if attempt is not None:
            self._receive(attempt, event.tokens)
            self.ledger.release(attempt)
            self._fail(attempt, event.failure)

    def _receive(self, attempt: Attempt, tokens: int) -> None:
        attempt.tokens = max(attempt.tokens, tokens)
        attempt.item.received = max(attempt.item.received, tokens)

    def _fail(self, attempt: Attempt, failure: Failure) -> None:
        item = attempt.item
        item.avoid = attempt.upstream.upstream_id
        ran = failure in {Failure.BROKEN, Failure.ERRORED}
        if ran:
            item.failures += 1
            errored = failure is Failure.ERRORED
            item.note_run(Ran.RAN if errored else Ran.MAY_HAVE_RUN)
        if item.attempts:
            return
        spent = item.failures >= self.document.retries.attempts
        if ran and (spent or not item.work.repeatable):
            broken = failure is Failure.BROKEN
            self._refuse(item, "upstream_broken" if broken else "upstream_error")
        else:
            self._enqueue(item)

    def _upstream_state(self, event: UpstreamState, now: float) -> None:
        upstream = self.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            upstream.reported = event.availability
            self._refresh_upstreams()

    def _version_report(self, event: VersionReport, now: float) -> None:
        upstream = self.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            upstream.versions[event.model] = event.version
            self.can_dispatch = True

    def _version_announced(self, event: VersionAnnounced, now: float) -> None:
        known = self.newest.get(event.model, event.version)
        self.newest[event.model] = max(known, event.version)

    def _document_changed(self, event: DocumentChanged, now: float) -> None:
        self.document = event.document
        self.queue.change_document(event.document)
        self.ledger.list_upstreams(event.document)
        self._refresh_upstreams()

    def _refresh_upstreams(self) -> None:
        for upstream in self.ledger.upstreams.values():
            available = upstream.availability() is Availability.AVAILABLE
            upstream.slots = upstream.entry.capacity if available else 0
        self.can_dispatch = True

    def _refuse(self, item: Item, code: str) -> None:
        self.queue.remove(item)
        self.ledger.refuse(item, code)

    def _enqueue(self, item: Item) -> None:
        self.queue.push(item, item.cost() - item.received)
        self.can_dispatch = True

    def _released(self, attempt: Attempt) -> None:
        self.can_dispatch = True
        item = attempt.item
        if not item.attempts:
            produced = attempt.tokens - attempt.resume_from
            self.queue.settle(item, item.work.prompt_tokens + produced)

    def _dispatch(self, now: float) -> None:
        while self.queue.waiting and self._start_next(now):
            pass

    def _start_next(self, now: float) -> bool:
        free = [u for u in self.ledger.upstreams.values() if u.is_free()]
        if not free:
            return False
        for lane in self.queue.lanes():
            upstream = self._choose(lane.head(), free)
            if upstream is not None:
                self.ledger.start(self.queue.take(lane), upstream, now)
                return True
        return False

    def _choose(self, item: Item, free: list[Upstream]) -> Upstream | None:
        limit = self.document.limits.tokens_in_flight
        cost = item.cost()
        fit = [u for u in free if u.has_room(cost, limit) and self._is_fresh(item, u)]
        if not fit:
            return None
        avoid = item.avoid
        return min(fit, key=lambda u: (u.upstream_id == avoid, u.tokens_in_flight))

    def _is_fresh(self, item: Item, upstream: Upstream) -> bool:
        work = item.work
        version = upstream.versions.get(work.model)
        if self.document.kind is not ServiceKind.TRAINING or not item.is_sample:
            return work.min_version <= (version or 0)
        if version is None or version < work.min_version:
            return False
        bound = work.staleness_bound
        bound = self.document.staleness_bound if bound is None else bound
        return self.newest.get(work.model, version) - version <= bound
