"""Provide a nose2 plugin that collects test outcomes."""

from typing import Any

from nose2 import events

from .runner import ModuleResults


class ResultCollector(events.Plugin):
    """Collect the outcome of each test."""

    alwaysOn = True  # noqa: N815  (name fixed by nose2)
    results = ModuleResults()
    prefix = ""

    def testOutcome(self, event: Any) -> None:  # noqa: N802  (name fixed by nose2)
        """Record the name of a test under its outcome."""
        test = event.test
        name = f"{self.prefix}/{test.id()}"
        if event.outcome == "subtest" and event.exc_info is None:
            return  # The enclosing test reports its own success.
        if event.outcome == "passed":
            self.results.passed.append(name)
        elif event.outcome == "skipped":
            self.results.skipped.append(name)
        else:
            self.results.failed.append(name)
