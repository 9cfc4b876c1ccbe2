import unittest

from fulmarpulley_core.rollout.send_schedule import BURST_REQUESTS, US_PER_S
from fulmarpulley_core.rollout.shared_limits import (
    SEEN_TIMEOUT_US,
    SharedLimitsFold,
    decode,
    encode,
)
from fulmarpulley_schema.generated.limits import NodeSeen, SendRequest


def request(node: str, at_s: float, max_wait_s: float = 0.0) -> SendRequest:
    return SendRequest(
        node_id=node,
        upstream="d0",
        started_ms=1,
        at_us=int(at_s * US_PER_S),
        interval_us=US_PER_S,
        max_wait_us=int(max_wait_s * US_PER_S),
    )


class SharedLimitsFoldTest(unittest.TestCase):
    def test_nodes_share_one_limit(self) -> None:
        fold = SharedLimitsFold()
        granted = [
            reservation.granted
            for number in range(30)
            if (reservation := fold.apply(request(f"n{number}", 100.0))) is not None
        ]
        self.assertEqual(sum(granted), BURST_REQUESTS)

    def test_turns_reach_ahead_as_far_as_requests_can_wait(self) -> None:
        fold = SharedLimitsFold()
        reservations = [fold.apply(request("n1", 100.0, 2.0)) for _ in range(10)]
        waits_us = [r.wait_us for r in reservations if r is not None and r.granted]
        self.assertEqual(waits_us, [0, 0, 0, US_PER_S, 2 * US_PER_S])

    def test_nodes_count_until_they_are_silent(self) -> None:
        fold = SharedLimitsFold()
        fold.apply(NodeSeen(node_id="n1", at_us=0))
        fold.apply(request("n2", 10.0))
        self.assertEqual(fold.count_nodes(), 2)
        fold.apply(NodeSeen(node_id="n2", at_us=SEEN_TIMEOUT_US + 1))
        self.assertEqual(fold.count_nodes(), 1)

    def test_records_of_other_writers_are_skipped(self) -> None:
        whole = encode(request("n1", 1.0))
        self.assertEqual(decode(whole), request("n1", 1.0))
        for data in (
            b"",
            b"\x07abc",
            whole[:-3],
            b"\x01\xff\xff",
            b"\x02" + whole[1:5],
        ):
            self.assertIsNone(decode(data))
