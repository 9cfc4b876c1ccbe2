"""Test which ends of connections count as crashes of upstreams."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from rollout_settings import crash_reports

from fulmarpulley_core.ids import (
    DataCentre,
    RequestDigest,
    ServiceName,
    UpstreamId,
)
from fulmarpulley_core.rollout.stated_limits import incarnation_of
from fulmarpulley_core.rollout.upstreams import ListedState, ListedUpstream
from fulmarpulley_node.rollout import crash_watch
from fulmarpulley_node.rollout.crash_watch import CrashWatch
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.metrics import RolloutMetrics

REQUEST = RequestDigest("request")
LISTED = ListedUpstream(
    upstream_id=UpstreamId("d0"),
    service=ServiceName("desk"),
    address="127.0.0.1:9",
    data_centre=DataCentre("a1"),
    started_ms=1,
)


class Connections:
    """Tells whether the upstream refuses connections."""

    def __init__(self) -> None:
        self.refused = False
        self.checks = 0
        self.answered = asyncio.Event()
        self.answered.set()

    async def refuses_connections(self, upstream: ListedUpstream) -> bool:
        self.checks += 1
        await self.answered.wait()
        return self.refused


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    """Guards against crashes that are missed, and against false ones."""

    def setUp(self) -> None:
        self.connections = Connections()
        self.directory = Directory(RolloutMetrics())
        self.directory.upstream_put(LISTED)
        self.reports = crash_reports()
        calls: Any = self.connections
        self.watch = CrashWatch(self.directory, calls, self.reports, RolloutMetrics())

    def crashed(self) -> bool:
        return incarnation_of(LISTED) in self.reports.evidence.crashes

    async def test_reset_connection_is_no_crash(self) -> None:
        await self.watch.record_loss(LISTED, REQUEST)
        self.assertEqual(self.connections.checks, 1)
        self.assertFalse(self.crashed())

    async def test_upstream_that_refuses_connections_afterwards_has_crashed(
        self,
    ) -> None:
        self.connections.refused = True
        await self.watch.record_loss(LISTED, REQUEST)
        self.assertTrue(self.crashed())
        self.assertTrue(self.reports.evidence.is_suspected(REQUEST))

    async def test_crash_that_shows_after_the_retry_is_recorded(self) -> None:
        self.connections.refused = True
        self.connections.answered.clear()
        await self.watch.record_loss(LISTED, REQUEST)
        self.assertFalse(self.crashed())
        self.connections.answered.set()
        await asyncio.gather(*self.watch.tasks.tasks)
        self.assertTrue(self.crashed())

    async def test_refusal_of_a_later_request_shows_the_crash(self) -> None:
        await self.watch.record_loss(LISTED, REQUEST)
        self.watch.record_refusal(LISTED)
        self.assertTrue(self.crashed())

    async def test_refusal_without_a_lost_request_is_no_crash(self) -> None:
        self.watch.record_refusal(LISTED)
        self.assertFalse(self.crashed())

    async def test_all_requests_of_a_crashed_upstream_are_suspected(self) -> None:
        self.connections.refused = True
        others = [RequestDigest(f"request {number}") for number in range(3)]
        for request in others:
            await self.watch.record_loss(LISTED, request)
        self.assertEqual(self.connections.checks, 1)
        for request in others:
            self.assertTrue(self.reports.evidence.is_suspected(request))

    async def test_requests_lost_long_before_a_crash_are_not_suspected(self) -> None:
        await self.watch.record_loss(LISTED, REQUEST)
        later_s = crash_watch.elapsed_s() + 2 * crash_watch.LOSS_VALIDITY_S
        latest = RequestDigest("latest")
        with mock.patch.object(crash_watch, "elapsed_s", return_value=later_s):
            await self.watch.record_loss(LISTED, latest)
            self.watch.record_refusal(LISTED)
        self.assertFalse(self.reports.evidence.is_suspected(REQUEST))
        self.assertTrue(self.reports.evidence.is_suspected(latest))

    async def test_requests_of_an_upstream_that_resets_all_of_them_are_bounded(
        self,
    ) -> None:
        begun_s = crash_watch.elapsed_s()
        for number in range(500):
            now_s = begun_s + number * crash_watch.LOSS_VALIDITY_S / 100
            with mock.patch.object(crash_watch, "elapsed_s", return_value=now_s):
                await self.watch.record_loss(LISTED, RequestDigest(str(number)))
        (loss,) = self.watch.losses.values()
        self.assertLessEqual(len(loss.requests), crash_watch.MAX_REQUESTS_PER_LOSS)

    async def test_upstream_that_drains_or_is_unlisted_has_not_crashed(self) -> None:
        self.connections.refused = True
        draining = ListedUpstream(
            upstream_id=LISTED.upstream_id,
            service=LISTED.service,
            address=LISTED.address,
            data_centre=LISTED.data_centre,
            state=ListedState.DRAINING,
            started_ms=LISTED.started_ms,
        )
        self.directory.upstream_put(draining)
        await self.watch.record_loss(LISTED, REQUEST)
        self.directory.upstream_removed(LISTED.upstream_id)
        await self.watch.record_loss(LISTED, REQUEST)
        self.assertFalse(self.crashed())
