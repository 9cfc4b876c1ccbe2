"""Test steps on the platform while the owner of their partition fails."""

import signal
import time

from platform_case import PlatformCase

from fulmarpulley_core.ids import ServiceName
from fulmarpulley_core.rollout.step_records import encode
from fulmarpulley_node.rollout.partitions import partition_of
from fulmarpulley_schema.generated.steps import OwnerFence
from fulmarpulley_testing.platform_documents import ENGINES, MODEL
from fulmarpulley_testing.platform_system import (
    PARTITIONS,
    results,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.processes import wait_for


class OwnerFailureTest(PlatformCase):
    """Guards against steps that stall, or results that change, when an owner fails."""

    def slow_down(self) -> None:
        for engine in self.engines:
            engine.events_per_item = 60
            engine.event_s = 0.05

    def test_items_are_resumed_by_the_next_owner_after_a_kill(self) -> None:
        self.slow_down()
        submit(self.non_owner(), "s1", 4)
        reader = self.non_owner()
        wait_for(
            lambda: any(run.events > 40 for run in self.system.all_runs("s1-0")),
            "saved progress",
        )
        self.owner().kill()
        found = wait_results(reader, "s1", 4)
        self.assert_complete(found, 60)
        runs = self.system.all_runs("s1-0")
        self.assertEqual(len(runs), 2)
        self.assertGreater(runs[1].resume_after, 0)
        self.assert_resumed_within_progress("s1-0")

    def test_results_keep_their_positions_after_a_takeover(self) -> None:
        submit(self.non_owner(), "s1", 4)
        reader = self.non_owner()
        before = wait_results(reader, "s1", 4)
        self.owner().kill()
        wait_for(lambda: self.system.owner() is reader, "a takeover")
        self.assertEqual(results(reader, "s1")["Results"], before)

    def test_results_do_not_change_when_a_paused_owner_continues(self) -> None:
        self.slow_down()
        owner, reader = self.owner(), self.non_owner()
        submit(reader, "s1", 4)
        wait_for(lambda: bool(self.system.all_runs("s1-0")), "a run")
        owner.signal(signal.SIGSTOP)
        before = wait_results(reader, "s1", 4)
        owner.signal(signal.SIGCONT)
        settle(1.0)
        self.assertEqual(results(reader, "s1")["Results"], before)
        self.assertEqual(results(owner, "s1")["Results"], before)
        self.assert_complete(before, 60)

    def test_items_are_resumed_by_the_next_owner_after_a_graceful_stop(self) -> None:
        self.slow_down()
        owner, reader = self.owner(), self.non_owner()
        submit(reader, "s1", 4)
        wait_for(
            lambda: any(run.events > 5 for run in self.system.all_runs("s1-0")),
            "events of an item",
        )
        owner.signal(signal.SIGTERM)
        self.assert_complete(wait_results(reader, "s1", 4), 60)
        assert owner.process is not None
        self.assertEqual(owner.process.wait(10), 0)
        self.assertGreater(self.system.all_runs("s1-0")[1].resume_after, 0)

    def test_orders_continue_after_a_late_fence_of_a_former_owner(self) -> None:
        # Soak seed 44: a fence whose append got no answer took effect after the fence
        # of the next owner, whose engines then got no more versions.
        store = self.system.store
        partition = partition_of(ServiceName(ENGINES), PARTITIONS)
        late = encode(OwnerFence(node_id="gone", tenure="late"))
        wait_for(lambda: bool(self.owner().events("fence_taken")), "a fence")
        self.system.run(store.add("steps", partition, [late]))
        self.system.set_target_version(2)
        wait_for(
            lambda: all(engine.versions[MODEL] == 2 for engine in self.engines),
            "the new version",
        )

    def test_results_are_written_after_the_owner_loses_its_partition(self) -> None:
        owner, reader = self.owner(), self.non_owner()
        submit(reader, "s1", 4)
        wait_results(reader, "s1", 4)
        member = next(
            name
            for name in self.system.store.groups["homes"].members
            if name.startswith(owner.name)
        )
        self.slow_down()
        submit(reader, "s2", 2)
        wait_for(lambda: bool(self.system.all_runs("s2-0")), "a run")
        self.system.store.rejected_members.add(member)
        self.assert_complete(wait_results(reader, "s2", 2), 60)


class NewOwnerTest(PlatformCase):
    """Guards against new owners that send orders too late or within the old lease."""

    lease_ms = 3000.0

    def test_next_owner_sends_orders_at_once_when_the_last_ones_are_old(self) -> None:
        # The next owner reads the partition for the first time when it takes over.
        self.system.set_target_version(2)
        wait_for(lambda: all(e.versions["m0"] == 2 for e in self.engines), "loads")
        settle(5.0)
        self.owner().kill()
        killed = time.monotonic()
        self.system.set_target_version(3)
        wait_for(lambda: all(len(e.orders) == 2 for e in self.engines), "orders")
        # Without the minimum ages of records that are written to the log, the lease of
        # 3 s would count from the takeover, which comes 0.9 s after the kill.
        self.assertLess(time.monotonic() - killed, 3.9)

    def test_next_owner_waits_for_the_lease_after_the_fence_has_expired(self) -> None:
        # The next owner reads the partition for the first time when it takes over, and
        # the last owner has held it for longer than the log keeps records.
        partition = partition_of(ServiceName(ENGINES), PARTITIONS)
        wait_for(lambda: bool(self.owner().events("fence_taken")), "a fence")
        self.system.store.expire_records("steps", partition)
        self.system.set_target_version(2)
        wait_for(lambda: all(e.versions["m0"] == 2 for e in self.engines), "loads")
        self.owner().kill()
        self.system.set_target_version(3)
        wait_for(lambda: all(len(e.orders) == 2 for e in self.engines), "orders")
        for engine in self.engines:
            first, second = engine.orders
            self.assertGreater(second.at - first.at, self.lease_ms / 1000)

    def test_next_owner_sends_orders_a_lease_after_recent_ones(self) -> None:
        self.system.set_target_version(2)
        wait_for(lambda: all(e.versions["m0"] == 2 for e in self.engines), "loads")
        self.owner().kill()
        self.system.set_target_version(3)
        wait_for(lambda: all(len(e.orders) == 2 for e in self.engines), "orders")
        for engine in self.engines:
            first, second = engine.orders
            self.assertGreater(second.at - first.at, self.lease_ms / 1000)
