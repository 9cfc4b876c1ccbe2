"""Tell crashes of upstreams from other ends of their connections."""

import asyncio

import msgspec

from fulmarpulley_core.ids import RequestDigest
from fulmarpulley_core.rollout.stated_limits import Incarnation, incarnation_of
from fulmarpulley_core.rollout.upstreams import ListedState, ListedUpstream

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from .clock import elapsed_s
from .crash_reports import CrashReports
from .directory import Directory
from .interfaces import UpstreamCalls
from .metrics import RolloutMetrics, labels

# A refused connection shows that an upstream has crashed if it follows the end of a
# request's connection this soon.
LOSS_VALIDITY_S = 2.0
# A retry waits this long for the check of the upstream that failed it. A crashed one
# refuses within a round trip, and the check goes on if that takes longer.
MAX_CHECK_WAIT_S = 0.1
# These bound the memory while many upstreams lose connections, or one loses many.
MAX_LOSSES = 1024
MAX_REQUESTS_PER_LOSS = 64


class Loss(msgspec.Struct):
    """Hold the requests whose connections to one start of an upstream have ended.

    :param requests: when each connection ended, the last one at the end
    """

    requests: dict[RequestDigest, float] = {}
    at_s: float = 0.0
    crashed: bool = False

    def add(self, request: RequestDigest, now_s: float) -> None:
        """Add a request and forget those that were lost long before."""
        self.at_s = now_s
        self.requests.pop(request, None)
        self.requests[request] = now_s
        oldest, lost_at_s = next(iter(self.requests.items()))
        while (
            lost_at_s + LOSS_VALIDITY_S < now_s
            or len(self.requests) > MAX_REQUESTS_PER_LOSS
        ):
            del self.requests[oldest]
            oldest, lost_at_s = next(iter(self.requests.items()))


class CrashWatch:
    """Find out which upstreams crash, and under which requests.

    A connection that ends shows no crash by itself: it may have been reset, or only the
    response was lost. An upstream that crashed refuses new connections as well.
    """

    def __init__(
        self,
        directory: Directory,
        calls: UpstreamCalls,
        reports: CrashReports,
        metrics: RolloutMetrics,
    ) -> None:
        self.directory = directory
        self.calls = calls
        self.reports = reports
        self.metrics = metrics
        self.tasks = BackgroundTasks()
        self.losses: dict[Incarnation, Loss] = {}
        self._checks: dict[Incarnation, asyncio.Task[None]] = {}

    async def record_loss(
        self, upstream: ListedUpstream, request: RequestDigest
    ) -> None:
        """Record that a connection ended under a request, and check its upstream."""
        key = incarnation_of(upstream)
        loss = self._recent_loss(key) or self._add_loss(key)
        loss.add(request, elapsed_s())
        if loss.crashed:
            self._record_crash(upstream, loss)
            return
        if key not in self._checks:
            check = self.tasks.spawn(self._check(upstream))
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key, None))
        await asyncio.wait({self._checks[key]}, timeout=MAX_CHECK_WAIT_S)

    def record_refusal(self, upstream: ListedUpstream) -> None:
        """Record that an upstream refused a new connection."""
        loss = self._recent_loss(incarnation_of(upstream))
        if loss is not None and not loss.crashed:
            self._record_crash(upstream, loss)

    async def _check(self, upstream: ListedUpstream) -> None:
        if await self.calls.refuses_connections(upstream):
            self.record_refusal(upstream)

    def _record_crash(self, upstream: ListedUpstream, loss: Loss) -> None:
        listed = self.directory.upstream(upstream.upstream_id)
        if listed is None or listed.state is ListedState.DRAINING:
            # It has left as planned.
            return
        if not loss.crashed:
            self.metrics.upstream_crashes.inc(labels(service=upstream.service))
        loss.crashed = True
        log_event(
            "upstream_crashed",
            upstream=upstream.upstream_id,
            service=upstream.service,
            requests=",".join(loss.requests),
        )
        self.reports.report_crash(incarnation_of(upstream), loss.requests)

    def _recent_loss(self, key: Incarnation) -> Loss | None:
        loss = self.losses.get(key)
        if loss is None or elapsed_s() > loss.at_s + LOSS_VALIDITY_S:
            return None
        return loss

    def _add_loss(self, key: Incarnation) -> Loss:
        self.losses.pop(key, None)
        self.losses[key] = Loss()
        if len(self.losses) > MAX_LOSSES:
            del self.losses[next(iter(self.losses))]
        return self.losses[key]
