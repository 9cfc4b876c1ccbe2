from unittest import TestCase

from fulmarpulley_core.pool.messages import PoolSettings
from fulmarpulley_node.homes.pool_home import with_unique_id_prefix


class PoolIdsTest(TestCase):
    """Guards against equal request ids, by which homes cancel each other's requests."""

    def test_id_prefix_with_equal_settings_differs(self) -> None:
        settings = PoolSettings(routing="round_robin")
        first, second = with_unique_id_prefix(settings), with_unique_id_prefix(settings)
        self.assertNotEqual(first.id_prefix, second.id_prefix)
        self.assertEqual(first.routing, "round_robin")
