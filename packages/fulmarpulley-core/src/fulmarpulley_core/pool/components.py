"""Build the components of a pool and keep them consistent with each other."""

from fulmarpulley_schema.generated.document import ServiceDocument

from ..seeded_random import SeededRandom
from .admission import Admission
from .fair_queue import FairQueue
from .freshness import Freshness
from .health import HealthTracker
from .hedging import HedgeScheduler, LengthEstimator
from .ledger import Ledger
from .load import record_attempt_count
from .messages import PoolSettings, StartReason
from .relocation import Relocator
from .retries import RetryQueue
from .routing import ROUTING
from .state import Attempt, Item, Upstream
from .stopping import StopPlanner
from .timers import Timers
from .weights import WeightUpdater


class PoolComponents:
    """Hold the components of a pool, its document and the time of the event."""

    def __init__(
        self, document: ServiceDocument, settings: PoolSettings, seed: int
    ) -> None:
        self.document = document
        self.settings = settings
        self.now = 0.0
        self.dispatch_needed = False
        self.epoch = 0
        self.freed_upstreams: set[Upstream] = set()
        self.timers = Timers()
        self.jitter = SeededRandom(seed)
        self.ledger = Ledger(document, settings, self._on_release)
        self.queue = FairQueue(document)
        self.lengths = LengthEstimator()
        self.freshness = Freshness(document, self.ledger, self.lengths)
        self.admission = Admission(document, self.jitter)
        self.stopping = StopPlanner(self.ledger, self.admission)
        self.retries = RetryQueue(
            document,
            self.timers,
            self.ledger,
            self.jitter,
            self.enqueue,
            self.request_dispatch,
        )
        self.health = HealthTracker(
            self.ledger, self.timers, self.jitter, self.request_dispatch
        )
        self.hedges = HedgeScheduler(
            document, self.ledger, self.queue, self.lengths, self.timers
        )
        self.relocator = Relocator(self.ledger, self.queue, self.lengths, self.timers)
        self.weights = WeightUpdater(
            document,
            self.ledger,
            self.freshness,
            self.timers,
            self.jitter,
            self.request_dispatch,
            self.queue.required_versions,
        )
        self.routing = ROUTING.get(settings.routing)(settings)
        self.ledger.update_upstreams(document)
        self.health.update_all_slots()

    def change_document(self, document: ServiceDocument) -> list[Upstream]:
        """Apply a document to every component and return the new upstreams."""
        self.document = document
        self.retries.change_document(document)
        self.hedges.change_document(document)
        self.queue.change_document(document)
        self.admission.document = document
        self.freshness.document = document
        self.weights.document = document
        return self.ledger.update_upstreams(document)

    def request_dispatch(self) -> None:
        """Request a dispatch that also retries blocked lanes."""
        self.epoch += 1
        self.dispatch_needed = True

    def expected_tokens(self, item: Item) -> int:
        """Return the tokens that an item is expected to take from now on."""
        return (
            item.work.prompt_tokens + self.lengths.predict(item) - item.received_tokens
        )

    def enqueue(self, item: Item) -> None:
        """Queue an item, without its received tokens if they are too stale."""
        self._drop_stale_tokens(item)
        self.queue.push(item, self.expected_tokens(item))
        self.dispatch_needed = True

    def restart_if_stale(self, item: Item) -> None:
        """Cancel and requeue an item whose received tokens have become too stale."""
        if self.freshness.has_stale_tokens(item):
            for attempt in list(item.attempts):
                self.ledger.cancel(attempt)
            self.enqueue(item)

    def move(self, attempt: Attempt) -> None:
        """Cancel an attempt and requeue its item for another upstream."""
        item = attempt.item
        self.ledger.cancel(attempt)
        item.avoid(attempt.upstream.upstream_id)
        if not item.attempts:
            self.enqueue(item)

    def refuse(self, item: Item, code: str, retry_after: float | None = None) -> None:
        """End an item without an answer."""
        self.queue.remove(item)
        self.dispatch_needed = True
        self.ledger.refuse(item, code, retry_after)

    def start(
        self,
        item: Item,
        upstream: Upstream,
        reason: StartReason = StartReason.QUEUED,
    ) -> Attempt:
        """Start an attempt."""
        if reason is StartReason.QUEUED:
            self._drop_stale_tokens(item)
        attempt = self.ledger.start(item, upstream, self.now, reason)
        self.routing.record_start(item, upstream)
        record_attempt_count(upstream, self.now)
        self.hedges.schedule_scan(self.now)
        self.relocator.watch(attempt, self.now)
        return attempt

    def _drop_stale_tokens(self, item: Item) -> None:
        if self.freshness.has_stale_tokens(item):
            item.received_tokens = 0
            item.oldest_version = None

    def _on_release(self, attempt: Attempt) -> None:
        self.dispatch_needed = True
        self.freed_upstreams.add(attempt.upstream)
        record_attempt_count(attempt.upstream, self.now)
        item = attempt.item
        if not item.attempts:
            produced = attempt.tokens - attempt.resume_from
            self.queue.correct_charge(item, item.work.prompt_tokens + produced)
