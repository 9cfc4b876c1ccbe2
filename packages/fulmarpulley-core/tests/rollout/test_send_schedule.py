import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.rollout.send_schedule import (
    BURST_REQUESTS,
    US_PER_S,
    SendSchedule,
    interval_us,
)
from fulmarpulley_core.rollout.stated_limits import Incarnation

DESK = Incarnation(UpstreamId("d0"), 1)
WINDOW_US = 4 * US_PER_S


def busiest_window(sent_us: list[int]) -> int:
    counts = [sum(0 <= at - start < WINDOW_US for at in sent_us) for start in sent_us]
    return max(counts, default=0)


class SendScheduleTest(unittest.TestCase):
    @given(
        st.floats(0.2, 50),
        st.lists(st.tuples(st.integers(0, 500_000), st.integers(0, 2_000_000))),
    )
    def test_no_window_exceeds_the_limit_and_a_burst(
        self, requests_per_s: float, arrivals: list[tuple[int, int]]
    ) -> None:
        schedule, now_us, sent_us = SendSchedule(), 0, []
        for gap_us, max_wait_us in arrivals:
            now_us += gap_us
            interval = interval_us(requests_per_s)
            reservation = schedule.reserve(DESK, interval, now_us, max_wait_us)
            if reservation.granted:
                self.assertLessEqual(reservation.wait_us, max_wait_us)
                sent_us.append(now_us + reservation.wait_us)
        limit = WINDOW_US / interval_us(requests_per_s) + BURST_REQUESTS
        self.assertLessEqual(busiest_window(sent_us), limit)

    def test_denied_request_uses_no_send_time(self) -> None:
        schedule = SendSchedule()
        interval = interval_us(1.0)
        for _ in range(BURST_REQUESTS):
            self.assertTrue(schedule.reserve(DESK, interval, 0, 0).granted)
        for _ in range(5):
            denied = schedule.reserve(DESK, interval, 0, 0)
            self.assertEqual((denied.granted, denied.wait_us), (False, interval))
        self.assertTrue(schedule.reserve(DESK, interval, interval, 0).granted)

    def test_clock_that_jumps_ahead_frees_only_a_burst(self) -> None:
        schedule = SendSchedule()
        interval = interval_us(1.0)
        for now_us in (0, 3600 * US_PER_S):
            granted = [schedule.reserve(DESK, interval, now_us, 0) for _ in range(20)]
            self.assertEqual(sum(r.granted for r in granted), BURST_REQUESTS)

    def test_limit_of_zero_leaves_single_requests(self) -> None:
        schedule, interval = SendSchedule(), interval_us(0.0)
        granted = [
            schedule.reserve(DESK, interval, second * US_PER_S, 0).granted
            for second in range(60)
        ]
        self.assertLessEqual(sum(granted[4:]), 56 / 5 + 1)
        self.assertTrue(any(granted[30:]))
