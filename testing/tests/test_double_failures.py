"""Test that no work is lost or duplicated when several parts fail at once."""

from cluster_case import ClusterCase

from fulmarpulley_testing.layout import ClusterSettings
from fulmarpulley_testing.processes import set_faults


class KillDuringOutageTest(ClusterCase):
    settings = ClusterSettings(seed=51)

    def test_node_killed_during_a_log_outage_loses_no_work(self) -> None:
        self.start_trainer(steps=3, groups=8)
        self.start_caller(count=160, not_repeatable_ratio=0.5)
        self.wait_samples(1)
        set_faults(self.cluster.layout.log, outage=True)
        for node in self.cluster.layout.nodes[:2]:
            self.cluster.process(node).kill()
        self.wait_samples(40)
        set_faults(self.cluster.layout.log, outage=False)
        report = self.finish()
        self.assertEqual(report.samples, 3 * 32)
        self.assertEqual(report.answers + report.unresolved + report.refused, 160)


class FreezeAndCrashTest(ClusterCase):
    settings = ClusterSettings(seed=52, tokens_per_s=100.0)

    def test_suspended_node_lost_answers_and_engine_crash_lose_no_work(self) -> None:
        self.start_trainer(steps=3)
        self.start_caller(count=200, rate=20.0, not_repeatable_ratio=0.8)
        self.wait_samples(1)
        suspended = self.cluster.process(self.cluster.layout.nodes[2])
        suspended.suspend()
        set_faults(self.cluster.layout.log, lose_answers=5, double_appends=5)
        engine = self.cluster.layout.engines[0]
        set_faults(engine.port, crash_after_tokens=1)
        self.cluster.process(engine).wait(60.0)
        self.cluster.start_engine(engine)
        self.cluster.wait_ready()
        self.wait_answers(100)
        suspended.resume()
        report = self.finish()
        self.assertEqual(report.samples, 3 * 24)
        self.assertEqual(report.answers + report.unresolved + report.refused, 200)
