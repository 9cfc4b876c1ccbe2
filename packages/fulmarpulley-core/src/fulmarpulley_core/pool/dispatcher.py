"""Dispatch the work of one pool shard to its upstreams."""

from collections.abc import Callable

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran

from .fair_queue import FairQueue
from .freshness import Freshness
from .jitter import Jitter
from .ledger import Ledger
from .limits import Admission
from .load import note_attempts, note_report, note_tokens
from .messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    Availability,
    CacheReport,
    DocumentChanged,
    Event,
    Failure,
    LoadReport,
    PoolSettings,
    PoolView,
    Submit,
    UpstreamState,
    VersionAnnounced,
    VersionReport,
    Withdraw,
)
from .retries import Retries
from .routing import ROUTING
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
        self.jitter = Jitter(seed)
        self.admission = Admission(document, self.jitter)
        self.retries = Retries(
            document, self.timers, self.ledger, self.jitter, self._enqueue
        )
        self.freshness = Freshness(document)
        self.routing = ROUTING.get(settings.routing)()
        self.now = 0.0
        self.can_dispatch = False
        self.handlers: dict[type, Callable[..., None]] = {
            Submit: self._submit,
            Withdraw: self._withdraw,
            AttemptFinished: self._finished,
            AttemptFailed: self._failed,
            AttemptProgress: self._progress,
            UpstreamState: self._upstream_state,
            LoadReport: self._load_report,
            CacheReport: self._cache_report,
            VersionReport: self._version_report,
            VersionAnnounced: self._version_announced,
            DocumentChanged: self._document_changed,
        }
        self.ledger.list_upstreams(document)
        self._refresh_upstreams()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event at a monotonic time in seconds and return the actions."""
        self.now = now
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
        upstreams = self.ledger.upstreams.values()
        charge = self._charge(item)
        refusal = self.admission.check(item, charge, self.queue, upstreams, now)
        if refusal is not None:
            self.ledger.refuse(item, refusal.code, refusal.retry_after)
            return
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
            self.admission.note_finished(attempt, now)
            self.retries.budget.deposit()
            self.ledger.finish(attempt)

    def _failed(self, event: AttemptFailed, now: float) -> None:
        attempt = self.ledger.attempts.get(event.attempt_id)
        if attempt is not None:
            self._receive(attempt, event.tokens)
            self.ledger.release(attempt)
            self._fail(attempt, event.failure, now)

    def _receive(self, attempt: Attempt, tokens: int) -> None:
        note_tokens(attempt, tokens)
        attempt.item.received = max(attempt.item.received, tokens)

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
        spent = item.failures >= self.document.retries.attempts
        if ran and (spent or not item.work.repeatable):
            broken = failure is Failure.BROKEN
            self._refuse(item, "upstream_broken" if broken else "upstream_error")
        else:
            self.retries.schedule(item, now)

    def _upstream_state(self, event: UpstreamState, now: float) -> None:
        upstream = self.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            upstream.reported = event.availability
            self._refresh_upstreams()

    def _load_report(self, event: LoadReport, now: float) -> None:
        upstream = self.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            note_report(upstream, event, now)

    def _cache_report(self, event: CacheReport, now: float) -> None:
        self.routing.cache_changed(event)

    def _version_report(self, event: VersionReport, now: float) -> None:
        upstream = self.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            upstream.versions[event.model] = event.version
            self.can_dispatch = True

    def _version_announced(self, event: VersionAnnounced, now: float) -> None:
        if self.freshness.announce(event.model, event.version):
            self.can_dispatch = True

    def _document_changed(self, event: DocumentChanged, now: float) -> None:
        self.document = event.document
        self.retries.change_document(event.document)
        self.admission.document = event.document
        self.freshness.document = event.document
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
        self.queue.push(item, self._charge(item))
        self.can_dispatch = True

    def _charge(self, item: Item) -> int:
        return item.cost() - item.received

    def _released(self, attempt: Attempt) -> None:
        self.can_dispatch = True
        note_attempts(attempt.upstream, self.now)
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
            upstream = self._choose(lane.head(), free, now)
            if upstream is not None:
                self._start(self.queue.take(lane), upstream, now)
                return True
        return False

    def _start(self, item: Item, upstream: Upstream, now: float) -> None:
        self.ledger.start(item, upstream, now)
        self.routing.started(item, upstream)
        note_attempts(upstream, now)

    def _choose(self, item: Item, free: list[Upstream], now: float) -> Upstream | None:
        limit = self.document.limits.tokens_in_flight
        cost = item.cost()
        may_run = self.freshness.may_run
        fit = [u for u in free if u.has_room(cost, limit) and may_run(item, u)]
        return self.routing.choose(item, fit, self, now) if fit else None

    def usable(self) -> list[Upstream]:
        """Return the upstreams that take new attempts, busy ones included."""
        return [u for u in self.ledger.upstreams.values() if u.slots]

    def versions_behind(self, item: Item, upstream: Upstream) -> int:
        """Return how many versions the upstream is behind for the item's model."""
        return self.freshness.versions_behind(item, upstream)
