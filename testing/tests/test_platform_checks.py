"""Test that the checks of the platform soak find each kind of fault."""

import time
import unittest

import msgspec

from fulmarpulley_testing import (  # noqa: F401
    platform_crashes,
    platform_limits,
)
from fulmarpulley_testing.findings import Fault
from fulmarpulley_testing.platform_accounts import REVOKE_MS
from fulmarpulley_testing.platform_changes import APPLY_BOUND_S
from fulmarpulley_testing.platform_checks import CheckContext, check_all
from fulmarpulley_testing.platform_history import (
    FaultWindow,
    PlatformHistory,
    RemovedKey,
    RequestSeen,
    StepSeen,
    WindowKind,
)
from fulmarpulley_testing.platform_worker import (
    LimitPeriod,
    Order,
    PlatformWorker,
    Run,
    server_stamp,
)

LEASE_S = 1.0


class CheckCase(unittest.TestCase):
    def setUp(self) -> None:
        self.history = PlatformHistory()
        self.worker = PlatformWorker("engines-1", ["m0"])
        self.now = time.monotonic()

    def faults(self, final: bool = False) -> set[Fault]:
        workers = {self.worker.name: self.worker}
        found = check_all(CheckContext(self.history, workers, LEASE_S), final)
        return {finding.fault for finding in found}

    def add_request(self, repeatable: bool = False, **changes: object) -> RequestSeen:
        request = RequestSeen(
            request_id="r1",
            node="n0",
            path="/once/1",
            body=b"b",
            repeatable=repeatable,
            began=self.now,
            ended=self.now + 0.1,
            status=200,
            answer=b"answer b",
            answer_id="r1",
        )
        for name, value in changes.items():
            setattr(request, name, value)
        self.history.requests["r1"] = request
        return request

    def add_run(self, request_id: str = "r1", **changes: object) -> Run:
        run = Run(
            worker=self.worker.name,
            request_id=request_id,
            resume_after=0,
            method="POST",
            path="/once/1",
            body=b"b",
            started=self.now,
            complete=True,
        )
        for name, value in changes.items():
            setattr(run, name, value)
        self.worker.runs.append(run)
        return run

    def add_step(self, **changes: object) -> StepSeen:
        step = StepSeen(step_id="s1", items=1, min_version=2, statuses=[202])
        step.accepted_at = self.now
        step.results[0] = {
            "Id": "s1-0",
            "State": "completed",
            "Text": "s1-0:1\ns1-0:2",
            "Versions": [2],
        }
        self.add_run("s1-0", events=2, versions=[2, 2])
        for name, value in changes.items():
            setattr(step, name, value)
        self.history.steps["s1"] = step
        return step


