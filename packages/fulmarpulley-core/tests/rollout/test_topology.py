import unittest

from fulmarpulley_core.ids import RouteName, ServiceName
from fulmarpulley_core.rollout.topology import (
    Route,
    RouteKind,
    RouteTable,
    Topology,
    WeightedService,
    choose_service,
)


def route(name: str, prefix: str, **weights: int) -> Route:
    parts = weights or {"s": 1}
    return Route(
        name=RouteName(name),
        host="h",
        prefix=prefix,
        kind=RouteKind.SAFE,
        services=tuple(WeightedService(ServiceName(s), w) for s, w in parts.items()),
        timeout_s=1.0,
    )


class RouteTableTest(unittest.TestCase):
    def test_find_takes_the_longest_prefix(self) -> None:
        routes = (route("short", "/a/"), route("long", "/a/b/"))
        table = RouteTable(Topology(version=1, routes=routes))
        found = table.find("H", "/a/b/c")
        assert found is not None
        self.assertEqual(found.name, "long")
        self.assertIsNone(table.find("h", "/ab"))
        self.assertIsNone(table.find("other", "/a/"))


class ChooseServiceTest(unittest.TestCase):
    def test_choose_service_follows_the_weights(self) -> None:
        split = route("r", "/", a=3, b=1)
        chosen = [choose_service(split, number) for number in range(8)]
        self.assertEqual(chosen, ["a", "a", "a", "b"] * 2)
