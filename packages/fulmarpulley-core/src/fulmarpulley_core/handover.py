"""Plan the handover of a leaving node: what it sends, and to which peer.

Finished samples go to the next home of their step. Claims need no handover, because
the next home replays them from the log and the leaving node finishes its requests.
"""

from collections.abc import Iterable

import msgspec

from fulmarpulley_schema.generated.http import Sample, StepOpen
from fulmarpulley_schema.generated.peer import Handover

from .ids import NodeId, Region, ServiceName, StepNumber, TrainerId
from .placement import NodeLocation, home_of
from .trainer_steps import OpenStep, TrainerSteps

# Half of the message limit of 8 MiB; the other half is left for the prompts.
MAX_SAMPLES_BYTES = 4 * 1024 * 1024
# Estimated size of a sample without its text and spans, and of a span.
SAMPLE_OVERHEAD_BYTES = 128
SPAN_BYTES = 32


class HandoverMessage(msgspec.Struct, frozen=True):
    """Address a handover message to the next home."""

    target: NodeId
    message: Handover


def step_key(service: ServiceName, trainer: TrainerId) -> str:
    """Return the placement key of a trainer's steps."""
    return f"{service}/{trainer}"


def plan_handover(
    leaving_node: NodeId,
    candidates: Iterable[NodeLocation],
    steps_by_trainer: Iterable[TrainerSteps],
    region: Region | None = None,
) -> list[HandoverMessage]:
    """Return the messages to send; empty if no other node is alive."""
    others = [node for node in candidates if node.node_id != leaving_node]
    messages: list[HandoverMessage] = []
    for trainer_steps in steps_by_trainer:
        target = home_of(
            step_key(trainer_steps.service, trainer_steps.trainer), others, region
        )
        if target is not None:
            for step in trainer_steps.open_steps():
                messages += _step_messages(target, trainer_steps, step)
    return messages


def decode_open_step(message: Handover) -> OpenStep:
    """Decode the step in a handover; raise ValidationError if it is malformed."""
    return OpenStep(
        number=StepNumber(message.step),
        body=msgspec.convert(message.open, StepOpen),
        bound=message.bound,
        samples=msgspec.convert(message.samples, list[Sample]),
    )


def _step_messages(
    target: NodeId, trainer_steps: TrainerSteps, step: OpenStep
) -> list[HandoverMessage]:
    body = msgspec.to_builtins(step.body)
    return [
        HandoverMessage(
            target,
            Handover(
                service=trainer_steps.service,
                trainer=trainer_steps.trainer,
                step=step.number,
                bound=step.bound,
                open=body,
                samples=msgspec.to_builtins(samples),
            ),
        )
        for samples in _chunks(step.samples)
    ]


def _chunks(samples: list[Sample]) -> list[list[Sample]]:
    chunks: list[list[Sample]] = [[]]
    free_bytes = MAX_SAMPLES_BYTES
    for sample in samples:
        size = (
            SAMPLE_OVERHEAD_BYTES
            + SPAN_BYTES * len(sample.spans)
            + len(sample.text.encode())
        )
        if size > free_bytes and chunks[-1]:
            chunks.append([])
            free_bytes = MAX_SAMPLES_BYTES
        chunks[-1].append(sample)
        free_bytes -= size
    return chunks
