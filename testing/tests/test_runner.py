from types import SimpleNamespace
from unittest import TestCase

from fulmarpulley_testing.runner import Suite
from fulmarpulley_testing.runner_plugin import ResultCollector


class ResultCollectorTest(TestCase):
    """Guards against a verdict that differs from what the tests found."""

    def collect(self, outcome: str, failure: object = None) -> Suite:
        collector = SimpleNamespace(suite=Suite(), prefix="tests")
        test = SimpleNamespace(id=lambda: "test_x")
        event = SimpleNamespace(test=test, outcome=outcome, exc_info=failure)
        ResultCollector.testOutcome(collector, event)
        return collector.suite

    def test_subtest_that_passed_counts_neither_way(self) -> None:
        self.assertEqual(self.collect("subtest"), Suite())

    def test_subtest_that_failed_is_a_failure(self) -> None:
        suite = self.collect("subtest", failure=ValueError())
        self.assertEqual(suite.failed, ["tests/test_x"])

    def test_error_is_a_failure_and_pass_is_not(self) -> None:
        self.assertEqual(self.collect("error").failed, ["tests/test_x"])
        self.assertEqual(self.collect("passed").passed, ["tests/test_x"])
