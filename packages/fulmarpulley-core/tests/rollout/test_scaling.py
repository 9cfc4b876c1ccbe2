"""Test the scaling decision with 22 engines of 8 slots in six data centres."""

import unittest
from itertools import pairwise

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.rollout.scaling import ScalingDecision, ScalingView
from fulmarpulley_core.rollout.scaling_load import (
    OpenStep,
    PoolLoad,
    forecast_shortage,
)
from fulmarpulley_core.rollout.scaling_orders import (
    OrderOutcome,
    Subject,
    UpstreamOrder,
)
from fulmarpulley_core.rollout.scaling_presence import Presence, SeenUpstream
from fulmarpulley_core.rollout.scaling_records import ScalingHistory, to_record
from fulmarpulley_core.rollout.scaling_state import ScalingState
from fulmarpulley_core.rollout.topology import ScalingLimits

SERVICE = ServiceName("s")
ZONES = [DataCentre(name) for name in ("a1", "a2", "b1", "b2", "c1", "c2")]
# c2 is the cheapest data centre.
PRICES = {name: 2.0 - 0.2 * index for index, name in enumerate(ZONES)}
INTERVAL_S, DUE_S, PACE_S, SLOTS, LOOK_S = 4.0, 7.5, 0.05, 8, 0.5
REGULAR = [Subject(name, False) for name in ZONES]
# The reclaimed data centre has four spot engines, each other one three regular ones.
SPOT = Subject(ZONES[1], True)


class Play:
    """Plays looks at a service whose steps are served as a fluid, oldest first."""

    def __init__(
        self,
        step_tokens: float = 0.0,
        maximum: int = 8,
        inherited: ScalingState | None = None,
        start_s: float = 0.0,
        minimum: int = 1,
    ) -> None:
        limits = ScalingLimits(
            minimum=minimum, maximum=maximum, boot_s=4.0, prices=PRICES
        )
        self.now = start_s
        self.decision = ScalingDecision(limits, start_s, inherited)
        self.engines: dict[UpstreamId, SeenUpstream] = {}
        self.steps: list[OpenStep] = []
        self.step_tokens = step_tokens
        self.arrived = 0
        self.outcome: OrderOutcome | dict[DataCentre, OrderOutcome] = (
            OrderOutcome.PLACED
        )
        self.orders: list[tuple[float, UpstreamOrder]] = []
        # New engines and when they serve.
        self.booting: list[tuple[float, Subject, int]] = []
        self.removed: list[UpstreamId] = []
        self.disturbed = False
        for subject in REGULAR:
            if subject.data_centre != SPOT.data_centre:
                self.add(subject, 3)
        self.add(REGULAR[1], 3)
        self.add(SPOT, 4)

    def add(self, subject: Subject, count: int) -> None:
        for _ in range(count):
            name = UpstreamId(f"e{len(self.engines)}-{self.now}")
            self.engines[name] = SeenUpstream(name, subject, Presence.SERVING)

    def ids(self, subject: Subject) -> list[UpstreamId]:
        return [k for k, e in self.engines.items() if e.subject == subject]

    def mark(self, subject: Subject, presence: Presence) -> None:
        for name in self.ids(subject):
            self.engines[name] = SeenUpstream(name, subject, presence)

    def unlist(self, subject: Subject) -> list[SeenUpstream]:
        return [self.engines.pop(name) for name in self.ids(subject)]

    def serving(self) -> int:
        return sum(e.presence is Presence.SERVING for e in self.engines.values())

    def run(self, seconds: float) -> list[UpstreamOrder]:
        """Plays some seconds and returns the orders in them."""
        before = len(self.orders)
        end = self.now + seconds
        while self.now < end:
            self.look()
        return [order for _, order in self.orders[before:]]

    def look(self) -> None:
        self.now += LOOK_S
        for ready_s, subject, count in list(self.booting):
            if ready_s <= self.now:
                self.booting.remove((ready_s, subject, count))
                self.add(subject, count)
                for name in [k for k in self.removed if count < 0]:
                    self.removed.remove(name)
                    del self.engines[name]
        self._serve()
        for _ in range(8):
            order = self.decision.decide(self.view())
            if order is None:
                return
            self.orders.append((self.now, order))
            outcome = self.outcome
            if isinstance(outcome, dict):
                name = order.subject.data_centre
                outcome = outcome.get(name, OrderOutcome.PLACED)
            if outcome is OrderOutcome.PLACED:
                self._apply(order)
            self.decision.record_outcome(order, outcome, self.now)

    def _apply(self, order: UpstreamOrder) -> None:
        new = order.count - order.before
        self.booting.append((self.now + 4.0, order.subject, new))
        for name in self.ids(order.subject)[new:] if new < 0 else ():
            self.engines[name] = SeenUpstream(name, order.subject, Presence.LEAVING)
            self.removed.append(name)

    def _serve(self) -> None:
        if self.step_tokens and self.now % INTERVAL_S == 0:
            for _ in range(4):
                self.arrived += 1
                step = OpenStep(self.now + DUE_S, self.step_tokens, 72)
                self.steps.append(step)
        room = self.serving() * SLOTS / PACE_S * LOOK_S
        while self.steps and room > 0:
            step = self.steps.pop(0)
            if step.tokens > room:
                left = step.tokens - room
                items = max(1, round(72 * left / self.step_tokens))
                self.steps.insert(0, OpenStep(step.due_s, left, items))
            room -= step.tokens

    def view(self) -> ScalingView:
        items, slots = sum(s.items for s in self.steps), self.serving() * SLOTS
        load = PoolLoad(
            steps=tuple(self.steps),
            waiting=max(0, items - slots),
            slots=slots,
            slots_taken=min(items, slots),
            seconds_per_token=PACE_S,
            arrived_steps=self.arrived,
            arrived_tokens=self.arrived * self.step_tokens,
        )
        return ScalingView(
            now_s=self.now,
            upstreams=tuple(self.engines.values()),
            load=load,
            disturbed=self.disturbed,
        )


