import unittest

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.rollout.upstreams import (
    REMOVAL_GRACE_S,
    ListedUpstream,
    UpstreamDirectory,
)

U1, U2 = UpstreamId("u1"), UpstreamId("u2")


def entry(name: UpstreamId) -> ListedUpstream:
    return ListedUpstream(
        upstream_id=name,
        service=ServiceName("s"),
        address="h:1",
        data_centre=DataCentre("a1"),
    )


class UpstreamDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = UpstreamDirectory()
        self.directory.put(entry(U1))
        self.directory.put(entry(U2))

    def names(self) -> list[str]:
        return [u.upstream_id for u in self.directory.of_service(ServiceName("s"))]

    def test_remove_takes_effect_at_once(self) -> None:
        self.assertTrue(self.directory.remove(U1, 10.0))
        self.assertEqual(self.names(), ["u2"])

    def test_remove_after_an_outage_waits_for_the_entry_to_come_back(self) -> None:
        # Entries expire during an outage of the store although their upstreams live.
        self.directory.note_store_recovery(10.0)
        self.directory.remove(U1, 10.1)
        self.directory.remove(U2, 10.1)
        self.directory.put(entry(U1))
        self.assertEqual(self.names(), ["u1", "u2"])
        self.assertTrue(self.directory.expire(10.0 + REMOVAL_GRACE_S))
        self.assertEqual(self.names(), ["u1"])

    def test_replace_drops_what_is_not_listed(self) -> None:
        self.assertTrue(self.directory.replace([entry(U2)], 10.0))
        self.assertEqual(self.names(), ["u2"])
