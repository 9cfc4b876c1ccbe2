"""Test that a window has the same counts for all owners, and who sends them."""

import unittest

from fulmarpulley_core.rollout.step_fold import StepFold
from fulmarpulley_core.rollout.step_records import RecordReader, encode
from fulmarpulley_core.rollout.usage_reports import (
    KEPT_WINDOWS,
    MAX_RETRY_S,
    MIN_RETRY_S,
    UsageSends,
)
from fulmarpulley_schema.generated.steps import OwnerFence, UsageReport


def report(
    window: int, requests: int, fence: int = 1, settled: int = 0, tenure: str = ""
) -> UsageReport:
    return UsageReport(
        window=window,
        counts={"a": requests},
        tenure=tenure or f"t{fence}",
        fence=fence,
        settled=settled,
    )


def fence(number: int) -> OwnerFence:
    return OwnerFence(node_id="n", tenure=f"t{number}")


def fold(*records: UsageReport | OwnerFence) -> StepFold:
    """Returns the fold of records after they were written and read."""
    result, reader = StepFold(), RecordReader()
    for record in records:
        read = reader.read(encode(record))
        assert read is not None
        result.apply(read)
    return result


def requests(state: StepFold, window: int) -> int:
    return state.usage.reports[window].counts["a"]


class UsageReportFoldTest(unittest.TestCase):
    """Guards against two reports of one window with different counts."""

    def test_first_report_of_a_window_counts(self) -> None:
        state = fold(fence(1), report(5, 10), report(5, 11))
        self.assertEqual(requests(state, 5), 10)

    def test_report_of_a_replaced_owner_is_void(self) -> None:
        # The append of an owner that was frozen may take effect at any time.
        state = fold(fence(1), fence(2), report(5, 10), report(5, 12, fence=2))
        self.assertEqual(requests(state, 5), 12)

    def test_repeated_fence_of_an_owner_does_not_void_its_reports(self) -> None:
        # The append of a fence may take effect twice.
        state = fold(fence(1), report(5, 10), fence(1), report(6, 11))
        self.assertEqual(requests(state, 6), 11)

    def test_reader_after_expiry_takes_the_report_with_the_highest_fence(self) -> None:
        # A late record of the first owner stands before the repetition of the second;
        # the fences and the first report have expired.
        state = fold(report(5, 10, fence=1), report(5, 12, fence=2), report(6, 1, 1))
        self.assertEqual(requests(state, 5), 12)
        self.assertNotIn(6, state.usage.reports)

    def test_settled_reports_need_not_be_sent(self) -> None:
        state = fold(fence(1), report(5, 1), report(6, 1), report(7, 1, settled=5))
        self.assertEqual([r.window for r in state.usage.unsettled()], [6, 7])
        self.assertEqual(state.usage.newest_window(), 7)

    def test_memory_of_reports_is_bounded(self) -> None:
        records = [report(k, 1, settled=k - 1) for k in range(1, 1000)]
        self.assertLessEqual(len(fold(*records).usage.reports), KEPT_WINDOWS + 2)


class UsageSendsTest(unittest.TestCase):
    def test_reports_are_repeated_in_turns_with_growing_pauses(self) -> None:
        # A slow answer to one window would make the next one late.
        usage = fold(report(5, 1), report(6, 1)).usage
        sends = UsageSends()
        tried = []
        now_s = 0.0
        while now_s < 10.0:
            found, next_at_s = sends.next_report(usage, now_s)
            if found is None:
                now_s = next_at_s
                continue
            tried.append((found.window, now_s))
            sends.record_failure(found, now_s)
        self.assertEqual([w for w, _ in tried[:4]], [5, 6, 5, 6])
        pauses = [
            b - a
            for (_, a), (_, b) in zip(tried[::2], tried[2::2], strict=False)
            if b > a
        ]
        self.assertAlmostEqual(pauses[0], MIN_RETRY_S)
        self.assertAlmostEqual(pauses[-1], MAX_RETRY_S)

    def test_window_is_settled_when_all_before_are_done(self) -> None:
        usage = fold(report(5, 1, settled=4), report(6, 1, settled=4)).usage
        sends = UsageSends()
        self.assertEqual(sends.settled(usage, 5), 4)
        sends.finish(6)
        self.assertEqual(sends.settled(usage, 5), 4)
        sends.finish(5)
        self.assertEqual(sends.settled(usage, 5), 6)
        self.assertEqual(sends.next_report(usage, 0.0), (None, float("inf")))

    def test_windows_before_the_first_report_are_settled(self) -> None:
        self.assertEqual(UsageSends().settled(StepFold().usage, 9), 8)
