"""Run the attempts of a pool at its upstreams."""

from collections.abc import Callable

from result import Err, Ok, Result

from fulmarpulley_core.ids import AttemptId, Version
from fulmarpulley_core.pool.messages import (
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    Event,
    Failure,
    WorkKind,
)

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from ..observe.metrics import Metrics
from ..progress import spans_of
from ..upstreams.dialects import Attempt, AttemptEnd, UpstreamDialect
from .pool_work import AttemptBuffer


class AttemptRunner:
    """Run attempts and report their progress and end as pool events."""

    def __init__(self, post: Callable[[Event], None], metrics: Metrics) -> None:
        self.post = post
        self.metrics = metrics
        self.buffers: dict[AttemptId, AttemptBuffer] = {}
        self.tasks = BackgroundTasks()

    def start(
        self, buffer: AttemptBuffer, dialect: UpstreamDialect | None, stall_s: float
    ) -> None:
        """Start an attempt; without a dialect it fails as not sent."""
        self.buffers[buffer.attempt_id] = buffer
        if dialect is None:
            self._finish(buffer, Err(AttemptEnd(Failure.NOT_SENT, "unknown upstream")))
            return
        buffer.task = self.tasks.spawn(self._run(buffer, dialect, stall_s))

    def cancel(self, attempt_id: AttemptId, dialect: UpstreamDialect | None) -> None:
        """Cancel an attempt, which closes its connection, and notify the upstream."""
        buffer = self.buffers.pop(attempt_id, None)
        if buffer is None or buffer.task is None:
            return
        buffer.task.cancel()
        self._count(buffer, "cancelled")
        if dialect is not None:
            self.tasks.spawn(dialect.cancel(attempt_id))

    async def _run(
        self, buffer: AttemptBuffer, dialect: UpstreamDialect, stall_s: float
    ) -> None:
        submit = buffer.work.submit
        attempt = Attempt(
            request_id=buffer.attempt_id,
            key=submit.work_id,
            model=submit.model,
            prompt=submit.prompt,
            prefix=submit.prefix,
            max_tokens=submit.max_tokens,
            priority=submit.priority,
            seed=submit.seed,
            stall_s=stall_s,
            resume=list(buffer.tokens),
        )
        try:
            result = await dialect.run(
                attempt, lambda t, v: self._on_token(buffer, t, v)
            )
        except Exception as error:
            # Without an end, the attempt would count against its upstream for ever.
            result = Err(AttemptEnd(Failure.BROKEN, repr(error)))
        self._finish(buffer, self._require_versions(buffer, result))

    def _on_token(self, buffer: AttemptBuffer, token: str, version: int | None) -> None:
        buffer.add(token, version)
        # At most one progress event is queued; the pool home updates its count.
        if not buffer.progress_queued:
            buffer.progress_queued = True
            newest = None if version is None else Version(version)
            tokens = len(buffer.tokens)
            self.post(AttemptProgress(buffer.attempt_id, tokens, newest))

    def _require_versions(
        self, buffer: AttemptBuffer, result: Result[None, AttemptEnd]
    ) -> Result[None, AttemptEnd]:
        has_unknown_version = None in buffer.versions
        if isinstance(result, Ok) and has_unknown_version and _is_sample(buffer):
            reason = "the upstream reported no weight version for a sample token"
            return Err(AttemptEnd(Failure.BROKEN, reason))
        return result

    def _finish(self, buffer: AttemptBuffer, result: Result[None, AttemptEnd]) -> None:
        attempt_id, tokens = buffer.attempt_id, len(buffer.tokens)
        if isinstance(result, Ok):
            self._count(buffer, "finished")
            spans = spans_of(buffer.versions)
            self.post(AttemptFinished(attempt_id, tokens, spans))
            return
        end = result.err_value
        self._count(buffer, end.failure.value)
        log_event(
            "attempt_failed",
            service=buffer.work.submit.service,
            work=buffer.work.submit.work_id,
            upstream=buffer.upstream,
            outcome=end.failure.value,
            tokens=tokens,
            reason=end.reason,
        )
        self.post(AttemptFailed(attempt_id, end.failure, tokens, end.retry_after_s))

    def _count(self, buffer: AttemptBuffer, outcome: str) -> None:
        service = buffer.work.submit.service
        self.metrics.attempts.inc({"service": service, "outcome": outcome})


def _is_sample(buffer: AttemptBuffer) -> bool:
    return buffer.work.submit.kind == WorkKind.SAMPLE.value