def added(orders: list[UpstreamOrder]) -> int:
    return sum(order.count - order.before for order in orders)


# 22 engines generate 14,080 tokens in a step interval. With this load they are busy for
# nine tenths of the time, and all slots are full for seconds after each submission.
BUSY = 3200.0


class BurstTest(unittest.TestCase):
    def test_bursts_that_end_in_time_change_nothing(self) -> None:
        # Guards against flapping with the idle and full moments of each interval.
        play = Play(BUSY)
        self.assertEqual(play.run(120.0), [])

    def test_nothing_is_removed_without_a_measured_load(self) -> None:
        # Guards against a reduction in a pause of the trainers.
        self.assertEqual(Play(0.0).run(120.0), [])

    def test_spare_engines_are_removed_slowly_and_spot_first(self) -> None:
        play = Play(BUSY / 4)
        self.assertEqual(play.run(24.0), [])
        orders = play.run(300.0)
        self.assertEqual([o.subject for o in orders[:3]], [SPOT] * 3)
        self.assertEqual([o.count for o in orders[:3]], [3, 2, 1])
        self.assertEqual({o.reason for o in orders}, {"spare"})
        times = [at for at, _ in play.orders]
        self.assertTrue(all(b - a >= 20 for a, b in pairwise(times)))

    def test_disturbed_measurement_removes_nothing(self) -> None:
        # Guards against a reduction after an outage that kept steps away.
        play = Play(BUSY / 4)
        for _ in range(8):
            play.run(14.0)
            play.disturbed = True
            play.run(1.0)
            play.disturbed = False
        self.assertEqual(play.orders, [])

    def test_capacity_for_the_loss_of_a_data_centre_is_kept(self) -> None:
        # The mean load needs 18 engines, and a reclaim leaves 18 of 22.
        self.assertEqual(Play(BUSY * 0.62).run(120.0), [])


class ForecastTest(unittest.TestCase):
    def late_s(self, step: OpenStep, waiting: int, taken: int) -> float | None:
        load = PoolLoad(
            steps=(step,),
            waiting=waiting,
            slots=10,
            slots_taken=taken,
            seconds_per_token=0.1,
        )
        forecast = forecast_shortage(load, 0.0, 4.0)
        return None if forecast is None else forecast.late_s

    def test_step_is_late_only_if_slots_are_short_and_help_would_come(self) -> None:
        self.assertEqual(self.late_s(OpenStep(7.5, 800.0, 60), 50, 10), 0.5)
        # Guards against orders that serve when the step has ended.
        self.assertIsNone(self.late_s(OpenStep(2.0, 390.0, 60), 50, 10))
        # Guards against orders for items that wait for weights or for their turn.
        self.assertIsNone(self.late_s(OpenStep(7.5, 800.0, 60), 50, 8))
        self.assertIsNone(self.late_s(OpenStep(7.5, 800.0, 10), 0, 10))


