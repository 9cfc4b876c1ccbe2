"""Test the scores of results on the platform, with nodes as processes."""

import json
import signal
from typing import Any

from platform_case import PlatformCase, expected_text

from fulmarpulley_testing.platform_documents import (
    HOST,
    configuration,
    reward_call,
    reward_id,
    submission,
)
from fulmarpulley_testing.platform_system import (
    NodeProcess,
    results,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.platform_worker import Run, server_stamp
from fulmarpulley_testing.processes import wait_for

ROLLOUT_ATTEMPTS = 3


class RewardCase(PlatformCase):
    def submit(self, node: NodeProcess, step: str, items: int) -> None:
        self.assertEqual(submit(node, step, items, rewards=True).status, 202)

    def reward_runs(self, item: str) -> list[Run]:
        return self.system.all_runs(reward_id(item))

    def assert_scored(self, result: Any, events: int = 5) -> None:
        item = result["Id"]
        self.assertEqual(result["State"], "completed")
        self.assertEqual(result["Text"], expected_text(item, events))
        stamps = [server_stamp(r.worker, r.request_id) for r in self.reward_runs(item)]
        self.assertIn(result["Score"], stamps)


class RewardTest(RewardCase):
    """Guards against results with no score or one that their text did not get."""

    def test_score_is_the_stamp_of_the_items_own_reward_call(self) -> None:
        self.submit(self.nodes[0], "s1", 6)
        found = wait_results(self.non_owner(), "s1", 6)
        for result in found:
            self.assert_scored(result)
            item = result["Id"]
            (run,) = self.reward_runs(item)
            self.assertEqual((run.method, run.path), ("POST", f"/desk/score/{item}"))
            self.assertEqual(run.body, f"score {item}".encode())

    def test_reward_call_starts_after_the_last_event_of_the_text(self) -> None:
        for engine in self.engines:
            engine.event_s = 0.1
        self.submit(self.nodes[0], "s1", 2)
        wait_results(self.nodes[0], "s1", 2)
        for item in ("s1-0", "s1-1"):
            (generation,) = self.system.all_runs(item)
            (call,) = self.reward_runs(item)
            self.assertGreaterEqual(call.started, generation.started + 5 * 0.1)

    def test_step_without_reward_calls_has_no_scores(self) -> None:
        submit(self.nodes[0], "s1", 2)
        found = wait_results(self.nodes[0], "s1", 2)
        self.assertFalse(any("Score" in result for result in found))

    def test_reward_call_that_always_fails_ends_only_its_item(self) -> None:
        for desk in self.desks:
            desk.failing_requests.add(reward_id("s1-0"))
        self.submit(self.nodes[0], "s1", 4)
        found = {r["Id"]: r for r in wait_results(self.nodes[0], "s1", 4)}
        self.assertEqual(found["s1-0"]["State"], "dead")
        self.assertEqual(len(self.reward_runs("s1-0")), ROLLOUT_ATTEMPTS)
        for item in ("s1-1", "s1-2", "s1-3"):
            self.assert_scored(found[item])

    def test_item_does_not_end_during_an_outage_of_the_reward_service(self) -> None:
        # Only status 500 says that the call itself fails.
        for desk in self.desks:
            desk.fail_status = 502
        self.submit(self.nodes[0], "s1", 2)
        wait_for(lambda: len(self.reward_runs("s1-0")) > 2 * ROLLOUT_ATTEMPTS, "calls")
        self.assertEqual(results(self.nodes[0], "s1")["Results"], [])
        for desk in self.desks:
            desk.fail_status = 0
        for result in wait_results(self.nodes[0], "s1", 2):
            self.assert_scored(result)

    def test_reward_call_is_retried_after_an_answer_with_a_wrong_id(self) -> None:
        for desk in self.desks:
            desk.wrong_id = True
        self.submit(self.nodes[0], "s1", 2)
        wait_for(lambda: len(self.reward_runs("s1-0")) > 4, "several calls")
        self.assertEqual(results(self.nodes[0], "s1")["Results"], [])
        for desk in self.desks:
            desk.wrong_id = False
        for result in wait_results(self.nodes[0], "s1", 2):
            self.assert_scored(result)

    def test_generated_text_waits_while_the_reward_route_is_missing(self) -> None:
        whole = configuration(0)["Routes"]
        routes_without = [route for route in whole if route["Name"] != "r-desk"]
        self.system.configure(Routes=routes_without)
        settle(0.7)
        self.submit(self.nodes[0], "s1", 2)
        owner = self.owner()
        wait_for(lambda: bool(owner.events("reward_without_route")), "a call")
        self.assertEqual(results(self.nodes[0], "s1")["Results"], [])
        self.system.configure()
        for result in wait_results(self.nodes[0], "s1", 2):
            self.assert_scored(result)

    def test_text_is_scored_when_it_ends_while_its_own_route_is_missing(self) -> None:
        whole = configuration(0)["Routes"]
        routes_without = [route for route in whole if route["Name"] != "r-lot"]
        for engine in self.engines:
            engine.event_s = 0.02
        self.submit(self.nodes[0], "s1", 60)
        wait_results(self.nodes[0], "s1", 8)
        # Items complete until the owner marks the rest of the route's items as dead.
        self.system.configure(Routes=routes_without)
        found = wait_results(self.nodes[0], "s1", 60)
        for result in found:
            if result["State"] == "completed":
                self.assert_scored(result)
        self.assertTrue(any(result["State"] == "dead" for result in found))

    def test_ended_step_makes_no_more_reward_calls(self) -> None:
        for desk in self.desks:
            desk.fail_status = 404
        self.submit(self.nodes[0], "s1", 2)
        wait_for(lambda: bool(self.reward_runs("s1-0")), "a call")
        ended = self.nodes[0].call("DELETE", "/-/lots/s1")
        self.assertEqual(ended.status, 200)
        settle(1.0)
        calls = len(self.reward_runs("s1-0"))
        settle(1.5)
        self.assertEqual(len(self.reward_runs("s1-0")), calls)


class RewardOwnerTest(RewardCase):
    """Guards against texts that are lost when the owner fails during reward calls."""

    def start_reward_calls(self) -> None:
        """Start reward calls that do not end, for texts that are saved to the log."""
        for desk in self.desks:
            desk.event_s = 60.0
        self.submit(self.non_owner(), "s1", 4)
        items = [f"s1-{number}" for number in range(4)]
        wait_for(lambda: all(self.reward_runs(i) for i in items), "reward calls")
        # The texts are written while the calls run.
        settle(0.5)
        for desk in self.desks:
            desk.event_s = 0.01

    def assert_not_generated_again(self, reader: NodeProcess) -> None:
        for result in wait_results(reader, "s1", 4):
            self.assert_scored(result)
            self.assertEqual(len(self.system.all_runs(result["Id"])), 1)

    def test_only_reward_calls_are_repeated_after_a_kill_of_the_owner(self) -> None:
        self.start_reward_calls()
        reader = self.non_owner()
        self.owner().kill()
        self.assert_not_generated_again(reader)

    def test_only_reward_calls_are_repeated_after_a_stop_of_the_owner(self) -> None:
        self.start_reward_calls()
        reader = self.non_owner()
        self.owner().signal(signal.SIGTERM)
        self.assert_not_generated_again(reader)

    def test_scores_do_not_change_when_a_paused_owner_continues(self) -> None:
        self.start_reward_calls()
        owner, reader = self.owner(), self.non_owner()
        owner.signal(signal.SIGSTOP)
        before = wait_results(reader, "s1", 4)
        owner.signal(signal.SIGCONT)
        settle(1.0)
        self.assertEqual(results(owner, "s1")["Results"], before)


class BadRewardTest(RewardCase):
    """Guards against scoring endpoints that cannot be called."""

    def submit_with(self, endpoint: Any) -> int:
        step = json.loads(submission("s1", 2, rewards=True))
        step["Items"][1]["ScoringEndpoint"] = endpoint
        body = json.dumps(step).encode()
        answer = self.nodes[0].call("POST", "/lot/s1", body, Request_Id="s1")
        if answer.status == 400:
            self.assertIn(b"submission cannot be read", answer.body)
        return answer.status

    def test_step_with_an_unreadable_scoring_endpoint_is_refused(self) -> None:
        whole = reward_call("s1-1")
        for endpoint in (
            7,
            {"Host": HOST, "Path": "/desk/x"},
            {**whole, "Id": ""},
            {**whole, "Body": "*"},
            {**whole, "Path": 3},
        ):
            self.assertEqual(self.submit_with(endpoint), 400, endpoint)
        self.assertEqual(self.nodes[0].call("GET", "/-/lots/s1?After=0").status, 404)
        self.assertEqual(self.system.all_runs("s1-0"), [])
        self.assertEqual(self.submit_with(whole), 202)
