"""Test what a trainer is told about a submission that the log does not accept."""

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from result import Err, Result
from rollout_settings import settings

from fulmarpulley_core.ids import Partition, RouteName, ServiceName
from fulmarpulley_core.rollout.topology import Route, RouteKind, WeightedService
from fulmarpulley_node.rollout import step_frontend
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.interfaces import StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.partitions import Partitions
from fulmarpulley_node.rollout.step_frontend import (
    SUBMIT_TIMEOUT_S,
    StepFrontend,
    StepOutcome,
)
from fulmarpulley_schema.generated.steps import StepAccepted

APPEND_S = 0.0055
# An append that is cut off by the end of the time may take effect.
NEEDED_S = 10 * APPEND_S


class RefusingLog:
    """Refuses each append after a while of a clock that the test controls."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.begun_s: list[float] = []

    async def append(self, *_call: object) -> Result[int, StoreFailure]:
        self.begun_s.append(self.now_s)
        self.now_s += APPEND_S
        return Err(StoreFailure.REFUSED)

    async def sleep(self, seconds: float) -> None:
        self.now_s += seconds


async def locate(*_step: object) -> tuple[Partition, bool]:
    return Partition(0), False


class RefusedSubmissionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an append that is begun too late to be answered."""

    async def test_no_append_begins_right_before_the_end_of_the_time(self) -> None:
        log = RefusingLog()
        route = Route(
            name=RouteName("r"),
            host="h",
            prefix="/p/",
            kind=RouteKind.ROLLOUT,
            services=(WeightedService(ServiceName("s"), 1),),
            timeout_s=1.0,
        )
        partitions: Any = Partitions(settings(), log)  # type: ignore[arg-type]
        frontend = StepFrontend(
            Directory(RolloutMetrics()), partitions, RolloutMetrics()
        )
        step: Any = SimpleNamespace(**dict.fromkeys(StepAccepted.__struct_fields__, ""))
        clock = SimpleNamespace(monotonic=lambda: log.now_s)
        sleep = SimpleNamespace(sleep=log.sleep, timeout=step_frontend.asyncio.timeout)
        with (
            mock.patch.object(step_frontend, "time", clock),
            mock.patch.object(step_frontend, "asyncio", sleep),
            mock.patch.object(partitions, "append", log.append),
            mock.patch.object(partitions, "locate", locate),
        ):
            outcome = await frontend.submit(route, step)
        self.assertIs(outcome, StepOutcome.REFUSED)
        self.assertGreater(len(log.begun_s), 3)
        self.assertLess(log.begun_s[-1], SUBMIT_TIMEOUT_S - NEEDED_S)
