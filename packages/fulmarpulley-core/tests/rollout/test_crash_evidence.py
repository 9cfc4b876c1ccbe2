"""Test which requests are blocked after which crashes."""

import unittest

from fulmarpulley_core.ids import RequestDigest, UpstreamId
from fulmarpulley_core.rollout.crash_evidence import (
    COMPLETION_VALIDITY_S,
    CRASH_LIFETIME_S,
    EPISODE_S,
    MAX_COMPLETIONS,
    MAX_CRASHES,
    MAX_REQUESTS_PER_CRASH,
    CrashEvidence,
)
from fulmarpulley_core.rollout.stated_limits import Incarnation

DEADLY = RequestDigest("deadly")
INNOCENT = RequestDigest("innocent")
OTHER = RequestDigest("other")


def upstream(number: int, started_ms: int = 1) -> Incarnation:
    return Incarnation(UpstreamId(f"d{number}"), started_ms)


class CulpritTest(unittest.TestCase):
    """Guards against requests that go on to crash upstreams."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence()

    def test_request_alone_at_two_crashes_is_blocked(self) -> None:
        self.evidence.record_crash(upstream(1), [DEADLY], 0.0)
        self.assertFalse(self.evidence.is_blocked(DEADLY))
        self.evidence.record_crash(upstream(2), [DEADLY], 0.1)
        self.assertTrue(self.evidence.is_blocked(DEADLY))

    def test_only_request_that_two_crashes_have_in_common_is_blocked(self) -> None:
        for number in range(2):
            self.assertFalse(self.evidence.is_blocked(DEADLY))
            bystander = RequestDigest(f"bystander {number}")
            self.evidence.record_crash(upstream(number), [DEADLY, bystander], 0.1)
            self.assertFalse(self.evidence.is_blocked(bystander))
        self.assertTrue(self.evidence.is_blocked(DEADLY))

    def test_crash_that_only_one_of_two_suspects_shared_tells_them_apart(self) -> None:
        for number in range(2):
            self.evidence.record_crash(upstream(number), [DEADLY, INNOCENT], 0.1)
            self.assertFalse(self.evidence.is_blocked(DEADLY))
        self.evidence.record_crash(upstream(2), [DEADLY, OTHER], 0.2)
        self.assertTrue(self.evidence.is_blocked(DEADLY))
        self.assertFalse(self.evidence.is_blocked(INNOCENT))
        self.assertFalse(self.evidence.is_blocked(OTHER))

    def test_requests_that_share_three_crashes_are_both_blocked(self) -> None:
        for number in range(3):
            self.assertFalse(self.evidence.is_blocked(DEADLY))
            self.evidence.record_crash(upstream(number), [DEADLY, OTHER], 0.1)
        self.assertTrue(self.evidence.is_blocked(DEADLY))
        self.assertTrue(self.evidence.is_blocked(OTHER))

    def test_starts_of_one_upstream_crash_separately(self) -> None:
        self.evidence.record_crash(upstream(1, started_ms=1), [DEADLY], 0.0)
        self.evidence.record_crash(upstream(1, started_ms=2), [DEADLY], 3.0)
        self.assertTrue(self.evidence.is_blocked(DEADLY))

    def test_completed_request_that_begins_to_crash_upstreams_is_blocked(self) -> None:
        self.evidence.record_completion(DEADLY, 0.0)
        for number in range(3):
            self.assertFalse(self.evidence.is_blocked(DEADLY))
            at_s = 1.0 + number * 2 * EPISODE_S
            self.evidence.record_crash(upstream(number), [DEADLY], at_s)
        self.assertTrue(self.evidence.is_blocked(DEADLY))

    def test_culprit_beside_a_completed_request_counts_as_alone(self) -> None:
        self.evidence.record_completion(INNOCENT, 0.0)
        for number in range(2):
            self.evidence.record_crash(upstream(number), [INNOCENT, DEADLY], 1.0)
        self.assertTrue(self.evidence.is_blocked(DEADLY))
        self.assertFalse(self.evidence.is_blocked(INNOCENT))


class BystanderTest(unittest.TestCase):
    """Guards against the refusal of requests that only shared crashes."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence()

    def test_request_that_shares_two_crashes_is_not_blocked(self) -> None:
        for number in range(2):
            self.evidence.record_crash(upstream(number), [DEADLY, INNOCENT], 0.0)
        self.assertFalse(self.evidence.is_blocked(INNOCENT))

    def test_reports_of_several_nodes_name_the_requests_of_one_crash(self) -> None:
        for number in range(2):
            self.evidence.record_crash(upstream(number), [INNOCENT], 0.0)
            self.evidence.record_crash(upstream(number), [DEADLY], 0.0)
        self.assertFalse(self.evidence.is_blocked(INNOCENT))

    def test_bystander_of_two_culprits_is_unblocked_by_their_next_crashes(
        self,
    ) -> None:
        self.evidence.record_crash(upstream(1), [DEADLY, INNOCENT], 0.0)
        self.evidence.record_crash(upstream(2), [OTHER, INNOCENT], 0.0)
        self.evidence.record_crash(upstream(3), [DEADLY], 0.1)
        affected = self.evidence.record_crash(upstream(4), [OTHER], 0.1)
        self.assertFalse(self.evidence.is_blocked(INNOCENT))
        self.assertIn(INNOCENT, affected)
        self.assertTrue(self.evidence.is_blocked(DEADLY))
        self.assertTrue(self.evidence.is_blocked(OTHER))

    def test_same_report_again_counts_once(self) -> None:
        for _ in range(3):
            self.evidence.record_crash(upstream(1), [INNOCENT], 0.0)
        self.assertFalse(self.evidence.is_blocked(INNOCENT))

    def test_completion_clears_crashes_before_it(self) -> None:
        self.evidence.record_crash(upstream(1), [INNOCENT], 0.0)
        self.assertEqual(self.evidence.record_completion(INNOCENT, 0.1), {INNOCENT})
        self.evidence.record_crash(upstream(2), [INNOCENT], 0.2)
        self.evidence.record_crash(upstream(3), [INNOCENT], 0.2)
        self.assertFalse(self.evidence.is_blocked(INNOCENT))

    def test_completion_unblocks_a_request(self) -> None:
        for number in range(3):
            self.evidence.record_crash(upstream(number), [INNOCENT, OTHER], 0.0)
        self.assertTrue(self.evidence.is_blocked(INNOCENT))
        self.evidence.record_completion(INNOCENT, 0.1)
        self.assertFalse(self.evidence.is_blocked(INNOCENT))
        self.assertTrue(self.evidence.is_blocked(OTHER))

    def test_older_completion_that_is_learned_late_explains_shared_crashes(
        self,
    ) -> None:
        for number in range(3):
            self.evidence.record_crash(upstream(number), [DEADLY, INNOCENT], 5.0)
        self.evidence.record_completion(INNOCENT, 4.0)
        self.assertFalse(self.evidence.is_blocked(INNOCENT))
        self.assertTrue(self.evidence.is_blocked(DEADLY))

    def test_popular_request_at_many_simultaneous_crashes_is_not_blocked(self) -> None:
        for episode in range(3):
            began_at_s = episode * 10.0
            self.evidence.record_completion(INNOCENT, began_at_s)
            for number in range(4):
                crashed = upstream(number, started_ms=episode)
                self.evidence.record_crash(crashed, [INNOCENT], began_at_s + 1.0)
            self.assertFalse(self.evidence.is_blocked(INNOCENT))


