"""Test the ownership of partitions by nodes of unequal capacity."""

import signal

from platform_case import PlatformCase

from fulmarpulley_testing.platform_system import NodeProcess, submit, wait_results
from fulmarpulley_testing.processes import wait_for

AMPLE = {"cores": 2.0, "cpu_share": 0.75, "memory_mb": 552}
SMALL = {"cores": 1.0, "cpu_share": 0.36, "memory_mb": 152}


class CapacityTest(PlatformCase):
    """Guards against steps that stall when the only ample node is lost."""

    def start_nodes(self) -> list[NodeProcess]:
        self.system.instance = AMPLE
        ample = self.system.add_node("ample")
        wait_for(lambda: self.system.owner() is ample, "ownership of the ample node")
        self.system.instance = SMALL
        return [ample, *(self.system.add_node(f"small{n}") for n in range(2))]

    def test_small_node_finishes_the_step_of_a_killed_ample_owner(self) -> None:
        ample, small = self.nodes[0], self.nodes[1]
        for engine in self.engines:
            engine.events_per_item = 60
            engine.event_s = 0.05
        self.assertTrue(ample.events("ownership_joined"))
        for node in self.nodes[1:]:
            wait_for(lambda n=node: bool(n.events("ownership_waits")), "a check")  # type: ignore[misc]
        submit(small, "s1", 4)
        wait_for(
            lambda: any(run.events > 20 for run in self.system.all_runs("s1-0")),
            "progress",
        )
        self.assertIs(self.system.owner(), ample)
        ample.kill()
        self.assert_complete(wait_results(small, "s1", 4), 60)
        self.assertIn(self.system.owner(), self.nodes[1:])
        self.assert_resumed_within_progress("s1-0")


class ReturnTest(PlatformCase):
    """Guards against a weak owner that keeps the work when ample nodes come."""

    def start_nodes(self) -> list[NodeProcess]:
        self.system.instance = SMALL
        return [self.system.add_node("small")]

    def test_small_owner_hands_its_step_over_to_ample_nodes(self) -> None:
        small = self.owner()
        for engine in self.engines:
            engine.events_per_item = 90
            engine.event_s = 0.2
        submit(small, "s1", 4)
        wait_for(lambda: bool(self.system.all_runs("s1-0")), "a run")
        self.system.instance = AMPLE
        self.nodes += [self.system.add_node(f"ample{n}") for n in range(3)]
        wait_for(lambda: bool(small.events("ownership_left")), "a leave")
        self.assert_complete(wait_results(small, "s1", 4), 90)
        self.assertIn(self.system.owner(), self.nodes[1:])
        self.assertGreater(self.system.all_runs("s1-0")[-1].resume_after, 0)
        # A node that waits outside the group must still stop at once.
        small.signal(signal.SIGTERM)
        assert small.process is not None
        self.assertEqual(small.process.wait(10), 0)
