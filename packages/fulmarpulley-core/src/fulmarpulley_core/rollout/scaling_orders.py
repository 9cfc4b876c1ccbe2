"""Remember orders of upstreams that are in flight, and subjects to leave alone."""

import math
from collections.abc import Collection, Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ..ids import DataCentre, UpstreamId

# A new upstream that does not serve after this multiple of its start time, and this
# time more, is not expected any longer. It is listed some time after it has started.
OVERDUE_FACTOR = 2.0
OVERDUE_MARGIN_S = 2.0
# A data centre without upstreams is asked again after 1, 2, 4, 8 and 16 s. Reclaimed
# capacity is away for tens of seconds.
SUBJECT_PAUSE_S = 1.0
MAX_SUBJECT_PAUSE_S = 16.0
# A call that was not executed says nothing about the data centre. Nodes share 50 duty
# calls a second.
CALL_PAUSE_S = 0.25
MAX_CALL_PAUSE_S = 4.0
MAX_REPEATED_CALLS = 3
# A call without a response may still be executed within this time.
LATE_EXECUTION_S = 5.0


class Subject(NamedTuple):
    """Name what an order is for: the upstreams of one kind in a data centre."""

    data_centre: DataCentre
    spot: bool


class OrderOutcome(StrEnum):
    """Name what became of an order; only an UNKNOWN one may have been executed."""

    PLACED = "placed"
    UNAVAILABLE = "unavailable"
    NOT_EXECUTED = "not_executed"
    UNKNOWN = "unknown"


class UpstreamOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an order and its reason.

    :param before: upstreams of the subject that are listed or expected
    :param count: upstreams that the subject is to have
    :param wanted: upstreams that the service is to have once the order is placed
    :param late_s: by how much a step is forecast to be late; 0 without a shortage
    """

    subject: Subject
    before: int
    count: int
    wanted: int
    reason: str
    late_s: float = 0.0


class PlacedOrder(msgspec.Struct, kw_only=True):
    """Hold an order in flight.

    :param expected: number of new upstreams that the order is to start
    :param confirmed: whether the platform has acknowledged the order
    :param known: upstreams of the subject that were listed before
    """

    count: int
    expected: int
    placed_s: float
    confirmed: bool
    known: frozenset[UpstreamId]
    arrived: set[UpstreamId] = msgspec.field(default_factory=set)

    def pending(self) -> int:
        """Return the number of new upstreams that do not serve yet."""
        return max(0, self.expected - len(self.arrived))


class Pause(msgspec.Struct):
    """Hold until when something is not tried, and for how often it has failed."""

    until_s: float = -math.inf
    failures: int = 0

    def extend(self, now_s: float, shortest_s: float, longest_s: float) -> None:
        """Pause twice as long as the last time."""
        self.until_s = now_s + min(longest_s, shortest_s * 2.0 ** min(self.failures, 8))
        self.failures += 1


class OrderBook:
    """Hold the orders in flight and the pauses of one service."""

    def __init__(self, boot_s: float) -> None:
        self.boot_s = boot_s
        self.placed: dict[Subject, PlacedOrder] = {}
        self.subject_pauses: dict[Subject, Pause] = {}
        self.call_pause = Pause()
        # Until when a call without a response may still change the subject.
        self.uncertain_until_s: dict[Subject, float] = {}

    def update(
        self, serving: Mapping[Subject, Collection[UpstreamId]], now_s: float
    ) -> list[Subject]:
        """Record the upstreams that serve; return subjects whose orders are overdue."""
        overdue = []
        for subject, order in list(self.placed.items()):
            found = frozenset(serving.get(subject, ()))
            order.arrived |= found - order.known
            due_s = order.placed_s + self.boot_s * OVERDUE_FACTOR + OVERDUE_MARGIN_S
            if order.pending() == 0:
                del self.placed[subject]
                self.subject_pauses.pop(subject, None)
            elif now_s >= due_s:
                del self.placed[subject]
                self._pause_subject(subject, now_s)
                overdue.append(subject)
        return overdue

    def pending(self, subject: Subject) -> int:
        """Return the number of upstreams of a subject that are expected."""
        order = self.placed.get(subject)
        return 0 if order is None else order.pending()

    def pending_total(self) -> int:
        """Return the number of upstreams that are expected."""
        return sum(order.pending() for order in self.placed.values())

    def may_call(self, now_s: float) -> bool:
        """Return whether calls are not paused."""
        return now_s >= self.call_pause.until_s

    def may_order(self, subject: Subject, now_s: float) -> bool:
        """Return whether the number of a subject may be changed now."""
        paused = self.subject_pauses.get(subject)
        placed = self.placed.get(subject)
        return (
            (paused is None or now_s >= paused.until_s)
            and (placed is None or placed.confirmed)
            and now_s >= self.uncertain_until_s.get(subject, -math.inf)
        )

    def unconfirmed(self) -> tuple[Subject, PlacedOrder] | None:
        """Return an order that has to be repeated because no response came."""
        found = ((s, o) for s, o in self.placed.items() if not o.confirmed)
        return next(found, None)

    def drop(self, subject: Subject) -> None:
        """Expect no more of an order."""
        self.placed.pop(subject, None)

    def record(
        self,
        order: UpstreamOrder,
        known: Collection[UpstreamId],
        outcome: OrderOutcome,
        now_s: float,
    ) -> None:
        """Record the outcome of an order.

        :param known: upstreams of the subject that were listed at the order
        """
        match outcome:
            case OrderOutcome.PLACED | OrderOutcome.UNKNOWN:
                self._place(order, known, outcome is OrderOutcome.PLACED, now_s)
            case OrderOutcome.UNAVAILABLE:
                self.drop(order.subject)
                self._pause_subject(order.subject, now_s)
            case OrderOutcome.NOT_EXECUTED:
                # The order itself may be refused for a reason that is not known here.
                if self.call_pause.failures >= MAX_REPEATED_CALLS:
                    self.drop(order.subject)
                    self._pause_subject(order.subject, now_s)
        if outcome in (OrderOutcome.PLACED, OrderOutcome.UNAVAILABLE):
            self.call_pause = Pause()
        else:
            self.call_pause.extend(now_s, CALL_PAUSE_S, MAX_CALL_PAUSE_S)

    def _place(
        self,
        order: UpstreamOrder,
        known: Collection[UpstreamId],
        confirmed: bool,
        now_s: float,
    ) -> None:
        subject = order.subject
        if not confirmed:
            self.uncertain_until_s[subject] = now_s + LATE_EXECUTION_S
        placed = self.placed.get(subject)
        if placed is not None and placed.count == order.count:
            placed.confirmed = placed.confirmed or confirmed
            return
        new = order.count - order.before
        if new > 0:
            self.placed[subject] = PlacedOrder(
                count=order.count,
                expected=new + self.pending(subject),
                placed_s=now_s,
                confirmed=confirmed,
                known=frozenset(known),
            )

    def _pause_subject(self, subject: Subject, now_s: float) -> None:
        pause = self.subject_pauses.setdefault(subject, Pause())
        pause.extend(now_s, SUBJECT_PAUSE_S, MAX_SUBJECT_PAUSE_S)
