"""Implement the step homes of the contenders."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from fulmarpulley_core.bitmaps import bitmap_of, encode_bitmap
from fulmarpulley_core.ids import (
    ModelName,
    PrefixId,
    ServiceName,
    StepNumber,
    TenantId,
    TrainerId,
    Version,
    WorkId,
)
from fulmarpulley_core.pool.messages import Refuse, Work, WorkKind
from fulmarpulley_core.step_actions import (
    GenerateSample,
    SamplesReady,
    StepAction,
    WithdrawSample,
)
from fulmarpulley_core.trainer_steps import TrainerSteps
from fulmarpulley_schema.generated.http import (
    PromptGroup,
    Sample,
    Span,
    StepOpen,
    StepTake,
)

from .deployments import TrainingPlan
from .service import Service

MAX_SAMPLES_PER_TAKE = 4096
# Delay before the naive step home submits a refused sample again.
RESUBMIT_DELAY_S = 1.0


class TrainerSpec(msgspec.Struct, frozen=True):
    """Describe a trainer: its id, model and staleness bound."""

    trainer_id: TrainerId
    model: ModelName
    staleness_bound: int


class StepHome(Protocol):
    """Serve the calls of one trainer and manage the work of its steps."""

    notify_trainer: Callable[[], None]

    def open(self, step: int, version: int) -> None:
        """Open a step."""

    def take(self, step: int, version: int, held: set[int]) -> list[Sample]:
        """Return finished samples that the trainer doesn't hold yet."""

    def close(self, step: int) -> None:
        """Drop the state of a step."""

    def version_announced(self, version: int) -> None:
        """Handle a version that the trainer has published."""

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Handle a complete sample."""

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Handle a refusal."""


class SampleSubmitter:
    """Build and submit the work of the slots of one trainer."""

    def __init__(
        self, service: Service, spec: TrainerSpec, plan: TrainingPlan, seed: int
    ) -> None:
        self.service = service
        self.spec = spec
        self.plan = plan
        self.seed = seed
        self.slot_by_work: dict[WorkId, int] = {}
        self.generations: dict[str, int] = {}

    def length(self, step: int, slot: int, generation: int = 0) -> int:
        """Return the length in tokens of a sample of a slot."""
        group = f"{self.spec.trainer_id}/{step}/{slot // self.plan.samples_per_group}"
        name = f"{self.spec.trainer_id}/{step}/{slot}/{generation}"
        return self.plan.sample_lengths.draw(self.seed, name, group)

    def submit(self, work_id: WorkId, step: int, slot: int, min_version: int) -> None:
        """Submit the next sample of a slot."""
        slot_key = f"{step}/{slot}"
        generation = self.generations.get(slot_key, 0)
        self.generations[slot_key] = generation + 1
        self.slot_by_work[work_id] = slot
        group = slot // self.plan.samples_per_group
        work = Work(
            work_id=work_id,
            tenant=TenantId(self.spec.trainer_id),
            kind=WorkKind.SAMPLE,
            model=self.spec.model,
            max_tokens=self.plan.max_tokens,
            prompt_tokens=self.plan.prompt_tokens,
            min_version=Version(min_version),
            staleness_bound=self.spec.staleness_bound,
            prefix=PrefixId(f"{self.spec.trainer_id}/{step}/{group}"),
            step=StepNumber(step),
            group=group,
        )
        self.service.submit(work, self.length(step, slot, generation))


