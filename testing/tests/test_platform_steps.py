"""Guard steps on the platform, with nodes as processes."""

from platform_case import PlatformCase

from fulmarpulley_testing.platform_system import (
    results,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.processes import wait_for


class StepTest(PlatformCase):
    """Guards against lost, doubled and mislabelled results."""

    def test_step_is_read_at_any_node_in_one_order(self) -> None:
        self.assertEqual(submit(self.nodes[0], "s1", 6).status, 202)
        first = wait_results(self.nodes[0], "s1", 6)
        second = wait_results(self.nodes[1], "s1", 6)
        self.assertEqual(first, second)
        self.assert_complete(first, 5)
        self.assertEqual({tuple(r["Versions"]) for r in first}, {(1,)})

    def test_step_submitted_again_is_accepted_once(self) -> None:
        submit(self.nodes[0], "s1", 4)
        wait_results(self.nodes[0], "s1", 4)
        self.assertEqual(submit(self.nodes[1], "s1", 4).status, 202)
        settle(0.5)
        self.assertEqual(len(results(self.nodes[1], "s1")["Results"]), 4)
        self.assertEqual(len(self.system.all_runs("s1-0")), 1)

    def test_step_that_is_unknown_is_not_found(self) -> None:
        answer = self.nodes[0].call("GET", "/-/lots/nothing?After=0")
        self.assertEqual(answer.status, 404)

    def test_step_that_is_ended_runs_no_more(self) -> None:
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

    def test_body_is_returned_until_the_item_is_listed(self) -> None:
        for engine in self.engines:
            engine.events_per_item = 10_000
        submit(self.nodes[0], "s1", 2)
        answer = self.nodes[1].call("GET", "/-/items/s1?Id=s1-1")
        self.assertEqual((answer.status, answer.body), (200, b"body 1"))
        missing = self.nodes[1].call("GET", "/-/items/s1?Id=other")
        self.assertEqual(missing.status, 404)

    def test_step_that_cannot_be_read_is_refused(self) -> None:
        answer = self.nodes[0].call("POST", "/lot/x", b"{", Request_Id="x")
        self.assertEqual(answer.status, 400)

    def test_item_that_breaks_is_resumed_where_it_stopped(self) -> None:
        self.engines[0].break_after = 3
        self.engines[1].break_after = 3
        submit(self.nodes[0], "s1", 2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assert_complete(found, 5)
        resumed = [run.resume_after for run in self.system.all_runs("s1-0")]
        self.assertEqual(resumed, [0, 3])

    def test_stream_of_comments_without_events_is_given_up(self) -> None:
        self.engines[0].comments_only = True
        submit(self.nodes[0], "s1", 6)
        self.assert_complete(wait_results(self.nodes[0], "s1", 6), 5)
        wait_for(lambda: all(r.ended for r in self.engines[0].runs), "closed streams")

    def test_slow_stream_is_not_cut(self) -> None:
        # A stream of 0.8 s a token takes 4 s in all, longer than a silence may last.
        for engine in self.engines:
            engine.event_s = 0.8
        submit(self.nodes[0], "s1", 4)
        self.assert_complete(wait_results(self.nodes[0], "s1", 4), 5)
        for number in range(4):
            self.assertEqual(len(self.system.all_runs(f"s1-{number}")), 1)

    def test_streams_that_begin_late_everywhere_end(self) -> None:
        # Longer than a silence may last: cutting each attempt there would end none.
        for engine in self.engines:
            engine.first_event_delay_s = 3.0
        submit(self.nodes[0], "s1", 2)
        self.assert_complete(wait_results(self.nodes[0], "s1", 2), 5)

    def test_item_that_can_never_be_done_is_listed_as_dead(self) -> None:
        for engine in self.engines:
            engine.fail_status = 422
        submit(self.nodes[0], "s1", 2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assertEqual({result["State"] for result in found}, {"dead"})

    def test_item_that_fails_is_dead_after_the_attempts_of_its_route(self) -> None:
        for engine in self.engines:
            engine.fail_status = 500
        submit(self.nodes[0], "s1", 2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assertEqual({result["State"] for result in found}, {"dead"})
        self.assertEqual(len(self.system.all_runs("s1-0")), 3)

    def test_response_of_another_request_is_not_taken(self) -> None:
        self.engines[0].wrong_id = True
        submit(self.nodes[0], "s1", 4)
        self.assert_complete(wait_results(self.nodes[0], "s1", 4), 5)


class VersionTest(PlatformCase):
    """Guards against wrong labels and two holders of one engine."""

    def test_named_version_is_loaded_and_labels_results(self) -> None:
        self.system.set_target_version(2)
        wait_for(lambda: all(e.versions["m0"] == 2 for e in self.engines), "loads")
        submit(self.nodes[0], "s1", 4, min_version=2)
        found = wait_results(self.nodes[0], "s1", 4)
        self.assertEqual({tuple(r["Versions"]) for r in found}, {(2,)})

    def test_items_wait_for_the_version_that_their_step_demands(self) -> None:
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
