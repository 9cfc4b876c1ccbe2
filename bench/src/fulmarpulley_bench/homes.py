"""Hold the open steps of trainers, for each contender."""

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
from fulmarpulley_core.step_book import TrainerSteps
from fulmarpulley_schema.generated.http import (
    PromptGroup,
    Sample,
    Span,
    StepOpen,
    StepTake,
)

from .deployments import TrainingPlan
from .service import Service

TAKE_LIMIT = 4096
# The naive step home submits a refused sample again after this pause.
RESUBMIT_S = 1.0


class TrainerKey(msgspec.Struct, frozen=True):
    """Name a trainer, its model and its bound."""

    trainer: TrainerId
    model: ModelName
    bound: int


class StepHome(Protocol):
    """Serve the calls of one trainer and own the work of its steps."""

    wake: Callable[[], None]

    def open(self, step: int, version: int) -> None:
        """Open a step."""

    def take(self, step: int, version: int, held: set[int]) -> list[Sample]:
        """Return finished samples that the trainer doesn't hold."""

    def close(self, step: int) -> None:
        """Forget a step."""

    def announced(self, version: int) -> None:
        """Note a new version of the trainer."""

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Take a complete sample."""

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Take a refusal."""


class Samples:
    """Build and submit the work of the slots of one trainer."""

    def __init__(
        self, service: Service, key: TrainerKey, plan: TrainingPlan, seed: int
    ) -> None:
        self.service = service
        self.key = key
        self.plan = plan
        self.seed = seed
        self.slots: dict[WorkId, int] = {}
        self.generations: dict[str, int] = {}

    def length(self, step: int, slot: int, generation: int = 0) -> int:
        """Return the length of the sample of a slot in tokens."""
        group = f"{self.key.trainer}/{step}/{slot // self.plan.samples}"
        name = f"{self.key.trainer}/{step}/{slot}/{generation}"
        return self.plan.shape.draw(self.seed, name, group)

    def submit(self, work_id: WorkId, step: int, slot: int, least: int) -> None:
        """Submit the next sample of a slot."""
        place = f"{step}/{slot}"
        generation = self.generations.get(place, 0)
        self.generations[place] = generation + 1
        self.slots[work_id] = slot
        group = slot // self.plan.samples
        work = Work(
            work_id=work_id,
            tenant=TenantId(self.key.trainer),
            kind=WorkKind.SAMPLE,
            model=self.key.model,
            max_tokens=self.plan.max_tokens,
            prompt_tokens=self.plan.prompt_tokens,
            min_version=Version(least),
            staleness_bound=self.key.bound,
            prefix=PrefixId(f"{self.key.trainer}/{step}/{group}"),
            step=StepNumber(step),
            group=group,
        )
        self.service.submit(work, self.length(step, slot, generation))


class BookHome:
    """Keep steps in the step book of `core`."""

    def __init__(self, samples: Samples) -> None:
        self.samples = samples
        self.clock = samples.service.clock
        self.wake: Callable[[], None] = lambda: None
        key = samples.key
        service = ServiceName(samples.service.name)
        self.book = TrainerSteps(service, key.trainer, "n1")
        self._wakeup: float | None = None

    def open(self, step: int, version: int) -> None:
        """Open a step."""
        plan = self.samples.plan
        groups = [PromptGroup(prompt=str(number)) for number in range(plan.groups)]
        body = StepOpen(
            groups=groups,
            samples_per_group=plan.samples,
            version=version,
            max_tokens=plan.max_tokens,
        )
        bound = self.samples.key.bound
        now = self.clock.now
        self._act(self.book.open(StepNumber(step), body, bound, now))

    def take(self, step: int, version: int, held: set[int]) -> list[Sample]:
        """Return finished samples that the trainer doesn't hold."""
        text = encode_bitmap(bitmap_of(held))
        body = StepTake(version=version, held=text, max_samples=TAKE_LIMIT)
        taken = self.book.take(StepNumber(step), body, self.clock.now)
        if taken is None:
            return []
        self._act(taken.actions)
        return taken.batch.samples

    def close(self, step: int) -> None:
        """Forget a step."""
        self._act(self.book.close(StepNumber(step)))

    def announced(self, version: int) -> None:
        """Note a new version of the trainer."""
        self._act(self.book.version_announced(Version(version), self.clock.now))

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Take a complete sample."""
        slot = self.samples.slots.pop(work.work_id)
        sample = Sample(slot=slot, text="", count=tokens, spans=spans)
        now = self.clock.now
        self._act(self.book.sample_ready(work.step, work.work_id, sample, now))

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Take a refusal."""
        slot = self.samples.slots.pop(work.work_id)
        actions = self.book.work_failed(
            work.step, slot, work.work_id, self.clock.now, refusal.retry_after
        )
        self._act(actions)

    def _act(self, actions: list[StepAction]) -> None:
        for action in actions:
            match action:
                case GenerateSample():
                    self.samples.submit(
                        action.work_id, action.step, action.slot, action.min_version
                    )
                case WithdrawSample():
                    self.samples.slots.pop(action.work_id, None)
                    self.samples.service.withdraw(action.work_id)
                case SamplesReady():
                    self.wake()
        self._plan()

    def _plan(self) -> None:
        due = self.book.next_wakeup()
        if due is not None and due != self._wakeup:
            self._wakeup = due
            self.clock.at(due, lambda: self._tick(due))

    def _tick(self, due: float) -> None:
        if due == self._wakeup:
            self._wakeup = None
            self._act(self.book.tick(self.clock.now))


class NaiveHome:
    """Keep finished samples until they are held, whatever their version."""

    def __init__(self, samples: Samples) -> None:
        self.samples = samples
        self.clock = samples.service.clock
        self.wake: Callable[[], None] = lambda: None
        self.ready: dict[int, dict[int, Sample]] = {}
        self.handed: dict[int, set[int]] = {}
        self.submitted = 0

    def open(self, step: int, version: int) -> None:
        """Open a step."""
        self.ready[step] = {}
        self.handed[step] = set()
        for slot in range(self.samples.plan.groups * self.samples.plan.samples):
            self._submit(step, slot, version)

    def take(self, step: int, version: int, held: set[int]) -> list[Sample]:
        """Return finished samples, and generate again what was discarded."""
        ready = self.ready[step]
        handed = self.handed[step]
        for slot in sorted(handed - held):
            self._submit(step, slot, version)
        self.handed[step] = set(ready)
        samples = list(ready.values())
        ready.clear()
        return samples

    def close(self, step: int) -> None:
        """Forget a step."""
        del self.ready[step], self.handed[step]

    def announced(self, version: int) -> None:
        """Do nothing: staleness is checked at start only."""

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Take a complete sample."""
        slot = self.samples.slots.pop(work.work_id)
        sample = Sample(slot=slot, text="", count=tokens, spans=spans)
        self.ready[work.step][slot] = sample
        self.wake()

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Submit the sample again after a pause."""
        slot = self.samples.slots.pop(work.work_id)
        step, least = work.step, work.min_version
        self.clock.after(RESUBMIT_S, lambda: self._submit(step, slot, least))

    def _submit(self, step: int, slot: int, version: int) -> None:
        self.submitted += 1
        work_id = WorkId(f"{self.samples.key.trainer}/{step}/{slot}/{self.submitted}")
        least = max(0, version - self.samples.key.bound)
        self.samples.submit(work_id, step, slot, least)
