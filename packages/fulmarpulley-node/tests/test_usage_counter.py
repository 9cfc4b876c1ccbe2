"""Test which calls to upstreams count as usage, and that counts reach the log once."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from multidict import CIMultiDict
from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import AccountName, ServiceName
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.usage import US_PER_S, UsageLedger, decode
from fulmarpulley_node.rollout import usage_counter
from fulmarpulley_node.rollout.interfaces import (
    ConnectionFault,
    StoreFailure,
    UpstreamCallFailure,
    UpstreamResponse,
)
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.usage_counter import (
    PRESUMED_AFTER_US,
    CallResult,
    ClientAttempt,
    UsageRecorder,
)

START_US = 10_000 * 5 * US_PER_S
LOST = ConnectionFault.LOST


class FakeLog:
    """Takes records; the first `failures` appends get no answer."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.failures = 0

    async def append(
        self, _topic: str, _partition: int, records: list[bytes]
    ) -> Result[int, StoreFailure]:
        self.records += records
        if self.failures:
            self.failures -= 1
            return Err(StoreFailure.UNKNOWN)
        return Ok(0)


def response(status: int = 200) -> CallResult:
    return Ok(UpstreamResponse(status=status, headers=CIMultiDict(), body=b""))


def failed(failure: Failure, connection: ConnectionFault | None = None) -> CallResult:
    return Err(UpstreamCallFailure(failure, "", connection=connection))


class UsageRecorderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.log = FakeLog()
        log: Any = self.log
        self.recorder = UsageRecorder(settings(), log, RolloutMetrics())
        self.now_us = START_US
        patched = mock.patch.object(usage_counter, "unix_us", lambda: self.now_us)
        self.enterContext(patched)
        self.enterContext(mock.patch.object(usage_counter, "MIN_RETRY_S", 0.001))
        self.attempt = ClientAttempt(AccountName("a"), ServiceName("desk"))

    async def call(self, result: CallResult, takes_us: int = 1000) -> None:
        async def send() -> CallResult:
            self.now_us += takes_us
            return result

        await self.recorder.observe(self.attempt, send())

    async def counts(self, window_us: int = START_US) -> dict[str, int]:
        await self.recorder.flush()
        ledger = UsageLedger(self.recorder.counter.window_us)
        for data in self.log.records:
            record = decode(data)
            assert record is not None
            ledger.apply(record, record.at_us, True)
        return ledger.counts(window_us // ledger.window_us)

    async def test_only_requests_that_may_have_run_count(self) -> None:
        outcomes = [
            (response(), 1),
            (response(500), 1),
            (failed(Failure.BROKEN), 1),
            (failed(Failure.BROKEN, LOST), 1),
            (failed(Failure.REFUSED), 0),
            (failed(Failure.NOT_SENT), 0),
        ]
        for number, (result, count) in enumerate(outcomes):
            account = AccountName(f"a{number}")
            self.attempt = ClientAttempt(account, ServiceName("desk"))
            await self.call(result)
            self.assertEqual((await self.counts()).get(account, 0), count)

    async def test_retries_and_hedges_count_once(self) -> None:
        await self.call(failed(Failure.REFUSED))
        await self.call(failed(Failure.BROKEN))
        await self.call(response())
        self.assertEqual(await self.counts(), {"a": 1})

    async def test_request_whose_client_left_counts(self) -> None:
        call = self.recorder.observe(self.attempt, asyncio.sleep(3600))  # type: ignore[arg-type]
        task = asyncio.create_task(call)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(await self.counts(), {"a": 1})

    async def test_queued_request_counts_when_it_began_to_run(self) -> None:
        # It was sent in one window and began in the next one.
        attempt, self.attempt = (
            self.attempt,
            ClientAttempt(AccountName(""), ServiceName("desk")),
        )
        await self.call(response(), takes_us=100_000)
        self.attempt = attempt
        self.now_us = START_US - US_PER_S
        await self.call(response(), takes_us=2 * US_PER_S)
        self.assertEqual(await self.counts(), {"a": 1})

    async def test_overdue_request_counts_before_its_response(self) -> None:
        # An upstream that hangs answers after the report of the window.
        ends: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()

        async def send() -> CallResult:
            return await ends

        task = asyncio.create_task(self.recorder.observe(self.attempt, send()))
        await asyncio.sleep(0)
        self.recorder._presume(self.now_us + PRESUMED_AFTER_US)
        self.assertIsNone(self.attempt.began_us)
        self.recorder._presume(self.now_us + PRESUMED_AFTER_US + 1)
        self.assertEqual(self.attempt.began_us, START_US)
        # It turns out that the request did not run.
        ends.set_result(failed(Failure.REFUSED))
        await task
        self.assertEqual(await self.counts(), {})

    async def test_append_without_an_answer_is_repeated_and_counts_once(self) -> None:
        self.log.failures = 2
        await self.call(response())
        self.assertEqual(await self.counts(), {"a": 1})
        self.assertEqual(len(self.log.records), 3)
        self.assertEqual(len(set(self.log.records)), 1)
