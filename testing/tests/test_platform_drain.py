"""Test upstreams that say in their answers that they leave."""

import time

from platform_case import PlatformCase

from fulmarpulley_testing.platform_documents import reward_id
from fulmarpulley_testing.platform_store import StoreMode
from fulmarpulley_testing.platform_system import (
    Answer,
    NodeProcess,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.platform_worker import PlatformWorker
from fulmarpulley_testing.processes import wait_for

# The time for which a leaving upstream still takes requests.
DRAIN_S = 2.5
LATER_REQUESTS = 40


class LeavingTest(PlatformCase):
    """Guards against requests that reach an upstream long after it said it leaves."""

    def ask(self, node: NodeProcess, request_id: str) -> Answer:
        return node.call(
            "POST", "/desk/a", b"text", Request_Id=request_id, Deadline_Ms="2000"
        )

    def make_upstream_leave(self, node: NodeProcess) -> PlatformWorker:
        """Make the upstream that a node uses leave, and pass on its answer."""
        self.ask(node, f"{node.name}-first")
        (run,) = self.system.all_runs(f"{node.name}-first")
        worker = self.system.workers[run.worker]
        worker.leaving = True
        answer = self.ask(node, f"{node.name}-second")
        self.assertEqual(answer.headers.get("server-leaving"), "1")
        return worker

    def assert_avoided(self, node: NodeProcess, worker: PlatformWorker) -> None:
        settle(DRAIN_S)
        for number in range(LATER_REQUESTS):
            answer = self.ask(node, f"{node.name}-late-{number}")
            self.assertEqual(answer.status, 200)
        late = [run for run in worker.runs if "late" in run.request_id]
        self.assertEqual(late, [])

    def test_leaving_upstream_gets_no_later_requests_while_its_entry_is_ready(
        self,
    ) -> None:
        worker = self.make_upstream_leave(self.nodes[0])
        self.assert_avoided(self.nodes[0], worker)

    def test_leaving_upstream_gets_no_later_requests_while_the_store_is_down(
        self,
    ) -> None:
        self.system.store.mode = StoreMode.RESET
        worker = self.make_upstream_leave(self.nodes[0])
        self.assert_avoided(self.nodes[0], worker)

    def test_leaving_upstream_is_avoided_after_its_entry_is_written_again(self) -> None:
        worker = self.make_upstream_leave(self.nodes[0])
        for state in ("ready", None, "ready"):
            self.write_entry(worker, state)
            settle(0.5)
        self.assert_avoided(self.nodes[0], worker)

    def test_upstream_that_starts_again_under_its_id_is_used(self) -> None:
        worker = self.make_upstream_leave(self.nodes[0])
        worker.leaving = False
        worker.born += 1
        self.write_entry(worker, "ready")
        for other in self.desks:
            other.fail_status = 0 if other is worker else 500
        wait_for(
            lambda: self.ask(self.nodes[0], f"new-{time.monotonic()}").status == 200,
            "an answer of the upstream that started again",
        )

    def test_leaving_engine_gets_no_later_items(self) -> None:
        self.engines[0].leaving = True
        submit(self.nodes[0], "s1", 20)
        wait_results(self.nodes[0], "s1", 20)
        self.assertTrue(any("s1" in run.request_id for run in self.engines[0].runs))
        settle(DRAIN_S)
        submit(self.nodes[0], "s2", 20)
        self.assert_complete(wait_results(self.nodes[0], "s2", 20), 5)
        late = [run for run in self.engines[0].runs if "s2" in run.request_id]
        self.assertEqual(late, [])

    def test_leaving_upstream_gets_no_later_reward_calls(self) -> None:
        self.desks[0].leaving = True
        submit(self.nodes[0], "s1", 20, rewards=True)
        wait_results(self.nodes[0], "s1", 20)
        settle(DRAIN_S)
        submit(self.nodes[0], "s2", 20, rewards=True)
        wait_results(self.nodes[0], "s2", 20)
        late = {reward_id(f"s2-{number}") for number in range(20)}
        self.assertEqual(late & {run.request_id for run in self.desks[0].runs}, set())

    def write_entry(self, worker: PlatformWorker, state: str | None) -> None:
        entry = self.system.entries[worker.name]
        changed = {**entry, "State": state, "born": worker.born}
        self.system.put_worker_entry(worker.name, changed if state else None)
