"""Dispatch the work of one pool shard to its upstreams."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran

from ..ids import AccountName, AttemptId, WorkId
from .admission import longest_send_wait_s
from .attempt_tracker import AttemptTracker
from .components import PoolComponents
from .messages import (
    STOPPING,
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    CacheReport,
    DocumentChanged,
    Event,
    LimitReport,
    LoadReport,
    OrderFinished,
    PoolSettings,
    PoolView,
    StartReason,
    StopAt,
    Submit,
    UpstreamState,
    VersionAnnounced,
    VersionReport,
    Withdraw,
    Work,
)
from .relocation import MoveCounts
from .reports import ReportHandler
from .state import Attempt, HealthState, Item, Upstream

# Smaller items could keep every upstream too full for a large one, so after this wait
# a large item gets an upstream reserved for it.
RESERVE_AFTER_S = 5.0
# Requests that turn out to wait too long to be answered before the node stops are
# refused within this time.
STOP_CHECK_INTERVAL_S = 0.05


class Reservation(NamedTuple):
    """Reserve an upstream until a large item fits on it."""

    item: Item
    upstream: Upstream


class Pool:
    """Decide where and when the work of a pool shard runs."""

    def __init__(
        self, document: ServiceDocument, settings: PoolSettings, seed: int
    ) -> None:
        self.settings = settings
        self.reservation: Reservation | None = None
        self.components = PoolComponents(document, settings, seed)
        self.attempt_tracker = AttemptTracker(self.components)
        self.components.hedges.start_hedge = self._start_hedge
        self.components.relocator.start_move = self._start_move
        reports = ReportHandler(self.components)
        self.handlers: dict[type, Callable[..., None]] = {
            Submit: self._submit,
            Withdraw: self._withdraw,
            AttemptFinished: self.attempt_tracker.on_finished,
            AttemptFailed: self.attempt_tracker.on_failed,
            AttemptProgress: self.attempt_tracker.on_progress,
            UpstreamState: reports.on_upstream_state,
            LoadReport: reports.on_load_report,
            LimitReport: reports.on_limit_report,
            CacheReport: reports.on_cache_report,
            OrderFinished: reports.on_order_finished,
            VersionReport: reports.on_version_report,
            VersionAnnounced: reports.on_version_announced,
            DocumentChanged: reports.on_document_changed,
            StopAt: self._stop_at,
        }

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event at a monotonic time in seconds and return the actions."""
        return self.handle_all((event,), now)

    def handle_all(self, events: Sequence[Event], now: float) -> list[Action]:
        """Apply a batch of events before dispatching once, and return the actions."""
        components = self.components
        components.now = now
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event, now)
        components.timers.run_due(now)
        if components.dispatch_needed:
            self._dispatch()
        actions, components.ledger.actions = components.ledger.actions, []
        return actions

    def next_wakeup(self) -> float | None:
        """Return the time by which the pool needs a Tick, or None."""
        return self.components.timers.next_due()

    def view(self) -> PoolView:
        """Return the state of the pool for status pages."""
        return self.components.ledger.view(self.components.queue.waiting)

    def start_reason(self, attempt_id: AttemptId) -> StartReason | None:
        """Return why a running attempt was started, or None if it has ended."""
        attempt = self.components.ledger.attempts.get(attempt_id)
        return attempt.reason if attempt else None

    def move_counts(self) -> MoveCounts:
        """Return how many runs were moved, by outcome."""
        return self.components.relocator.counts

    def largest_accounts(self, count: int) -> list[tuple[AccountName, int]]:
        """Return the accounts with the most waiting requests, and their numbers."""
        return self.components.queue.largest_accounts(count)

    def held_retries(self) -> int:
        """Return the number of failed items that wait for the retry budget."""
        return self.components.retries.held

    def free_slots(self) -> int:
        """Return the number of attempts that may start at once, at all upstreams."""
        return sum(max(0, u.slots - len(u.attempts)) for u in self.usable())

    def usable(self) -> list[Upstream]:
        """Return the upstreams that accept new attempts, including full ones."""
        return [u for u in self.components.ledger.upstreams.values() if u.slots]

    def versions_behind(self, item: Item, upstream: Upstream) -> int:
        """Return how many versions the upstream is behind for the item's model."""
        return self.components.freshness.versions_behind(item, upstream)

    def _submit(self, event: Submit, now: float) -> None:
        ledger, work = self.components.ledger, event.work
        recorded = ledger.recorded_end(work)
        if recorded is not None:
            ledger.actions.append(recorded)
        elif work.work_id not in ledger.items:
            self._admit(work, now)

    def _admit(self, work: Work, now: float) -> None:
        components, ledger = self.components, self.components.ledger
        item = ledger.add(work, now)
        components.queue.record_arrival(work, now)
        self._limit_to_stop(item)
        if item.ran_before is not Ran.NOT_RUN and not work.repeatable:
            ledger.refuse(item, "upstream_broken")
            return
        upstreams = ledger.upstreams.values()
        charge = components.expected_tokens(item)
        if self._ends_too_late(item, charge, now):
            ledger.refuse(item, STOPPING)
            return
        refusal = components.admission.check(
            item, charge, components.queue, upstreams, now
        )
        if refusal is not None:
            ledger.refuse(item, refusal.code, refusal.retry_after)
            return
        displaced = components.admission.displaced(item, components.queue, upstreams)
        if displaced is not None:
            other, refusal = displaced
            components.refuse(other, refusal.code, refusal.retry_after)
        components.weights.placement.record_demand(work.model, charge, now)
        if item.deadline is not None:
            components.timers.at(
                item.deadline, lambda _: self._refuse_past_deadline(item)
            )
        components.enqueue(item)

    def _ends_too_late(self, item: Item, charge: int, now: float) -> bool:
        stopping = self.components.stopping
        if stopping.stop_at is None:
            return False
        tokens_before = self.components.queue.tokens_before(item.work, charge)
        return stopping.is_unservable(item, tokens_before, now)

    def _refuse_past_deadline(self, item: Item) -> None:
        if self.components.ledger.is_open(item):
            self.components.refuse(item, "deadline_passed")

    def _withdraw(self, event: Withdraw, now: float) -> None:
        item = self.components.ledger.items.get(event.work_id)
        if item is not None:
            self.components.refuse(item, event.code, event.retry_after)

    def latest_start(self, work_id: WorkId) -> float:
        """Return the time after which no attempt of a work item may start."""
        item = self.components.ledger.items.get(work_id)
        return self.components.stopping.latest_start(item) if item else float("inf")

    def _stop_at(self, event: StopAt, now: float) -> None:
        self.components.stopping.stop_at = event.at
        for item in list(self.components.ledger.items.values()):
            self._limit_to_stop(item)
        self._check_stop(now)

    def _limit_to_stop(self, item: Item) -> None:
        stop_at = self.components.stopping.stop_at
        if stop_at is None or item.is_sample:
            return
        if item.deadline is None or item.deadline > stop_at:
            item.deadline = stop_at
            self.components.timers.at(
                stop_at, lambda _: self._refuse_past_deadline(item)
            )

    def _check_stop(self, now: float) -> None:
        """Refuse what cannot be answered before the node stops."""
        components = self.components
        self._refuse_unservable(now)
        if now < (components.stopping.stop_at or now):
            components.timers.at(now + STOP_CHECK_INTERVAL_S, self._check_stop)

    def _refuse_unservable(self, now: float) -> None:
        for item in list(self.components.stopping.find_unservable(now)):
            self.components.refuse(item, STOPPING)

    def _dispatch(self) -> None:
        self._refuse_unservable(self.components.now)
        self.components.retries.release(self.components.now)
        self.components.dispatch_needed = False
        self.components.weights.plan(self.components.now)
        while self.components.queue.waiting and self._start_next():
            pass
        self.components.freed_upstreams.clear()

    def _start_next(self) -> bool:
        components = self.components
        free = [u for u in components.ledger.upstreams.values() if u.is_free()]
        if not free:
            return False
        reservation = self._current_reservation()
        freed_upstreams = [u for u in free if u in components.freed_upstreams]
        # A lane whose first item no upstream could take stays blocked for the epoch,
        # which ends when versions, health or steps change. Until then only upstreams
        # with newly freed capacity are tried.
        epoch = components.epoch + components.ledger.steps_ended
        for lane in components.queue.lanes():
            item = lane.head()
            candidates = freed_upstreams if lane.is_blocked(epoch) else free
            if reservation is not None and item is not reservation.item:
                candidates = [u for u in candidates if u is not reservation.upstream]
            upstream = self._choose(item, candidates) if candidates else None
            if upstream is not None:
                self.attempt_tracker.watch(
                    components.start(components.queue.take(lane), upstream)
                )
                return True
            lane.block(epoch)
            reservation = reservation or self._reserve(item)
        return False

    def _current_reservation(self) -> Reservation | None:
        current = self.reservation
        if current is not None and current.item.queued and current.upstream.slots:
            return current
        if current is not None:
            # Release the upstream to other items.
            self.reservation = None
            self.components.request_dispatch()
        return None

    def _reserve(self, item: Item) -> Reservation | None:
        components = self.components
        if components.now - item.submitted_at < RESERVE_AFTER_S:
            return None
        oldest = components.freshness.oldest_allowed(item, components.now)
        eligible = [
            u for u in self.usable() if components.freshness.may_run(item, u, oldest)
        ]
        if not eligible:
            return None
        upstream = min(eligible, key=lambda u: u.tokens_in_flight)
        self.reservation = Reservation(item, upstream)
        return self.reservation

    def _start_hedge(self, item: Item, excluded: set[Upstream]) -> bool:
        if self.components.now >= self.components.stopping.latest_start(item):
            return False
        upstreams = self.components.ledger.upstreams.values()
        now = self.components.now
        free = [u for u in upstreams if u.is_free() and u.keeps_pace(now)]
        others = [u for u in free if u not in excluded]
        return self._start_beside(item, others, StartReason.HEDGE) is not None

    def _start_move(self, item: Item, targets: list[Upstream]) -> Attempt | None:
        return self._start_beside(item, targets, StartReason.SLOW_ENGINE)

    def _start_beside(
        self, item: Item, free: list[Upstream], reason: StartReason
    ) -> Attempt | None:
        upstream = self._choose(item, free)
        if upstream is None:
            return None
        attempt = self.components.start(item, upstream, reason)
        self.attempt_tracker.watch(attempt)
        return attempt

    def _choose(self, item: Item, free: list[Upstream]) -> Upstream | None:
        components = self.components
        limit = components.document.limits.tokens_in_flight
        reserved_tokens = item.reserved_tokens()
        oldest = components.freshness.oldest_allowed(item, components.now)
        may_run = components.freshness.may_run
        fitting = [
            u
            for u in free
            if u.has_room(reserved_tokens, limit) and may_run(item, u, oldest)
        ]
        if self.settings.refuse_while_loading:
            fitting = [u for u in fitting if not u.is_loading(item.work.model)]
        if not item.work.repeatable and fitting:
            # Probes often fail, and a failed attempt ends work that must not repeat.
            eligible = [u for u in self.usable() if may_run(item, u, oldest)]
            if not all(u.health.state is HealthState.PROBING for u in eligible):
                fitting = [
                    u for u in fitting if u.health.state is not HealthState.PROBING
                ]
        if self.settings.avoid_limited:
            fitting = self._prefer_unlimited(item, fitting)
        fitting = [u for u in fitting if u.keeps_pace(components.now)] or fitting
        if item.tries and item.is_sample:
            fitting = [u for u in fitting if u.health.answering] or fitting
        return (
            components.routing.choose(item, fitting, self, components.now)
            if fitting
            else None
        )

    def _prefer_unlimited(
        self, item: Item, upstreams: list[Upstream]
    ) -> list[Upstream]:
        """Return the upstreams without a limit, else those with a turn in time."""
        now = self.components.now
        unlimited = [u for u in upstreams if not u.is_limited(now)]
        if unlimited or item.deadline is None:
            return unlimited or upstreams
        longest_s = longest_send_wait_s(item.deadline - now)
        return [u for u in upstreams if u.turn_wait_s(now) <= longest_s]
