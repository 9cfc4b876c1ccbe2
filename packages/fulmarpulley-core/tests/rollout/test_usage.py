"""Test that usage is counted once, in the right window, whatever the clocks say."""

import random
import unittest

from fulmarpulley_core.ids import AccountName, ServiceName
from fulmarpulley_core.rollout.usage import (
    BATCH_SIZE,
    US_PER_S,
    RunTimes,
    UsageCounter,
    UsageLedger,
    decode,
    encode,
)
from fulmarpulley_schema.generated.usage import NodeUsage

WINDOW_US = 5 * US_PER_S
# A window that begins at a round time, and the time of its start.
WINDOW = 1000
START_US = WINDOW * WINDOW_US
A, B = AccountName("a"), AccountName("b")
DESK = ServiceName("desk")


def node(name: str = "n1", start: str = "s1") -> UsageCounter:
    return UsageCounter(name, start, WINDOW_US)


def taken(counter: UsageCounter, at_us: int) -> NodeUsage:
    record = counter.take(at_us)
    assert record is not None
    return record


class UsageCounterTest(unittest.TestCase):
    """Guards against counts that are written too often, too late or not at all."""

    def test_counts_are_due_each_half_window_and_after_its_end(self) -> None:
        counter = node()
        self.assertFalse(counter.is_due(START_US))
        counter.take(START_US)
        counter.add(A, START_US + 10)
        self.assertFalse(counter.is_due(START_US + WINDOW_US // 2 - 1))
        self.assertTrue(counter.is_due(START_US + WINDOW_US // 2))
        counter.take(START_US + WINDOW_US - US_PER_S)
        counter.add(A, START_US + WINDOW_US - 1)
        self.assertFalse(counter.is_due(START_US + WINDOW_US - 1))
        self.assertTrue(counter.is_due(START_US + WINDOW_US))

    def test_late_counts_of_a_window_are_bounded_in_number(self) -> None:
        counter = node()
        counter.take(START_US + 10)
        counter.add(A, START_US - 1)
        self.assertFalse(counter.is_due(START_US + US_PER_S))
        self.assertTrue(counter.is_due(START_US + US_PER_S + 10))

    def test_record_is_read_as_written(self) -> None:
        counter = node()
        counter.add(A, START_US, 2)
        counter.add(B, START_US + US_PER_S)
        record = taken(counter, START_US + US_PER_S)
        self.assertEqual(decode(encode(record)), record)
        self.assertIsNone(counter.take(START_US + US_PER_S))
        for data in (b"", b"\x02", b"\x01\xff", encode(record)[:-1]):
            self.assertIsNone(decode(data))

    def test_request_that_was_taken_back_is_not_written(self) -> None:
        counter = node()
        counter.add(A, START_US)
        counter.add(A, START_US, -1)
        self.assertIsNone(counter.take(START_US))

    def test_counts_that_the_log_did_not_take_are_dropped(self) -> None:
        counter = node()
        counter.add(A, START_US)
        self.assertEqual(counter.drop_old(START_US + 30 * US_PER_S), 0)
        self.assertEqual(counter.drop_old(START_US + 90 * US_PER_S), 1)

    def test_waits_in_queues_do_not_raise_the_usual_run_time(self) -> None:
        # Under load the beginning of a queued request would be taken for its sending.
        times = RunTimes()
        self.assertEqual(times.usual_us(DESK), 0)
        for _ in range(BATCH_SIZE):
            times.add(DESK, 50_000)
        for _ in range(10 * BATCH_SIZE):
            times.add(DESK, 3_000_000)
        self.assertEqual(times.usual_us(DESK), 50_000)


class UsageLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = UsageLedger(WINDOW_US)

    def apply(self, record: NodeUsage, read_at_us: int, is_live: bool = True) -> int:
        late = self.ledger.apply(record, read_at_us, is_live)
        self.ledger.update_median()
        return late

    def test_repeated_and_reordered_records_count_once(self) -> None:
        # An append without an answer may take effect after its repetition.
        counter = node()
        records = []
        for number in range(5):
            counter.add(A, START_US + number)
            records.append(taken(counter, START_US + number))
        for record in [*records, records[0], records[4], *records]:
            self.apply(record, START_US + US_PER_S)
        self.assertEqual(self.ledger.counts(WINDOW), {A: 5})

    def test_new_start_of_a_node_counts_from_the_beginning(self) -> None:
        for start in ("s1", "s2"):
            counter = node(start=start)
            counter.add(A, START_US)
            self.apply(taken(counter, START_US), START_US)
        self.assertEqual(self.ledger.counts(WINDOW), {A: 2})

    def test_window_without_requests_is_empty(self) -> None:
        self.assertEqual(self.ledger.counts(WINDOW), {})

    def test_late_counts_are_told_and_dropped(self) -> None:
        early, late = node(), node()
        early.add(A, START_US)
        late.add(A, START_US, 3)
        late.add(A, START_US + WINDOW_US)
        self.apply(taken(early, START_US), START_US)
        self.assertEqual(self.ledger.counts(WINDOW), {A: 1})
        self.ledger.close(WINDOW, START_US + WINDOW_US)
        late.sequence = 1
        record = taken(late, START_US + WINDOW_US)
        self.assertEqual(self.apply(record, START_US + WINDOW_US), 3)
        self.assertEqual(self.ledger.counts(WINDOW + 1), {A: 1})

    def test_node_that_has_not_written_since_the_end_is_missing(self) -> None:
        counter = node()
        counter.add(A, START_US)
        self.apply(taken(counter, START_US + US_PER_S), START_US + US_PER_S)
        self.assertEqual(self.ledger.missing_nodes(WINDOW), 1)
        counter.add(A, START_US)
        end_us = START_US + WINDOW_US
        self.apply(taken(counter, end_us), end_us)
        self.assertEqual(self.ledger.missing_nodes(WINDOW), 0)

    def test_records_of_the_past_say_nothing_about_clocks(self) -> None:
        # A new holder reads records of 20 s at once.
        counter = node()
        counter.add(A, START_US)
        late_us = START_US + 18 * US_PER_S
        self.apply(taken(counter, START_US), late_us, is_live=False)
        self.assertEqual(self.ledger.now_us(late_us), late_us)

    def test_counts_under_load_are_right_with_clocks_that_are_off(self) -> None:
        # 9 nodes count 40 requests a second; three clocks and the holder's are off by
        # seconds, and each record takes up to 0.3 s to be read.
        rng = random.Random(1)
        holder_error_us = -4 * US_PER_S
        errors_us = {f"n{n}": 0 for n in range(9)}
        errors_us |= {"n0": 5 * US_PER_S, "n1": -3 * US_PER_S, "n2": 800_000}
        counters = {name: node(name) for name in errors_us}
        truth: dict[int, dict[str, int]] = {}
        windows = 6
        for tick in range(windows * 5 * 4):
            now_us = START_US + tick * US_PER_S // 4
            for _ in range(10):
                name = rng.choice(list(counters))
                began_us = now_us + rng.randrange(US_PER_S // 4)
                account = rng.choice([A, A, A, B])
                counters[name].add(account, began_us + errors_us[name])
                window = truth.setdefault(began_us // WINDOW_US, {})
                window[account] = window.get(account, 0) + 1
            for name, counter in counters.items():
                clock_us = now_us + US_PER_S // 4 + errors_us[name]
                if counter.is_due(clock_us):
                    record = taken(counter, clock_us)
                    delay_us = rng.randrange(300_000)
                    read_at_us = now_us + US_PER_S // 4 + delay_us + holder_error_us
                    self.assertEqual(self.apply(record, read_at_us), 0)
        for window in range(WINDOW, WINDOW + windows - 1):
            counted, true = self.ledger.counts(window), truth[window]
            for account, number in true.items():
                # The tolerance of the platform.
                self.assertAlmostEqual(counted[account], number, delta=0.05 * number)
        end_us = START_US + windows * WINDOW_US
        true_us = self.ledger.now_us(end_us + holder_error_us)
        self.assertAlmostEqual(true_us, end_us, delta=300_000)