class ShortageTest(unittest.TestCase):
    def test_long_shortage_adds_until_steps_end_in_time(self) -> None:
        play = Play(BUSY * 2)
        self.assertEqual(play.run(4.5), [])
        orders = play.run(60.0)
        self.assertTrue(orders)
        self.assertEqual({order.reason for order in orders}, {"shortage"})
        # The load needs 40 engines; more would be paid for nothing.
        self.assertGreater(play.serving(), 36)
        self.assertLess(play.serving(), 52)
        # Each addition takes effect before the next one is decided.
        times = sorted({at for at, _ in play.orders})
        self.assertTrue(all(b - a >= 8 for a, b in pairwise(times)))

    def test_nothing_is_ordered_above_the_maximum(self) -> None:
        play = Play(BUSY * 4, maximum=4)
        play.run(90.0)
        for name in ZONES:
            subjects = (Subject(name, False), Subject(name, True))
            total = sum(len(play.ids(subject)) for subject in subjects)
            self.assertLessEqual(total, 7 if name == SPOT.data_centre else 4)
        self.assertTrue(play.decision.at_maximum)
        self.assertNotIn(SPOT.data_centre, {o.subject[0] for _, o in play.orders})

    def test_short_peak_is_not_answered_when_it_is_over_before_an_engine_serves(
        self,
    ) -> None:
        play = Play(BUSY)
        play.run(10.0)
        play.steps.append(OpenStep(play.now + 0.5, 3000.0, 400))
        self.assertEqual(play.run(20.0), [])


class LossTest(unittest.TestCase):
    def test_reclaimed_data_centre_is_replaced_at_once(self) -> None:
        play = Play(BUSY)
        play.run(10.0)
        play.mark(SPOT, Presence.LEAVING)
        orders = play.run(LOOK_S)
        self.assertEqual([o.subject for o in orders], [REGULAR[1]])
        self.assertEqual([(o.before, o.count) for o in orders], [(3, 7)])
        play.run(4.5)
        play.unlist(SPOT)
        self.assertEqual(play.run(60.0), [])
        self.assertEqual(play.serving(), 22)

    def test_unavailable_upstreams_are_ordered_in_cheapest_data_centre(self) -> None:
        play = Play(BUSY)
        play.outcome = {SPOT.data_centre: OrderOutcome.UNAVAILABLE}
        play.run(10.0)
        play.mark(SPOT, Presence.LEAVING)
        orders = play.run(LOOK_S)
        self.assertEqual([o.subject for o in orders], [REGULAR[1], REGULAR[5]])
        self.assertEqual(orders[1].count, 7)
        play.unlist(SPOT)
        self.assertEqual(play.run(20.0), [])

    def test_refused_subjects_are_asked_with_growing_pauses(self) -> None:
        # Guards against calls that use up the limit of duty calls.
        play = Play(BUSY)
        play.outcome = OrderOutcome.UNAVAILABLE
        play.run(10.0)
        play.mark(SPOT, Presence.LEAVING)
        play.run(60.0)
        asked = [at for at, o in play.orders if o.subject == REGULAR[1]]
        pauses = [b - a for a, b in pairwise(asked)]
        self.assertEqual(pauses[:5], [1.0, 2.0, 4.0, 8.0, 16.0])
        self.assertLess(len(play.orders), 8 * 12)

    def test_returned_capacity_is_not_added_to(self) -> None:
        play = Play(BUSY)
        play.run(10.0)
        for _ in range(3):
            play.mark(SPOT, Presence.LEAVING)
            play.run(5.0)
            play.unlist(SPOT)
            play.run(20.0)
            play.add(SPOT, 4)
            play.run(20.0)
        # Only the first loss is replaced; its replacement serves during the others.
        self.assertEqual(added([o for _, o in play.orders if o.count > o.before]), 4)

    def test_restart_within_a_second_orders_nothing(self) -> None:
        play = Play(BUSY)
        play.run(10.0)
        gone = play.unlist(REGULAR[0])
        play.run(1.0)
        play.engines.update({engine.upstream_id: engine for engine in gone})
        self.assertEqual(play.run(20.0), [])

    def test_crash_is_replaced_after_the_time_of_a_restart(self) -> None:
        play = Play(BUSY)
        play.run(10.0)
        play.unlist(REGULAR[0])
        self.assertEqual(play.run(2.0), [])
        orders = play.run(10.0)
        self.assertEqual([(o.subject, o.count) for o in orders], [(REGULAR[0], 3)])

    def test_restart_under_another_name_orders_nothing(self) -> None:
        # Guards against a wanted number that counts an upstream twice.
        play = Play(BUSY)
        play.run(10.0)
        former = play.ids(REGULAR[0])
        play.add(REGULAR[0], 3)
        play.run(5.0)
        for name in former:
            del play.engines[name]
        self.assertEqual(play.run(20.0), [])

    def test_unreachable_data_centre_is_not_replaced(self) -> None:
        # Guards against orders for engines that live behind an impaired link.
        play = Play(BUSY / 2)
        play.run(10.0)
        play.mark(REGULAR[0], Presence.UNREACHABLE)
        self.assertEqual(play.run(20.0), [])

    def test_order_that_brings_nothing_is_repeated_elsewhere(self) -> None:
        play = Play(BUSY)
        play.run(10.0)
        play.mark(SPOT, Presence.LEAVING)
        play.run(LOOK_S)
        play.booting.clear()
        orders = play.run(12.0)
        self.assertEqual([o.subject for o in orders], [REGULAR[5]])

    def test_order_stays_within_the_minimum(self) -> None:
        play = Play(BUSY, minimum=5)
        play.run(10.0)
        play.unlist(REGULAR[0])
        self.assertEqual([o.count for o in play.run(5.0)], [5])