class RequestChecksTest(CheckCase):
    def test_whole_answer_of_one_run_is_no_finding(self) -> None:
        self.add_request()
        self.add_run()
        self.assertEqual(self.faults(), set())

    def test_key_or_wrong_account_at_a_worker_is_found(self) -> None:
        self.add_request(account="a")
        run = self.add_run(account="a")
        self.assertEqual(self.faults(), set())
        run.credentials = "Bearer k"
        self.assertEqual(self.faults(), {Fault.LEAKED_KEY})
        run.credentials, run.account = None, "b"
        self.assertEqual(self.faults(), {Fault.MISLABELLED})

    def test_run_with_a_key_that_was_removed_long_before_is_found(self) -> None:
        self.add_request(key="k", began=self.now, ended=self.now + 1)
        self.add_run()
        removed = RemovedKey(
            account="a", key="k", removed_at=self.now - REVOKE_MS / 1000 + 0.1
        )
        self.history.removed_keys.append(removed)
        self.assertEqual(self.faults(), set())
        removed.removed_at -= 0.2
        self.assertEqual(self.faults(), {Fault.LATE_RUN})
        removed.restored_at = self.now + 0.5
        self.assertEqual(self.faults(), set())

    def test_key_that_is_refused_long_after_it_was_added_is_found(self) -> None:
        self.add_request(key="k", began=self.now, status=401)
        self.history.added_keys["k"] = self.now - APPLY_BOUND_S + 0.1
        self.assertEqual(self.faults(), set())
        self.history.added_keys["k"] -= 0.2
        self.assertEqual(self.faults(), {Fault.STALE})
        removed = RemovedKey(account="a", key="k", removed_at=self.now)
        self.history.removed_keys.append(removed)
        self.assertEqual(self.faults(), set())

    def test_refused_request_that_ran_is_found(self) -> None:
        self.add_request(status=503)
        self.add_run()
        self.assertEqual(self.faults(), {Fault.FALSE_NOT_RUN})

    def test_two_runs_of_a_request_are_found(self) -> None:
        self.add_request()
        self.add_run()
        self.add_run()
        self.assertEqual(self.faults(), {Fault.REPEATED_RUN})

    def test_two_runs_of_a_repeatable_request_are_no_finding(self) -> None:
        self.add_request(repeatable=True)
        self.add_run()
        self.add_run()
        self.assertEqual(self.faults(), set())

    def test_short_answer_is_found(self) -> None:
        self.add_request(answer=b"answ")
        self.add_run()
        self.assertEqual(self.faults(), {Fault.CUT_ANSWER})

    def test_answer_to_another_request_is_found(self) -> None:
        self.add_request(answer_id="r2")
        self.add_run()
        self.assertEqual(self.faults(), {Fault.FOREIGN_ANSWER})

    def test_changed_body_is_found(self) -> None:
        self.add_request()
        self.add_run(body=b"c")
        self.assertEqual(self.faults(), {Fault.FOREIGN_ANSWER})

    def test_run_that_no_client_requested_is_found(self) -> None:
        self.add_run("r9")
        self.assertEqual(self.faults(), {Fault.FOREIGN_ANSWER})

    def add_request_cut_by_stop(self) -> None:
        self.add_request(status=0)
        self.add_run()
        stop = FaultWindow(kind=WindowKind.STOP, subject="n0", begin=self.now - 1)
        self.history.windows.append(stop)

    def test_request_cut_by_a_graceful_stop_is_found(self) -> None:
        self.add_request_cut_by_stop()
        self.assertEqual(self.faults(), {Fault.CUT_ANSWER})

    def test_request_cut_by_a_stop_during_a_kill_is_no_finding(self) -> None:
        self.add_request_cut_by_stop()
        kill = FaultWindow(kind=WindowKind.PROCESS, subject="n1", begin=self.now - 1)
        self.history.windows.append(kill)
        self.assertEqual(self.faults(), set())


