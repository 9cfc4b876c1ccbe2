"""Provide the base class of the end-to-end failure tests."""

import tempfile
import unittest
from pathlib import Path

from fulmarpulley_testing.cluster import Cluster, log_tails, start_cluster
from fulmarpulley_testing.findings import Report
from fulmarpulley_testing.history import AttemptAnswered, BatchTaken
from fulmarpulley_testing.layout import ENGINE_DESK, ClusterSettings
from fulmarpulley_testing.processes import Process, Processes


class ClusterCase(unittest.TestCase):
    """Run each test on its own cluster."""

    settings = ClusterSettings()

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.processes = self.enterContext(Processes(Path(folder)))
        try:
            self.cluster: Cluster = start_cluster(self.processes, self.settings)
        except Exception as error:
            error.add_note(log_tails(Path(folder)))
            raise

    def start_trainer(self, **options: object) -> Process:
        """Start a trainer with short steps."""
        defaults: dict[str, object] = {"steps": 3, "groups": 6, "samples_per_group": 4}
        defaults |= {"max_tokens": 80, "train_s": 0.3, "read_timeout_s": 4.0}
        return self.cluster.start_trainer(**{**defaults, **options})

    def start_caller(self, **options: object) -> Process:
        """Start a caller of the plain desk; half of its requests are not repeatable."""
        defaults: dict[str, object] = {"count": 120, "rate": 25.0}
        defaults |= {"not_repeatable_ratio": 0.5, "read_timeout_s": 4.0}
        return self.cluster.start_caller(**{**defaults, **options})

    def start_engine_caller(self, **options: object) -> Process:
        """Start a caller of the engine desk; half of its requests are streamed."""
        defaults: dict[str, object] = {"service": ENGINE_DESK, "dialect": "engine"}
        defaults |= {"count": 60, "rate": 15.0, "stream_ratio": 0.5}
        defaults |= {"read_timeout_s": 6.0}
        return self.cluster.start_caller(**{**defaults, **options})

    def wait_samples(self, count: int) -> None:
        """Wait until trainers have received a number of samples."""

        def enough() -> bool:
            batches = self.cluster.records(BatchTaken)
            return sum(len(batch.samples) for batch in batches) >= count

        self.cluster.wait_until(enough, f"{count} samples")

    def wait_answers(self, count: int) -> None:
        """Wait until callers have received a number of answers."""
        self.cluster.wait_records(AttemptAnswered, count)

    def finish(self) -> Report:
        """Wait for the clients; fail with the findings of the history checker."""
        try:
            report = self.cluster.finish()
        except Exception as error:
            error.add_note(log_tails(self.processes.folder))
            raise
        found = [
            f"{one.fault.value} {one.subject}: {one.detail}" for one in report.findings
        ]
        if found:
            text = "\n".join(found[:20])
            self.fail(f"{text}\n{log_tails(self.processes.folder)}")
        return report
