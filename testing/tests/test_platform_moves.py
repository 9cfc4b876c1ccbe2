"""Test steps that are sent again while their route leads to another service."""

import threading
from typing import Any

from platform_case import PlatformCase, accepted_step

from fulmarpulley_core.ids import ServiceName
from fulmarpulley_core.rollout.step_records import RecordReader, encode
from fulmarpulley_node.rollout.partitions import partition_of
from fulmarpulley_schema.generated.steps import StepAccepted
from fulmarpulley_testing.platform_documents import (
    ENGINES,
    ROLLOUT_PREFIX,
    configuration,
)
from fulmarpulley_testing.platform_store import OPERATOR_TOPIC
from fulmarpulley_testing.platform_system import (
    PARTITIONS,
    NodeProcess,
    results,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.processes import wait_for

# Its steps are in another partition than those of ENGINES.
OTHER_ENGINES = "other-engines"
ITEMS = 4
EVENTS = 5
APPLY_S = 2.5
NODES = 3


class MovedStepTest(PlatformCase):
    """Guards against a step that is accepted again after its route has moved."""

    def setUp(self) -> None:
        super().setUp()
        self.others = [self.system.add_worker(f"o{n}", OTHER_ENGINES) for n in range(2)]
        self.assertNotEqual(
            *(partition_of(ServiceName(s), PARTITIONS) for s in self.services())
        )

    def services(self) -> tuple[str, str]:
        return ENGINES, OTHER_ENGINES

    def start_nodes(self) -> list[NodeProcess]:
        port = self.system.store_port
        self.system.store_port = self.system.serve(self.system.store.app(may_lag=True))
        lagging = self.system.add_node("lagging")
        self.system.store_port = port
        return [*(self.system.add_node(f"n{n}") for n in range(NODES)), lagging]

    def route_to(self, **target: Any) -> None:
        """Configure both services and a rollout route to one or some of them."""
        rollout, *routes = configuration(0)["Routes"]
        del rollout["Service"]
        engines = configuration(0)["Services"][0]
        services = [*configuration(0)["Services"], {**engines, "Name": OTHER_ENGINES}]
        self.system.configure(
            Routes=[{**rollout, **target}, *routes], Services=services
        )

    def move(self) -> None:
        self.route_to(Service=OTHER_ENGINES)
        settle(APPLY_S)

    def partitions_of(self, step: str) -> set[int]:
        """Return the partitions that hold the acceptance of a step."""
        return {
            partition
            for (topic, partition), stored in self.system.store.partitions.items()
            for record in RecordReader().read_all(stored)
            if topic == "steps"
            and isinstance(record, StepAccepted)
            and record.step_id == step
        }

    def assert_accepted_once(self, step: str) -> None:
        """Assert that all nodes list one series of results, from one partition."""
        first = wait_results(self.nodes[0], step, ITEMS)
        self.assert_complete(first, EVENTS)
        settle(1.0)
        for node in self.nodes:
            self.assertEqual(results(node, step)["Results"], first, node.name)
        self.assertEqual(len(self.partitions_of(step)), 1)

    def test_step_sent_again_after_a_move_is_not_accepted_again(self) -> None:
        self.assertEqual(submit(self.nodes[0], "s1", ITEMS).status, 202)
        self.move()
        for node in self.nodes[1:]:
            self.assertEqual(submit(node, "s1", ITEMS).status, 202)
        self.assert_accepted_once("s1")

    def test_step_sent_again_after_a_move_and_back_is_not_accepted_again(self) -> None:
        submit(self.nodes[0], "s1", ITEMS)
        self.move()
        submit(self.nodes[1], "s1", ITEMS)
        submit(self.nodes[1], "s2", ITEMS)
        self.route_to(Service=ENGINES)
        settle(APPLY_S)
        submit(self.nodes[2], "s1", ITEMS)
        submit(self.nodes[2], "s2", ITEMS)
        self.assert_accepted_once("s1")
        self.assert_accepted_once("s2")

    def test_step_sent_again_after_a_split_lists_another_service_first(self) -> None:
        parts = [{"Service": name, "Weight": 1} for name in self.services()]
        self.route_to(TrafficSplit=parts)
        settle(APPLY_S)
        submit(self.nodes[0], "s1", ITEMS)
        self.route_to(TrafficSplit=parts[::-1])
        settle(APPLY_S)
        submit(self.nodes[1], "s1", ITEMS)
        self.assert_accepted_once("s1")

    def test_step_sent_to_nodes_with_different_configurations_at_once(self) -> None:
        self.system.store.held_topics.add(OPERATOR_TOPIC)
        self.move()
        for number in range(10):
            step = f"s{number}"
            senders = [
                threading.Thread(target=submit, args=(node, step, ITEMS))
                for node in (self.nodes[-1], *self.nodes[: number % NODES + 1])
            ]
            for sender in senders:
                sender.start()
            for sender in senders:
                sender.join()
        self.system.run(self.system.store.release_topics())
        for number in range(10):
            self.assert_accepted_once(f"s{number}")

    def test_step_sent_again_after_a_move_and_a_restart_of_all_nodes(self) -> None:
        submit(self.nodes[0], "s1", ITEMS)
        wait_results(self.nodes[0], "s1", ITEMS)
        self.route_to(Service=OTHER_ENGINES)
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            wait_for(node.is_ready, f"readiness of {node.name}")
        self.assertEqual(submit(self.nodes[1], "s1", ITEMS).status, 202)
        self.assert_accepted_once("s1")

    def test_step_of_an_older_build_is_found_after_a_move(self) -> None:
        # An older build places no steps; it only accepted this one.
        record = accepted_step("s1", ITEMS, ROLLOUT_PREFIX)
        partition = partition_of(ServiceName(ENGINES), PARTITIONS)
        self.system.run(self.system.store.add("steps", partition, [encode(record)]))
        self.move()
        for node in self.nodes:
            self.assertEqual(submit(node, "s1", ITEMS).status, 202)
        self.assert_accepted_once("s1")

    def test_step_is_ended_at_any_node_after_a_move(self) -> None:
        for engine in (*self.engines, *self.others):
            engine.event_s = 0.5
            engine.events_per_item = 1000
        submit(self.nodes[0], "s1", ITEMS)
        wait_for(lambda: bool(self.system.all_runs("s1-0")), "a run")
        self.move()
        self.assertEqual(self.nodes[2].call("DELETE", "/-/lots/s1").status, 200)
        settle(APPLY_S)
        workers = (*self.engines, *self.others)
        self.assertTrue(all(run.ended for w in workers for run in w.runs))
        self.assertEqual(submit(self.nodes[1], "s1", ITEMS).status, 202)
        self.assertEqual(results(self.nodes[1], "s1")["Total"], ITEMS)
        settle(1.0)
        self.assertTrue(all(run.ended for w in workers for run in w.runs))