class TrainerStepsHome:
    """Keep steps with `TrainerSteps` of the core."""

    def __init__(self, submitter: SampleSubmitter) -> None:
        self.submitter = submitter
        self.clock = submitter.service.clock
        self.notify_trainer: Callable[[], None] = lambda: None
        spec = submitter.spec
        service = ServiceName(submitter.service.name)
        self.trainer_steps = TrainerSteps(service, spec.trainer_id, "n1")
        self._wakeup: float | None = None

    def open(self, step: int, version: int) -> None:
        """Open a step."""
        plan = self.submitter.plan
        groups = [PromptGroup(prompt=str(number)) for number in range(plan.groups)]
        body = StepOpen(
            groups=groups,
            samples_per_group=plan.samples_per_group,
            version=version,
            max_tokens=plan.max_tokens,
        )
        staleness_bound = self.submitter.spec.staleness_bound
        now = self.clock.now
        self._run_actions(
            self.trainer_steps.open(StepNumber(step), body, staleness_bound, now)
        )

    def take(self, step: int, version: int, held: set[int]) -> list[Sample]:
        """Return finished samples that the trainer doesn't hold yet."""
        text = encode_bitmap(bitmap_of(held))
        body = StepTake(version=version, held=text, max_samples=MAX_SAMPLES_PER_TAKE)
        result = self.trainer_steps.take(StepNumber(step), body, self.clock.now)
        if result is None:
            return []
        self._run_actions(result.actions)
        return result.batch.samples

    def close(self, step: int) -> None:
        """Drop the state of a step."""
        self._run_actions(self.trainer_steps.close(StepNumber(step)))

    def version_announced(self, version: int) -> None:
        """Handle a version that the trainer has published."""
        self._run_actions(
            self.trainer_steps.version_announced(Version(version), self.clock.now)
        )

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Handle a complete sample."""
        slot = self.submitter.slot_by_work.pop(work.work_id)
        sample = Sample(slot=slot, text="", count=tokens, spans=spans)
        now = self.clock.now
        self._run_actions(
            self.trainer_steps.sample_ready(work.step, work.work_id, sample, now)
        )

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Handle a refusal."""
        slot = self.submitter.slot_by_work.pop(work.work_id)
        actions = self.trainer_steps.work_failed(
            work.step, slot, work.work_id, self.clock.now, refusal.retry_after
        )
        self._run_actions(actions)

    def _run_actions(self, actions: list[StepAction]) -> None:
        for action in actions:
            match action:
                case GenerateSample():
                    self.submitter.submit(
                        action.work_id, action.step, action.slot, action.min_version
                    )
                case WithdrawSample():
                    self.submitter.slot_by_work.pop(action.work_id, None)
                    self.submitter.service.withdraw(action.work_id)
                case SamplesReady():
                    self.notify_trainer()
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        due = self.trainer_steps.next_wakeup()
        if due is not None and due != self._wakeup:
            self._wakeup = due
            self.clock.at(due, lambda: self._tick(due))

    def _tick(self, due: float) -> None:
        if due == self._wakeup:
            self._wakeup = None
            self._run_actions(self.trainer_steps.tick(self.clock.now))


class NaiveHome:
    """Keep finished samples until a take returns them, whatever their version."""

    def __init__(self, submitter: SampleSubmitter) -> None:
        self.submitter = submitter
        self.clock = submitter.service.clock
        self.notify_trainer: Callable[[], None] = lambda: None
        self.ready: dict[int, dict[int, Sample]] = {}
        self.last_taken: dict[int, set[int]] = {}
        self.submitted = 0

    def open(self, step: int, version: int) -> None:
        """Open a step."""
        self.ready[step] = {}
        self.last_taken[step] = set()
        for slot in range(
            self.submitter.plan.groups * self.submitter.plan.samples_per_group
        ):
            self._submit(step, slot, version)

    def take(self, step: int, version: int, held: set[int]) -> list[Sample]:
        """Return finished samples, and resubmit those that the trainer discarded."""
        ready = self.ready[step]
        last_taken = self.last_taken[step]
        for slot in sorted(last_taken - held):
            self._submit(step, slot, version)
        self.last_taken[step] = set(ready)
        samples = list(ready.values())
        ready.clear()
        return samples

    def close(self, step: int) -> None:
        """Drop the state of a step."""
        del self.ready[step], self.last_taken[step]

    def version_announced(self, version: int) -> None:
        """Do nothing: staleness is checked only when a sample starts."""

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Handle a complete sample."""
        slot = self.submitter.slot_by_work.pop(work.work_id)
        sample = Sample(slot=slot, text="", count=tokens, spans=spans)
        self.ready[work.step][slot] = sample
        self.notify_trainer()

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Submit the sample again after a delay."""
        slot = self.submitter.slot_by_work.pop(work.work_id)
        step, min_version = work.step, work.min_version
        self.clock.after(
            RESUBMIT_DELAY_S, lambda: self._submit(step, slot, min_version)
        )

    def _submit(self, step: int, slot: int, version: int) -> None:
        self.submitted += 1
        work_id = WorkId(
            f"{self.submitter.spec.trainer_id}/{step}/{slot}/{self.submitted}"
        )
        min_version = max(0, version - self.submitter.spec.staleness_bound)
        self.submitter.submit(work_id, step, slot, min_version)
