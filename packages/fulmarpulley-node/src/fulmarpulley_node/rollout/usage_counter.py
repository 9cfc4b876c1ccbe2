"""Count the plain requests of callers that begin to run, and write the counts."""

import asyncio
import uuid
from collections.abc import Coroutine
from typing import Any

import msgspec
from aiomisc import Service
from result import Err, Ok, Result

from fulmarpulley_core.ids import AccountName, Partition, ServiceName
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.usage import US_PER_S, RunTimes, UsageCounter, encode
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.usage import NodeUsage

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from .clock import unix_us
from .interfaces import (
    ConnectionFault,
    DurableLog,
    StoreFailure,
    UpstreamCallFailure,
    UpstreamResponse,
)
from .metrics import RolloutMetrics, labels

USAGE_TOPIC = "usage"
USAGE_PARTITION = Partition(0)
CHECK_INTERVAL_S = 0.2
# A request without a response for this much longer than usual counts as begun when it
# was sent, so that it is counted before the report of its window.
PRESUMED_AFTER_US = int(1.5 * US_PER_S)
MIN_RETRY_S = 0.25
MAX_RETRY_S = 1.0
# A record that the log does not take within this time is dropped.
MAX_RECORD_AGE_US = 60 * US_PER_S
# The node is killed a tenth of the grace period after open requests were closed.
FLUSH_TIMEOUT_S = 0.5
CallResult = Result[UpstreamResponse, UpstreamCallFailure]
# Failures of calls that the upstream may have begun to run.
RAN = frozenset({Failure.BROKEN, Failure.ERRORED})


class ClientAttempt(msgspec.Struct, eq=False):
    """Count one request of a client once, however often it is sent.

    :param began_us: time for which the request was counted; None if it was not
    """

    account: AccountName
    service: ServiceName
    began_us: int | None = None


class SentRequest(msgspec.Struct, eq=False):
    """Hold a request that waits for its response.

    :param presumed: whether this one made the client's attempt count
    """

    attempt: ClientAttempt
    sent_us: int
    presumed: bool = False


class UsageRecorder(Service):
    """Observe the calls of a forwarder and append the counts to the log."""

    def __init__(
        self, settings: RolloutSettings, log: DurableLog, metrics: RolloutMetrics
    ) -> None:
        super().__init__()
        self.log = log
        self.metrics = metrics
        window_us = int(settings.bounds.report_window_s * US_PER_S)
        self.counter = UsageCounter(settings.node_id, uuid.uuid4().hex[:8], window_us)
        self.run_times = RunTimes()
        self.tasks = BackgroundTasks()
        self._waiting: set[SentRequest] = set()
        # Held while a record is written, since records are written one at a time.
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Start to write the counts."""
        self.tasks.supervise(self._run)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all tasks."""
        await self.tasks.stop()

    async def observe(
        self, attempt: ClientAttempt, call: Coroutine[Any, Any, CallResult]
    ) -> CallResult:
        """Make a call to an upstream and count the request if it may have run."""
        sent = SentRequest(attempt, unix_us())
        self._waiting.add(sent)
        try:
            result = await call
        except BaseException:
            # The caller has left, or another call for the request was faster.
            self._count(attempt, sent.sent_us)
            raise
        finally:
            self._waiting.discard(sent)
        now_us = unix_us()
        usual_us = self.run_times.usual_us(attempt.service)
        if isinstance(result, Ok):
            self.run_times.add(attempt.service, now_us - sent.sent_us)
            self._count(attempt, max(sent.sent_us, now_us - usual_us))
        elif result.err_value.connection is ConnectionFault.LOST:
            self._count(attempt, max(sent.sent_us, now_us - usual_us))
        elif result.err_value.failure in RAN:
            self._count(attempt, sent.sent_us)
        elif sent.presumed:
            self._take_back(attempt)
        return result

    async def flush(self) -> None:
        """Write all counts at the stop of the node, if the log answers soon."""
        for sent in self._waiting:
            self._count(sent.attempt, sent.sent_us)
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._write()
        except TimeoutError:
            log_event("usage_not_written", reason="the node stops")

    def _count(self, attempt: ClientAttempt, began_us: int) -> None:
        if attempt.account and attempt.began_us is None:
            attempt.began_us = began_us
            self.counter.add(attempt.account, began_us)
            self.metrics.usage_requests.inc(labels(outcome="counted"))

    def _take_back(self, attempt: ClientAttempt) -> None:
        if attempt.began_us is not None:
            self.counter.add(attempt.account, attempt.began_us, -1)
            attempt.began_us = None
            self.metrics.usage_requests.inc(labels(outcome="taken_back"))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_us = unix_us()
            self._presume(now_us)
            self._record_dropped(self.counter.drop_old(now_us))
            if self.counter.is_due(now_us):
                await self._write()

    def _presume(self, now_us: int) -> None:
        """Count the requests whose response is overdue."""
        for sent in self._waiting:
            usual_us = self.run_times.usual_us(sent.attempt.service)
            is_overdue = now_us > sent.sent_us + usual_us + PRESUMED_AFTER_US
            if is_overdue and sent.attempt.began_us is None:
                sent.presumed = True
                self._count(sent.attempt, sent.sent_us)

    async def _write(self) -> None:
        async with self._lock:
            record = self.counter.take(unix_us())
            if record is not None and not await self._append(record):
                self._record_dropped(
                    sum(sum(row[1::2]) for row in record.counts.values())
                )

    async def _append(self, record: NodeUsage) -> bool:
        """Append a record, repeatedly if needed; return whether the log has it.

        An append without an answer may have taken effect. The same record is appended
        again, which the reader recognises by its sequence number.
        """
        data = [encode(record)]
        pause_s = MIN_RETRY_S
        while unix_us() < record.at_us + MAX_RECORD_AGE_US:
            result: Result[int, StoreFailure] = await self.log.append(
                USAGE_TOPIC, USAGE_PARTITION, data
            )
            if not isinstance(result, Err):
                return True
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_S)
        return False

    def _record_dropped(self, number: int) -> None:
        if number:
            self.metrics.usage_requests.add(labels(outcome="dropped"), number)
            log_event("usage_dropped", requests=number)
