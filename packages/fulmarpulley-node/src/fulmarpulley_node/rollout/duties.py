"""Run the duties that one node has at a time, and make their calls.

The owner of a partition holds the duties of the partition. It makes a duty call like an
order to an engine: an intent on the log precedes the call, and the call carries the
fence of the tenure. The subject of the call takes the place of the engine.
"""

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
from aiomisc import Service
from result import Err, Result

from fulmarpulley_core.ids import (
    DutySubject,
    FenceNumber,
    Partition,
    ServiceName,
    UpstreamId,
)
from fulmarpulley_core.registry import Registry
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from .clock import elapsed_s
from .directory import Directory
from .interfaces import DutyCalls, DutyFailure
from .metrics import RolloutMetrics, labels
from .ownership import Ownership, Tenure
from .partitions import Partitions, partition_of

if TYPE_CHECKING:
    from .step_home import StepHome

# Time of `elapsed_s` until which the bytes of the current duty call may be written.
SEND_LIMIT_S: ContextVar[float] = ContextVar("SEND_LIMIT_S")
SendDutyCall = Callable[[FenceNumber], Awaitable[Result[None, DutyFailure]]]


class Duty(StrEnum):
    """Name the duties, as in the subjects of their calls."""

    USAGE = "usage"
    SCALING = "scaling"


USAGE_SUBJECT = DutySubject(f"duty/{Duty.USAGE}")


class DutyContext(msgspec.Struct, frozen=True, eq=False):
    """Hold what a duty task works with during one tenure."""

    runner: "DutyRunner"
    tenure: Tenure
    settings: RolloutSettings
    directory: Directory
    partitions: Partitions
    calls: DutyCalls
    metrics: RolloutMetrics


class DutyTask(ABC):
    """Fulfil a duty for as long as a tenure lasts."""

    def __init__(self, context: DutyContext) -> None:
        self.context = context

    @classmethod
    def belongs_to(cls, partition: Partition, settings: RolloutSettings) -> bool:
        """Return whether the owner of a partition has this duty."""
        return True

    @abstractmethod
    async def run(self) -> None:
        """Work until cancelled; an exception starts the work again."""


duty_tasks: Registry[type[DutyTask]] = Registry("duty")


