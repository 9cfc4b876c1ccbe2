"""Test that duty calls are made only under the newest fence, and within its permit."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from aiohttp import web
from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import AccountName, FenceNumber, Partition
from fulmarpulley_core.registry import Registry
from fulmarpulley_node.platform import duty_calls
from fulmarpulley_node.platform.duty_calls import DutyClient, configured_duties
from fulmarpulley_node.rollout import duties
from fulmarpulley_node.rollout.clock import elapsed_s
from fulmarpulley_node.rollout.duties import (
    SEND_LIMIT_S,
    USAGE_SUBJECT,
    Duty,
    DutyRunner,
    DutyTask,
    may_send,
)
from fulmarpulley_node.rollout.interfaces import DutyFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.ownership import Tenure

FENCE = FenceNumber(5)
UNANSWERED = 0


class FakeOwnership:
    """Permits calls for as long as `permitted` is set."""

    def __init__(self) -> None:
        self.on_gained: list[Any] = []
        self.on_lost: list[Any] = []
        self.permitted = True
        self.waits = [0.0]

    async def wait_for_fence(self, tenure: Tenure) -> FenceNumber | None:
        return tenure.fence

    async def order_wait_s(self, *_order: object) -> float:
        return self.waits.pop(0) if len(self.waits) > 1 else self.waits[0]

    async def permit_until_s(self, *_order: object) -> float | None:
        return elapsed_s() + 0.5 if self.permitted else None


class DutyRunnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.ownership = FakeOwnership()
        self.tenure = Tenure(Partition(0), "first", FENCE)
        self.orders = SimpleNamespace(tenure="first")
        follower = SimpleNamespace(fold=SimpleNamespace(orders=self.orders))
        partitions: Any = SimpleNamespace(followers=[follower])
        ownership: Any = self.ownership
        nothing: Any = None
        self.runner = DutyRunner(
            settings(),
            nothing,
            partitions,
            ownership,
            nothing,
            frozenset({Duty.USAGE}),
            RolloutMetrics(),
        )
        self.sent: list[FenceNumber] = []
        self.answers: list[Result[None, DutyFailure]] = []

    async def send(self, fence: FenceNumber) -> Result[None, DutyFailure]:
        self.assertTrue(may_send())
        self.sent.append(fence)
        return self.answers.pop(0) if self.answers else Ok(None)

    async def call(self) -> Result[None, DutyFailure]:
        return await self.runner.call(self.tenure, USAGE_SUBJECT, self.send)

    async def test_call_waits_for_the_lease_and_carries_the_fence(self) -> None:
        self.ownership.waits = [0.01, 0.01, 0.0]
        self.assertEqual(await self.call(), Ok(None))
        self.assertEqual(self.sent, [FENCE])
        self.assertEqual(self.ownership.waits, [0.0])

    async def test_nothing_is_sent_without_a_permit(self) -> None:
        # The store is down: no intent, so no call.
        self.ownership.permitted = False
        self.assertEqual(await self.call(), Err(DutyFailure.UNREACHABLE))
        self.orders.tenure = "second"
        self.assertEqual(await self.call(), Err(DutyFailure.FENCED))
        self.assertEqual(self.sent, [])

    async def test_rejected_fence_is_renewed_before_the_next_call(self) -> None:
        self.answers = [Err(DutyFailure.FENCED)]
        await self.call()
        self.assertIsNotNone(self.tenure.superseded_at)
        self.assertEqual(await self.call(), Err(DutyFailure.FENCED))
        self.assertEqual(len(self.sent), 1)

    async def test_conflict_is_a_fence_only_if_the_log_has_a_newer_one(self) -> None:
        self.answers = [Err(DutyFailure.UNAVAILABLE), Err(DutyFailure.UNAVAILABLE)]
        self.assertEqual(await self.call(), Err(DutyFailure.UNAVAILABLE))
        self.orders.tenure = "second"
        self.assertEqual(await self.call(), Err(DutyFailure.FENCED))

    async def test_calls_of_a_tenure_keep_to_its_share_of_the_rate(self) -> None:
        pauses: list[float] = []

        async def sleep(seconds: float) -> None:
            pauses.append(seconds)

        with mock.patch.object(asyncio, "sleep", sleep):
            await asyncio.gather(*(self.call() for _ in range(4)))
        interval_s = self.runner.call_interval_s
        self.assertAlmostEqual(pauses[-1], 3 * interval_s, delta=interval_s / 2)

    async def test_duties_begin_and_end_with_the_tenure(self) -> None:
        states: list[str] = []

        class Task(DutyTask):
            async def run(self) -> None:
                states.append("runs")
                try:
                    await asyncio.Event().wait()
                finally:
                    states.append("ended")

        tasks: Registry[type[DutyTask]] = Registry("duty")
        tasks.register(Duty.USAGE)(Task)
        tasks.register(Duty.SCALING)(Task)
        with mock.patch.object(duties, "duty_tasks", tasks):
            self.ownership.on_gained[0](self.tenure)
        await asyncio.sleep(0)
        self.ownership.on_lost[0](self.tenure)
        await self.runner.stop()
        self.assertEqual(states, ["runs", "ended"])


class DutyClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that arrive after their permit, or after newer ones."""

    async def asyncSetUp(self) -> None:
        self.requests: list[Any] = []
        self.status = 200
        self.text = ""
        self.ended = asyncio.Event()
        app = web.Application()
        app.router.add_post("/{path:.*}", self.answer)
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        duty_settings = settings()
        port = runner.addresses[0][1]
        duty_settings.duties_address = f"127.0.0.1:{port}"
        duty_settings.duties = ["usage_reporting", "unknown"]
        self.settings = duty_settings
        self.client = DutyClient(duty_settings)
        self.addAsyncCleanup(self.client.close)

    async def answer(self, request: web.Request) -> web.Response:
        self.requests.append(
            (request.path, dict(request.headers), await request.json())
        )
        if self.status == UNANSWERED:
            try:
                await asyncio.Event().wait()
            finally:
                self.ended.set()
        return web.Response(status=self.status, text=self.text)

    async def report(self, valid_s: float = 0.5) -> Result[None, DutyFailure]:
        SEND_LIMIT_S.set(elapsed_s() + valid_s)
        return await self.client.report_usage(7, {AccountName("a"): 2}, FENCE)

    async def order(self) -> Result[None, DutyFailure]:
        SEND_LIMIT_S.set(elapsed_s() + 0.5)
        names: Any = ("s", "z")
        return await self.client.order_upstreams(*names, 3, False, FENCE)

    async def test_calls_have_the_fields_of_the_platform(self) -> None:
        self.assertEqual(await self.report(), Ok(None))
        self.assertEqual(await self.order(), Ok(None))
        (path, headers, body), (order_path, _, order) = self.requests
        self.assertEqual((path, order_path), ("/usage", "/scaling"))
        self.assertEqual(headers["Lease-Holder"], "n1")
        self.assertEqual(headers["Fencing-Token"], "5")
        self.assertEqual(body, {"Window": 7, "Counts": {"a": 2}})
        self.assertEqual(order, {"Service": "s", "Zone": "z", "TargetGroups": 3})

    async def test_call_is_abandoned_when_its_permit_has_expired(self) -> None:
        # A node that was frozen while it connected continues after another took over.
        self.assertEqual(await self.report(-0.1), Err(DutyFailure.UNREACHABLE))
        self.assertEqual(self.requests, [])

    async def test_answers_are_told_apart(self) -> None:
        outcomes = [
            (409, "", DutyFailure.FENCED, DutyFailure.UNAVAILABLE),
            (409, "stale token", DutyFailure.FENCED, DutyFailure.FENCED),
            (429, "", DutyFailure.REJECTED, DutyFailure.REJECTED),
            (503, "", DutyFailure.REJECTED, DutyFailure.REJECTED),
            (500, "", DutyFailure.UNKNOWN, DutyFailure.UNKNOWN),
        ]
        for self.status, self.text, reported, ordered in outcomes:
            with self.subTest(status=self.status, text=self.text):
                self.assertEqual(await self.report(), Err(reported))
                self.assertEqual(await self.order(), Err(ordered))

    async def test_connection_is_reset_at_the_time_limit(self) -> None:
        self.status = UNANSWERED
        self.client.timeout_s = 0.1
        self.assertEqual(await self.report(), Err(DutyFailure.UNKNOWN))
        async with asyncio.timeout(10):
            await self.ended.wait()

    async def test_refused_connection_is_unreachable(self) -> None:
        self.client.base = "http://127.0.0.1:9"
        self.assertEqual(await self.report(), Err(DutyFailure.UNREACHABLE))

    async def test_time_limit_is_within_the_lease(self) -> None:
        self.settings.bounds.lease_ms = 100.0
        limit_s = DutyClient(self.settings).timeout_s
        self.assertLessEqual(limit_s, 0.1 + duty_calls.ORDER_DELIVERY_S)

    async def test_duties_need_an_address_and_known_names(self) -> None:
        self.assertEqual(configured_duties(self.settings), {Duty.USAGE})
        self.settings.duties_address = ""
        self.assertEqual(configured_duties(self.settings), frozenset())