class StepChecksTest(CheckCase):
    def test_whole_step_is_no_finding(self) -> None:
        self.add_step()
        self.assertEqual(self.faults(final=True), set())

    def test_refused_step_whose_item_ran_is_found(self) -> None:
        self.add_step(statuses=[503, 429], accepted_at=None, results={})
        self.assertEqual(self.faults(), {Fault.FALSE_NOT_RUN})

    def test_accepted_step_that_is_unknown_later_is_found(self) -> None:
        self.add_step(missing_at=[self.now])
        self.assertEqual(self.faults(), {Fault.LOST_SLOT})

    def test_incomplete_step_is_found_in_the_final_check_only(self) -> None:
        self.add_step(results={})
        self.assertEqual(self.faults(), set())
        self.assertEqual(self.faults(final=True), {Fault.LOST_SLOT})

    def test_changed_result_is_found(self) -> None:
        self.add_step(changed=[0])
        self.assertEqual(self.faults(), {Fault.FOREIGN_SAMPLE})

    def test_item_at_two_positions_is_found(self) -> None:
        step = self.add_step(items=2)
        step.results[1] = step.results[0]
        self.assertEqual(self.faults(), {Fault.DOUBLED_SLOT})

    def test_truncated_text_is_found(self) -> None:
        step = self.add_step()
        step.results[0]["Text"] = "s1-0:1"
        self.assertEqual(self.faults(), {Fault.CUT_SAMPLE})

    def test_wrong_version_is_found(self) -> None:
        step = self.add_step()
        step.results[0]["Versions"] = [3]
        self.assertEqual(self.faults(), {Fault.MISLABELLED})

    def test_version_below_the_minimum_is_found(self) -> None:
        self.add_step(min_version=3)
        self.assertEqual(self.faults(), {Fault.STALE})

    def add_scored_step(
        self, score: str | None, call_at: float, **changes: object
    ) -> None:
        step = self.add_step(rewards=True)
        step.results[0]["Score"] = score
        self.worker.runs[0].last_event = self.now + 1.0
        self.add_run("s1-0-reward", started=call_at, **changes)

    def test_score_of_a_call_after_the_last_event_is_no_finding(self) -> None:
        self.add_scored_step("engines-1.s1-0-reward", self.now + 1.1)
        self.assertEqual(self.faults(), set())

    def test_score_of_a_call_before_the_last_event_is_found(self) -> None:
        self.add_scored_step("engines-1.s1-0-reward", self.now + 0.9)
        self.assertEqual(self.faults(), {Fault.MISLABELLED})

    def test_score_of_a_failed_call_is_found(self) -> None:
        self.add_scored_step("engines-1.s1-0-reward", self.now + 1.1, complete=False)
        self.assertEqual(self.faults(), {Fault.MISLABELLED})

    def test_result_without_its_score_is_found(self) -> None:
        self.add_scored_step(None, self.now + 1.1)
        self.assertEqual(self.faults(), {Fault.MISLABELLED})

    def test_score_of_an_item_without_a_call_is_found(self) -> None:
        self.add_step().results[0]["Score"] = "engines-1.s1-0-reward"
        self.assertEqual(self.faults(), {Fault.MISLABELLED})

    def test_run_long_after_the_end_of_its_step_is_found(self) -> None:
        self.add_step(ended_at=self.now - 10)
        self.assertEqual(self.faults(), {Fault.LATE_RUN})

    def test_run_on_a_draining_worker_is_found(self) -> None:
        self.add_step()
        self.history.draining[self.worker.name] = self.now - 10
        self.assertEqual(self.faults(), {Fault.LATE_RUN})


class OrderChecksTest(CheckCase):
    def order(self, holder: str, fence: int, at: float) -> None:
        self.worker.orders.append(Order(holder, fence, 2, at))

    def test_orders_of_two_holders_a_lease_apart_are_no_finding(self) -> None:
        self.order("n0", 1, 10.0)
        self.order("n1", 2, 10.0 + LEASE_S)
        self.assertEqual(self.faults(), set())

    def test_orders_of_two_holders_within_a_lease_are_found(self) -> None:
        self.order("n0", 1, 10.0)
        self.order("n1", 2, 10.0 + LEASE_S / 2)
        self.assertEqual(self.faults(), {Fault.ORDER_CONFLICT})

    def test_orders_of_two_holders_with_one_fence_are_found(self) -> None:
        self.order("n0", 1, 10.0)
        self.order("n1", 1, 20.0)
        self.assertEqual(self.faults(), {Fault.ORDER_CONFLICT})


class LimitCheckTest(CheckCase):
    def add_limit(self, requests_per_s: float) -> None:
        self.worker.limit_periods.append(LimitPeriod(requests_per_s, self.now))

    def add_arrivals(self, count: int, first_after_s: float) -> None:
        start = self.now + first_after_s
        self.worker.arrivals += [start + number * 0.1 for number in range(count)]

    def test_more_requests_than_a_stated_limit_allows_are_found(self) -> None:
        self.add_limit(1.0)
        self.add_arrivals(11, first_after_s=3.1)
        self.assertEqual(self.faults(), set())
        self.add_arrivals(1, first_after_s=3.15)
        self.assertEqual(self.faults(), {Fault.LIMIT_EXCEEDED})

    def test_requests_soon_after_the_first_statement_do_not_count(self) -> None:
        self.add_limit(1.0)
        self.add_arrivals(29, first_after_s=0.0)
        self.assertEqual(self.faults(), set())

    def test_stopped_node_excuses_its_requests(self) -> None:
        self.add_limit(1.0)
        self.add_arrivals(20, first_after_s=3.1)
        stop = FaultWindow(kind=WindowKind.STOP, subject="n0", begin=self.now + 1)
        self.history.windows.append(stop)
        self.assertEqual(self.faults(), set())


