import unittest

import msgspec

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.rollout.upstreams import (
    MAX_LEAVING,
    REMOVAL_GRACE_S,
    ListedState,
    ListedUpstream,
    UpstreamDirectory,
)

U1, U2 = UpstreamId("u1"), UpstreamId("u2")


def entry(name: UpstreamId, started_ms: int = 1) -> ListedUpstream:
    return ListedUpstream(
        upstream_id=name,
        started_ms=started_ms,
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
        return [
            u.upstream_id
            for u in self.directory.upstreams_for_service(ServiceName("s"))
        ]

    def test_remove_takes_effect_at_once(self) -> None:
        self.assertTrue(self.directory.remove(U1, 10.0))
        self.assertEqual(self.names(), ["u2"])

    def test_remove_after_an_outage_waits_for_the_entry_to_come_back(self) -> None:
        # Entries expire during an outage of the store although their upstreams live.
        self.directory.record_store_recovery(10.0)
        self.directory.remove(U1, 10.1)
        self.directory.remove(U2, 10.1)
        self.directory.put(entry(U1))
        self.assertEqual(self.names(), ["u1", "u2"])
        self.assertTrue(self.directory.expire(10.0 + REMOVAL_GRACE_S))
        self.assertEqual(self.names(), ["u1"])

    def test_remaining_time_of_a_leaving_upstream_changes_nothing(self) -> None:
        # Guards against updates of all pools by each entry of a reclaimed upstream.
        leaving = msgspec.structs.replace(entry(U1), leaves_ms=2000.0)
        self.assertTrue(self.directory.put(leaving))
        later = msgspec.structs.replace(leaving, leaves_ms=1000.0)
        self.assertFalse(self.directory.put(later))
        self.assertTrue(self.directory.put(entry(U1)))

    def test_replace_drops_what_is_not_listed(self) -> None:
        self.assertTrue(self.directory.replace([entry(U2)], 10.0))
        self.assertEqual(self.names(), ["u2"])


class LeavingTest(unittest.TestCase):
    """Guards against an upstream that is used again after it said that it leaves."""

    def setUp(self) -> None:
        self.directory = UpstreamDirectory()
        self.directory.put(entry(U1))

    def state(self) -> ListedState:
        return self.directory.listed[U1].state

    def test_leaving_upstream_drains_whatever_its_entry_says(self) -> None:
        self.assertTrue(self.directory.mark_leaving(entry(U1)))
        self.assertFalse(self.directory.mark_leaving(entry(U1)))
        self.assertIs(self.state(), ListedState.DRAINING)
        self.directory.replace([entry(U1)], 10.0)
        self.directory.remove(U1, 10.0)
        self.directory.put(entry(U1))
        self.assertIs(self.state(), ListedState.DRAINING)

    def test_upstream_that_was_started_again_is_ready(self) -> None:
        self.directory.mark_leaving(entry(U1))
        self.directory.put(entry(U1, started_ms=2))
        self.assertIs(self.state(), ListedState.READY)

    def test_response_counts_for_the_start_that_was_listed_meanwhile(self) -> None:
        # The request was sent by the old entry and answered by the new process.
        self.directory.put(entry(U1, started_ms=2))
        self.directory.mark_leaving(entry(U1))
        self.assertIs(self.state(), ListedState.DRAINING)

    def test_entry_of_a_leaving_upstream_still_expires(self) -> None:
        self.directory.record_store_recovery(10.0)
        self.directory.remove(U1, 10.1)
        self.directory.mark_leaving(entry(U1))
        self.assertIs(self.state(), ListedState.DRAINING)
        self.assertTrue(self.directory.expire(10.0 + REMOVAL_GRACE_S))
        self.assertEqual(self.directory.listed, {})

    def test_memory_for_upstreams_that_left_is_bounded(self) -> None:
        for number in range(MAX_LEAVING + 1):
            self.directory.mark_leaving(entry(UpstreamId(f"left{number}")))
        self.assertEqual(len(self.directory._leaving), MAX_LEAVING)
