"""Simulate a trainer that works through its steps."""

import msgspec

from fulmarpulley_core.ids import Version
from fulmarpulley_schema.generated.http import Sample

from .deployments import TrainingPlan
from .service import Service
from .step_homes import StepHome, TrainerSpec

# A long poll collects samples for this long before it answers.
POLL_GATHER_S = 0.05


class StepRecord(msgspec.Struct, kw_only=True):
    """Hold what a trainer observed for a step; times are virtual seconds."""

    step: int
    needed_at: float
    completed_at: float = 0.0
    staleness: list[int] = []
    past_bound: int = 0
    duplicates: int = 0


class Trainer:
    """Take the samples of each step, train on them and publish a version."""

    def __init__(
        self, service: Service, spec: TrainerSpec, plan: TrainingPlan, home: StepHome
    ) -> None:
        self.service = service
        self.clock = service.clock
        self.spec = spec
        self.plan = plan
        self.home = home
        self.version = 0
        self.slots = plan.groups * plan.samples_per_group
        self.records: list[StepRecord] = []
        self.held: set[int] = set()
        self.last_opened = 0
        self.waiting = False
        self.polling = False
        home.notify_trainer = self._schedule_take

    @property
    def done(self) -> bool:
        """Return whether all steps are complete."""
        return len(self.records) == self.plan.steps and not self.waiting

    def start(self) -> None:
        """Start the first step."""
        self._start_step(1)

    def _start_step(self, step: int) -> None:
        self._open_steps_through(step)
        self.records.append(StepRecord(step=step, needed_at=self.clock.now))
        self.held = set()
        self.waiting = True
        self._schedule_take()

    def _open_steps_through(self, step: int) -> None:
        while self.last_opened < min(step, self.plan.steps):
            self.last_opened += 1
            self.home.open(self.last_opened, self.version)

    def _schedule_take(self) -> None:
        if self.waiting and not self.polling:
            self.polling = True
            self.clock.after(POLL_GATHER_S, self._take)

    def _take(self) -> None:
        self.polling = False
        record = self.records[-1]
        samples = self.home.take(record.step, self.version, self.held)
        for sample in samples:
            self._receive(record, sample)
        if len(self.held) == self.slots:
            self._complete_step(record)
        elif samples:
            self._schedule_take()

    def _receive(self, record: StepRecord, sample: Sample) -> None:
        staleness = self.version - min(span.version for span in sample.spans)
        if staleness > self.spec.staleness_bound:
            record.past_bound += 1
        elif sample.slot in self.held:
            record.duplicates += 1
        else:
            self.held.add(sample.slot)
            record.staleness.append(staleness)
            self.service.useful_tokens += sample.count

    def _complete_step(self, record: StepRecord) -> None:
        record.completed_at = self.clock.now
        self.waiting = False
        self.home.close(record.step)
        if record.step < self.plan.steps:
            self._open_steps_through(record.step + self.plan.lookahead)
            self.clock.after(self.plan.train_s, lambda: self._publish(record.step + 1))

    def _publish(self, step: int) -> None:
        self.version += 1
        self.service.announce(self.spec.model, Version(self.version))
        self.home.version_announced(self.version)
        self._start_step(step)
