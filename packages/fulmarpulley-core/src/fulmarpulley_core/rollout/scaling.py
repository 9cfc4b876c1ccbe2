"""Decide how many upstreams a service has in each data centre.

Each rule answers a load:

- Lost capacity is replaced (spot upstreams of a data centre that are reclaimed all at
  once, in a pool of 22 engines whose steps already take most of their time). What has
  announced that it leaves is replaced at once, so that new upstreams serve before or
  soon after the old ones are gone; other losses after the time that a restart takes.
- Only the number of upstreams counts, not which ones they are. So nothing is ordered
  when reclaimed capacity comes back beside its replacement.
- Capacity is added when a step is forecast to be late because all slots are taken, and
  upstreams ordered now would still help. Steps come in bursts, so free slots between
  them, or full ones after them, decide nothing.
- One upstream is removed after a window of several step intervals without disturbance
  whose steps would also have ended in time without it and without the spot upstreams of
  any one data centre.
- A new holder observes before it orders, except what announces that it leaves.
- Prices decide between data centres that serve equally well: those without lost or
  unreachable upstreams that have not refused an order lately.
"""

import math
from collections import Counter
from collections.abc import Collection

import msgspec

from ..ids import DataCentre
from .scaling_load import WINDOW_S, Forecast, LoadWindow, PoolLoad
from .scaling_orders import OrderBook, OrderOutcome, Subject, UpstreamOrder
from .scaling_presence import SeenUpstream, UpstreamCensus
from .scaling_state import ScalingState
from .topology import ScalingLimits

# A new holder observes for more than one step interval. Entries of upstreams and the
# first pace measurements arrive in this time.
OBSERVATION_S = 5.0
# After a shortage nothing is removed for this time, so that a load near the capacity
# does not alternate between adding and removing.
SHORTAGE_MEMORY_S = 60.0
# A shortage that has been over for two step intervals needs no more upstreams.
SHORTAGE_END_S = 8.0
# Bounds what one forecast may add.
MAX_ADDED_SHARE = 0.25
# Upstreams that arrived are given one step interval to take effect.
SETTLING_S = 4.0
# Upstreams that appear later count if they stay for this time: one that restarts under
# another name can be listed beside its former entry.
MORE_CONFIRMATION_S = 10.0
# Data centres without a price are ordered from last.
UNKNOWN_PRICE = 1e9

# Reasons of orders.
LOST = "lost"
SHORTAGE = "shortage"
SPARE = "spare"
UNCONFIRMED = "unconfirmed"


