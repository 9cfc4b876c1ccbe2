"""Forward plain requests from the node that received them."""

import asyncio
import math
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok, Result

from fulmarpulley_core.ids import (
    AttemptId,
    ModelName,
    Region,
    RequestDigest,
    ServiceName,
    TenantId,
    WorkId,
)
from fulmarpulley_core.placement import text_hash
from fulmarpulley_core.pool.admission import longest_send_wait_s
from fulmarpulley_core.pool.messages import (
    CRASHES_UPSTREAMS,
    AttemptFailed,
    AttemptFinished,
    CancelAttempt,
    Failure,
    Finish,
    LimitReport,
    PoolSettings,
    Refuse,
    StartAttempt,
    StopAt,
    Submit,
    Withdraw,
    Work,
    WorkKind,
    urgency,
)
from fulmarpulley_core.rollout.topology import Route, RouteKind, choose_service
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks, log_failure
from ..observe.events import log_event
from .crash_watch import CrashWatch
from .directory import Directory
from .interfaces import (
    CallerRequest,
    ConnectionFault,
    UpstreamCallFailure,
    UpstreamCalls,
    UpstreamResponse,
)
from .metrics import RolloutMetrics, labels
from .pool_driver import PoolDriver
from .rate_limits import RateLimits
from .request_digest import request_digest
from .request_log import RequestLog, account_fields
from .service_pools import DocumentTransform, ServicePools, identity
from .turn_waits import TurnWaits
from .usage_counter import ClientAttempt, UsageRecorder

# Share of the remaining time after which an attempt that may be repeated is abandoned,
# so that time is left for another upstream. The longest work of a healthy upstream
# takes a fifth of it.
FIRST_ATTEMPT_SHARE = 0.4
MIN_SERVER_ERROR_STATUS = 500


class Refusal(msgspec.Struct, frozen=True):
    """Describe why a request got no upstream response, and whether it was executed."""

    code: str
    ran: Ran
    retry_after_s: float | None = None


class PendingRequest(msgspec.Struct, eq=False, kw_only=True):
    """Track a request until it has an outcome."""

    request: CallerRequest
    digest: RequestDigest
    route: Route
    service: ServiceName
    config_version: int
    deadline: float
    outcome: asyncio.Future[UpstreamResponse | Refusal]
    responses: dict[AttemptId, UpstreamResponse] = {}
    error_response: UpstreamResponse | None = None
    attempts: int = 0
    running: set[AttemptId] = set()
    upstream: str = ""
    usage: ClientAttempt


