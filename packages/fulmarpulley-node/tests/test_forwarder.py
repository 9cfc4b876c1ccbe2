"""Test that the forwarder sends no request that crashes upstreams."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from result import Err, Result
from rollout_settings import caller_request, crash_reports, settings, unlimited

from fulmarpulley_core.ids import DataCentre, RouteName, ServiceName, UpstreamId
from fulmarpulley_core.pool.messages import CRASHES_UPSTREAMS, Failure
from fulmarpulley_core.rollout.stated_limits import Incarnation
from fulmarpulley_core.rollout.topology import (
    Route,
    RouteKind,
    Service,
    Topology,
    WeightedService,
)
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_node.rollout import crash_reports as crash_reports_module
from fulmarpulley_node.rollout.crash_watch import CrashWatch
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.forwarder import Forwarder, Refusal
from fulmarpulley_node.rollout.interfaces import (
    CallerRequest,
    ConnectionFault,
    UpstreamCallFailure,
    UpstreamResponse,
)
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.request_digest import request_digest
from fulmarpulley_schema.generated.http import Ran

TIMEOUT_S = 30.0
# Body of requests that their upstream never answers.
BUSY = b"busy"
SLOTS = 2
UPSTREAMS = 4
DESK = ServiceName("desk")
LOST = UpstreamCallFailure(Failure.BROKEN, "reset", connection=ConnectionFault.LOST)
NOT_SENT = UpstreamCallFailure(Failure.NOT_SENT, "no answer")


class CrashedUpstreams:
    """Fails all requests, and refuses new connections."""

    def __init__(self, failure: UpstreamCallFailure) -> None:
        self.failure = failure
        self.sent = 0
        self.on_sent: Callable[[], None] = lambda: None

    async def forward(
        self, upstream: ListedUpstream, request: CallerRequest, timeout_s: float
    ) -> Result[UpstreamResponse, UpstreamCallFailure]:
        self.sent += 1
        self.on_sent()
        if request.body == BUSY:
            await asyncio.Event().wait()
        return Err(self.failure)

    async def refuses_connections(self, upstream: ListedUpstream) -> bool:
        return True


class BlockedRequestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a way to an upstream that passes the block."""

    def setUp(self) -> None:
        self.reports = crash_reports()
        self.request = caller_request()
        self.digest = request_digest(self.request)
        self.route = Route(
            name=RouteName("r"),
            host="h",
            prefix="/",
            kind=RouteKind.SAFE,
            services=(WeightedService(DESK, 1),),
            timeout_s=20.0,
            attempts=5,
        )

    def forwarder(self, calls: CrashedUpstreams) -> Forwarder:
        directory, metrics = Directory(RolloutMetrics()), RolloutMetrics()
        upstreams: Any = calls
        watch = CrashWatch(directory, upstreams, self.reports, metrics)
        forwarder = Forwarder(
            settings(), directory, upstreams, unlimited(), watch, metrics
        )
        services = {DESK: Service(name=DESK)}
        directory.topology_changed(
            Topology(version=1, routes=(self.route,), services=services)
        )
        for number in range(UPSTREAMS):
            directory.upstream_put(
                ListedUpstream(
                    upstream_id=UpstreamId(f"d{number}"),
                    service=DESK,
                    address="127.0.0.1:9",
                    data_centre=DataCentre("a1"),
                    slots=SLOTS,
                )
            )
        return forwarder

    def block(self) -> None:
        for number in range(2):
            upstream = Incarnation(UpstreamId(f"elsewhere {number}"), 1)
            self.reports.report_crash(upstream, [self.digest])

    async def forward(self, forwarder: Forwarder) -> Refusal:
        async with asyncio.timeout(TIMEOUT_S):
            outcome = await forwarder.forward(self.route, self.request)
        await forwarder.tasks.stop()
        assert isinstance(outcome, Refusal)
        return outcome

    async def test_blocked_request_is_refused_on_arrival(self) -> None:
        calls = CrashedUpstreams(LOST)
        self.block()
        refusal = await self.forward(self.forwarder(calls))
        self.assertEqual((refusal.code, refusal.ran), (CRASHES_UPSTREAMS, Ran.NOT_RUN))
        self.assertEqual(calls.sent, 0)
        assert refusal.retry_after_s is not None
        self.assertGreater(refusal.retry_after_s, 0.0)

    async def test_request_that_comes_again_waits_for_the_outcome_of_a_retry(
        self,
    ) -> None:
        calls = CrashedUpstreams(LOST)
        forwarder = self.forwarder(calls)
        self.reports.report_crash(Incarnation(UpstreamId("first"), 1), [self.digest])
        second = Incarnation(UpstreamId("second"), 1)
        with mock.patch.object(crash_reports_module, "VERDICT_WAIT_S", TIMEOUT_S):
            outcome = asyncio.create_task(self.forward(forwarder))
            await asyncio.sleep(0)
            self.reports.report_crash(second, [self.digest])
            refusal = await outcome
        self.assertEqual((refusal.code, refusal.ran), (CRASHES_UPSTREAMS, Ran.NOT_RUN))
        self.assertEqual(calls.sent, 0)

    async def test_request_that_comes_again_is_sent_once_its_like_completed(
        self,
    ) -> None:
        calls = CrashedUpstreams(NOT_SENT)
        forwarder = self.forwarder(calls)
        sent = asyncio.Event()
        calls.on_sent = sent.set
        self.reports.report_crash(Incarnation(UpstreamId("first"), 1), [self.digest])
        with mock.patch.object(crash_reports_module, "VERDICT_WAIT_S", 2 * TIMEOUT_S):
            outcome = asyncio.create_task(forwarder.forward(self.route, self.request))
            await asyncio.sleep(0)
            self.assertEqual(calls.sent, 0)
            self.reports.record_completion(self.digest)
            async with asyncio.timeout(TIMEOUT_S):
                await sent.wait()
        outcome.cancel()
        await asyncio.gather(outcome, return_exceptions=True)
        await forwarder.tasks.stop()

    async def test_request_is_sent_if_no_retry_tells_about_its_like(self) -> None:
        calls = CrashedUpstreams(NOT_SENT)
        forwarder = self.forwarder(calls)
        sent = asyncio.Event()
        calls.on_sent = sent.set
        self.reports.report_crash(Incarnation(UpstreamId("first"), 1), [self.digest])
        outcome = asyncio.create_task(forwarder.forward(self.route, self.request))
        async with asyncio.timeout(TIMEOUT_S):
            await sent.wait()
        outcome.cancel()
        await asyncio.gather(outcome, return_exceptions=True)
        await forwarder.tasks.stop()

    async def test_retries_end_with_the_second_crash(self) -> None:
        calls = CrashedUpstreams(LOST)
        refusal = await self.forward(self.forwarder(calls))
        self.assertEqual(calls.sent, 2)
        self.assertEqual(refusal.ran, Ran.MAY_HAVE_RUN)

    async def test_request_that_waits_for_a_retry_is_refused_when_blocked(self) -> None:
        calls = CrashedUpstreams(NOT_SENT)
        forwarder = self.forwarder(calls)
        loop = asyncio.get_running_loop()
        calls.on_sent = lambda: calls.sent == 1 and loop.call_soon(self.block)
        refusal = await self.forward(forwarder)
        self.assertEqual((refusal.code, refusal.ran), (CRASHES_UPSTREAMS, Ran.NOT_RUN))
        self.assertEqual(calls.sent, 1)

    async def test_queued_request_is_refused_at_once_when_blocked(self) -> None:
        calls = CrashedUpstreams(LOST)
        forwarder = self.forwarder(calls)
        fields = {n: getattr(self.request, n) for n in self.request.__struct_fields__}
        busy = CallerRequest(**{**fields, "body": BUSY})
        others = [
            asyncio.create_task(forwarder.forward(self.route, busy))
            for _ in range(SLOTS * UPSTREAMS)
        ]
        all_busy = asyncio.Event()
        calls.on_sent = lambda: calls.sent == len(others) and all_busy.set()
        outcome = asyncio.create_task(forwarder.forward(self.route, self.request))
        await all_busy.wait()
        self.block()
        async with asyncio.timeout(self.route.timeout_s / 2):
            refusal = await outcome
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.code, refusal.ran), (CRASHES_UPSTREAMS, Ran.NOT_RUN))
        self.assertEqual(calls.sent, len(others))
        for other in others:
            other.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await forwarder.tasks.stop()

    async def test_request_that_is_blocked_while_it_waits_for_its_turn_is_not_sent(
        self,
    ) -> None:
        calls = CrashedUpstreams(LOST)
        forwarder = self.forwarder(calls)
        turn_due = asyncio.Event()

        async def wait_for_turn(*_call: object) -> None:
            await turn_due.wait()

        forwarder.limits.take_shared = wait_for_turn  # type: ignore[assignment]
        outcome = asyncio.create_task(self.forward(forwarder))
        await asyncio.sleep(0)
        self.block()
        turn_due.set()
        refusal = await outcome
        self.assertEqual((refusal.code, refusal.ran), (CRASHES_UPSTREAMS, Ran.NOT_RUN))
        self.assertEqual(calls.sent, 0)


class DigestTest(unittest.TestCase):
    """Guards against requests that are taken for others."""

    def test_digest_depends_on_all_but_the_id_and_the_deadline(self) -> None:
        request = caller_request()
        fields = {n: getattr(request, n) for n in request.__struct_fields__}
        same = {"request_id": "r2", "deadline": 5.0}
        self.assertEqual(
            request_digest(request), request_digest(CallerRequest(**{**fields, **same}))
        )
        others = {
            "method": "PUT",
            "target": "/q",
            "host": "i",
            "body": b"b",
            "caller": "c",
        }
        digests = {
            request_digest(CallerRequest(**{**fields, name: value}))
            for name, value in others.items()
        }
        self.assertEqual(len(digests | {request_digest(request)}), len(others) + 1)

    def test_parts_do_not_run_into_each_other(self) -> None:
        request = caller_request()
        fields = {n: getattr(request, n) for n in request.__struct_fields__}
        first = CallerRequest(**{**fields, "target": "/ab", "caller": "c"})
        second = CallerRequest(**{**fields, "target": "/a", "caller": "bc"})
        self.assertNotEqual(request_digest(first), request_digest(second))
