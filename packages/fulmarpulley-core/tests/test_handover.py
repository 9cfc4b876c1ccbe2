from unittest import TestCase

import msgspec

from fulmarpulley_core.handover import decode_open_step, plan_handover
from fulmarpulley_core.ids import (
    NodeId,
    Region,
    ServiceName,
    StepNumber,
    TrainerId,
    Version,
)
from fulmarpulley_core.placement import home_of
from fulmarpulley_core.step_actions import GenerateSample, WithdrawSample
from fulmarpulley_core.trainer_steps import TrainerSteps
from fulmarpulley_schema.generated.http import (
    PromptGroup,
    Sample,
    Span,
    StepOpen,
    StepTake,
)

MESSAGE_BYTES = 8 * 1024 * 1024


class Peer(msgspec.Struct, frozen=True):
    node_id: NodeId
    region: Region = Region("")


PEERS = [Peer(NodeId(f"n{index}")) for index in range(5)]


def steps_with_samples(trainer: str, text: str = "") -> TrainerSteps:
    trainer_steps = TrainerSteps(ServiceName("tutor"), TrainerId(trainer), "h")
    groups = [PromptGroup(prompt=f"p{group}") for group in range(3)]
    body = StepOpen(groups=groups, samples_per_group=4, version=1, held="AQ==")
    for action in trainer_steps.open(StepNumber(5), body, 2, 0.0):
        if isinstance(action, GenerateSample):
            spans = [Span(version=1, tokens=1)]
            made = Sample(slot=action.slot, text=text, count=1, spans=spans)
            trainer_steps.sample_ready(StepNumber(5), action.work_id, made, 1.0)
    return trainer_steps


class HandoverTest(TestCase):
    def test_steps_go_to_the_next_home(self) -> None:
        """Guards against samples sent to a node that trainers do not contact."""
        steps_by_trainer = [steps_with_samples(f"t{number}") for number in range(8)]
        handovers = plan_handover(NodeId("n2"), PEERS, steps_by_trainer)
        others = [peer for peer in PEERS if peer.node_id != "n2"]
        for handover in handovers:
            key = f"tutor/{handover.message.trainer}"
            self.assertEqual(handover.target, home_of(key, others))
        self.assertEqual(len(handovers), 8)

    def test_next_home_holds_the_same_step(self) -> None:
        """Guards against slots that the next home generates twice or never."""
        before = steps_with_samples("t")
        before.take(StepNumber(5), StepTake(version=1, held="Aw=="), 2.0)
        (handover,) = plan_handover(NodeId("n2"), PEERS, [before])
        after = TrainerSteps(ServiceName("tutor"), TrainerId("t"), "h2")
        after.restore(decode_open_step(handover.message), 9.0)
        step = after.steps[StepNumber(5)]
        self.assertEqual((step.held, step.ready_count), (3, 10))
        self.assertEqual((step.bound, step.version), (2, 1))
        self.assertEqual(step.withdrawals(), [])

    def test_step_already_opened_by_the_trainer_gets_the_samples(self) -> None:
        """Guards against samples generated twice if the trainer is faster."""
        (handover,) = plan_handover(NodeId("n2"), PEERS, [steps_with_samples("t")])
        open_step = decode_open_step(handover.message)
        after = TrainerSteps(ServiceName("tutor"), TrainerId("t"), "h2")
        opened = after.open(StepNumber(5), open_step.body, 2, 8.0)
        actions = after.restore(open_step, 9.0)
        withdrawn = [a.work_id for a in actions if isinstance(a, WithdrawSample)]
        started = [a.work_id for a in opened if isinstance(a, GenerateSample)]
        self.assertEqual(sorted(withdrawn), sorted(started))
        self.assertEqual(after.steps[StepNumber(5)].ready_count, 11)

    def test_restored_step_starts_no_work_before_the_trainer_reports(self) -> None:
        """Guards against work for a step that the trainer has closed."""
        (handover,) = plan_handover(NodeId("n2"), PEERS, [steps_with_samples("t")])
        open_step = decode_open_step(handover.message)
        after = TrainerSteps(ServiceName("tutor"), TrainerId("t"), "h2")
        after.restore(open_step, 9.0)
        step = after.steps[StepNumber(5)]
        self.assertEqual(step.withdrawals(), [])
        self.assertEqual(after.version_announced(Version(9), 10.0), [])
        take = StepTake(version=9, held="AQ==")
        taken = after.take(StepNumber(5), take, 11.0)
        assert taken is not None
        self.assertEqual(len(taken.actions), 11)

    def test_messages_stay_below_the_limit(self) -> None:
        """Guards against a message that peers refuse, which loses the samples."""
        trainer_steps = steps_with_samples("t", "z" * 1_000_000)
        handovers = plan_handover(NodeId("n2"), PEERS, [trainer_steps])
        sizes = [len(msgspec.msgpack.encode(p.message)) for p in handovers]
        self.assertLess(max(sizes), MESSAGE_BYTES)
        self.assertEqual(sum(len(p.message.samples) for p in handovers), 11)

    def test_last_node_hands_over_nothing(self) -> None:
        """Guards against a shutdown that fails if there are no peers."""
        last = [Peer(NodeId("n2"))]
        self.assertEqual(
            plan_handover(NodeId("n2"), last, [steps_with_samples("t")]), []
        )
