from unittest import TestCase

from fulmarpulley_core.ids import ModelName, UpstreamId, Version
from fulmarpulley_core.pool.model_placement import ModelPlacement
from fulmarpulley_core.pool.state import Upstream

from .pool_fixtures import upstream

A, B = ModelName("a"), ModelName("b")


def upstreams(count: int) -> list[Upstream]:
    names = [f"u{number}" for number in range(count)]
    return [Upstream(entry=upstream(n), upstream_id=UpstreamId(n)) for n in names]


class PlaceTest(TestCase):
    """Guards against engines that load every version of every model."""

    def test_place_splits_upstreams_by_demand(self) -> None:
        placement = ModelPlacement()
        placement.record_demand(A, 300, 0.0)
        placement.record_demand(B, 100, 0.0)
        placed = placement.place([A, B], upstreams(8))
        self.assertEqual([len(placed[A]), len(placed[B])], [6, 2])
        self.assertFalse(placed[A] & placed[B])

    def test_place_keeps_two_upstreams_for_a_model_with_little_work(self) -> None:
        # A crash of a single engine would stall its trainer.
        placement = ModelPlacement()
        placement.record_demand(A, 1000, 0.0)
        placed = placement.place([A, B], upstreams(5))
        self.assertEqual([len(placed[A]), len(placed[B])], [3, 2])

    def test_place_keeps_an_upstream_at_the_model_that_it_serves(self) -> None:
        # Guards against loads that only move models between engines.
        placement = ModelPlacement()
        known = upstreams(6)
        first = placement.place([A, B], known)
        for entry in known:
            model = A if entry.upstream_id in first[A] else B
            entry.versions[model] = Version(7)
        self.assertEqual(placement.place([B, A], known), first)

    def test_place_ignores_small_changes_of_demand(self) -> None:
        placement = ModelPlacement()
        placement.record_demand(A, 100, 0.0)
        placement.record_demand(B, 100, 0.0)
        placement.place([A, B], upstreams(6))
        placement.record_demand(A, 40, 0.0)
        placed = placement.place([A, B], upstreams(6))
        self.assertEqual(len(placed[A]), 3)

    def test_place_with_fewer_upstreams_than_models_uses_all(self) -> None:
        placed = ModelPlacement().place([A, B], upstreams(1))
        self.assertEqual(placed, {A: {"u0"}, B: {"u0"}})