class HolderTest(unittest.TestCase):
    def take_over(self, play: Play, confirmed: bool) -> Play:
        """Returns a play whose holder takes over while an order is in flight."""
        play.run(10.0)
        play.mark(SPOT, Presence.LEAVING)
        play.now += LOOK_S
        order = play.decision.decide(play.view())
        assert order is not None
        intended: UpstreamOrder | None = order
        if confirmed:
            play.decision.record_outcome(order, OrderOutcome.PLACED, play.now)
            intended = None
        record = to_record(play.decision.state, SERVICE, "t", play.now, intended)
        history = ScalingHistory()
        history.apply(record, play.now)
        taken = Play(BUSY, inherited=history.state(SERVICE), start_s=play.now)
        taken.engines = play.engines
        taken.booting = [(play.now + 4.0, order.subject, order.count - order.before)]
        return taken

    def test_new_holder_does_not_repeat_a_confirmed_order(self) -> None:
        play = self.take_over(Play(BUSY), confirmed=True)
        self.assertEqual(play.run(4.5), [])
        play.unlist(SPOT)
        self.assertEqual(play.run(30.0), [])

    def test_new_holder_repeats_the_same_number_of_an_open_order(self) -> None:
        # Guards against a different number, which a late first call could undo.
        play = self.take_over(Play(BUSY), confirmed=False)
        booting = list(play.booting)
        orders = play.run(LOOK_S)
        play.booting = booting
        self.assertEqual([(o.subject, o.count) for o in orders], [(REGULAR[1], 7)])
        play.unlist(SPOT)
        self.assertEqual(play.run(30.0), [])

    def test_new_holder_without_a_record_replaces_what_leaves(self) -> None:
        play = Play(BUSY)
        play.mark(SPOT, Presence.LEAVING)
        self.assertEqual(added(play.run(LOOK_S)), 4)
        self.assertEqual(play.run(30.0), [])

    def test_order_without_response_is_repeated_until_confirmed(self) -> None:
        play = Play(BUSY)
        play.run(10.0)
        play.outcome = OrderOutcome.UNKNOWN
        play.mark(SPOT, Presence.LEAVING)
        play.run(1.0)
        play.outcome = OrderOutcome.PLACED
        play.run(1.0)
        targets = {(o.subject, o.count) for _, o in play.orders}
        self.assertEqual(targets, {(REGULAR[1], 7)})
        count = len(play.orders)
        self.assertGreater(count, 1)
