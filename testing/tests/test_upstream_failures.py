"""Test that failing or leaving upstreams truncate, mislabel or lose no work."""

import time
from collections.abc import Callable

from cluster_case import ClusterCase

from fulmarpulley_testing.history import (
    BatchTaken,
    OrderHandled,
    RunStarted,
    VersionPublished,
)
from fulmarpulley_testing.layout import ClusterSettings, Member, drain
from fulmarpulley_testing.processes import Process, set_faults, wait_for

# The documented behaviour is "after a few seconds", so the test allows that long.
LEAVE_GRACE_S = 5.0


class EngineCrashTest(ClusterCase):
    settings = ClusterSettings(seed=41, desk_engines=2, tokens_per_s=100.0)

    def setUp(self) -> None:
        super().setUp()
        self.clients: dict[str, Process] = {}
        self.steps = 0
        self.answers = 0

    def keep_training(self) -> None:
        """Start the next step if the trainer has ended."""
        trainer = self.clients.get("trainer")
        if trainer is None or not trainer.running():
            self.clients["trainer"] = self.start_trainer(steps=1, first_step=self.steps)
            self.steps += 1

    def keep_calling(self) -> None:
        """Start the next caller if the last one has ended."""
        caller = self.clients.get("caller")
        if caller is None or not caller.running():
            started = self.start_engine_caller(
                count=20, max_tokens=200, seed=self.answers
            )
            self.clients["caller"] = started
            self.answers += 20

    def crash(self, engine: Member, keep_busy: Callable[[], None]) -> None:
        """Crash an engine after its next tokens and start it again.

        An engine without work does not crash, so keep it busy until it ends.
        """
        set_faults(engine.port, crash_after_tokens=1)
        process = self.cluster.process(engine)

        def ended() -> bool:
            keep_busy()
            return not process.running()

        wait_for(ended, f"end of {engine.name}", 60.0)
        self.assertNotEqual(process.wait(1.0), 0)
        self.cluster.start_engine(engine)
        self.cluster.wait_ready()

    def test_engine_crash_in_mid_stream_truncates_no_answer(self) -> None:
        self.keep_training()
        self.keep_calling()
        self.wait_samples(1)
        self.crash(self.cluster.layout.engines[0], self.keep_training)
        self.crash(self.cluster.layout.desk_engines[0], self.keep_calling)
        self.crash(self.cluster.layout.engines[1], self.keep_training)
        report = self.finish()
        self.assertEqual(report.answers, self.answers)
        self.assertEqual(report.samples, self.steps * 24)


class EngineHangTest(ClusterCase):
    settings = ClusterSettings(seed=42, desk_engines=2, tokens_per_s=100.0)

    def test_engine_hang_in_mid_stream_blocks_no_work(self) -> None:
        trainer = self.start_trainer(steps=2)
        caller = self.start_engine_caller(count=60, max_tokens=200)
        self.wait_samples(1)
        hung_engines = (
            self.cluster.layout.engines[0],
            self.cluster.layout.desk_engines[0],
        )
        for engine in hung_engines:
            set_faults(engine.port, hang=True)
        self.assertEqual(trainer.wait(120.0), 0)
        self.assertEqual(caller.wait(120.0), 0)
        report = self.finish()
        self.assertEqual(report.answers, 60)
        self.assertEqual(report.samples, 2 * 24)


class WeightSwapTest(ClusterCase):
    settings = ClusterSettings(seed=43, tokens_per_s=60.0)

    def test_swap_in_mid_stream_keeps_version_labels_correct(self) -> None:
        self.start_trainer(steps=4, max_tokens=160, train_s=0.1)
        self.finish()
        batches = self.cluster.records(BatchTaken)
        spans = [len(sample.spans) for batch in batches for sample in batch.samples]
        self.assertGreater(max(spans), 1, "no stream continued across a weight swap")

    def test_failed_swap_keeps_version_labels_correct_and_is_retried(self) -> None:
        for engine in self.cluster.layout.engines:
            set_faults(engine.port, failed_swaps=1)
        self.start_trainer(steps=3, max_tokens=160, train_s=0.1)
        self.cluster.wait_records(VersionPublished, 1)
        self.cluster.wait_records(OrderHandled, 1, lambda one: one.outcome == "failed")
        self.cluster.wait_records(OrderHandled, 1, lambda one: one.outcome == "done")
        report = self.finish()
        self.assertEqual(report.samples, 3 * 24)


class ZeroStalenessTest(ClusterCase):
    settings = ClusterSettings(seed=46, swap_s=0.1)

    def test_samples_that_expire_while_they_wait_are_replaced(self) -> None:
        # Samples of the next step finish while the trainer is still training. With a
        # staleness bound of 0 they all expire when it announces the next version.
        self.start_trainer(steps=3, bound=0, train_s=1.5, abandon_ratio=0.2)
        report = self.finish()
        self.assertEqual(report.samples, 3 * 24)
        runs = self.cluster.records(RunStarted)
        self.assertGreater(len(runs), 3 * 24, "no sample expired")


class UpstreamLeavingTest(ClusterCase):
    settings = ClusterSettings(seed=44, engines=4, tokens_per_s=120.0)

    def test_each_leave_signal_stops_new_work(self) -> None:
        trainer = self.start_trainer(steps=7, max_tokens=160, train_s=0.8)
        listed, drained, signalled, _remaining = self.cluster.layout.engines
        self.wait_samples(1)
        self.cluster.mark_leaving(listed)
        set_faults(signalled.port, draining=True)
        document = drain(self.cluster.layout.training_document(), drained.name)
        self.cluster.apply(document)
        leaving_at = time.monotonic()
        leaving = {listed.name, drained.name, signalled.name}
        self.cluster.wait_records(
            RunStarted, 1, lambda run: run.at > leaving_at + LEAVE_GRACE_S
        )
        self.assertEqual(trainer.wait(120.0), 0)
        report = self.finish()
        self.assertEqual(report.samples, 7 * 24)
        late = [
            run.upstream
            for run in self.cluster.records(RunStarted)
            if run.upstream in leaving and run.at > leaving_at + LEAVE_GRACE_S
        ]
        self.assertEqual(late, [])


class PlainAnswersLostTest(ClusterCase):
    settings = ClusterSettings(seed=45)

    def test_call_with_lost_answer_is_not_repeated(self) -> None:
        self.start_caller(count=100, not_repeatable_ratio=0.7)
        for answers in (1, 30):
            self.wait_answers(answers)
            for plain in self.cluster.layout.plains:
                set_faults(plain.port, lose_answers=4)
        report = self.finish()
        self.assertGreater(
            report.unresolved, 0, "no non-repeatable call lost its answer"
        )
        self.assertEqual(report.answers + report.unresolved, 100)

    def test_refused_call_runs_elsewhere_once(self) -> None:
        for plain in self.cluster.layout.plains:
            set_faults(plain.port, refusals=10)
        self.start_caller(count=60, not_repeatable_ratio=0.7)
        self.assertEqual(self.finish().answers, 60)
