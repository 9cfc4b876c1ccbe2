"""Test orders of upstreams by nodes on the platform while holders fail."""

from platform_case import PlatformCase

from fulmarpulley_core.rollout.scaling import OBSERVATION_S
from fulmarpulley_testing.platform_cloud import CloudMode, PlatformCloud
from fulmarpulley_testing.platform_documents import ENGINES, configuration
from fulmarpulley_testing.platform_system import NodeProcess, settle
from fulmarpulley_testing.processes import wait_for


class ScalingTest(PlatformCase):
    """Guards against reclaimed engines that nobody replaces, or two holders do."""

    lease_ms = 500.0

    def start_nodes(self) -> list[NodeProcess]:
        self.cloud = PlatformCloud(False, self.lease_ms / 1000)
        port = self.system.serve(self.cloud.app())
        self.system.duties = {
            "duties_address": f"127.0.0.1:{port}",
            "duties": ["autoscaling"],
        }
        services = configuration(0)["Services"]
        services[0]["Scaling"] = {
            "Min": 1,
            "Max": 8,
            "BootS": 30.0,
            "SpotPrice": 0.2,
            "ZonePrices": {"a1": 2.0, "b1": 1.0},
        }
        self.system.configure(Services=services)
        return super().start_nodes()

    def reclaim(self) -> None:
        """Announces that one of the two engines leaves."""
        entry = {**self.system.entries["e1"], "Spot": True}
        self.system.put_worker_entry(
            "e1", {**entry, "State": "draining", "leaves_ms": 900.0}
        )

    def orders(self) -> set[tuple[str, int]]:
        return {(c.subject, c.body["TargetGroups"]) for c in self.cloud.calls}

    def test_reclaimed_engine_is_replaced_once(self) -> None:
        self.reclaim()
        former = self.owner()
        wait_for(lambda: bool(former.events("upstreams_ordered")), "an order")
        self.system.put_worker_entry("e1", None)
        former.kill()
        wait_for(lambda: self.system.owner() not in (None, former), "a takeover")
        settle(OBSERVATION_S + 2.0)
        self.assertEqual(self.orders(), {(f"scaling/{ENGINES}/a1", 2)})
        self.assertEqual(len(self.cloud.calls), 1)
        self.assertEqual(self.cloud.findings, [])

    def test_next_holder_repeats_an_unanswered_order(self) -> None:
        self.cloud.mode = CloudMode.LOSE_ANSWERS
        self.reclaim()
        wait_for(lambda: bool(self.cloud.calls), "an order")
        former = self.owner()
        former.kill()
        self.cloud.mode = CloudMode.UP
        wait_for(lambda: self.cloud.calls[-1].holder != former.name, "the next holder")
        self.assertEqual(self.orders(), {(f"scaling/{ENGINES}/a1", 2)})
        self.assertEqual(self.cloud.findings, [])
        next_holder = next(node for node in self.nodes if node is not former)
        wait_for(
            lambda: "outcome=ok" in "".join(next_holder.events("upstreams_ordered")),
            "the outcome",
        )