class Forwarder:
    """Own one pool for each plain service on this node.

    `transform_document` adapts the service document that a pool is given. With
    `may_wait`, requests may wait for their turn at an upstream that limits its rate.
    `usage` counts the requests that begin to run.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        calls: UpstreamCalls,
        limits: RateLimits,
        crashes: CrashWatch,
        metrics: RolloutMetrics,
        routing: str = "open_connection",
        may_wait: bool = True,
        transform_document: DocumentTransform = identity,
        usage: UsageRecorder | None = None,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.calls = calls
        self.limits = limits
        self.crashes = crashes
        self.metrics = metrics
        self.request_log = RequestLog(metrics)
        self.may_wait = may_wait
        self.usage = usage
        self.tasks = BackgroundTasks()
        pool_settings = PoolSettings(
            id_prefix=f"{settings.node_id}.", routing=routing, avoid_limited=True
        )
        self.pools = ServicePools(
            settings, directory, pool_settings, self._handlers, transform_document
        )
        self.pending: dict[WorkId, PendingRequest] = {}
        self.attempt_tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self.sequence = 0
        # Event loop time by which all requests must have an outcome.
        self.stop_at: float | None = None
        self.turn_waits = TurnWaits(directory, limits)
        directory.listeners.append(self.pools.directory_changed)
        limits.listeners.append(self._limit_reported)
        crashes.reports.listeners.append(self._withdraw_blocked)

    async def forward(
        self, route: Route, request: CallerRequest, rank: int = 0
    ) -> UpstreamResponse | Refusal:
        """Return the response of an upstream, or why there is none.

        :param rank: position among the waiting requests; the lowest starts first
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        name = choose_service(route, text_hash(request.request_id))
        digest = request_digest(request)
        await self.crashes.reports.wait_for_verdict(digest)
        if self.crashes.reports.is_blocked(digest):
            return self._refuse_blocked(request, digest, route, name)
        pool = self._open_pool(name)
        if pool is None:
            return Refusal("no_upstream", Ran.NOT_RUN, 0.5)
        deadline = started_at + route.timeout_s
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        pending = PendingRequest(
            request=request,
            digest=digest,
            route=route,
            service=name,
            config_version=self._config_version(),
            deadline=deadline,
            outcome=loop.create_future(),
            usage=ClientAttempt(request.account, name),
        )
        self.sequence += 1
        work_id = WorkId(f"{request.request_id}.{self.sequence}")
        self.pending[work_id] = pending
        pool.post(Submit(self._work(work_id, pending, rank)))
        try:
            outcome = await pending.outcome
        finally:
            del self.pending[work_id]
            pool.post(Withdraw(work_id))
        self.request_log.record(pending, outcome, loop.time() - started_at, pool)
        return outcome

    def stop_by(self, stop_at: float) -> None:
        """Give all requests an outcome before a time, at which the node stops.

        Those that would end too late are refused as soon as this is known.

        :param stop_at: event loop time
        """
        self.stop_at = stop_at
        for pool in self.pools.pools.values():
            pool.post(StopAt(stop_at))
        self.turn_waits.limit(self._latest_start)

    def _open_pool(self, name: ServiceName) -> PoolDriver | None:
        is_new = name not in self.pools.pools
        pool = self.pools.open(name)
        if pool is not None and is_new and self.stop_at is not None:
            pool.post(StopAt(self.stop_at))
        return pool

    def _refuse_blocked(
        self,
        request: CallerRequest,
        digest: RequestDigest,
        route: Route,
        service: ServiceName,
    ) -> Refusal:
        self.metrics.requests.observe(
            labels(route=route.name, code=CRASHES_UPSTREAMS), 0.0
        )
        log_event(
            "request_refused",
            request=request.request_id,
            digest=digest,
            route=route.name,
            service=service,
            config=self._config_version(),
            attempts=0,
            outcome=CRASHES_UPSTREAMS,
            **account_fields(request),
        )
        retry_after_s = self.crashes.reports.blocked_for_s(digest)
        return Refusal(CRASHES_UPSTREAMS, Ran.NOT_RUN, retry_after_s)

    def _withdraw_blocked(self) -> None:
        """End the waiting requests that have become blocked."""
        for work_id, pending in list(self.pending.items()):
            if not pending.running:
                self._withdraw_if_blocked(work_id, pending)

    def _withdraw_if_blocked(self, work_id: WorkId, pending: PendingRequest) -> None:
        if self.crashes.reports.is_blocked(pending.digest):
            retry_after_s = self.crashes.reports.blocked_for_s(pending.digest)
            withdrawal = Withdraw(work_id, CRASHES_UPSTREAMS, retry_after_s)
            self.pools[pending.service].post(withdrawal)

    def _config_version(self) -> int:
        routes = self.directory.routes
        return routes.topology.version if routes else 0

    def _work(self, work_id: WorkId, pending: PendingRequest, rank: int) -> Work:
        route, request = pending.route, pending.request
        own = None
        if request.account and request.priority is not None:
            own = urgency(request.priority)
        return Work(
            work_id=work_id,
            tenant=TenantId(route.name),
            kind=WorkKind.DESK,
            model=ModelName(""),
            max_tokens=1,
            region=Region(self.settings.region),
            repeatable=route.kind is RouteKind.SAFE,
            max_attempts=route.attempts,
            streams=False,
            priority=max(0, 9 - route.priority) if own is None else own,
            deadline=pending.deadline,
            rank=rank,
            account=request.account,
            account_priority=own,
        )

    def _handlers(self, _name: ServiceName) -> dict[type, Callable[[Any], object]]:
        return {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            Finish: self._handle_finish,
            Refuse: self._handle_refusal,
        }

    def _start_attempt(self, action: StartAttempt) -> None:
        pending = self.pending[action.work_id]
        pending.upstream = action.upstream
        pending.running.add(action.attempt_id)
        task = self.tasks.spawn(self._attempt(action, pending))
        task.add_done_callback(lambda _: pending.running.discard(action.attempt_id))
        self.attempt_tasks[action.attempt_id] = task

    async def _attempt(self, action: StartAttempt, pending: PendingRequest) -> None:
        pool = self.pools[pending.service]
        try:
            result = await self._call(action, pending)
        except Exception as error:
            # The pool waits for the outcome of each attempt.
            log_failure("attempt_raised", self._call, error, upstream=action.upstream)
            result = Err(UpstreamCallFailure(Failure.BROKEN, "the attempt raised"))
        pending.running.discard(action.attempt_id)
        self.attempt_tasks.pop(action.attempt_id, None)
        if isinstance(result, Ok):
            response = result.ok_value
            if response.status < MIN_SERVER_ERROR_STATUS:
                self.crashes.reports.record_completion(pending.digest)
                pending.responses[action.attempt_id] = response
                pool.post(AttemptFinished(action.attempt_id, 1))
                return
            pending.error_response = response
            failure = UpstreamCallFailure(
                Failure.ERRORED, "the upstream responded with a server error"
            )
        else:
            failure = result.err_value
        log_event(
            "attempt_failed",
            request=pending.request.request_id,
            digest=pending.digest,
            upstream=action.upstream,
            outcome=failure.failure.value,
            reason=failure.reason,
        )
        retry_after_s = failure.retry_after_s
        pool.post(AttemptFailed(action.attempt_id, failure.failure, 0, retry_after_s))
        if not pending.running:
            self._withdraw_if_blocked(action.work_id, pending)

    async def _call(
        self, action: StartAttempt, pending: PendingRequest
    ) -> Result[UpstreamResponse, UpstreamCallFailure]:
        entry = self.directory.upstream(action.upstream)
        if entry is None:
            reason = "the upstream is no longer listed"
            return Err(UpstreamCallFailure(Failure.NOT_SENT, reason))
        held_back = await self.turn_waits.take(
            entry,
            action.work_id,
            self._latest_start(action.work_id),
            self._send_wait_s(pending),
        )
        if held_back is not None:
            return Err(held_back)
        if self.crashes.reports.is_blocked(pending.digest):
            reason = "the request crashes upstreams"
            retry_after_s = self.crashes.reports.blocked_for_s(pending.digest)
            return Err(
                UpstreamCallFailure(
                    Failure.WITHHELD, reason, retry_after_s=retry_after_s
                )
            )
        pending.attempts += 1
        call = self.calls.forward(
            entry, pending.request, self._attempt_timeout_s(pending)
        )
        if self.usage is not None:
            call = self.usage.observe(pending.usage, call)
        result = await call
        if isinstance(result, Err):
            if result.err_value.connection is ConnectionFault.LOST:
                await self.crashes.record_loss(entry, pending.digest)
            elif result.err_value.connection is ConnectionFault.REFUSED:
                self.crashes.record_refusal(entry)
        return result

    def _latest_start(self, work_id: WorkId) -> float | None:
        """Return the time after which no attempt may start; None if there is none."""
        pending = self.pending.get(work_id)
        if pending is None:
            return None
        latest = self.pools[pending.service].latest_start(work_id)
        return latest if math.isfinite(latest) else None

    def _send_wait_s(self, pending: PendingRequest) -> float:
        pool = self.pools[pending.service]
        usable = [self.directory.upstream(name) for name in pool.usable()]
        all_limited = all(u is None or self.limits.is_limited(u) for u in usable)
        if not (self.may_wait and all_limited):
            return 0.0
        now = asyncio.get_running_loop().time()
        return longest_send_wait_s(pending.deadline - now)

    def _limit_reported(self, upstream: ListedUpstream, limited: bool) -> None:
        pool = self.pools.pools.get(upstream.service)
        if pool is not None:
            pool.post(LimitReport(upstream.upstream_id, limited))

    def _attempt_timeout_s(self, pending: PendingRequest) -> float:
        deadline = pending.deadline
        if self.stop_at is not None:
            deadline = min(deadline, self.stop_at)
        remaining_s = deadline - asyncio.get_running_loop().time()
        is_last = pending.attempts >= pending.route.attempts
        if is_last or pending.route.kind is not RouteKind.SAFE:
            return remaining_s
        return remaining_s * FIRST_ATTEMPT_SHARE

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        task = self.attempt_tasks.pop(action.attempt_id, None)
        if task is not None:
            task.cancel()

    def _handle_finish(self, action: Finish) -> None:
        pending = self.pending.get(action.work_id)
        if pending is not None and not pending.outcome.done():
            pending.outcome.set_result(pending.responses[action.attempt_id])

    def _handle_refusal(self, action: Refuse) -> None:
        pending = self.pending.get(action.work_id)
        if pending is None or pending.outcome.done():
            return
        if pending.error_response is not None:
            pending.outcome.set_result(pending.error_response)
            return
        pending.outcome.set_result(Refusal(action.code, action.ran, action.retry_after))
