"""Build the parts of a pool and keep them consistent with each other."""

from fulmarpulley_schema.generated.document import ServiceDocument

from ..choices import SeededRandom
from .fair_queue import FairQueue
from .freshness import Freshness
from .health import Health
from .ledger import Ledger
from .limits import Admission
from .load import note_attempts
from .messages import PoolSettings
from .retries import Retries
from .routing import ROUTING
from .state import Attempt, Item, Upstream
from .stragglers import Hedges, Lengths
from .timers import Timers
from .weights import Weights


class Parts:
    """Hold the parts of a pool, the document in force and the time of the event."""

    def __init__(
        self, document: ServiceDocument, settings: PoolSettings, seed: int
    ) -> None:
        self.document = document
        self.settings = settings
        self.now = 0.0
        self.can_dispatch = False
        self.epoch = 0
        self.gained: set[Upstream] = set()
        self.timers = Timers()
        self.jitter = SeededRandom(seed)
        self.ledger = Ledger(document, settings, self._released)
        self.queue = FairQueue(document)
        self.lengths = Lengths()
        self.freshness = Freshness(document, self.ledger, self.lengths)
        self.admission = Admission(document, self.jitter)
        self.retries = Retries(
            document, self.timers, self.ledger, self.jitter, self.enqueue
        )
        self.health = Health(self.ledger, self.timers, self.jitter, self.wake)
        self.hedges = Hedges(
            document, self.ledger, self.queue, self.lengths, self.timers
        )
        self.weights = Weights(
            document,
            self.ledger,
            self.freshness,
            self.timers,
            self.jitter,
            self.wake,
            self.queue.wanted_versions,
        )
        self.routing = ROUTING.get(settings.routing)(settings)
        self.ledger.list_upstreams(document)
        self.health.refresh_all()

    def change_document(self, document: ServiceDocument) -> list[Upstream]:
        """Put a document in force in every part and return the new upstreams."""
        self.document = document
        self.retries.change_document(document)
        self.hedges.change_document(document)
        self.queue.change_document(document)
        self.admission.document = document
        self.freshness.document = document
        self.weights.document = document
        return self.ledger.list_upstreams(document)

    def wake(self) -> None:
        """Note that any queued item may be able to start, also blocked ones."""
        self.epoch += 1
        self.can_dispatch = True

    def charge(self, item: Item) -> int:
        """Return the tokens that an item is expected to take from now on."""
        return item.work.prompt_tokens + self.lengths.predict(item) - item.received

    def enqueue(self, item: Item) -> None:
        """Queue an item."""
        self._drop_expired_tokens(item)
        self.queue.push(item, self.charge(item))
        self.can_dispatch = True

    def start_over_expired(self, item: Item) -> None:
        """Cancel and queue again an item whose first tokens are too old by now."""
        if self.freshness.has_expired(item):
            for attempt in list(item.attempts):
                self.ledger.cancel(attempt)
            self.enqueue(item)

    def move(self, attempt: Attempt) -> None:
        """Cancel an attempt and resume its item at another upstream."""
        item = attempt.item
        self.ledger.cancel(attempt)
        item.avoid = attempt.upstream.upstream_id
        if not item.attempts:
            self.enqueue(item)

    def refuse(self, item: Item, code: str, retry_after: float | None = None) -> None:
        """End an item without an answer."""
        self.queue.remove(item)
        self.can_dispatch = True
        self.ledger.refuse(item, code, retry_after)

    def start(self, item: Item, upstream: Upstream, hedge: bool = False) -> Attempt:
        """Start an attempt."""
        if not hedge:
            self._drop_expired_tokens(item)
        attempt = self.ledger.start(item, upstream, self.now, hedge)
        self.routing.started(item, upstream)
        note_attempts(upstream, self.now)
        self.hedges.arm(self.now)
        return attempt

    def _drop_expired_tokens(self, item: Item) -> None:
        if self.freshness.has_expired(item):
            item.received = 0
            item.oldest = None

    def _released(self, attempt: Attempt) -> None:
        self.can_dispatch = True
        self.gained.add(attempt.upstream)
        note_attempts(attempt.upstream, self.now)
        item = attempt.item
        if not item.attempts:
            produced = attempt.tokens - attempt.resume_from
            self.queue.settle(item, item.work.prompt_tokens + produced)
