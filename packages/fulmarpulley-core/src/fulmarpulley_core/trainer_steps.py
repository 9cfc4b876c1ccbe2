"""Keep the open steps of one trainer and the timing of its versions."""

import msgspec

from fulmarpulley_schema.generated.http import Sample, StepOpen, StepTake

from .bitmaps import decode_bitmap
from .ids import ServiceName, StepNumber, TrainerId, Version, WorkId
from .step_actions import StepAction, TakeResult
from .steps import Step

# A step is dropped when its trainer has sent nothing for this time; the trainer can
# open it again. Longer than the 23 minutes in which all samples of a step complete.
STEP_IDLE_S = 3600.0
# Weight of the newest value in the moving averages of intervals and durations.
AVERAGE_WEIGHT = 0.2


class OpenStep(msgspec.Struct, frozen=True):
    """Hold a step and its finished samples for the handover to the next home."""

    number: StepNumber
    body: StepOpen
    bound: int
    samples: list[Sample]


class VersionTiming:
    """Estimate the time of the next version and the duration of a sample in seconds."""

    def __init__(self) -> None:
        self.announced_at: float | None = None
        self.version_interval: float | None = None
        self.sample_duration: float | None = None

    def record_version(self, now: float) -> None:
        """Record the time of a new version."""
        if self.announced_at is not None:
            self.version_interval = _average(
                self.version_interval, now - self.announced_at
            )
        self.announced_at = now

    def record_sample_duration(self, seconds: float) -> None:
        """Record the duration of one sample."""
        self.sample_duration = _average(self.sample_duration, seconds)

    def replace_at(self) -> float | None:
        """Return when replacements must start to be ready before the next version.

        None means that too few versions were announced to tell.
        """
        if self.announced_at is None or self.version_interval is None:
            return None
        return max(
            self.announced_at,
            self.announced_at + self.version_interval - (self.sample_duration or 0),
        )


class TrainerSteps:
    """Keep the open steps of a trainer; `home_id` differs between starts of a node."""

    def __init__(self, service: ServiceName, trainer: TrainerId, home_id: str) -> None:
        self.service = service
        self.trainer = trainer
        self.home_id = home_id
        self.version = Version(0)
        self.steps: dict[StepNumber, Step] = {}
        self.timing = VersionTiming()
        self._bodies: dict[StepNumber, StepOpen] = {}
        self._last_contact: dict[StepNumber, float] = {}
        self._replaced_version = Version(-1)
        self._opened = 0

    def open(
        self, number: StepNumber, body: StepOpen, bound: int, now: float
    ) -> list[StepAction]:
        """Open a step or refresh an open one; raise BitmapError if `held` is invalid.

        An open with other content replaces the step. `bound` is the staleness bound of
        the body or, if it has none, of the service document.
        """
        slots = len(body.groups) * body.samples_per_group
        held = decode_bitmap(body.held, slots)
        actions = self.version_announced(Version(body.version), now)
        step = self.steps.get(number)
        if step is not None and not step.same_content(body):
            actions += step.withdraw_all()
            step = None
        if step is None:
            step = self._new_step(number, body, bound)
        self._last_contact[number] = now
        return actions + step.set_bound(bound, now) + step.set_held(held, now)

    def take(self, number: StepNumber, body: StepTake, now: float) -> TakeResult | None:
        """Hand over samples; return None if the step is unknown."""
        step = self.steps.get(number)
        if step is None:
            return None
        held = decode_bitmap(body.held, step.slots)
        self._last_contact[number] = now
        actions = self.version_announced(Version(body.version), now)
        taken = step.take(held, body.max_samples, now)
        return TakeResult(taken.batch, actions + taken.actions)

    def close(self, number: StepNumber) -> list[StepAction]:
        """Drop a step and withdraw its work."""
        step = self.steps.pop(number, None)
        self._bodies.pop(number, None)
        self._last_contact.pop(number, None)
        return step.withdraw_all() if step is not None else []

    def sample_ready(
        self, number: StepNumber, work_id: WorkId, sample: Sample, now: float
    ) -> list[StepAction]:
        """Add a finished, scored sample to its step."""
        step = self.steps.get(number)
        if step is None:
            return []
        started_at = step.started_at(sample.slot, work_id)
        if started_at is not None:
            self.timing.record_sample_duration(now - started_at)
        return step.sample_ready(work_id, sample, now)

    def work_failed(
        self,
        number: StepNumber,
        slot: int,
        work_id: WorkId,
        now: float,
        retry_after: float | None = None,
    ) -> list[StepAction]:
        """Record that a work item ended without a sample."""
        step = self.steps.get(number)
        return step.work_failed(slot, work_id, now, retry_after) if step else []

    def version_announced(self, version: Version, now: float) -> list[StepAction]:
        """Set the trainer's current version; an older one has no effect."""
        if version <= self.version:
            return []
        self.version = version
        self.timing.record_version(now)
        actions: list[StepAction] = []
        for step in self.steps.values():
            actions += step.set_version(version, now)
        return actions

    def restore(self, open_step: OpenStep, now: float) -> list[StepAction]:
        """Restore a step and its samples from a leaving home."""
        actions = self.version_announced(Version(open_step.body.version), now)
        step = self.steps.get(open_step.number)
        if step is None:
            step = self._new_step(open_step.number, open_step.body, open_step.bound)
            step.assume_held(decode_bitmap(open_step.body.held, step.slots))
            self._last_contact[open_step.number] = now
        if step.same_content(open_step.body):
            actions += step.restore(open_step.samples)
        return actions

    def open_steps(self) -> list[OpenStep]:
        """List the steps, with their samples, that a leaving home hands over."""
        found = []
        for number, step in self.steps.items():
            body = msgspec.structs.replace(
                self._bodies[number], held=step.held_text(), version=step.version
            )
            found.append(OpenStep(number, body, step.bound, step.samples()))
        return found

    def tick(self, now: float) -> list[StepAction]:
        """Retry failed work, replace expiring samples and drop idle steps."""
        actions: list[StepAction] = []
        idle = [
            n
            for n, last_contact in self._last_contact.items()
            if now - last_contact >= STEP_IDLE_S
        ]
        for number in idle:
            actions += self.close(number)
        for step in self.steps.values():
            actions += step.retry(now)
        replace_at = self._replace_at()
        if replace_at is not None and now >= replace_at:
            self._replaced_version = self.version
            for step in self.steps.values():
                actions += step.replace_expiring(now)
        return actions

    def next_wakeup(self) -> float | None:
        """Return when `tick` is due next, or None if nothing is pending."""
        times = [
            last_contact + STEP_IDLE_S for last_contact in self._last_contact.values()
        ]
        times += [t for s in self.steps.values() if (t := s.next_retry()) is not None]
        replace_at = self._replace_at()
        if replace_at is not None:
            times.append(replace_at)
        return min(times, default=None)

    def _replace_at(self) -> float | None:
        if self._replaced_version == self.version:
            return None
        if not any(step.has_expiring() for step in self.steps.values()):
            return None
        return self.timing.replace_at()

    def _new_step(self, number: StepNumber, body: StepOpen, bound: int) -> Step:
        self._opened += 1
        step_path = f"{self.service}/{self.trainer}/{number}"
        step = Step(number, body, bound, f"{step_path}/{self.home_id}-{self._opened}")
        step.version = max(step.version, self.version)
        self.steps[number] = step
        self._bodies[number] = body
        return step


def _average(known: float | None, value: float) -> float:
    return value if known is None else known + AVERAGE_WEIGHT * (value - known)
