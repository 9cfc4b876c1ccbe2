"""Test how a node joins and leaves the ownership of partitions."""

import asyncio
import unittest
from collections import defaultdict
from types import SimpleNamespace
from typing import Any
from unittest import mock

from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_node.rollout import owner_admission
from fulmarpulley_node.rollout.interfaces import (
    Membership,
    PartitionOwner,
    StoreFailure,
)
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.owner_admission import STANDBY_GROUPS, OwnerAdmission
from fulmarpulley_node.rollout.ownership import Ownership
from fulmarpulley_schema.generated.rollout_settings import InstanceLimits

SMALL = InstanceLimits(cores=0.36, memory_mb=152)
AMPLE = InstanceLimits(cores=2.15, memory_mb=552)
THREE_AMPLE = [f"n{number}/x/2150m/552" for number in range(3)]


class FakeLog:
    """Records the calls; the owners of the first group are given by the test."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.seen: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self.owner_names: list[str] | None = []
        self.join_gate = asyncio.Event()
        self.join_gate.set()

    def add(self, call: str) -> None:
        self.calls.append(call)
        self.seen[call].set()

    async def join(self, group: str, *_call: Any) -> Result[Membership, StoreFailure]:
        self.add("join begun")
        await self.join_gate.wait()
        self.add(f"join {group}")
        return Ok(Membership(1, frozenset()))

    async def leave(self, group: str, _member: str) -> Result[None, StoreFailure]:
        self.add(f"leave {group}")
        return Ok(None)

    async def owners(
        self, group: str, _topic: str
    ) -> Result[list[PartitionOwner], StoreFailure]:
        self.add(f"owners {group}")
        if self.owner_names is None:
            return Err(StoreFailure.UNKNOWN)
        names = [] if group in STANDBY_GROUPS else self.owner_names
        return Ok([PartitionOwner(0, name) for name in names])


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against nodes that keep a membership, or lose progress when they leave."""

    async def asyncSetUp(self) -> None:
        for name in ("check_delay_s", "standby_delay_s"):
            patch = mock.patch.object(owner_admission, name, lambda *_values: 0.01)
            self.enterContext(patch)
        self.log = FakeLog()

    async def start(self, instance: InstanceLimits) -> None:
        options = settings()
        options.instance = instance
        log: Any = self.log
        partitions: Any = None
        self.ownership = Ownership(options, log, partitions)
        homes: Any = SimpleNamespace(save=self.save)
        admission = OwnerAdmission(
            options, log, self.ownership, homes, RolloutMetrics()
        )
        await self.ownership.start()
        await admission.start()
        self.addAsyncCleanup(self.ownership.stop)
        self.addAsyncCleanup(admission.stop)

    async def save(self) -> None:
        self.log.add("save")

    async def wait_for(self, call: str) -> None:
        async with asyncio.timeout(10.0):
            await self.log.seen[call].wait()

    async def test_unstated_capacity_makes_only_the_calls_of_older_builds(self) -> None:
        await self.start(InstanceLimits())
        await self.wait_for("join homes")
        await asyncio.sleep(0.1)
        self.assertEqual(set(self.log.calls), {"join begun", "join homes"})
        self.assertEqual(self.ownership.member.count("/"), 1)

    async def test_small_node_stays_out_beside_ample_ones(self) -> None:
        self.log.owner_names = THREE_AMPLE
        await self.start(SMALL)
        await self.wait_for("owners homes")
        await asyncio.sleep(0.1)
        self.assertEqual(set(self.log.calls), {"owners homes"})

    async def test_small_member_saves_and_leaves_when_ample_ones_own(self) -> None:
        await self.start(SMALL)
        await self.wait_for("join homes")
        self.log.owner_names = THREE_AMPLE
        await self.wait_for("leave homes")
        self.assertLess(
            self.log.calls.index("save"), self.log.calls.index("leave homes")
        )
        # A failing read does not bring it back.
        self.log.owner_names = None
        left = self.log.calls.index("leave homes")
        await asyncio.sleep(0.5)
        self.assertNotIn("join homes", self.log.calls[left:])

    async def test_join_that_is_on_its_way_does_not_undo_a_leave(self) -> None:
        await self.start(SMALL)
        await self.wait_for("join homes")
        self.log.join_gate.clear()
        self.log.seen["join begun"].clear()
        await self.wait_for("join begun")
        self.log.owner_names = THREE_AMPLE
        await self.wait_for("save")
        await asyncio.sleep(0.5)
        self.log.join_gate.set()
        await self.wait_for("leave homes")
        await asyncio.sleep(0.5)
        self.assertEqual(
            [call for call in self.log.calls if "owners" not in call][-1], "leave homes"
        )

    async def test_ample_node_announces_itself_beside_weak_owners(self) -> None:
        await self.start(AMPLE)
        self.assertTrue(self.ownership.admitted.is_set())
        self.log.owner_names = ["n9/x/360m/152"]
        # The fake gives it no partition in any group, so it must try them all.
        for group in STANDBY_GROUPS:
            await self.wait_for(f"join {group}")
