"""Run the open steps of one trainer."""

import asyncio
from typing import Protocol

from fulmarpulley_core.ids import ServiceName, StepNumber, TrainerId, Version, WorkId
from fulmarpulley_core.step_actions import (
    GenerateSample,
    SamplesReady,
    StepAction,
    TakeResult,
    WithdrawSample,
)
from fulmarpulley_core.steps import oldest_version
from fulmarpulley_core.trainer_steps import OpenStep, TrainerSteps
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import (
    Sample,
    SampleBatch,
    StepOpen,
    StepTake,
)
from fulmarpulley_schema.generated.peer import WorkSubmit

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from ..observe.metrics import Metrics
from ..progress import Progress, wait_event
from ..work_client import WorkClient
from .prompts import default_prefix_id, prompt_tokens
from .scorer import Scorer

TICK_S = 0.5
# The step home needs partial tokens only to resume after the loss of a pool home, so
# each reply collects the tokens of this time; a loss costs at most these tokens.
SAMPLE_LINGER_S = 2.0


class StepContext(Protocol):
    """Define what a step home needs from its node."""

    metrics: Metrics
    work_client: WorkClient
    scorer: Scorer

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force."""

    def shard(self, service: str, prefix: str) -> int:
        """Return the pool shard of a prompt prefix."""


class StepHome:
    """Manage the steps of a trainer and the work that generates its samples."""

    def __init__(
        self, service: str, trainer: str, home_id: str, node: StepContext
    ) -> None:
        self.service = service
        self.trainer = trainer
        self.node = node
        self.trainer_steps = TrainerSteps(
            ServiceName(service), TrainerId(trainer), home_id
        )
        self.sample_tasks: dict[WorkId, asyncio.Task[None]] = {}
        self.samples_ready = asyncio.Event()
        self.tasks = BackgroundTasks()
        self.tasks.supervise(self._tick)

    async def stop(self) -> None:
        """Cancel all sample tasks."""
        await self.tasks.stop()

    def open(self, step: int, body: StepOpen) -> SampleBatch:
        """Open a step, or update an open one with the slots the trainer holds."""
        bound = self._staleness_bound(body)
        actions = self.trainer_steps.open(StepNumber(step), body, bound, self._now())
        self._run_actions(actions)
        opened = self.trainer_steps.steps[StepNumber(step)]
        missing = opened.slots - opened.held.bit_count()
        log_event(
            "step_opened",
            service=self.service,
            trainer=self.trainer,
            step=step,
            slots=opened.slots,
            missing=missing,
        )
        return SampleBatch(samples=[], missing=missing)

    async def take(self, step: int, body: StepTake, wait_s: float) -> TakeResult | None:
        """Return finished samples, waiting up to `wait_s` seconds for the first."""
        number = StepNumber(step)
        taken = self._take(number, body)
        if taken is None or taken.batch.samples or not taken.batch.missing:
            return taken
        await wait_event(self.samples_ready, wait_s)
        return self._take(number, body)

    def close(self, step: int) -> None:
        """Close a step and withdraw its work."""
        self._run_actions(self.trainer_steps.close(StepNumber(step)))

    def announce(self, version: int) -> None:
        """Apply a version that the trainer announced, at this node or another."""
        self._run_actions(
            self.trainer_steps.version_announced(Version(version), self._now())
        )

    def restore(self, open_step: OpenStep) -> None:
        """Take over a step handed over by its previous home."""
        self._run_actions(self.trainer_steps.restore(open_step, self._now()))

    @property
    def idle(self) -> bool:
        """Tell whether no step is open."""
        return not self.trainer_steps.steps

    def _take(self, number: StepNumber, body: StepTake) -> TakeResult | None:
        taken = self.trainer_steps.take(number, body, self._now())
        if taken is not None:
            self._run_actions(taken.actions)
            self._observe_staleness(taken.batch)
        return taken

    def _observe_staleness(self, batch: SampleBatch) -> None:
        labels = {"service": self.service, "tenant": self.trainer}
        for sample in batch.samples:
            oldest = oldest_version(sample) or 0
            staleness = float(self.trainer_steps.version - oldest)
            self.node.metrics.staleness.observe(labels, staleness)

    def _run_actions(self, actions: list[StepAction]) -> None:
        for action in actions:
            if isinstance(action, GenerateSample):
                task = self.tasks.spawn(self._generate_or_fail(action))
                self.sample_tasks[action.work_id] = task
            elif isinstance(action, WithdrawSample):
                sample_task = self.sample_tasks.pop(action.work_id, None)
                if sample_task is not None:
                    sample_task.cancel()
            elif isinstance(action, SamplesReady):
                self.samples_ready.set()
                self.samples_ready = asyncio.Event()

    async def _generate_or_fail(self, action: GenerateSample) -> None:
        try:
            await self._generate_sample(action)
        except Exception as error:
            # Otherwise the slot would stay in progress until the step is closed.
            log_event("sample_failed", work=action.work_id, error=repr(error))
            self._mark_failed(action, None)

    async def _generate_sample(self, action: GenerateSample) -> None:
        document = self.node.document(self.service)
        step = self.trainer_steps.steps.get(action.step)
        if document is None or step is None:
            self._mark_failed(action, None)
            return
        progress = Progress()
        submit = self._submission(document, action)
        refused = await self.node.work_client.run(submit, progress, SAMPLE_LINGER_S)
        if refused is not None:
            self._mark_failed(action, refused.retry_after_s)
            return
        answer = progress.answer("")
        score = None
        if document.scoring is not None:
            score = await self.node.scorer.score(
                document.scoring, submit.prompt, answer.text
            )
        sample = Sample(
            slot=action.slot,
            text=answer.text,
            count=answer.count,
            spans=answer.spans,
            upstream=answer.upstream,
            score=score,
        )
        self.sample_tasks.pop(action.work_id, None)
        self._run_actions(
            self.trainer_steps.sample_ready(
                action.step, action.work_id, sample, self._now()
            )
        )

    def _mark_failed(self, action: GenerateSample, retry_after_s: float | None) -> None:
        self.sample_tasks.pop(action.work_id, None)
        self._run_actions(
            self.trainer_steps.work_failed(
                action.step, action.slot, action.work_id, self._now(), retry_after_s
            )
        )

    def _submission(
        self, document: ServiceDocument, action: GenerateSample
    ) -> WorkSubmit:
        step = self.trainer_steps.steps[action.step]
        group, index = divmod(action.slot, step.samples_per_group)
        prompt_group = step.groups[group]
        prefix = prompt_group.prefix or default_prefix_id(prompt_group.prompt)
        return WorkSubmit(
            work_id=action.work_id,
            service=self.service,
            shard=self.node.shard(self.service, prefix),
            tenant=self.trainer,
            kind="sample",
            model=_model(document, self.trainer),
            prompt=prompt_group.prompt,
            max_tokens=step.max_tokens,
            prompt_tokens=prompt_tokens(prompt_group.prompt),
            min_version=action.min_version,
            staleness_bound=step.bound,
            prefix=prefix,
            step=action.step,
            group=group,
            seed=index,
        )

    def _staleness_bound(self, body: StepOpen) -> int:
        if body.staleness_bound is not None:
            return body.staleness_bound
        document = self.node.document(self.service)
        if document is None:
            return 0
        for entry in document.trainers:
            if entry.id == self.trainer and entry.staleness_bound is not None:
                return entry.staleness_bound
        return document.staleness_bound

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            actions = self.trainer_steps.tick(self._now())
            if actions:
                log_event(
                    "samples_regenerated",
                    service=self.service,
                    trainer=self.trainer,
                    count=len(actions),
                )
            self._run_actions(actions)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _model(document: ServiceDocument, trainer: str) -> str:
    for entry in document.trainers:
        if entry.id == trainer and entry.model is not None:
            return entry.model
    return document.model
