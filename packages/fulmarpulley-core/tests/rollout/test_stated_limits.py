import unittest

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.rollout.stated_limits import Incarnation, StatedLimits

DESK = Incarnation(UpstreamId("d0"), 1)


class StatedLimitsTest(unittest.TestCase):
    def test_response_without_a_limit_ends_it(self) -> None:
        limits = StatedLimits()
        self.assertTrue(limits.record(DESK, 2.0, sent_at=1.0, now=1.1))
        self.assertTrue(limits.record(DESK, None, sent_at=1.2, now=1.3))
        self.assertIsNone(limits.requests_per_s(DESK))

    def test_overtaken_response_does_not_end_a_limit(self) -> None:
        limits = StatedLimits()
        limits.record(DESK, 2.0, sent_at=1.0, now=1.1)
        self.assertFalse(limits.record(DESK, None, sent_at=1.05, now=1.2))
        self.assertEqual(limits.requests_per_s(DESK), 2.0)

    def test_restarted_upstream_has_no_limit(self) -> None:
        limits = StatedLimits()
        limits.record(DESK, 2.0, sent_at=1.0, now=1.1)
        self.assertIsNone(limits.requests_per_s(DESK._replace(started_ms=2)))

    def test_newer_limit_replaces_the_older_one(self) -> None:
        limits = StatedLimits()
        limits.record(DESK, 2.0, sent_at=1.0, now=1.1)
        self.assertFalse(limits.record(DESK, 2.0, sent_at=1.2, now=1.3))
        self.assertTrue(limits.record(DESK, 0.5, sent_at=1.4, now=1.5))
        self.assertEqual(limits.requests_per_s(DESK), 0.5)