class BoundsTest(unittest.TestCase):
    """Guards against evidence that is kept for ever or grows without bounds."""

    def test_crashes_expire(self) -> None:
        evidence = CrashEvidence()
        for number in range(3):
            evidence.record_crash(upstream(number), [DEADLY], number * 1.0)
        self.assertEqual(evidence.blocked_until_s(DEADLY), CRASH_LIFETIME_S)
        evidence.expire(CRASH_LIFETIME_S - 0.1)
        self.assertTrue(evidence.is_blocked(DEADLY))
        evidence.expire(CRASH_LIFETIME_S + 2.1)
        self.assertFalse(evidence.is_blocked(DEADLY))
        self.assertFalse(evidence.is_suspected(DEADLY))
        self.assertEqual(evidence.crashes, {})

    def test_completions_expire(self) -> None:
        evidence = CrashEvidence()
        evidence.record_completion(DEADLY, 0.0)
        evidence.expire(COMPLETION_VALIDITY_S + 1.0)
        self.assertIsNone(evidence.completed_at_s(DEADLY))

    def test_number_of_crashes_and_requests_is_bounded(self) -> None:
        evidence = CrashEvidence()
        for number in range(2 * MAX_CRASHES):
            digests = [
                RequestDigest(f"{number} {index}")
                for index in range(2 * MAX_REQUESTS_PER_CRASH)
            ]
            evidence.record_crash(upstream(number), digests, float(number))
        self.assertEqual(len(evidence.crashes), MAX_CRASHES)
        for crash in evidence.crashes.values():
            self.assertEqual(len(crash.suspects), MAX_REQUESTS_PER_CRASH)
        self.assertFalse(evidence.is_suspected(RequestDigest("0 0")))

    def test_number_of_completions_is_bounded(self) -> None:
        evidence = CrashEvidence()
        for number in range(2 * MAX_COMPLETIONS):
            evidence.record_completion(RequestDigest(str(number)), 0.0)
        self.assertIsNone(evidence.completed_at_s(RequestDigest("0")))
        newest = RequestDigest(str(2 * MAX_COMPLETIONS - 1))
        self.assertEqual(evidence.completed_at_s(newest), 0.0)