class ScalingView(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a decision is based on.

    :param load: None if this node does not know the load of the service
    :param disturbed: whether the list of upstreams or the load may be outdated
    """

    now_s: float
    upstreams: tuple[SeenUpstream, ...]
    load: PoolLoad | None = None
    disturbed: bool = False


class ScalingDecision:
    """Decide the orders of one service for one tenure."""

    def __init__(
        self,
        limits: ScalingLimits,
        started_s: float,
        inherited: ScalingState | None = None,
    ) -> None:
        self.limits = limits
        self.started_s = started_s
        self.state = inherited or ScalingState()
        self.book = OrderBook(limits.boot_s)
        self.book.placed = self.state.orders
        self.census = UpstreamCensus()
        self.window = LoadWindow()
        # The wanted number without what a shortage has added and no order has brought.
        self.base = self.state.wanted
        self.short_at_s = -math.inf
        self.settled_s = -math.inf
        self.disturbed_at_s = started_s
        # Whether a shortage cannot be answered since all data centres have the maximum.
        self.at_maximum = False
        self.late_s = 0.0
        # Time since which more upstreams than wanted have been there.
        self.more_since_s = started_s
        self._slots_each = 0.0
        self._inherited = inherited is not None

    def decide(self, view: ScalingView) -> UpstreamOrder | None:
        """Return the next order; its outcome must be recorded before the next call."""
        now_s = view.now_s
        unsettled = self.census.update(view.upstreams, now_s)
        self._inherit_known()
        self.book.update(self.census.serving(), now_s)
        observing = view.disturbed or now_s < self.started_s + OBSERVATION_S
        if observing or unsettled or self.book.placed:
            self.disturbed_at_s = now_s
        if not self.state.fixed:
            self._count_initial(now_s)
        forecast = self._assess(view, observing)
        if not self.book.may_call(now_s):
            return None
        return (
            self._repeat()
            or self._replace(observing, now_s)
            or self._add(forecast, now_s)
            or self._remove(view, now_s)
        )

    def record_outcome(
        self, order: UpstreamOrder, outcome: OrderOutcome, now_s: float
    ) -> None:
        """Record what became of an order."""
        known = self.census.serving().get(order.subject, set())
        self.book.record(order, known, outcome, now_s)
        self.disturbed_at_s = now_s
        if outcome is OrderOutcome.PLACED or outcome is OrderOutcome.UNKNOWN:
            self.state.fixed = True
            self.settled_s = now_s + self.limits.boot_s + SETTLING_S
            self.state.wanted = order.wanted
            self.base = min(self.base, order.wanted)

    def listed_or_expected(self, data_centre: DataCentre) -> int:
        """Return the number of upstreams that a data centre has or will have."""
        subjects = (Subject(data_centre, False), Subject(data_centre, True))
        return sum(self._counted(subject) for subject in subjects)

    def data_centres(self) -> Collection[DataCentre]:
        """Return the data centres in which upstreams may be ordered."""
        return self.limits.prices.keys() | self.census.data_centres()

    def _inherit_known(self) -> None:
        """Set the upstreams that inherited orders do not wait for."""
        serving = self.census.serving()
        if not self._inherited or not serving:
            return
        self._inherited = False
        for subject, order in self.book.placed.items():
            order.known = frozenset(serving.get(subject, ()))

    def _count_initial(self, now_s: float) -> None:
        """Want as many upstreams as there are without an order."""
        count = self.census.at_start()
        if count <= self.state.wanted:
            self.more_since_s = now_s
        observed = now_s >= self.started_s + OBSERVATION_S
        if not observed or now_s >= self.more_since_s + MORE_CONFIRMATION_S:
            self.state.wanted = self.base = max(self.state.wanted, count)

    def _counted(self, subject: Subject) -> int:
        return self.census.counted(subject) + self.book.pending(subject)

    def _missing(self) -> int:
        expected = self.census.present() + self.book.pending_total()
        return self.state.wanted - expected

    def _assess(self, view: ScalingView, observing: bool) -> Forecast | None:
        load, now_s = view.load, view.now_s
        if load is None or observing:
            self.window.clear()
            return None
        serving = sum(len(found) for found in self.census.serving().values())
        self._slots_each = load.slots / max(1, serving)
        forecast = self.window.add(load, now_s, self.limits.boot_s)
        if self.window.short_at_s == now_s:
            self.disturbed_at_s = now_s
        if forecast is not None:
            self.short_at_s = now_s
        self.base = min(self.state.wanted, max(self.base, self.census.present()))
        if now_s >= self.window.short_at_s + SHORTAGE_END_S:
            expected = self.census.present() + self.book.pending_total()
            self.state.wanted = max(self.base, min(self.state.wanted, expected))
        return forecast

    def _repeat(self) -> UpstreamOrder | None:
        """Repeat an order without a response, which has the same effect once or twice.

        Another number could be undone by the first call, if that is executed late.
        """
        found = self.book.unconfirmed()
        if found is None:
            return None
        subject, order = found
        if self._missing() + order.pending() <= 0:
            self.book.drop(subject)
            return None
        return UpstreamOrder(
            subject=subject,
            before=self._counted(subject) - order.pending(),
            count=order.count,
            wanted=self.state.wanted,
            reason=UNCONFIRMED,
        )

    def _replace(self, observing: bool, now_s: float) -> UpstreamOrder | None:
        missing = self._missing()
        if observing:
            leaving = self.census.leaving() - self.book.pending_total()
            missing = min(missing, leaving)
        if missing <= 0:
            return None
        if self.state.wanted > self.base:
            return self._order(missing, SHORTAGE, self.late_s, now_s)
        return self._order(missing, LOST, 0.0, now_s)

    def _add(self, forecast: Forecast | None, now_s: float) -> UpstreamOrder | None:
        if now_s >= self.window.short_at_s + SHORTAGE_END_S:
            # Not before: the forecast of each burst would change it.
            self.at_maximum = False
        if (
            forecast is None
            or now_s < self.settled_s
            or self.book.placed
            or self._missing() > 0
        ):
            return None
        present = self.census.present()
        each = max(1.0, self._slots_each)
        most = max(1, int(present * MAX_ADDED_SHARE))
        added = min(most, max(1, math.ceil(forecast.missing_slots / each)))
        self.late_s = forecast.late_s
        before, self.state.wanted = self.state.wanted, present + added
        order = self._order(added, SHORTAGE, forecast.late_s, now_s)
        if order is None:
            self.state.wanted = before
        room = (self._room(name) for name in self.data_centres())
        self.at_maximum = order is None and not any(free > 0 for free in room)
        return order

    def _room(self, data_centre: DataCentre) -> int:
        return self.limits.maximum - self.listed_or_expected(data_centre)

    def _order(
        self, missing: int, reason: str, late_s: float, now_s: float
    ) -> UpstreamOrder | None:
        """Return the order that brings the most of what is missing, if any can."""
        lost = self.census.lost() if reason == LOST else Counter[DataCentre]()
        for subject in self._candidates(lost, now_s):
            name = subject.data_centre
            wanted = min(missing, lost[name]) if lost[name] else missing
            before = self._counted(subject)
            others = self.listed_or_expected(name) - before
            count = max(before + wanted, self.limits.minimum)
            count = min(count, self.limits.maximum - others)
            if count > before and count >= self.limits.minimum:
                return UpstreamOrder(
                    subject=subject,
                    before=before,
                    count=count,
                    wanted=self.state.wanted,
                    reason=reason,
                    late_s=late_s,
                )
        return None

    def _candidates(self, lost: Counter[DataCentre], now_s: float) -> list[Subject]:
        """Return the subjects that may be ordered, the best one first.

        The data centre that has lost upstreams is asked first: replacements there keep
        the spread over data centres, and it refuses at once if it has none. Spot
        upstreams are ordered only where there are no others.
        """
        troubled = self.census.troubled()

        def sort_key(subject: Subject) -> tuple[bool, bool, bool, float, int, str]:
            name = subject.data_centre
            return (
                subject.spot,
                not lost[name],
                name in troubled,
                self._price(subject),
                self.listed_or_expected(name),
                name,
            )

        subjects = [
            Subject(name, spot)
            for name in self.data_centres()
            for spot in (False, True)
            if not (spot and name in troubled)
        ]
        return sorted(
            (s for s in subjects if self.book.may_order(s, now_s)), key=sort_key
        )

    def _price(self, subject: Subject) -> float:
        price = self.limits.prices.get(subject.data_centre, UNKNOWN_PRICE)
        return price * (self.limits.spot_price if subject.spot else 1.0)

    def _remove(self, view: ScalingView, now_s: float) -> UpstreamOrder | None:
        """Order one upstream less if the steps of the whole window can spare it."""
        load = view.load
        quiet = now_s >= max(
            self.disturbed_at_s + WINDOW_S, self.short_at_s + SHORTAGE_MEMORY_S
        )
        if load is None or not quiet or self._missing() > 0 or not self._slots_each:
            return None
        needed = self.window.needed_slots(load.seconds_per_token)
        serving = self.census.serving()
        total = sum(len(found) for found in serving.values())
        spot = (len(found) for subject, found in serving.items() if subject.spot)
        reserve = max(1, *spot, 0)
        if needed is None or (total - 1 - reserve) * self._slots_each < needed:
            return None
        removable = [
            subject
            for subject in serving
            if self.census.counted(subject) > max(1, self.limits.minimum)
            and self.book.may_order(subject, now_s)
        ]
        if not removable:
            return None
        # Upstreams that cannot be reclaimed are kept.
        subject = min(removable, key=lambda s: (not s.spot, -self._price(s), s))
        before = self.census.counted(subject)
        return UpstreamOrder(
            subject=subject,
            before=before,
            count=before - 1,
            wanted=min(self.state.wanted, total - 1),
            reason=SPARE,
        )
