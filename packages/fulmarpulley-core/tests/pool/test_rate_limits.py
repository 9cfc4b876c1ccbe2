import unittest

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_schema.generated.document import ServiceKind

from .pool_fixtures import Driver, document, run, sample, starts


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
