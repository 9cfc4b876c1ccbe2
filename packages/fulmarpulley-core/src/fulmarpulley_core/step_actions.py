"""Define the actions that the home of a step requests from its node."""

import msgspec

from fulmarpulley_schema.generated.http import SampleBatch

from .ids import StepNumber, Version, WorkId


class GenerateSample(msgspec.Struct, frozen=True):
    """Submit a work item for one slot, for versions from `min_version` on."""

    work_id: WorkId
    step: StepNumber
    slot: int
    min_version: Version


class WithdrawSample(msgspec.Struct, frozen=True):
    """Withdraw a work item whose sample is no longer needed."""

    work_id: WorkId


class SamplesReady(msgspec.Struct, frozen=True):
    """Wake the takes that wait for samples of the step."""

    step: StepNumber


StepAction = GenerateSample | WithdrawSample | SamplesReady


class TakeResult(msgspec.Struct, frozen=True):
    """Hold the samples handed over and the resulting actions."""

    batch: SampleBatch
    actions: list[StepAction]
