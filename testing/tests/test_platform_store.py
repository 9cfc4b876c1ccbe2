"""Test steps on the platform while the store fails."""

from platform_case import PlatformCase

from fulmarpulley_testing.platform_store import StoreMode
from fulmarpulley_testing.platform_system import (
    results,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.processes import wait_for


class StoreFailureTest(PlatformCase):
    """Guards against answers to clients that the store has not confirmed."""

    def test_step_is_accepted_when_the_answer_to_its_append_is_lost(self) -> None:
        self.system.store.mode = StoreMode.LOSE_ANSWERS
        self.assertEqual(submit(self.nodes[0], "s1", 2).status, 202)
        self.system.store.mode = StoreMode.UP
        self.assert_complete(wait_results(self.nodes[1], "s1", 2), 5)

    def test_submission_to_a_busy_store_is_refused_and_never_runs(self) -> None:
        self.system.store.mode = StoreMode.BUSY
        answer = submit(self.nodes[0], "s1", 2)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.system.store.mode = StoreMode.UP
        settle(1.0)
        self.assertEqual(self.system.all_runs("s1-0"), [])

    def test_submission_is_answered_before_the_trainer_leaves(self) -> None:
        # A trainer gives up after a second. Without an answer it retries at once, and
        # has no attempt left when a short outage ends.
        self.system.store.mode = StoreMode.RESET
        answer = submit(self.nodes[0], "s1", 2)
        self.assertEqual(answer.headers["retry-after"], "1.000")
        wait_for(lambda: bool(self.nodes[0].events("step_submitted")), "the log")
        (line,) = self.nodes[0].events("step_submitted")
        seconds = float(line.split("seconds=")[1].split()[0])
        self.assertLess(seconds, 1.0)

    def test_results_are_read_while_the_store_is_down(self) -> None:
        submit(self.nodes[0], "s1", 2)
        before = wait_results(self.nodes[0], "s1", 2)
        self.system.store.mode = StoreMode.RESET
        self.assertEqual(results(self.nodes[0], "s1")["Results"], before)

    def test_unknown_step_is_refused_while_the_store_is_down(self) -> None:
        # A 404 would say that the step does not exist.
        self.system.store.mode = StoreMode.RESET
        self.assertEqual(results(self.nodes[0], "s1")["status"], 503)

    def test_results_of_runs_that_end_during_an_outage_are_listed_after_it(
        self,
    ) -> None:
        for engine in self.engines:
            engine.events_per_item = 40
            engine.event_s = 0.02
        submit(self.nodes[0], "s1", 2)
        wait_for(lambda: len(self.system.all_runs("s1-0")) > 0, "a run")
        self.system.store.mode = StoreMode.BUSY
        runs = self.system.all_runs("s1-0")
        wait_for(lambda: any(run.complete for run in runs), "the end of a run")
        settle(0.5)
        self.system.store.mode = StoreMode.UP
        self.assert_complete(wait_results(self.nodes[1], "s1", 2), 40)

    def test_upstreams_stay_in_use_when_operator_records_expire(self) -> None:
        self.system.store.expire_records("keyed.op", 0)
        settle(0.7)
        self.assertEqual(submit(self.nodes[0], "s1", 2).status, 202)
        wait_results(self.nodes[0], "s1", 2)
