"""Define what the home of a step asks its node to do."""

import msgspec

from fulmarpulley_schema.generated.http import SampleBatch

from .ids import StepNumber, Version, WorkId


class GenerateSample(msgspec.Struct, frozen=True):
    """Submit a work item for one slot, with no version below `min_version`."""

    work_id: WorkId
    step: StepNumber
    slot: int
    min_version: Version


class WithdrawSample(msgspec.Struct, frozen=True):
    """Withdraw a work item whose sample is not needed any more."""

    work_id: WorkId


class SamplesReady(msgspec.Struct, frozen=True):
    """Wake a take that waits on the step."""

    step: StepNumber


StepAction = GenerateSample | WithdrawSample | SamplesReady


class TakeResult(msgspec.Struct, frozen=True):
    """Hold the samples handed over and the actions that follow."""

    batch: SampleBatch
    actions: list[StepAction]
