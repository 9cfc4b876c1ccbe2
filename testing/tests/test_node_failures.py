"""Test that node failures lose, repeat or mislabel no work."""

import json
import signal
import time
from contextlib import suppress
from http.client import HTTPException
from urllib.error import HTTPError, URLError

from cluster_case import ClusterCase

from fulmarpulley_testing.history import (
    AttemptAnswered,
    AttemptFailed,
    AttemptStarted,
)
from fulmarpulley_testing.layout import DESK, ClusterSettings, Member
from fulmarpulley_testing.processes import call

# Calls are slow enough that some are in progress at each failure. Tests that kill
# nodes kill each one in turn, so that every home is lost once.


class NodeKilledTest(ClusterCase):
    settings = ClusterSettings(seed=11, plain_delay_s=0.3)

    def test_each_node_killed_in_mid_step_loses_no_work(self) -> None:
        trainer = self.start_trainer(steps=4, groups=8)
        self.start_caller(count=160, read_timeout_s=2.0)
        for number, node in enumerate(self.cluster.layout.nodes):
            self.wait_samples(1 + 32 * number)
            self.cluster.process(node).kill()
            self.cluster.start_node(node)
            self.cluster.wait_ready()
        report = self.finish()
        self.assertEqual(trainer.wait(), 0)
        self.assertEqual(report.samples, 4 * 32)
        self.assertEqual(report.answers + report.unresolved + report.refused, 160)


class NodeRestartedAtOnceTest(ClusterCase):
    settings = ClusterSettings(seed=15)

    def test_step_continues_when_no_peer_notices_the_restart(self) -> None:
        # patience_s is far above the 2 s after which a silent link is replaced, and
        # below the deadline of the calls that the killed process never answers.
        trainer = self.start_trainer(steps=4, groups=8, patience_s=15.0)
        for number, node in enumerate(self.cluster.layout.nodes):
            self.wait_samples(1 + 32 * number)
            self.cluster.process(node).kill()
            self.cluster.start_node(node)
            self.cluster.wait_ready()
        self.assertEqual(trainer.wait(120.0), 0)
        self.assertEqual(self.finish().samples, 4 * 32)


class NodeFrozenTest(ClusterCase):
    settings = ClusterSettings(seed=12, plain_delay_s=0.3)

    def suspend_and_resume(self, node: Member) -> None:
        """Suspend a node until a client call times out and a peer considers it dead."""
        process = self.cluster.process(node)
        suspended_at = time.monotonic()
        process.suspend()
        self.cluster.wait_records(
            AttemptFailed,
            1,
            lambda one: one.at > suspended_at and one.code.startswith("lost"),
        )
        observer = next(one for one in self.cluster.layout.nodes if one is not node)

        def considered_dead() -> bool:
            status = call(f"{observer.address()}/v1/status")
            states = {one["node_id"]: one["state"] for one in status["nodes"]}
            return states.get(node.name, "dead") in {"dead", "lost"}

        self.cluster.wait_until(
            considered_dead, f"{observer.name} detecting the death of {node.name}"
        )
        process.resume()

    def test_node_suspended_past_every_timeout_runs_nothing_twice(self) -> None:
        self.start_trainer(steps=3, read_timeout_s=2.0)
        options = {"not_repeatable_ratio": 0.8, "read_timeout_s": 2.0}
        caller = self.start_caller(count=240, rate=25.0, **options)
        for node in self.cluster.layout.nodes[:2]:
            self.wait_answers(10)
            self.suspend_and_resume(node)
        report = self.finish()
        self.assertEqual(caller.wait(), 0)
        self.assertEqual(report.answers + report.unresolved + report.refused, 240)


class GracefulShutdownTest(ClusterCase):
    settings = ClusterSettings(seed=13, desk_engines=2, plain_delay_s=0.3)

    def test_graceful_shutdown_under_load_interrupts_no_request(self) -> None:
        self.start_trainer(steps=2)
        self.start_caller(count=120, rate=30.0)
        self.start_engine_caller(count=80, rate=20.0, max_tokens=200)
        leaving_node = self.cluster.layout.nodes[0]
        process = self.cluster.process(leaving_node)
        self.wait_answers(10)
        signalled_at = time.monotonic()
        process.signal(signal.SIGTERM)
        self.assertEqual(process.wait(60.0), 0)
        self.finish()
        self.assertEqual(self.interrupted(signalled_at), [])

    def interrupted(self, signalled_at: float) -> list[str]:
        """Return the attempts in progress at a time that failed afterwards."""
        started = {
            (one.invocation, one.attempt)
            for one in self.cluster.records(AttemptStarted)
            if one.at < signalled_at
        }
        started -= {
            (one.invocation, one.attempt)
            for one in self.cluster.records(AttemptAnswered)
        }
        return [
            f"{one.invocation}/{one.attempt}: {one.code}"
            for one in self.cluster.records(AttemptFailed)
            if (one.invocation, one.attempt) in started and one.at >= signalled_at
        ]


class FetchAtLeavingNodeTest(ClusterCase):
    settings = ClusterSettings(seed=14, desk_engines=2, tokens_per_s=40.0)

    def fetch(self, node: Member, key: str) -> str:
        """Fetch an answer by key; return the ran field of an error, or "answered"."""
        url = f"{node.address()}/v1/services/{DESK}/requests/{key}"
        try:
            call(url)
        except HTTPError as error:
            return str(json.loads(error.read())["ran"])
        return "answered"

    def test_fetch_of_executed_request_never_reports_not_run(self) -> None:
        leaving_node = self.cluster.layout.nodes[0]
        self.start_caller(count=10, not_repeatable_ratio=1.0)
        # Long streams keep the leaving node running for some seconds.
        self.start_engine_caller(count=40, rate=40.0, max_tokens=300, stream_ratio=1.0)
        self.wait_answers(10)
        started = self.cluster.records(AttemptStarted)
        keys = [one.key for one in started if one.key and DESK in one.invocation]
        key = keys[0]
        process = self.cluster.process(leaving_node)
        process.terminate()
        reports = set()
        while process.running():
            with suppress(ConnectionError, URLError, HTTPException):
                reports.add(self.fetch(leaving_node, key))
        self.finish()
        self.assertNotIn("not_run", reports)
