from types import SimpleNamespace
from unittest import TestCase

from fulmarpulley_testing.runner import ModuleResults
from fulmarpulley_testing.runner_plugin import ResultCollector


class ResultCollectorTest(TestCase):
    """Test that each test outcome is counted correctly."""

    def collect(self, outcome: str, failure: object = None) -> ModuleResults:
        collector = SimpleNamespace(results=ModuleResults(), prefix="tests")
        test = SimpleNamespace(id=lambda: "test_x")
        event = SimpleNamespace(test=test, outcome=outcome, exc_info=failure)
        ResultCollector.testOutcome(collector, event)
        return collector.results

    def test_passed_subtest_is_not_counted(self) -> None:
        self.assertEqual(self.collect("subtest"), ModuleResults())

    def test_failed_subtest_is_a_failure(self) -> None:
        results = self.collect("subtest", failure=ValueError())
        self.assertEqual(results.failed, ["tests/test_x"])

    def test_error_is_a_failure_and_pass_is_not(self) -> None:
        self.assertEqual(self.collect("error").failed, ["tests/test_x"])
        self.assertEqual(self.collect("passed").passed, ["tests/test_x"])
