import gc
import sys
from types import FrameType
from typing import Any
from unittest import TestCase

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarpulley_core.bitmaps import (
    bitmap_of,
    encode_bitmap,
    slots_of,
)
from fulmarpulley_core.handover import decode_open_step, plan_handover
from fulmarpulley_core.ids import (
    NodeId,
    Region,
    ServiceName,
    StepNumber,
    TrainerId,
    Version,
    WorkId,
)
from fulmarpulley_core.step_actions import (
    GenerateSample,
    SamplesReady,
    StepAction,
    WithdrawSample,
)
from fulmarpulley_core.steps import SAMPLE_RETRY_S, SlotState
from fulmarpulley_core.trainer_steps import STEP_IDLE_S, TrainerSteps
from fulmarpulley_schema.generated.http import (
    PromptGroup,
    Sample,
    SampleBatch,
    Span,
    StepOpen,
    StepTake,
)

STEP = StepNumber(1)
GROUPS = 3
PER_GROUP = 4
SLOTS = GROUPS * PER_GROUP
BOUND = 2
DELIVERY_CASES = ["delivered", "delivered", "lost", "stale"]
picks = st.integers(0, 1 << 16)


class Peer(msgspec.Struct, frozen=True):
    node_id: NodeId
    region: Region = Region("")


def new_trainer_steps(home_id: str = "h1") -> TrainerSteps:
    return TrainerSteps(ServiceName("tutor"), TrainerId("t"), home_id)


def open_body(held: int = 0, version: int = 0, groups: int = GROUPS) -> StepOpen:
    prompts = [PromptGroup(prompt=f"p{group}") for group in range(groups)]
    return StepOpen(
        groups=prompts,
        samples_per_group=PER_GROUP,
        version=version,
        held=encode_bitmap(held),
    )


def take_body(held: int = 0, version: int = 0, limit: int = 256) -> StepTake:
    return StepTake(version=version, held=encode_bitmap(held), max_samples=limit)


def sample(slot: int, *versions: int, text: str = "") -> Sample:
    spans = [Span(version=version, tokens=1) for version in versions]
    return Sample(slot=slot, text=text, count=len(spans), spans=spans)


def slots_by_work(actions: list[StepAction]) -> dict[WorkId, int]:
    return {a.work_id: a.slot for a in actions if isinstance(a, GenerateSample)}


class ReferenceStep:
    """Keeps one entry per slot and scans all of them for each query."""

    def __init__(self) -> None:
        self.ready: dict[int, tuple[int, int, str]] = {}
        self.arrivals = 0

    def keep(self, given: Sample, version: int, held: set[int]) -> None:
        oldest = min(span.version for span in given.spans)
        known = self.ready.get(given.slot)
        newer = known is None or oldest > known[0]
        if given.slot not in held and version - oldest <= BOUND and newer:
            self.arrivals += 1
            self.ready[given.slot] = (oldest, self.arrivals, given.text)

    def take(self, held: set[int], version: int, limit: int) -> list[tuple[int, str]]:
        self.drop_held_and_stale(held, version)
        order = sorted(self.ready.items(), key=lambda item: item[1])
        return [(slot, text) for slot, (_, _, text) in order[:limit]]

    def drop_held_and_stale(self, held: set[int], version: int) -> None:
        for slot, (oldest, _, _) in list(self.ready.items()):
            if slot in held or version - oldest > BOUND:
                del self.ready[slot]


