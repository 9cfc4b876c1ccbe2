"""Test steps and model versions on the platform, with nodes as processes."""

from platform_case import PlatformCase

from fulmarpulley_testing.platform_system import (
    results,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.processes import wait_for


class StepTest(PlatformCase):
    """Guards against lost, duplicated and mislabelled results."""

    def test_results_are_read_in_the_same_order_from_all_nodes(self) -> None:
        self.assertEqual(submit(self.nodes[0], "s1", 6).status, 202)
        first = wait_results(self.nodes[0], "s1", 6)
        second = wait_results(self.nodes[1], "s1", 6)
        self.assertEqual(first, second)
        self.assert_complete(first, 5)
        self.assertEqual({tuple(r["Versions"]) for r in first}, {(1,)})

    def test_step_submitted_twice_runs_once(self) -> None:
        submit(self.nodes[0], "s1", 4)
        wait_results(self.nodes[0], "s1", 4)
        self.assertEqual(submit(self.nodes[1], "s1", 4).status, 202)
        settle(0.5)
        self.assertEqual(len(results(self.nodes[1], "s1")["Results"]), 4)
        self.assertEqual(len(self.system.all_runs("s1-0")), 1)

    def test_unknown_step_is_not_found(self) -> None:
        answer = self.nodes[0].call("GET", "/-/lots/nothing?After=0")
        self.assertEqual(answer.status, 404)

    def test_items_stop_running_when_their_step_is_ended(self) -> None:
        for engine in self.engines:
            engine.events_per_item = 10_000
        submit(self.nodes[0], "s1", 4)
        wait_for(lambda: bool(self.system.all_runs("s1-0")), "a run")
        for _ in range(2):
            ended = self.non_owner().call("DELETE", "/-/lots/s1")
            self.assertEqual(ended.status, 200)
        run = self.system.all_runs("s1-0")[0]
        settle(0.5)
        events = run.events
        settle(0.5)
        self.assertEqual(run.events, events)

    def test_body_of_an_item_is_returned_while_it_runs(self) -> None:
        for engine in self.engines:
            engine.events_per_item = 10_000
        submit(self.nodes[0], "s1", 2)
        answer = self.nodes[1].call("GET", "/-/items/s1?Id=s1-1")
        self.assertEqual((answer.status, answer.body), (200, b"body 1"))
        missing = self.nodes[1].call("GET", "/-/items/s1?Id=other")
        self.assertEqual(missing.status, 404)

    def test_step_with_an_unreadable_body_is_refused(self) -> None:
        answer = self.nodes[0].call("POST", "/lot/x", b"{", Request_Id="x")
        self.assertEqual(answer.status, 400)

    def test_item_is_resumed_after_the_last_event_of_a_broken_stream(self) -> None:
        self.engines[0].break_after = 3
        self.engines[1].break_after = 3
        submit(self.nodes[0], "s1", 2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assert_complete(found, 5)
        resumed = [run.resume_after for run in self.system.all_runs("s1-0")]
        self.assertEqual(resumed, [0, 3])

    def test_stream_that_sends_only_comments_is_closed(self) -> None:
        self.engines[0].comments_only = True
        submit(self.nodes[0], "s1", 6)
        self.assert_complete(wait_results(self.nodes[0], "s1", 6), 5)
        wait_for(lambda: all(r.ended for r in self.engines[0].runs), "closed streams")

    def test_slow_stream_is_not_cut(self) -> None:
        # With 0.8 s for each event, a stream takes 4 s, longer than the stall timeout.
        for engine in self.engines:
            engine.event_s = 0.8
        submit(self.nodes[0], "s1", 4)
        self.assert_complete(wait_results(self.nodes[0], "s1", 4), 5)
        for number in range(4):
            self.assertEqual(len(self.system.all_runs(f"s1-{number}")), 1)

    def test_items_complete_when_the_streams_of_all_engines_begin_late(self) -> None:
        # Longer than the stall timeout: no item would complete if each attempt were
        # closed after the same time.
        for engine in self.engines:
            engine.first_event_delay_s = 3.0
        submit(self.nodes[0], "s1", 2)
        self.assert_complete(wait_results(self.nodes[0], "s1", 2), 5)

    def test_item_that_engines_reject_is_listed_as_dead(self) -> None:
        for engine in self.engines:
            engine.fail_status = 422
        submit(self.nodes[0], "s1", 2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assertEqual({result["State"] for result in found}, {"dead"})

    def test_item_that_always_fails_is_dead_after_the_attempts_of_its_route(
        self,
    ) -> None:
        for engine in self.engines:
            engine.fail_status = 500
        submit(self.nodes[0], "s1", 2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assertEqual({result["State"] for result in found}, {"dead"})
        self.assertEqual(len(self.system.all_runs("s1-0")), 3)

    def test_answer_with_a_wrong_request_id_is_not_accepted(self) -> None:
        self.engines[0].wrong_id = True
        submit(self.nodes[0], "s1", 4)
        self.assert_complete(wait_results(self.nodes[0], "s1", 4), 5)


class VersionTest(PlatformCase):
    """Guards against wrong version labels and two holders that order one engine."""

    def test_target_version_is_loaded_and_labels_results(self) -> None:
        self.system.set_target_version(2)
        wait_for(lambda: all(e.versions["m0"] == 2 for e in self.engines), "loads")
        submit(self.nodes[0], "s1", 4, min_version=2)
        found = wait_results(self.nodes[0], "s1", 4)
        self.assertEqual({tuple(r["Versions"]) for r in found}, {(2,)})

    def test_items_wait_for_the_minimum_version_of_their_step(self) -> None:
        submit(self.nodes[0], "s1", 2, min_version=2)
        settle(0.5)
        self.assertEqual(results(self.nodes[0], "s1")["Results"], [])
        self.system.set_target_version(2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assertEqual({tuple(r["Versions"]) for r in found}, {(2,)})

    def test_orders_of_the_next_owner_carry_a_higher_fence(self) -> None:
        self.system.set_target_version(2)
        wait_for(lambda: all(e.versions["m0"] == 2 for e in self.engines), "loads")
        reader = self.non_owner()
        self.owner().kill()
        wait_for(lambda: self.system.owner() is reader, "a takeover")
        self.system.set_target_version(3)
        wait_for(lambda: all(e.versions["m0"] == 3 for e in self.engines), "loads")
        for engine in self.engines:
            first, second = engine.orders
            self.assertNotEqual(first.holder, second.holder)
            self.assertLess(first.fence, second.fence)
