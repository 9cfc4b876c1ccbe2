from unittest import TestCase

from fulmarpulley_core.ids import DataCentre, ModelName, Region, ServiceName, UpstreamId
from fulmarpulley_core.rollout.pool_document import pool_document
from fulmarpulley_core.rollout.topology import EngineLimits, Service
from fulmarpulley_core.rollout.upstreams import ListedUpstream

SERVICE = Service(
    name=ServiceName("s"),
    engine=EngineLimits(
        slots=6, cache_tokens=1000, tokens_per_event=1, models=(ModelName("m"),)
    ),
)


def swaps_at_once(engines: int) -> int:
    listed = [
        ListedUpstream(
            upstream_id=UpstreamId(f"u{number}"),
            service=SERVICE.name,
            address="h:1",
            data_centre=DataCentre("a1"),
        )
        for number in range(engines)
    ]
    regions = {DataCentre("a1"): Region("a")}
    return pool_document(SERVICE, [], listed, regions, 1.0).weights.swaps_at_once


class WeightsTest(TestCase):
    """Guards against engines that lag because too few may load at once."""

    def test_engines_that_load_at_once_grow_with_the_deployment(self) -> None:
        self.assertEqual([swaps_at_once(n) for n in (5, 23)], [2, 9])

    def test_small_deployment_still_loads(self) -> None:
        self.assertEqual(swaps_at_once(1), 2)
