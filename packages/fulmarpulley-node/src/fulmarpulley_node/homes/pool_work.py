"""Track the work of one pool home and the tokens of its attempts."""

import asyncio
from collections import OrderedDict

from fulmarpulley_core.ids import (
    AttemptId,
    ModelName,
    PrefixId,
    Region,
    StepNumber,
    TenantId,
    UpstreamId,
    Version,
    WorkId,
)
from fulmarpulley_core.pool.messages import Work, WorkKind
from fulmarpulley_schema.generated.peer import WorkSubmit

from ..observe.metrics import Metrics
from ..progress import Progress

# Ended work is kept until its owner has read the result; owners that died never do.
MAX_ENDED_WORK = 4096


class PoolWork:
    """Track one work item; its progress shows the tokens of the leading attempt."""

    def __init__(self, submit: WorkSubmit, now: float) -> None:
        self.submit = submit
        self.progress = Progress()
        self.lead_attempt_id: AttemptId | None = None
        self.submitted_at = now
        self.started_at: float | None = None
        self.first_token: float | None = None
        if submit.resume is not None:
            self.progress.apply(submit.resume)

    def record_metrics(self, metrics: Metrics, now: float) -> None:
        """Record the latencies of a sample; requests are recorded at the entry node."""
        if self.submit.kind != WorkKind.SAMPLE.value:
            return
        labels = {"service": self.submit.service, "tenant": self.submit.tenant}
        if self.progress.first_token is not None:
            waited = max(0.0, self.progress.first_token - self.submitted_at)
            metrics.first_token.observe(labels, waited)
        metrics.total.observe(labels, now - self.submitted_at)


class AttemptBuffer:
    """Collect the tokens of one attempt, including those it resumes from."""

    def __init__(
        self,
        attempt_id: AttemptId,
        work: PoolWork,
        upstream: UpstreamId,
        resume_from: int,
    ) -> None:
        self.attempt_id = attempt_id
        self.work = work
        self.upstream = upstream
        self.resume_from = resume_from
        self.tokens = work.progress.tokens[:resume_from]
        self.versions = work.progress.versions[:resume_from]
        self.progress_queued = False
        self.task: asyncio.Task[None] | None = None

    def add(self, token: str, version: int | None) -> None:
        """Add a token, and update the work's progress if this attempt leads."""
        index = len(self.tokens)
        self.tokens.append(token)
        self.versions.append(version)
        if self.work.lead_attempt_id != self.attempt_id:
            return
        progress = self.work.progress
        if index < len(progress.tokens):
            progress.replace(index, [token], [version])
            del progress.tokens[index + 1 :], progress.versions[index + 1 :]
        else:
            progress.append(token, version)

    def publish_answer(self) -> None:
        """Finish the work with the tokens of this attempt."""
        self.work.progress.replace(
            self.resume_from,
            self.tokens[self.resume_from :],
            self.versions[self.resume_from :],
        )
        self.work.progress.finish(self.upstream)


class WorkTable:
    """Track work in progress, and ended work until its owner has read the result."""

    def __init__(self) -> None:
        self.active: dict[WorkId, PoolWork] = {}
        self.ended: OrderedDict[WorkId, PoolWork] = OrderedDict()

    def get(self, work_id: str) -> PoolWork | None:
        """Return a work item by its id."""
        key = WorkId(work_id)
        return self.active.get(key) or self.ended.get(key)

    def add(self, work: PoolWork) -> None:
        """Add a work item."""
        self.active[WorkId(work.submit.work_id)] = work

    def end(self, work: PoolWork) -> None:
        """Move a work item to the ended ones, where its owner can still read it."""
        work_id = WorkId(work.submit.work_id)
        if self.active.pop(work_id, None) is not None:
            self.ended[work_id] = work
            if len(self.ended) > MAX_ENDED_WORK:
                self.ended.popitem(last=False)

    def forget(self, work_id: str) -> None:
        """Drop ended work that its owner has read."""
        self.ended.pop(WorkId(work_id), None)


def to_work(submit: WorkSubmit, now: float) -> Work:
    """Convert a submission into a work item of the pool."""
    deadline = None if submit.deadline_s is None else now + submit.deadline_s
    return Work(
        work_id=WorkId(submit.work_id),
        tenant=TenantId(submit.tenant),
        kind=WorkKind(submit.kind),
        model=ModelName(submit.model),
        max_tokens=submit.max_tokens,
        prompt_tokens=submit.prompt_tokens,
        min_version=Version(submit.min_version),
        staleness_bound=submit.staleness_bound,
        prefix=PrefixId(submit.prefix),
        region=Region(submit.region),
        repeatable=submit.repeatable,
        priority=submit.priority,
        deadline=deadline,
        step=StepNumber(submit.step),
        group=submit.group,
        resume_tokens=0 if submit.resume is None else len(submit.resume.tokens),
    )