class StepMachine(RuleBasedStateMachine):
    """Guards against lost, duplicate and stale samples."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.version = 0
        self.homes = 1
        self.trainer_steps = new_trainer_steps()
        self.reference = ReferenceStep()
        self.trainer: dict[int, str] = {}
        self.known_held: set[int] = set()
        self.work: dict[WorkId, int] = {}
        self.old_work: dict[WorkId, int] = {}
        self.texts = 0
        self.open()

    def apply(self, actions: list[StepAction]) -> None:
        self.work |= slots_by_work(actions)
        for action in actions:
            if isinstance(action, WithdrawSample):
                self.old_work[action.work_id] = self.work.pop(action.work_id)

    def held_report(self) -> int:
        self.known_held = set(self.trainer)
        return bitmap_of(self.trainer)

    @rule()
    def open(self) -> None:
        body = open_body(self.held_report(), self.version)
        self.apply(self.trainer_steps.open(STEP, body, BOUND, self.now))
        self.reference.drop_held_and_stale(self.known_held, self.version)
        self.check_every_slot_is_covered()

    @rule(limit=st.integers(1, SLOTS), case=st.sampled_from(DELIVERY_CASES))
    def take(self, limit: int, case: str) -> None:
        held = self.held_report()
        if case == "stale":
            # A report that was delayed on the network contains fewer slots.
            held &= 0b101010101010
            self.known_held = set(slots_of(held))
        body = take_body(held, self.version, limit)
        taken = self.trainer_steps.take(STEP, body, self.now)
        if taken is None:
            self.open()
            return
        self.apply(taken.actions)
        expected = self.reference.take(self.known_held, self.version, limit)
        found = [(given.slot, given.text) for given in taken.batch.samples]
        assert found == expected
        known = len(self.known_held) + len(found)
        assert taken.batch.missing == SLOTS - known
        self.check_every_slot_is_covered()
        if case == "delivered":
            self.deliver(taken.batch)

    def deliver(self, batch: SampleBatch) -> None:
        for given in batch.samples:
            assert given.slot not in self.trainer, "delivered twice"
            oldest = min(span.version for span in given.spans)
            assert self.version - oldest <= BOUND, "delivered beyond the bound"
            self.trainer[given.slot] = given.text

    @precondition(lambda self: self.work)
    @rule(pick=picks, age=st.integers(0, BOUND + 1), spans=st.integers(1, 2))
    def finish_some_work(self, pick: int, age: int, spans: int) -> None:
        for turn in range(min(len(self.work), pick % 8 + 1)):
            self.finish_work(pick // 8 + turn, age, spans)

    def finish_work(self, pick: int, age: int, spans: int) -> None:
        work_id, slot = list(self.work.items())[pick % len(self.work)]
        self.old_work[work_id] = self.work.pop(work_id)
        oldest = max(0, self.version - age)
        self.texts += 1
        versions = [oldest, self.version][:spans]
        given = sample(slot, *versions, text=f"x{self.texts}")
        self.apply(self.trainer_steps.sample_ready(STEP, work_id, given, self.now))
        self.reference.keep(given, self.version, self.known_held)

    @precondition(lambda self: self.old_work)
    @rule(pick=picks, failed=st.booleans())
    def old_work_ends_again(self, pick: int, failed: bool) -> None:
        work_id, slot = list(self.old_work.items())[pick % len(self.old_work)]
        if failed:
            assert not self.trainer_steps.work_failed(STEP, slot, work_id, self.now)
        given = sample(slot, self.version, text="old")
        assert not self.trainer_steps.sample_ready(STEP, work_id, given, self.now)

    @precondition(lambda self: self.work)
    @rule(pick=picks)
    def fail_work(self, pick: int) -> None:
        work_id, slot = list(self.work.items())[pick % len(self.work)]
        del self.work[work_id]
        self.apply(self.trainer_steps.work_failed(STEP, slot, work_id, self.now))

    @rule()
    def announce(self) -> None:
        self.version += 1
        actions = self.trainer_steps.version_announced(Version(self.version), self.now)
        self.apply(actions)
        self.reference.drop_held_and_stale(self.known_held, self.version)

    @rule(seconds=st.sampled_from([0.5, 2.0, 60.0]))
    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.apply(self.trainer_steps.tick(self.now))
        wakeup = self.trainer_steps.next_wakeup()
        assert wakeup is None or wakeup > self.now

    @rule()
    def home_crashes(self) -> None:
        self.new_home()

    @rule()
    def home_leaves(self) -> None:
        peers = [Peer(NodeId("h1")), Peer(NodeId("h2"))]
        handovers = plan_handover(NodeId("h1"), peers, [self.trainer_steps])
        kept = self.reference.ready
        self.new_home()
        for handover in handovers:
            assert handover.target == "h2"
            open_step = decode_open_step(handover.message)
            self.apply(self.trainer_steps.restore(open_step, self.now))
        self.reference.ready = kept if handovers else {}

    def new_home(self) -> None:
        self.homes += 1
        self.trainer_steps = new_trainer_steps(f"h{self.homes}")
        self.old_work |= self.work
        self.work = {}
        self.reference.ready = {}

    @precondition(lambda self: self.trainer)
    @rule(pick=picks)
    def trainer_restarts(self, pick: int) -> None:
        kept = {slot for slot in self.trainer if pick >> slot % 16 & 1}
        self.trainer = {slot: self.trainer[slot] for slot in kept}
        self.open()

    def check_every_slot_is_covered(self) -> None:
        step = self.trainer_steps.steps[STEP]
        assert not self.known_held & set(self.work.values())
        for slot in range(SLOTS):
            state = step.state_of(slot)
            assert (state is SlotState.HELD) == (slot in self.known_held)
            assert (state is SlotState.READY) == (slot in self.reference.ready)
            assert state is not SlotState.DROPPED

    @invariant()
    def work_matches_the_withdrawals(self) -> None:
        step = self.trainer_steps.steps.get(STEP)
        if step is not None:
            assert {a.work_id for a in step.withdrawals()} == set(self.work)

    def teardown(self) -> None:
        # Once all faults are over, the trainer gets every slot.
        for _ in range(SLOTS + 2):
            self.now += SAMPLE_RETRY_S
            self.open()
            self.apply(self.trainer_steps.tick(self.now))
            for _ in range(len(self.work)):
                self.finish_work(0, 0, 1)
            self.take(SLOTS, "delivered")
        assert set(self.trainer) == set(range(SLOTS))


StepMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
StepMachineTest = StepMachine.TestCase


class TrainerStepsTest(TestCase):
    def steps_with_samples(
        self, version: int = 0, groups: int = GROUPS
    ) -> TrainerSteps:
        trainer_steps = new_trainer_steps()
        actions = trainer_steps.open(STEP, open_body(groups=groups), BOUND, 0.0)
        for work_id, slot in slots_by_work(actions).items():
            trainer_steps.sample_ready(STEP, work_id, sample(slot, version), 10.0)
        return trainer_steps

    def test_take_of_an_unknown_step_returns_none(self) -> None:
        """Guards against an empty answer that makes a trainer wait for ever."""
        self.assertIsNone(new_trainer_steps().take(STEP, take_body(), 0.0))

    def test_sample_without_versions_is_tried_again(self) -> None:
        """Guards against a sample of unknown versions."""
        trainer_steps = new_trainer_steps()
        work_id, slot = next(
            iter(slots_by_work(trainer_steps.open(STEP, open_body(), 2, 0.0)).items())
        )
        trainer_steps.sample_ready(STEP, work_id, sample(slot), 0.0)
        self.assertEqual(
            list(slots_by_work(trainer_steps.tick(SAMPLE_RETRY_S)).values()), [slot]
        )

    def test_expired_samples_are_generated_at_once(self) -> None:
        """Guards against a slot that stays empty until the next take."""
        trainer_steps = self.steps_with_samples()
        actions = trainer_steps.version_announced(Version(BOUND + 1), 20.0)
        self.assertEqual(sorted(slots_by_work(actions).values()), list(range(SLOTS)))

    def test_expired_sample_that_was_handed_over_waits_for_the_trainer(self) -> None:
        """Guards against work for samples that the trainer already holds."""
        trainer_steps = self.steps_with_samples()
        trainer_steps.take(STEP, take_body(), 11.0)
        self.assertEqual(trainer_steps.version_announced(Version(BOUND + 1), 20.0), [])
        taken = trainer_steps.take(STEP, take_body(0b11, BOUND + 1), 21.0)
        assert taken is not None
        self.assertEqual(len(slots_by_work(taken.actions)), SLOTS - 2)

    def test_samples_close_to_expiry_are_replaced_in_time(self) -> None:
        """Guards against a trainer that waits because all samples expired at once."""
        trainer_steps = self.steps_with_samples()
        trainer_steps.version_announced(Version(1), 100.0)
        trainer_steps.version_announced(Version(2), 200.0)
        # The next version is expected at 300 s, and a sample takes 10 s.
        self.assertEqual(trainer_steps.next_wakeup(), 290.0)
        self.assertEqual(trainer_steps.tick(289.0), [])
        actions = trainer_steps.tick(290.0)
        self.assertEqual(len(slots_by_work(actions)), SLOTS)
        self.assertEqual({a.min_version for a in actions}, {1})
        for work_id, slot in slots_by_work(actions).items():
            trainer_steps.sample_ready(STEP, work_id, sample(slot, 2), 299.0)
        self.assertEqual(trainer_steps.version_announced(Version(3), 300.0), [])
        taken = trainer_steps.take(STEP, take_body(0, 3), 300.0)
        assert taken is not None
        self.assertEqual(len(taken.batch.samples), SLOTS)

    def test_replacement_without_newer_version_is_dropped(self) -> None:
        """Guards against a sample that changes between two takes without need."""
        trainer_steps = self.steps_with_samples()
        trainer_steps.version_announced(Version(1), 100.0)
        trainer_steps.version_announced(Version(2), 200.0)
        for work_id, slot in slots_by_work(trainer_steps.tick(290.0)).items():
            again = sample(slot, 0, text="again")
            self.assertEqual(
                trainer_steps.sample_ready(STEP, work_id, again, 299.0), []
            )
        taken = trainer_steps.take(STEP, take_body(0, 2), 299.0)
        assert taken is not None
        self.assertEqual({given.text for given in taken.batch.samples}, {""})

    def test_open_with_other_content_starts_again(self) -> None:
        """Guards against samples of other prompts after a trainer restart."""
        trainer_steps = new_trainer_steps()
        before = slots_by_work(trainer_steps.open(STEP, open_body(), BOUND, 0.0))
        actions = trainer_steps.open(STEP, open_body(groups=GROUPS + 1), BOUND, 1.0)
        withdrawn = {a.work_id for a in actions if isinstance(a, WithdrawSample)}
        self.assertEqual(withdrawn, set(before))
        self.assertFalse(set(slots_by_work(actions)) & set(before))

    def test_smaller_bound_drops_the_samples_beyond_it(self) -> None:
        """Guards against samples older than a bound that an operator lowered."""
        trainer_steps = self.steps_with_samples()
        trainer_steps.version_announced(Version(1), 11.0)
        actions = trainer_steps.open(STEP, open_body(version=1), 0, 12.0)
        self.assertEqual(len(slots_by_work(actions)), SLOTS)

    def test_close_withdraws_the_work(self) -> None:
        """Guards against accelerators that are kept busy by a closed step."""
        trainer_steps = new_trainer_steps()
        trainer_steps.open(STEP, open_body(), BOUND, 0.0)
        self.assertEqual(len(trainer_steps.close(STEP)), SLOTS)
        self.assertEqual(trainer_steps.next_wakeup(), None)

    def test_idle_step_is_dropped(self) -> None:
        """Guards against memory held for a trainer that never returns."""
        trainer_steps = new_trainer_steps()
        trainer_steps.open(STEP, open_body(), BOUND, 0.0)
        self.assertEqual(len(trainer_steps.tick(STEP_IDLE_S)), SLOTS)
        self.assertEqual(trainer_steps.steps, {})

    def test_ready_sample_wakes_a_take(self) -> None:
        """Guards against a long poll that keeps waiting although a sample is ready."""
        trainer_steps = new_trainer_steps()
        work_id, slot = next(
            iter(slots_by_work(trainer_steps.open(STEP, open_body(), 2, 0.0)).items())
        )
        actions = trainer_steps.sample_ready(STEP, work_id, sample(slot, 0), 1.0)
        self.assertEqual(actions, [SamplesReady(STEP)])

    def test_events_of_single_slots_cost_the_same_in_a_large_step(self) -> None:
        """Guards against a scan of all slots per event, measured by lines executed."""
        small, large = self.lines_executed(16), self.lines_executed(4096)
        self.assertEqual(small, large)

    def lines_executed(self, groups: int) -> int:
        trainer_steps = new_trainer_steps()
        actions = trainer_steps.open(STEP, open_body(groups=groups), BOUND, 0.0)
        found = list(slots_by_work(actions).items())
        count = 0

        def trace(frame: FrameType, event: str, argument: Any) -> Any:
            nonlocal count
            count += event == "line"
            return trace

        # Hypothesis runs nine lines of its own at each garbage collection.
        gc.disable()
        before = sys.gettrace()
        sys.settrace(trace)
        try:
            for work_id, slot in found[:8]:
                trainer_steps.sample_ready(STEP, work_id, sample(slot, 0), 1.0)
            trainer_steps.work_failed(STEP, found[8][1], found[8][0], 1.0)
            trainer_steps.take(STEP, take_body(0b11, 0, 4), 2.0)
            for version in range(1, BOUND + 1):
                trainer_steps.version_announced(Version(version), 2.0 * version)
            trainer_steps.tick(9.0)
            trainer_steps.version_announced(Version(BOUND + 1), 10.0)
        finally:
            sys.settrace(before)
            gc.enable()
        return count
