from unittest import TestCase

import msgspec

from fulmarpulley_core.ids import NodeId, Region
from fulmarpulley_core.placement import home_of, rank_nodes


class Node(msgspec.Struct, frozen=True):
    node_id: NodeId
    region: Region


NODES = [Node(NodeId(f"n{i}"), Region("abc"[i % 3])) for i in range(9)]


class PlacementTest(TestCase):
    """Guards against homes that move although their node is still there."""

    def test_home_of_moves_only_keys_of_the_removed_node(self) -> None:
        removed = NODES[4]
        rest = [node for node in NODES if node is not removed]
        for number in range(500):
            before = home_of(f"key-{number}", NODES)
            if before != removed.node_id:
                self.assertEqual(home_of(f"key-{number}", rest), before)

    def test_home_of_is_the_first_ranked_node(self) -> None:
        for number in range(100):
            key, region = f"key-{number}", Region("b")
            ranked = rank_nodes(key, NODES, region)
            self.assertEqual(home_of(key, NODES, region), ranked[0])
            self.assertIn(ranked[0], {"n1", "n4", "n7"})

    def test_home_of_spreads_keys_over_nodes(self) -> None:
        homes = [home_of(f"key-{number}", NODES) for number in range(9000)]
        for node in NODES:
            self.assertGreater(homes.count(node.node_id), 800)
