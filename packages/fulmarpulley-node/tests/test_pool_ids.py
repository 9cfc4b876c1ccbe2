from unittest import TestCase

from fulmarpulley_core.pool.messages import PoolSettings
from fulmarpulley_node.homes.pool_home import with_unique_id_prefix


class PoolIdsTest(TestCase):
    """Guards against two homes that cancel each other's requests at an upstream."""

    def test_homes_with_equal_settings_have_different_prefixes(self) -> None:
        settings = PoolSettings(routing="round_robin")
        first, second = with_unique_id_prefix(settings), with_unique_id_prefix(settings)
        self.assertNotEqual(first.id_prefix, second.id_prefix)
        self.assertEqual(first.routing, "round_robin")