class ChangeTest(CheckCase):
    def test_404_long_after_a_route_was_added(self) -> None:
        self.history.added_routes["/added/0/"] = self.now - 2.6
        self.add_request(path="/added/0/1", status=404)
        self.assertEqual(self.faults(), {Fault.STALE})

    def test_404_is_excused_just_after_the_change_and_by_a_cut(self) -> None:
        self.history.added_routes["/added/0/"] = self.now - 2.4
        request = self.add_request(path="/added/0/1", status=404)
        self.assertEqual(self.faults(), set())
        request.began += 1.0
        window = FaultWindow(
            kind=WindowKind.STORE, subject="n0", begin=self.now, end=self.now + 0.1
        )
        self.history.windows.append(window)
        self.assertEqual(self.faults(), set())
        window.subject = "n1"
        self.assertEqual(self.faults(), {Fault.STALE})

    def test_request_reaches_a_worker_that_said_it_leaves(self) -> None:
        first = self.add_request(leaving=True, repeatable=True)
        first.signature = server_stamp(self.worker.name, "r1")
        self.add_run()
        later = msgspec.structs.replace(
            first, request_id="r2", began=self.now + 2.7, answer_id="r2", leaving=False
        )
        self.history.requests["r2"] = later
        self.add_run("r2", started=self.now + 2.7)
        self.assertEqual(self.faults(), {Fault.LATE_RUN})
        freeze = FaultWindow(
            kind=WindowKind.PROCESS,
            subject="n0",
            begin=self.now + 1.0,
            end=self.now + 2.0,
        )
        self.history.windows.append(freeze)
        self.assertEqual(self.faults(), set())


class CrashCheckTest(CheckCase):
    """Guards against a check that misses requests that go on to crash workers."""

    def add_deadly_runs(self, times: list[float]) -> None:
        for number, after in enumerate(times):
            request = self.add_request(
                repeatable=True, status=502, body=b"deadly 1", request_id=f"x{number}"
            )
            self.history.requests[f"x{number}"] = request
            self.add_run(
                f"x{number}",
                started=self.now + after,
                crashed=True,
                body=request.body,
            )
        self.history.requests.pop("r1", None)

    def test_more_late_runs_than_tolerated_are_found(self) -> None:
        self.add_deadly_runs([0.0, 0.1, 0.2, 3.3, 3.4, 3.5, 3.6])
        self.assertEqual(self.faults(), {Fault.LATE_RUN})

    def test_tolerated_and_early_runs_are_no_finding(self) -> None:
        self.add_deadly_runs([0.0, 0.1, 0.2, 3.1, 3.1, 3.3, 3.4, 3.5])
        self.assertEqual(self.faults(), set())

    def test_suspended_node_excuses_its_late_runs(self) -> None:
        self.add_deadly_runs([0.0, 0.1, 0.2, 3.3, 3.4, 3.5, 3.6])
        window = FaultWindow(
            kind=WindowKind.PROCESS, subject="n0", begin=self.now, end=self.now + 1.0
        )
        self.history.windows.append(window)
        self.assertEqual(self.faults(), set())

    def test_innocent_request_refused_as_crashing_is_found(self) -> None:
        self.add_request(
            repeatable=True,
            status=503,
            answer=b"the request was refused: crashes_upstreams",
        )
        self.assertEqual(self.faults(), {Fault.LOST_ANSWER})
