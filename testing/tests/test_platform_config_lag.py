"""Test steps whose owner reads the configuration later than other nodes."""

from typing import Any

from platform_case import PlatformCase, accepted_step

from fulmarpulley_core.ids import ServiceName
from fulmarpulley_core.rollout.step_records import encode
from fulmarpulley_node.rollout.partitions import partition_of
from fulmarpulley_testing.platform_documents import (
    ENGINES,
    configuration,
    submission,
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

OTHER_ENGINES = "other-engines"
ADDED_PREFIX = "/added/"
# The owner reads the step well within this time.
LAG_S = 1.5
# A configuration must be in force after 2.5 s, so that a node which has read none for
# this long may not know the newest one.
OUTDATED_S = 3.0
ITEMS = 4
EVENTS = 5


def rollout_route(**changes: Any) -> dict[str, Any]:
    """Return the rollout route of the configuration, with changed fields."""
    return {**configuration(0)["Routes"][0], **changes}


class LaggingNodeCase(PlatformCase):
    """Starts an owner of all partitions that gets no configuration for a while."""

    def start_nodes(self) -> list[NodeProcess]:
        system = self.system
        port = system.store_port
        system.store_port = system.serve(system.store.app(may_lag=True))
        self.lagging = system.add_node("lagging")
        wait_for(lambda: system.owner(OTHER_ENGINES) is self.lagging, "an owner")
        system.store_port = port
        # Partitions stay with their owner when another node joins.
        return [system.add_node("n0")]

    def hold_configuration(self) -> None:
        self.system.store.held_topics.add(OPERATOR_TOPIC)

    def release_configuration(self) -> None:
        self.system.run(self.system.store.release_topics())

    def add_route(self) -> None:
        added = rollout_route(Name="r-added", PathPrefix=ADDED_PREFIX)
        self.system.configure(Routes=[*configuration(0)["Routes"], added])


class LaggingOwnerTest(LaggingNodeCase):
    """Guards against work decided by an older configuration than accepted it."""

    def submit_added(self, step: str) -> None:
        """Submit a step under the added route as soon as a node has the route."""
        body = submission(step, ITEMS).replace(b"/lot/", ADDED_PREFIX.encode())
        path = f"{ADDED_PREFIX}{step}"
        wait_for(
            lambda: (
                self.nodes[0].call("POST", path, body, Request_Id=step).status == 202
            ),
            "the acceptance of a step",
        )

    def assert_completed_after_release(self, step: str) -> None:
        settle(LAG_S)
        self.assertEqual(results(self.nodes[0], step)["Results"], [])
        self.release_configuration()
        self.assert_complete(wait_results(self.nodes[0], step, ITEMS), EVENTS)

    def test_items_of_a_route_that_the_owner_does_not_know_yet_are_run(self) -> None:
        self.hold_configuration()
        self.add_route()
        self.submit_added("s1")
        self.assert_completed_after_release("s1")

    def test_items_accepted_by_an_older_build_wait_for_the_configuration(self) -> None:
        # Records of an older build do not say which configuration accepted the step.
        self.hold_configuration()
        settle(LAG_S)
        self.add_route()
        record = accepted_step("s1", ITEMS, ADDED_PREFIX)
        partition = partition_of(ServiceName(ENGINES), PARTITIONS)
        self.system.run(self.system.store.add("steps", partition, [encode(record)]))
        self.assert_completed_after_release("s1")

    def test_items_do_not_run_where_a_route_led_before_it_moved(self) -> None:
        self.system.add_worker("other", OTHER_ENGINES)
        self.hold_configuration()
        routes = configuration(0)["Routes"]
        services = configuration(0)["Services"]
        moved = rollout_route(Service=OTHER_ENGINES)
        self.system.configure(
            Routes=[moved, *routes[1:]],
            Services=[*services, {**services[0], "Name": OTHER_ENGINES}],
        )
        settle(LAG_S)
        submit(self.nodes[0], "s1", ITEMS)
        self.assert_completed_after_release("s1")
        self.assertEqual([run for e in self.engines for run in e.runs], [])

    def test_items_end_when_their_route_is_removed(self) -> None:
        for engine in self.engines:
            engine.event_s = 0.5
            engine.events_per_item = 1000
        submit(self.nodes[0], "s1", ITEMS)
        wait_for(lambda: bool(self.system.all_runs("s1-0")), "a run")
        self.system.configure(Routes=configuration(0)["Routes"][1:])
        found = wait_results(self.nodes[0], "s1", ITEMS)
        self.assertEqual({result["State"] for result in found}, {"dead"})


class LaggingNodeTest(LaggingNodeCase):
    """Guards against a final 404 from a node that missed the configuration."""

    def test_unknown_route_is_unavailable_while_the_configuration_is_old(self) -> None:
        def status() -> int:
            return self.lagging.call("POST", f"{ADDED_PREFIX}x", b"").status

        wait_for(lambda: status() == 404, "a node that knows the configuration")
        self.hold_configuration()
        self.add_route()
        settle(OUTDATED_S)
        self.assertEqual(status(), 503)
        self.release_configuration()
        wait_for(lambda: status() == 400, "the added route")
