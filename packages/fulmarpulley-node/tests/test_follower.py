"""Test that callers share reads, and that results of a stale fold are refused."""

import asyncio
import unittest

from result import Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import Partition, StepId
from fulmarpulley_core.rollout.step_records import RecordKind, StepRecord, encode, split
from fulmarpulley_core.rollout.topology import (
    Route,
    RouteKind,
    Topology,
    WeightedService,
)
from fulmarpulley_node.background_tasks import BackgroundTasks
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.follower import PartitionFollower
from fulmarpulley_node.rollout.interfaces import LogPage, StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.partitions import Partitions
from fulmarpulley_node.rollout.step_frontend import StepFrontend, StepOutcome
from fulmarpulley_schema.generated.steps import (
    ItemResult,
    ItemResults,
    ItemSpec,
    ItemState,
    StepAccepted,
)

SETTINGS = settings()


class SlowLog:
    """Returns one record per read after a pause, and none from `readable` on."""

    def __init__(self, records: list[StepRecord], pause_s: float = 0.0) -> None:
        self.records = [part for r in records for part in split(encode(r), 10**6)]
        self.pause_s = pause_s
        self.readable = len(self.records)
        self.reads: list[int] = []

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        wait_s: float,
        max_bytes: int = 0,
    ) -> Result[LogPage, StoreFailure]:
        self.reads.append(start)
        await asyncio.sleep(self.pause_s)
        if start >= len(self.records):
            await asyncio.sleep(wait_s)
        elif start >= self.readable:
            await asyncio.sleep(60.0)
        end = len(self.records)
        return Ok(LogPage(start, self.records[start : start + 1], end, 0))


def step(items: int) -> StepAccepted:
    specs = [
        ItemSpec(
            item_id=f"i{number}",
            path="/p/",
            headers={},
            body=b"",
            prompt_tokens=1,
            max_tokens=1,
        )
        for number in range(items)
    ]
    return StepAccepted(step_id="s1", host="h", path="/p/", submitted_ms=0, items=specs)


def result(number: int) -> ItemResults:
    one = ItemResult(item_id=f"i{number}", state=ItemState.COMPLETED, text=b"t")
    return ItemResults(step_id="s1", results=[one])


class SyncTest(unittest.IsolatedAsyncioTestCase):
    async def test_concurrent_syncs_share_reads(self) -> None:
        log = SlowLog([step(9), *(result(number) for number in range(9))], 0.01)
        tasks = BackgroundTasks()
        follower = PartitionFollower(SETTINGS, log, Partition(0), tasks)  # type: ignore[arg-type]
        done = await asyncio.gather(*(follower.sync(30.0) for _ in range(20)))
        await tasks.stop()
        self.assertEqual(set(done), {True})
        behind = [start for start in log.reads if start < len(log.records)]
        self.assertEqual(behind, list(range(len(log.records))))

    async def test_sync_includes_records_appended_before_it(self) -> None:
        log = SlowLog([step(2)])
        tasks = BackgroundTasks()
        follower = PartitionFollower(SETTINGS, log, Partition(0), tasks)  # type: ignore[arg-type]
        await follower.sync(30.0)
        log.records += split(encode(result(0)), 10**6)
        log.readable += 1
        await follower.sync(30.0)
        await tasks.stop()
        self.assertEqual(len(follower.fold.steps[StepId("s1")].results), 1)


class OddRecordTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one record that keeps a partition from being read."""

    async def test_records_after_one_that_cannot_be_applied_are_read(self) -> None:
        nested = bytes([RecordKind.STEP_ACCEPTED]) + b"\x91" * 100_000 + b"\xc0"
        log = SlowLog([step(2), result(0), result(1)])
        log.records.insert(1, nested)
        log.readable += 1
        tasks = BackgroundTasks()
        follower = PartitionFollower(SETTINGS, log, Partition(0), tasks)  # type: ignore[arg-type]
        apply = follower.fold.apply

        def fail_once(record: StepRecord) -> None:
            if isinstance(record, ItemResults):
                follower.fold.apply = apply  # type: ignore[method-assign]
                raise KeyError("odd")
            apply(record)

        follower.fold.apply = fail_once  # type: ignore[method-assign]
        self.assertTrue(await follower.sync(30.0))
        await tasks.stop()
        results = follower.fold.steps[StepId("s1")].results
        self.assertEqual([found.item_id for found in results], ["i1"])


class PartialFoldTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an empty page for results that another node has returned."""

    async def test_results_are_refused_when_position_is_beyond_fold(self) -> None:
        log = SlowLog([step(2), result(0), result(1)])
        log.readable = 2
        partitions = Partitions(SETTINGS, log)  # type: ignore[arg-type]
        directory = Directory(RolloutMetrics())
        route = Route(
            name="r",  # type: ignore[arg-type]
            host="h",
            prefix="/p/",
            kind=RouteKind.ROLLOUT,
            services=(WeightedService("s", 1),),  # type: ignore[arg-type]
            timeout_s=1.0,
        )
        directory.topology_changed(Topology(version=1, routes=(route,)))
        frontend = StepFrontend(directory, partitions, RolloutMetrics())
        await partitions.followers[0].sync(0.2)
        found = await frontend.results("h", StepId("s1"), 1, 0.0)
        await partitions.stop()
        self.assertEqual(found.err(), StepOutcome.REFUSED)