class DutyRunner(Service):
    """Run the duty tasks of the partitions that this node owns.

    :param duties: duties of the deployment
    """

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        partitions: Partitions,
        ownership: Ownership,
        calls: DutyCalls,
        duties: frozenset[Duty],
        metrics: RolloutMetrics,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.directory = directory
        self.partitions = partitions
        self.ownership = ownership
        self.calls = calls
        self.duties = duties
        self.metrics = metrics
        self.tasks = BackgroundTasks()
        # Returns the step home of a tenure, whose pools show the load of its services.
        self.home_of: Callable[[Tenure], StepHome | None] = lambda tenure: None
        self.running: dict[Tenure, dict[Duty, asyncio.Task[None]]] = {}
        # The limit of the platform holds for all nodes together. There are at most as
        # many holders as partitions, so each tenure makes its share of the calls.
        self.call_interval_s = settings.log.partitions / settings.duty_calls_per_s
        # Monotonic time from which a tenure may make its next call.
        self._next_call_at: dict[Tenure, float] = {}
        ownership.on_gained.append(self.open)
        ownership.on_lost.append(self.close)

    async def start(self) -> None:
        """Do nothing: duties begin with the ownership of a partition."""

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all duty tasks."""
        await self.tasks.stop()

    def open(self, tenure: Tenure) -> None:
        """Start the duties of a partition that this node has gained."""
        context = DutyContext(
            self,
            tenure,
            self.settings,
            self.directory,
            self.partitions,
            self.calls,
            self.metrics,
        )
        running: dict[Duty, asyncio.Task[None]] = {}
        for duty in sorted(self.duties):
            if duty not in duty_tasks:
                continue
            task_type = duty_tasks.get(duty)
            if task_type.belongs_to(tenure.partition, self.settings):
                running[duty] = self.tasks.supervise(task_type(context).run)
                self.metrics.duties_held.inc(labels(duty=duty))
                log_event("duty_held", duty=duty.value, partition=tenure.partition)
        if running:
            self.running[tenure] = running

    def close(self, tenure: Tenure) -> None:
        """End the duties of a partition that this node has lost."""
        self._next_call_at.pop(tenure, None)
        for duty, task in self.running.pop(tenure, {}).items():
            task.cancel()
            self.metrics.duties_held.dec(labels(duty=duty))
            log_event("duty_ended", duty=duty.value, partition=tenure.partition)

    async def call(
        self, tenure: Tenure, subject: DutySubject, send: SendDutyCall
    ) -> Result[None, DutyFailure]:
        """Make a duty call as soon as the tenure may act on the subject.

        Without a permit, the call is UNREACHABLE, or FENCED by a newer tenure.

        :param send: makes the call with the fence that it is given
        """
        started_at = time.monotonic()
        fence, result = await self._try_call(tenure, subject, send)
        if (
            isinstance(result, Err)
            and result.err_value is DutyFailure.UNAVAILABLE
            and self._is_superseded(tenure)
        ):
            result = Err(DutyFailure.FENCED)
        if isinstance(result, Err) and result.err_value is DutyFailure.FENCED:
            self._mark_superseded(tenure, fence)
        outcome = result.err_value.value if isinstance(result, Err) else "ok"
        duty = subject.split("/")[1]
        self.metrics.duty_calls.inc(labels(duty=duty, outcome=outcome))
        log_event(
            "duty_call",
            duty=duty,
            subject=subject,
            fence=fence,
            outcome=outcome,
            seconds=time.monotonic() - started_at,
        )
        return result

    async def _try_call(
        self, tenure: Tenure, subject: DutySubject, send: SendDutyCall
    ) -> tuple[FenceNumber | None, Result[None, DutyFailure]]:
        upstream = UpstreamId(subject)
        fence = await self.ownership.wait_for_fence(tenure)
        if fence is None:
            return None, Err(DutyFailure.FENCED)
        await self._wait_for_permission(tenure, upstream)
        valid_until_s = await self.ownership.permit_until_s(tenure, upstream, fence)
        if valid_until_s is None or tenure.ended or tenure.superseded_at is not None:
            superseded = self._is_superseded(tenure)
            failure = DutyFailure.FENCED if superseded else DutyFailure.UNREACHABLE
            return fence, Err(failure)
        token = SEND_LIMIT_S.set(valid_until_s)
        try:
            return fence, await send(fence)
        finally:
            SEND_LIMIT_S.reset(token)

    async def _wait_for_permission(self, tenure: Tenure, upstream: UpstreamId) -> None:
        """Wait for the tenure's turn to call, and for the lease of another owner."""
        now = time.monotonic()
        call_at = max(now, self._next_call_at.get(tenure, now))
        self._next_call_at[tenure] = call_at + self.call_interval_s
        await asyncio.sleep(call_at - now)
        wait_s = await self.ownership.order_wait_s(tenure, upstream)
        while wait_s:
            await asyncio.sleep(wait_s)
            wait_s = await self.ownership.order_wait_s(tenure, upstream)

    def _is_superseded(self, tenure: Tenure) -> bool:
        """Tell whether the log has a newer fence than that of a tenure."""
        newest = self.partitions.followers[tenure.partition].fold.orders.tenure
        return (
            tenure.ended
            or tenure.superseded_at is not None
            or newest not in ("", tenure.tenure_id)
        )

    def _mark_superseded(self, tenure: Tenure, fence: FenceNumber | None) -> None:
        """Have ownership take a new fence unless it has done so since the call."""
        if tenure.fence == fence and tenure.superseded_at is None:
            tenure.superseded_at = time.monotonic()


def may_send() -> bool:
    """Return whether the bytes of the current duty call may still be written."""
    return elapsed_s() < SEND_LIMIT_S.get()


def usage_partition(settings: RolloutSettings) -> Partition:
    """Return the partition whose owner reports usage."""
    return partition_of(ServiceName(USAGE_SUBJECT), settings.log.partitions)
