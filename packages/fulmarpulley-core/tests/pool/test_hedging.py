from unittest import TestCase

from fulmarpulley_core.ids import AttemptId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_core.pool.hedging import LengthEstimator
from fulmarpulley_core.pool.state import Item
from fulmarpulley_schema.generated.document import Hedges

from .pool_fixtures import Driver, document, run, sample, starts, work


def tail(works: list[m.Work], hedges: Hedges | None = None) -> Driver:
    """Answer 20 items at 0.1 s per token, then start `works`, which send no more."""
    driver = Driver(document(["u1", "u2", "u3"], hedges=hedges or Hedges()))
    for number in range(20):
        first = driver.submit(sample(f"old{number}"))[0].attempt_id
        driver.now += 0.1
        driver.progress(first, 1)
        driver.now += 0.9
        driver.finish(first)
    driver.log.clear()
    for start in driver.submit(*works):
        driver.progress(start.attempt_id, 5)
    return driver


def hedges(driver: Driver) -> list[m.StartAttempt]:
    return [start for start in starts(driver.log) if start.hedge]


class HedgeTest(TestCase):
    """Guards against one slow attempt that stalls a training step."""

    def test_silent_attempt_at_the_tail_is_hedged_by_resuming(self) -> None:
        driver = tail([sample("a")])
        run(driver, 3.0)
        self.assertEqual(
            [(h.work_id, h.resume_from) for h in hedges(driver)], [("a", 5)]
        )
        self.assertNotEqual(hedges(driver)[0].upstream, starts(driver.log)[0].upstream)

    def test_first_to_finish_wins_and_the_other_is_cancelled(self) -> None:
        driver = tail([sample("a")])
        run(driver, 3.0)
        first, hedge = [AttemptId(s.attempt_id) for s in starts(driver.log)]
        ended = driver.finish(hedge)
        self.assertEqual(
            ended, [m.Finish(sample("a").work_id, hedge), m.CancelAttempt(first)]
        )
        self.assertEqual(driver.finish(first), [])

    def test_failed_first_attempt_leaves_the_hedge_running(self) -> None:
        driver = tail([sample("a")])
        run(driver, 3.0)
        first, hedge = [AttemptId(s.attempt_id) for s in starts(driver.log)]
        driver.progress(hedge, 6)
        self.assertEqual(driver.fail(first, m.Failure.BROKEN), [])
        self.assertEqual(run(driver, 0.2), [])
        self.assertEqual(len(driver.finish(hedge)), 1)

    def test_hedges_stay_within_their_budget(self) -> None:
        works = [sample(f"w{i}") for i in range(3)]
        driver = tail(works)
        run(driver, 6.0)
        self.assertEqual(len(hedges(driver)), 2)
        self.assertEqual(hedges_of(works, Hedges(budget_ratio=0.0)), 0)

    def test_desk_and_work_that_must_not_repeat_are_not_hedged(self) -> None:
        self.assertEqual(hedges_of([work("a")]), 0)
        self.assertEqual(hedges_of([work("a")], Hedges(desk=True)), 1)
        self.assertEqual(hedges_of([sample("a", repeatable=False)]), 0)

    def test_step_with_groups_still_waiting_is_not_hedged(self) -> None:
        unserved = sample("b", min_version=9)
        self.assertEqual(hedges_of([sample("a"), unserved]), 0)

    def test_attempt_is_hedged_soon_after_its_upstream_becomes_slow(self) -> None:
        # Guards against a long item that stays on an engine that became four times
        # slower: the mean since its start looks healthy for seconds more.
        driver = tail([sample("a", max_tokens=200, length_hint=200)])
        attempt = starts(driver.log)[0].attempt_id
        for tokens in range(6, 66):
            run(driver, 0.1)
            driver.progress(attempt, tokens)
        self.assertEqual(hedges(driver), [])
        for tokens in range(66, 71):
            run(driver, 0.4)
            driver.progress(attempt, tokens)
        # It has 65 tokens when the upstream becomes slow, and three more after 1.2 s.
        self.assertEqual(len(hedges(driver)), 1)
        self.assertLessEqual(hedges(driver)[0].resume_from, 68)

    def test_second_hedge_starts_when_the_first_is_slow(self) -> None:
        # Guards against a long item whose only hedge runs on a slow upstream as well.
        driver = tail([sample("a", max_tokens=200, length_hint=200)])
        tokens: dict[AttemptId, int] = {}
        for _ in range(20):
            run(driver, 0.5)
            for start in starts(driver.log):
                known = tokens.get(start.attempt_id, max(5, start.resume_from))
                tokens[start.attempt_id] = known + 1
                driver.progress(start.attempt_id, known + 1)
        names = [start.upstream for start in starts(driver.log)]
        self.assertEqual(sorted(names), ["u1", "u2", "u3"])

    def test_steady_attempt_is_not_hedged(self) -> None:
        driver = tail([sample("a")])
        for tokens in range(6, 10):
            driver.progress(starts(driver.log)[0].attempt_id, tokens)
            run(driver, 0.25)
        self.assertEqual(hedges(driver), [])


def hedges_of(works: list[m.Work], settings: Hedges | None = None) -> int:
    driver = tail(works, settings)
    run(driver, 6.0)
    return len(hedges(driver))


class LengthsTest(TestCase):
    """Guards against charges of max_tokens for short answers."""

    def test_length_is_predicted_by_prefix_then_tenant_then_limit(self) -> None:
        driver = Driver(document())
        for name, prefix, tokens in (("a", "p", 40), ("b", "q", 80)):
            item = sample(name, prefix=prefix, max_tokens=100)
            driver.finish(driver.submit(item)[0].attempt_id, tokens)
        lengths = driver.pool.components.lengths
        self.assertEqual(predict(lengths, prefix="p"), 40)
        self.assertEqual(predict(lengths, prefix="r"), 60)
        self.assertEqual(predict(lengths, tenant="new"), 100)

    def test_prediction_grows_when_the_answer_exceeds_it(self) -> None:
        self.assertEqual(predict(LengthEstimator(), received_tokens=100), 101)


def predict(
    lengths: LengthEstimator, received_tokens: int = 0, **fields: object
) -> int:
    each = sample("x", max_tokens=100, **fields)
    return lengths.predict(
        Item(work=each, sequence=0, submitted_at=0.0, received_tokens=received_tokens)
    )
