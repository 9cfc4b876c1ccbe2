import unittest

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.pool.messages import (
    Action,
    Failure,
    LimitReport,
    StartAttempt,
    Submit,
)
from fulmarpulley_core.pool.state import LIMIT_RECHECK_S
from fulmarpulley_schema.generated.document import ServiceKind
from fulmarpulley_schema.generated.http import Ran

from .pool_fixtures import Driver, document, refusals, run, sample, starts, work


def engines(*names: str) -> Driver:
    driver = Driver(document(names, kind=ServiceKind.TRAINING))
    driver.report_versions(1, *names)
    return driver


class HeldBackAttemptTest(unittest.TestCase):
    def test_held_back_item_runs_at_another_upstream_at_once(self) -> None:
        driver = engines("u1", "u2")
        (first,) = driver.submit(sample("w1"))
        (second,) = starts(
            driver.fail(first.attempt_id, Failure.RATE_LIMITED, retry_after=1.0)
        )
        self.assertNotEqual(second.upstream, first.upstream)

    def test_held_back_item_waits_for_its_only_upstream(self) -> None:
        driver = engines("u1")
        (first,) = driver.submit(sample("w1"))
        driver.fail(first.attempt_id, Failure.RATE_LIMITED, retry_after=1.0)
        self.assertEqual(run(driver, 0.9), [])
        self.assertEqual(len(run(driver, 0.2)), 1)

    def test_held_back_attempts_spend_no_retry_budget(self) -> None:
        driver = engines("u1")
        started = driver.submit(sample("w1"))
        for _ in range(100):
            driver.fail(started[-1].attempt_id, Failure.RATE_LIMITED, retry_after=0.1)
            started += run(driver, 0.11)
        self.assertEqual(len(started), 101)


class SharedLimitTest(unittest.TestCase):
    """Guards against desk requests that wait in vain for limited upstreams."""

    def desk(self, *names: str) -> Driver:
        return Driver(document(names), avoid_limited=True)

    def report(self, driver: Driver, name: str, limited: bool) -> None:
        driver.send(LimitReport(UpstreamId(name), limited))

    def test_upstreams_without_a_limit_are_preferred(self) -> None:
        driver = self.desk("u1", "u2")
        self.report(driver, "u1", limited=True)
        started = driver.submit(work("w1"), work("w2"))
        self.assertEqual({start.upstream for start in started}, {"u2"})

    def test_limited_upstream_takes_what_others_have_no_room_for(self) -> None:
        driver = self.desk("u1", "u2")
        self.report(driver, "u1", limited=True)
        started = driver.submit(*(work(f"w{n}") for n in range(3)))
        self.assertEqual([start.upstream for start in started], ["u2", "u2", "u1"])

    def test_limited_upstream_is_tried_again_later(self) -> None:
        driver = self.desk("u1", "u2")
        self.report(driver, "u1", limited=True)
        driver.now = LIMIT_RECHECK_S
        upstreams = set()
        for number in range(4):
            (start,) = driver.submit(work(f"w{number}"))
            upstreams.add(start.upstream)
            driver.finish(start.attempt_id)
        self.assertEqual(upstreams, {"u1", "u2"})

    def test_request_without_a_turn_in_time_is_refused_at_once(self) -> None:
        driver = self.desk("u1", "u2")
        (start,) = driver.submit(work("w1", deadline=1.0))
        (second,) = starts(self.hold_back(driver, start, 0.8))
        (refused,) = refusals(self.hold_back(driver, second, 0.7))
        self.assertEqual((refused.code, refused.ran), ("rate_limited", Ran.NOT_RUN))
        assert refused.retry_after is not None
        self.assertAlmostEqual(refused.retry_after, 0.7, delta=0.2)
        (late,) = refusals(driver.send(Submit(work("w2", deadline=1.0))))
        self.assertEqual(late.code, "rate_limited")

    def test_request_with_more_time_may_wait_for_a_later_turn(self) -> None:
        driver = self.desk("u1")
        (start,) = driver.submit(work("w1", deadline=0.5))
        self.hold_back(driver, start, 0.7)
        self.assertEqual(len(driver.submit(work("w2", deadline=2.0))), 1)

    def hold_back(
        self, driver: Driver, start: StartAttempt, wait_s: float
    ) -> list[Action]:
        return driver.fail(start.attempt_id, Failure.RATE_LIMITED, retry_after=wait_s)
