"""Test which accounts may use a step."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import AccountName, Partition, RouteName, ServiceName, StepId
from fulmarpulley_core.rollout.accounts import AccountTable
from fulmarpulley_core.rollout.step_records import encode
from fulmarpulley_core.rollout.topology import (
    Route,
    RouteKind,
    Topology,
    WeightedService,
)
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.interfaces import LogPage, StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.partitions import Partitions
from fulmarpulley_node.rollout.step_frontend import StepFrontend, StepOutcome
from fulmarpulley_schema.generated.steps import StepAccepted

A, B, NONE = AccountName("a"), AccountName("b"), AccountName("")
DONE, NOT_FOUND = StepOutcome.DONE, StepOutcome.NOT_FOUND


def route(prefix: str, anonymous: bool) -> Route:
    return Route(
        name=RouteName(prefix),
        host="h",
        prefix=prefix,
        kind=RouteKind.ROLLOUT,
        services=(WeightedService(ServiceName("s"), 1),),
        timeout_s=1.0,
        anonymous=anonymous,
    )


def accepted(account: str, path: str = "/keyed/s1") -> StepAccepted:
    # Far in the future, so that the step does not expire.
    return StepAccepted(
        step_id="s1",
        host="h",
        path=path,
        submitted_ms=2**50,
        config_version=2,
        items=[],
        account=account,
    )


class MemoryLog:
    """Keeps the records of one partition; others may append before the own record."""

    def __init__(self, *records: StepAccepted) -> None:
        self.records = [encode(record) for record in records]
        self.earlier: list[bytes] = []
        self.appends = 0

    async def append(self, _topic: str, _partition: int, records: list[bytes]) -> Any:
        self.appends += 1
        self.records += [*self.earlier, *records]
        return Ok(len(self.records) - len(records))

    async def read(
        self, topic: str, partition: int, start: int, wait_s: float, *_: int
    ) -> Result[LogPage, StoreFailure]:
        end = len(self.records)
        await asyncio.sleep(wait_s if start >= end else 0.0)
        return Ok(LogPage(start, self.records[start:], end, 0))


class StepAccessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against steps that other accounts read, end or replace."""

    def frontend(self, log: MemoryLog, version: int = 2) -> StepFrontend:
        directory = Directory(RolloutMetrics())
        routes = (route("/keyed/", False), route("/open/", True))
        accounts = AccountTable([])
        directory.topology_changed(
            Topology(version=version, routes=routes, accounts=accounts)
        )
        store: Any = log
        partitions = Partitions(settings(), store)
        placed = mock.AsyncMock(return_value=Partition(0))
        self.enterContext(mock.patch.object(partitions.placements, "place", placed))
        self.addAsyncCleanup(partitions.stop)
        return StepFrontend(directory, partitions, RolloutMetrics())

    async def outcome(
        self, frontend: StepFrontend, account: AccountName | None
    ) -> StepOutcome:
        result = await frontend.results("h", StepId("s1"), 0, 0.0, account)
        return result.err_value if isinstance(result, Err) else DONE

    async def test_step_is_visible_to_its_account_only(self) -> None:
        log = MemoryLog(accepted("a"))
        frontend = self.frontend(log)
        for account, expected in ((A, DONE), (B, NOT_FOUND), (NONE, NOT_FOUND)):
            self.assertIs(await self.outcome(frontend, account), expected)
        self.assertIs(await frontend.end("h", StepId("s1"), B), NOT_FOUND)
        self.assertEqual(log.appends, 0)

    async def test_step_of_an_older_build_is_visible_to_each_account(self) -> None:
        # Its record has no account; an anonymous client needs an anonymous route.
        frontend = self.frontend(MemoryLog(accepted("")))
        for account, expected in ((A, DONE), (B, DONE), (NONE, NOT_FOUND)):
            self.assertIs(await self.outcome(frontend, account), expected)
        frontend = self.frontend(MemoryLog(accepted("", "/open/s1")))
        self.assertIs(await self.outcome(frontend, NONE), DONE)

    async def test_node_that_knows_no_accounts_yet_shows_no_step_of_one(self) -> None:
        for version, expected in ((1, StepOutcome.REFUSED), (2, DONE)):
            frontend = self.frontend(MemoryLog(accepted("a")), version)
            self.assertIs(await self.outcome(frontend, None), expected)

    async def test_resend_under_another_account_changes_nothing(self) -> None:
        log = MemoryLog(accepted("a"))
        frontend = self.frontend(log)
        keyed = route("/keyed/", False)
        self.assertIs(await frontend.submit(keyed, accepted("b"), B), NOT_FOUND)
        self.assertIs(await frontend.submit(keyed, accepted("a"), A), DONE)
        self.assertEqual(log.appends, 0)

    async def test_step_that_another_account_submits_first_is_not_confirmed(
        self,
    ) -> None:
        # Both nodes find no step of this id, and both append.
        log = MemoryLog()
        log.earlier = [encode(accepted("a"))]
        frontend = self.frontend(log)
        keyed = route("/keyed/", False)
        self.assertIs(await frontend.submit(keyed, accepted("b"), B), NOT_FOUND)
