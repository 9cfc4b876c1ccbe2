"""Run the attempts of a home's items on engines."""

import asyncio
import time
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from fulmarpulley_core.ids import AccountName, AttemptId, ModelName, Version
from fulmarpulley_core.pool.messages import (
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    CancelAttempt,
    Failure,
    StartAttempt,
    StartReason,
    VersionReport,
)
from fulmarpulley_core.pool.relocation import MoveCounts
from fulmarpulley_core.rollout.replacement_evidence import EndedRuns

from ..background_tasks import BackgroundTasks, log_failure
from ..observe.events import log_event
from .directory import Directory
from .interfaces import UpstreamCallFailure, UpstreamCalls
from .item_runs import AttemptRun, ItemRun
from .metrics import RolloutMetrics
from .opened_connections import count_connections
from .pool_driver import PoolDriver
from .rate_limits import RateLimits

OK_STATUS = 200


class ItemAttemptRunner:
    """Own the running attempts and report their progress and outcome to their pool."""

    def __init__(
        self,
        directory: Directory,
        calls: UpstreamCalls,
        limits: RateLimits,
        metrics: RolloutMetrics,
        tasks: BackgroundTasks,
    ) -> None:
        self.directory = directory
        self.calls = calls
        self.limits = limits
        self.metrics = metrics
        self.tasks = tasks
        self.running: dict[AttemptId, AttemptRun] = {}
        self.ended = EndedRuns()
        # Called after the pool has handled the failure of an attempt.
        self.on_failed: Callable[[ItemRun, UpstreamCallFailure], None] = (
            lambda run, failure: None
        )
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        # Moves of each service that the metrics count already.
        self._moves: dict[str, MoveCounts] = {}

    def start(
        self,
        action: StartAttempt,
        run: ItemRun,
        pool: PoolDriver,
        tokens_per_event: int,
    ) -> None:
        """Start an attempt that resumes after the tokens given by the pool."""
        resume_events = action.resume_from // tokens_per_event
        attempt = AttemptRun(
            attempt_id=action.attempt_id,
            run=run,
            upstream=action.upstream,
            events=run.saved.events[:resume_events],
            versions=run.saved.versions[:resume_events],
            reason=pool.start_reason(action.attempt_id),
        )
        if action.hedge or resume_events:
            log_event(
                "item_moved",
                step=run.step_id,
                item=run.item.item_id,
                upstream=action.upstream,
                hedge=action.hedge,
                reason=_move_reason(attempt),
                events=resume_events,
            )
        self._count_moves(pool)
        self.running[action.attempt_id] = attempt
        task = self.tasks.spawn(self._run(attempt, pool, tokens_per_event))
        self._tasks[action.attempt_id] = task

    def cancel(self, action: CancelAttempt) -> None:
        """Close the connection of an attempt, so that the engine aborts it."""
        task = self._tasks.get(action.attempt_id)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        self._remove(action.attempt_id)

    def cancel_all(self) -> None:
        """Close the connections of all attempts."""
        for task in self._tasks.values():
            task.cancel()

    async def _run(
        self, attempt: AttemptRun, pool: PoolDriver, tokens_per_event: int
    ) -> None:
        run = attempt.run
        if attempt.reason is StartReason.SLOW_ENGINE:
            count_connections(
                lambda: self.metrics.moved_connections.inc({"service": pool.service})
            )

        def sink(event: bytes, version: int) -> None:
            attempt.events.append(event)
            attempt.versions.append(version)
            if len(attempt.events) > len(run.saved.events):
                run.saved = attempt.to_saved()
            tokens = len(attempt.events) * tokens_per_event
            pool.post(AttemptProgress(attempt.attempt_id, tokens, Version(version)))

        entry = self.directory.upstream(attempt.upstream)
        if entry is None:
            failure = UpstreamCallFailure(
                Failure.NOT_SENT, "the upstream is no longer listed"
            )
            self._report_failure(attempt, pool, failure, tokens_per_event)
            return
        held_back = self.limits.take_exclusive(entry)
        if held_back is not None:
            self._report_failure(attempt, pool, held_back, tokens_per_event)
            return
        result: Result[None, UpstreamCallFailure]
        try:
            result = await self.calls.generate(
                entry,
                run.step.accepted.host,
                run.item,
                len(attempt.events),
                run.step.accepted.min_version,
                sink,
                self._account(run),
            )
        except Exception as error:
            # The pool waits for the outcome of each attempt.
            log_failure("attempt_raised", self._run, error, upstream=attempt.upstream)
            result = Err(UpstreamCallFailure(Failure.BROKEN, "the attempt raised"))
        if isinstance(result, Ok):
            self._count_outcome(pool, "finished")
            tokens = len(attempt.events) * tokens_per_event
            pool.post(AttemptFinished(attempt.attempt_id, tokens))
            self._remove(attempt.attempt_id, aborted=False)
        else:
            self._report_failure(attempt, pool, result.err_value, tokens_per_event)

    def _count_moves(self, pool: PoolDriver) -> None:
        counts, known = pool.move_counts(), self._moves.get(pool.service)
        if counts != known:
            self.metrics.add_moves(pool.service, known or MoveCounts(), counts)
            self._moves[pool.service] = msgspec.structs.replace(counts)

    def _account(self, run: ItemRun) -> AccountName | None:
        """Return the account that the upstream is told; None without accounts."""
        account = AccountName(run.step.accepted.account)
        routes = self.directory.routes
        has_accounts = routes is not None and routes.topology.accounts is not None
        return account if account or has_accounts else None

    def _report_failure(
        self,
        attempt: AttemptRun,
        pool: PoolDriver,
        failure: UpstreamCallFailure,
        tokens_per_event: int,
    ) -> None:
        run = attempt.run
        log_event(
            "attempt_failed",
            step=run.step_id,
            item=run.item.item_id,
            upstream=attempt.upstream,
            outcome=failure.failure.value,
            status=failure.status or 0,
            events=len(attempt.events),
            reason=failure.reason,
        )
        self._count_outcome(pool, failure.failure.value)
        if failure.version is not None:
            model = ModelName(run.step.accepted.model)
            pool.post(VersionReport(attempt.upstream, model, Version(failure.version)))
        tokens = len(attempt.events) * tokens_per_event
        failed = AttemptFailed(
            attempt.attempt_id, failure.failure, tokens, failure.retry_after_s
        )
        pool.post(failed)
        # A stream that this node rejected may go on at the engine.
        aborted = failure.failure is Failure.BROKEN or failure.status == OK_STATUS
        self._remove(attempt.attempt_id, aborted)
        self.on_failed(run, failure)

    def _count_outcome(self, pool: PoolDriver, outcome: str) -> None:
        self.metrics.attempts.inc({"service": pool.service, "outcome": outcome})

    def _remove(self, attempt_id: AttemptId, aborted: bool = True) -> None:
        attempt = self.running.pop(attempt_id, None)
        if attempt is not None:
            self.ended.record(attempt.engine_run, aborted, time.monotonic())
        self._tasks.pop(attempt_id, None)


def _move_reason(attempt: AttemptRun) -> str:
    """Return why an item goes on at another engine, for the log."""
    if attempt.reason is None or attempt.reason is StartReason.QUEUED:
        return "resumed"
    return attempt.reason.value
