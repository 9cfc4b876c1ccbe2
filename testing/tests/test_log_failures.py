"""Test that log failures cause no wrong outcome and no repeated run."""

from collections import Counter

from cluster_case import ClusterCase

from fulmarpulley_testing.history import CallExecuted, Completed
from fulmarpulley_testing.layout import (
    DESK,
    TRAINING,
    ClusterSettings,
    address_of,
)
from fulmarpulley_testing.processes import call, set_faults


class LogOutageTest(ClusterCase):
    settings = ClusterSettings(seed=21)

    def test_outage_refuses_only_non_repeatable_requests(self) -> None:
        set_faults(self.cluster.layout.log, outage=True)
        self.check_outage(outage=False)

    def test_silent_log_refuses_only_non_repeatable_requests(self) -> None:
        set_faults(self.cluster.layout.log, silent=True)
        self.check_outage(silent=False)

    def check_outage(self, **reset: bool) -> None:
        trainer = self.start_trainer(steps=2)
        options = {"not_repeatable_ratio": 0.0, "keyed_ratio": 0.0}
        repeatable_caller = self.start_caller(name="often", count=40, **options)
        once_options = {"not_repeatable_ratio": 1.0, "patience_s": 3.0}
        refused_caller = self.start_caller(name="once", count=10, **once_options)
        refused_caller.wait(60.0)
        bodies = [call.body for call in self.cluster.records(CallExecuted)]
        self.assertEqual([body for body in bodies if "once" in body], [])
        outcomes = Counter(
            (one.invocation.split("/")[0], one.outcome)
            for one in self.cluster.records(Completed)
        )
        self.assertEqual(outcomes["once", "not_run"], 10)
        repeatable_caller.wait(60.0)
        self.assertEqual(trainer.wait(60.0), 0)
        set_faults(self.cluster.layout.log, **reset)
        self.start_caller(name="after", count=20, not_repeatable_ratio=1.0)
        report = self.finish()
        self.assertEqual(report.answers, 60)
        self.assertEqual(report.refused, 10)
        self.assertEqual(report.samples, 48)


class LostAppendAnswersTest(ClusterCase):
    settings = ClusterSettings(seed=22)

    def test_lost_answers_and_duplicate_appends_run_nothing_twice(self) -> None:
        self.start_caller(count=150, rate=25.0, not_repeatable_ratio=1.0)
        for answers in (1, 30, 60, 90):
            self.wait_answers(answers)
            set_faults(self.cluster.layout.log, lose_answers=5, double_appends=5)
        report = self.finish()
        self.assertEqual(report.answers, 150)
        executed = self.cluster.records(CallExecuted)
        self.assertEqual(len(executed), 150)


class SilentConnectionTest(ClusterCase):
    settings = ClusterSettings(seed=23, log_proxy=True)

    def silence_connections(self) -> None:
        """Silence every open connection between the nodes and the log."""
        for node in self.cluster.layout.nodes:
            url = f"{address_of(node.proxy_control_port)}/control/silence"
            self.assertGreater(call(url, "POST")["links"], 0)

    def test_silent_connections_to_the_log_are_replaced(self) -> None:
        self.start_caller(count=80, rate=20.0, not_repeatable_ratio=1.0)
        self.wait_answers(10)
        self.silence_connections()
        self.cluster.apply(self.cluster.layout.desk_document())
        self.wait_answers(50)
        self.silence_connections()
        report = self.finish()
        self.assertEqual(report.answers, 80)


class RetentionByCountTest(ClusterCase):
    settings = ClusterSettings(seed=24, plain_delay_s=0.1)

    def test_expired_claims_run_nothing_twice_after_restarts(self) -> None:
        set_faults(self.cluster.layout.log, retain_count=20)
        self.start_caller(count=160, rate=25.0, not_repeatable_ratio=0.9)
        for number, node in enumerate(self.cluster.layout.nodes):
            self.wait_answers(1 + 40 * number)
            self.cluster.process(node).kill()
            self.cluster.start_node(node)
            self.cluster.wait_ready()
        report = self.finish()
        self.assertEqual(report.answers + report.unresolved + report.refused, 160)


class RetentionByAgeTest(ClusterCase):
    settings = ClusterSettings(seed=25, retention_s=3.0)

    def test_documents_survive_expiry_of_their_changes(self) -> None:
        layout = self.cluster.layout
        revisions = {name: self.cluster.revision(name) for name in (TRAINING, DESK)}
        set_faults(layout.log, retain_s=3.0)
        config = f"{address_of(layout.log)}/streams/config/records?from=1&max=1"
        newest = max(revisions.values())
        self.cluster.wait_until(
            lambda: call(config)["first"] > newest, "expiry of all changes"
        )
        for node in layout.nodes:
            self.cluster.process(node).kill()
            self.cluster.start_node(node)
            self.cluster.wait_ready()
            for name, revision in revisions.items():
                state = self.cluster.document_state(node, name)
                self.assertEqual(state.revision, revision)
        self.start_caller(count=20, not_repeatable_ratio=0.5)
        self.assertEqual(self.finish().answers, 20)
