"""Connect the pool of a service to simulated engines."""

from collections.abc import Callable

from fulmarpulley_core.ids import AttemptId, ModelName, UpstreamId, Version, WorkId
from fulmarpulley_core.pool.messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    CancelAttempt,
    Event,
    Failure,
    Finish,
    Order,
    Refuse,
    StartAttempt,
    Submit,
    Tick,
    VersionAnnounced,
    VersionReport,
    Withdraw,
    Work,
)
from fulmarpulley_schema.generated.document import ServiceDocument

from .attempts import Attempt, Dispatcher, ResultHandler, TrackedWork, truncate_spans
from .clock import Clock
from .engine import Engine, EngineProfile, Stream
from .network import Network
from .weight_swaps import WeightSwaps

PROGRESS_INTERVAL_S = 1.0
# Bytes on the wire of a streamed token event, a prompt token and the headers of a
# request.
TOKEN_EVENT_BYTES = 60
PROMPT_TOKEN_BYTES = 4
REQUEST_BYTES = 500
# The pool receives a tick at least this often.
TICK_INTERVAL_S = 0.5


class Service:
    """Execute the actions of a dispatcher on the engines of a service."""

    def __init__(
        self,
        clock: Clock,
        network: Network,
        document: ServiceDocument,
        profile: EngineProfile,
        dispatcher: Dispatcher,
        home_region: str,
    ) -> None:
        self.name = document.name
        self.clock = clock
        self.network = network
        self.dispatcher = dispatcher
        self.home_region = home_region
        self.result_handler: ResultHandler | None = None
        self.regions = {UpstreamId(u.id): u.region for u in document.upstreams}
        self.engines = {
            upstream: Engine(clock, profile, self._finish_callback(upstream))
            for upstream in self.regions
        }
        self.tracked_work: dict[WorkId, TrackedWork] = {}
        self.attempts: dict[AttemptId, Attempt] = {}
        self.useful_tokens = 0
        self.hedges = 0
        self.resumes = 0
        self.observer: Callable[[TrackedWork, Attempt], None] | None = None
        self.swaps = WeightSwaps(self, document.weights.bytes)
        self._wakeup: float | None = None
        for upstream in self.engines:
            clock.after(PROGRESS_INTERVAL_S, self._progress_reporter(upstream))
        clock.after(TICK_INTERVAL_S, self._tick)

    def submit(self, work: Work, length: int) -> None:
        """Submit a work item whose answer has `length` tokens."""
        self.tracked_work[work.work_id] = TrackedWork(work, length, self.clock.now)
        self.handle(Submit(work))

    def withdraw(self, work_id: WorkId) -> None:
        """Withdraw a work item."""
        self.tracked_work.pop(work_id, None)
        self.handle(Withdraw(work_id))

    def announce(self, model: ModelName, version: Version) -> None:
        """Tell the pool about a new version."""
        self.swaps.newest[model] = version
        self.handle(VersionAnnounced(model, version))

    def handle(self, event: Event) -> None:
        """Pass an event to the dispatcher and execute its actions."""
        for action in self.dispatcher.handle(event, self.clock.now):
            self._run_action(action)
        self._schedule_wakeup()

    def send_to_home(self, upstream: UpstreamId, event: Event) -> None:
        """Send an event from an upstream to the pool home."""
        latency = self.latency(upstream)
        self.clock.after(latency, lambda: self.handle(event))

    def latency(self, upstream: UpstreamId) -> float:
        """Return the one-way latency between the pool home and an upstream."""
        return self.network.latency(self.home_region, self.regions[upstream])

    def crash(self, upstream: UpstreamId, down_s: float) -> None:
        """Crash an engine and restart it with the initial weights after `down_s`."""
        engine = self.engines[upstream]
        for stream, tokens in engine.crash():
            self._record_progress(stream, tokens)
            failed = AttemptFailed(stream.attempt_id, Failure.BROKEN, tokens)
            self.send_to_home(upstream, self._with_total_tokens(stream, failed))
        self.clock.after(down_s, lambda: self._restart(upstream))

    def report_versions(self, upstream: UpstreamId) -> None:
        """Report the versions that an engine serves."""
        for model, version in self.engines[upstream].versions.items():
            self.send_to_home(upstream, VersionReport(upstream, model, version))

    def wasted_tokens(self) -> float:
        """Return the generated tokens that are not part of an accepted answer."""
        generated = sum(engine.generated for engine in self.engines.values())
        return generated - self.useful_tokens

    def _restart(self, upstream: UpstreamId) -> None:
        engine = self.engines[upstream]
        engine.restart({model: Version(0) for model in engine.versions})
        self.report_versions(upstream)

    def _run_action(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start(action)
            case CancelAttempt():
                self._cancel(action.attempt_id)
            case Order():
                self.swaps.order(action)
            case Finish():
                self._finish(action)
            case Refuse():
                self._refuse(action)

    def _start(self, action: StartAttempt) -> None:
        tracked = self.tracked_work.get(action.work_id)
        if tracked is None:
            return
        prefix_spans = truncate_spans(tracked.spans, action.resume_from)
        attempt = Attempt(tracked, action.upstream, action.resume_from, prefix_spans)
        self.attempts[action.attempt_id] = attempt
        tracked.attempts += 1
        if tracked.started is None:
            tracked.started = self.clock.now
        self.hedges += action.hedge
        self.resumes += action.resume_from > 0
        prompt = tracked.work.prompt_tokens + action.resume_from
        size = REQUEST_BYTES + prompt * PROMPT_TOKEN_BYTES
        self._count_bytes(action.upstream, size)
        latency = self.latency(action.upstream)
        self.clock.after(latency, lambda: self._arrive(action, tracked))

    def _arrive(self, action: StartAttempt, tracked: TrackedWork) -> None:
        engine = self.engines[action.upstream]
        if action.attempt_id not in self.attempts:
            return
        if not engine.alive:
            failed = AttemptFailed(action.attempt_id, Failure.NOT_SENT)
            self.send_to_home(action.upstream, failed)
            return
        work = tracked.work
        stream = Stream(
            attempt_id=action.attempt_id,
            model=work.model,
            prefix=work.prefix,
            prompt_tokens=work.prompt_tokens,
            resume_from=action.resume_from,
            length=tracked.length,
            priority=work.priority,
        )
        engine.start(stream)

    def _cancel(self, attempt_id: AttemptId) -> None:
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return
        latency = self.latency(attempt.upstream)
        engine = self.engines[attempt.upstream]
        self.clock.after(latency, lambda: self._cancelled(engine, attempt, attempt_id))

    def _cancelled(
        self, engine: Engine, attempt: Attempt, attempt_id: AttemptId
    ) -> None:
        tokens = engine.cancel(attempt_id)
        self._count_bytes(attempt.upstream, tokens * TOKEN_EVENT_BYTES)

    def _finish_callback(self, upstream: UpstreamId) -> Callable[[Stream, int], None]:
        def finished(stream: Stream, tokens: int) -> None:
            self._count_bytes(upstream, tokens * TOKEN_EVENT_BYTES)
            attempt = self.attempts.get(stream.attempt_id)
            if attempt is None:
                return
            attempt_spans = self.engines[upstream].spans(stream, tokens)
            spans = attempt.prefix_spans + attempt_spans
            total = stream.resume_from + tokens
            event = AttemptFinished(stream.attempt_id, total, spans)
            self.send_to_home(upstream, event)
            attempt.prefix_spans = spans

        return finished

    def _finish(self, action: Finish) -> None:
        tracked = self.tracked_work.pop(action.work_id, None)
        attempt = self.attempts.pop(action.attempt_id, None)
        if tracked is None or attempt is None or self.result_handler is None:
            return
        tokens = sum(span.tokens for span in attempt.prefix_spans)
        if self.observer is not None:
            self.observer(tracked, attempt)
        self.result_handler.finished(tracked.work, tokens, attempt.prefix_spans)

    def _refuse(self, action: Refuse) -> None:
        tracked = self.tracked_work.pop(action.work_id, None)
        if tracked is not None and self.result_handler is not None:
            self.result_handler.refused(tracked.work, action)

    def _progress_reporter(self, upstream: UpstreamId) -> Callable[[], None]:
        def report() -> None:
            for stream, tokens in self.engines[upstream].progress():
                if tokens > 0:
                    self._record_progress(stream, tokens)
                    total = stream.resume_from + tokens
                    version = self.engines[upstream].versions[stream.model]
                    event = AttemptProgress(stream.attempt_id, total, version)
                    self.send_to_home(upstream, event)
            self.clock.after(PROGRESS_INTERVAL_S, report)

        return report

    def _record_progress(self, stream: Stream, tokens: int) -> None:
        attempt = self.attempts.get(stream.attempt_id)
        if attempt is None:
            return
        attempt_spans = self.engines[attempt.upstream].spans(stream, tokens)
        total = stream.resume_from + tokens
        held = sum(span.tokens for span in attempt.tracked.spans)
        if total > held:
            attempt.tracked.spans = attempt.prefix_spans + attempt_spans

    def _with_total_tokens(
        self, stream: Stream, failed: AttemptFailed
    ) -> AttemptFailed:
        total = stream.resume_from + failed.tokens
        return AttemptFailed(failed.attempt_id, failed.failure, total)

    def _count_bytes(self, upstream: UpstreamId, size: float) -> None:
        self.network.count_bytes(self.home_region, self.regions[upstream], size)

    def _tick(self) -> None:
        self.handle(Tick())
        self.clock.after(TICK_INTERVAL_S, self._tick)

    def _schedule_wakeup(self) -> None:
        due = self.dispatcher.next_wakeup()
        if due is None or due == self._wakeup:
            return
        self._wakeup = due
        self.clock.at(due, lambda: self._wake(due))

    def _wake(self, due: float) -> None:
        if self._wakeup == due:
            self._wakeup = None
            self.handle(Tick())
