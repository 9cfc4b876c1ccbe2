"""Test requests that crash the upstreams that run them, with nodes as processes."""

import itertools
import threading
import time
from collections.abc import Iterator

from platform_case import PlatformCase

from fulmarpulley_testing.platform_documents import DESK, reward_call
from fulmarpulley_testing.platform_store import StoreMode
from fulmarpulley_testing.platform_system import (
    RESTART_S,
    Answer,
    NodeProcess,
    settle,
    submit,
)
from fulmarpulley_testing.platform_worker import AnswerTruncation
from fulmarpulley_testing.processes import wait_for

DEADLY = b"deadly"
# Time in which each node must know what crashed upstreams, and how many runs the
# platform tolerates afterwards.
STABILITY_S = 3.0
TOLERATED_RUNS = 3
CRASHES_TO_KNOW = 3
DESKS = 6
CALL_PAUSE_S = 0.2


class CrashCase(PlatformCase):
    """Provides callers, and upstreams that some requests crash."""

    def setUp(self) -> None:
        super().setUp()
        self.numbers = itertools.count()
        self.joined = [f"d{number}" for number in range(len(self.desks), DESKS)]
        for name in self.joined:
            self.system.add_worker(name, DESK)
        for node in self.nodes:
            self.wait_for_upstreams(node)
        self.system.deadly_bodies.add(DEADLY)

    def wait_for_upstreams(self, node: NodeProcess) -> None:
        """Wait until a node lists the upstreams that joined after it had started."""

        def listed() -> bool:
            lines = "".join(node.events("upstream_listed"))
            return all(f"upstream={name} " in lines for name in self.joined)

        wait_for(listed, f"the list of upstreams at {node.name}")

    def ask(self, node: NodeProcess, body: bytes, path: str = "/desk/a") -> Answer:
        return node.call(
            "POST",
            path,
            body,
            Request_Id=f"q{next(self.numbers)}",
            Deadline_Ms="1000",
        )

    def ask_for(self, seconds: float, body: bytes) -> list[Answer]:
        """Send a request to the nodes in turn for a time."""
        answers = []
        nodes: Iterator[NodeProcess] = itertools.cycle(self.nodes)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answers.append(self.ask(next(nodes), body))
            time.sleep(CALL_PAUSE_S)
        return answers

    def late_runs(self, body: bytes) -> int:
        """Count the runs of a request after each node must know that it crashes."""
        runs = self.system.runs_of_body(body)
        if len(runs) < CRASHES_TO_KNOW:
            return 0
        known_at = runs[CRASHES_TO_KNOW - 1].started + STABILITY_S
        return sum(run.started > known_at for run in runs)


class CrashingRequestTest(CrashCase):
    """Guards against one request that crashes upstream after upstream."""

    def test_request_that_crashes_upstreams_is_not_sent_again(self) -> None:
        self.ask_for(3 * STABILITY_S, DEADLY)
        self.assertLessEqual(self.late_runs(DEADLY), TOLERATED_RUNS)

    def test_reward_call_that_crashes_upstreams_is_not_sent_again(self) -> None:
        self.system.deadly_bodies.add(b"score s1-0")
        self.assertEqual(reward_call("s1-0")["Path"], "/desk/score/s1-0")
        submit(self.nodes[0], "s1", 2, rewards=True)
        wait_for(lambda: self.system.crashes != [], "a crash")
        settle(3 * STABILITY_S)
        self.assertLessEqual(self.late_runs(b"score s1-0"), TOLERATED_RUNS)

    def test_node_that_starts_later_does_not_send_the_request(self) -> None:
        self.ask_for(1.0, DEADLY)
        runs = len(self.system.runs_of_body(DEADLY))
        late = self.system.add_node("late")
        wait_for(lambda: late.events("request_blocked") != [], "what others know")
        self.assertEqual(self.ask(late, DEADLY).status, 503)
        self.assertEqual(len(self.system.runs_of_body(DEADLY)), runs)

    def test_request_is_blocked_without_the_store(self) -> None:
        self.system.store.mode = StoreMode.BUSY
        for node in self.nodes:
            for _ in range(10):
                self.ask(node, DEADLY)
        # Each node has only its own crashes to go by.
        self.assertLessEqual(
            len(self.system.runs_of_body(DEADLY)), CRASHES_TO_KNOW * len(self.nodes)
        )
        for node in self.nodes:
            self.assertEqual(self.ask(node, DEADLY).status, 503)

    def test_crashes_are_shared_once_the_store_is_back(self) -> None:
        self.system.store.mode = StoreMode.BUSY
        for _ in range(3):
            self.ask(self.nodes[0], DEADLY)
        runs = len(self.system.runs_of_body(DEADLY))
        self.system.store.mode = StoreMode.UP
        settle(STABILITY_S)
        self.assertEqual(self.ask(self.nodes[1], DEADLY).status, 503)
        self.assertEqual(len(self.system.runs_of_body(DEADLY)), runs)

    def test_waiting_requests_are_refused_when_their_like_is_blocked(self) -> None:
        node = self.nodes[0]
        desks = [name for name, w in self.system.workers.items() if not w.versions]
        for name in desks:
            self.system.crash_worker(name)
        wait_for(lambda: len(self.system.crashes) == DESKS, "the end of all upstreams")
        answers: list[Answer] = []
        waiting = [
            threading.Thread(target=lambda: answers.append(self.ask(node, DEADLY)))
            for _ in range(10)
        ]
        for thread in waiting:
            thread.start()
        for thread in waiting:
            thread.join()
        settle(2 * RESTART_S)
        for _ in range(3):
            self.ask(node, DEADLY)
        self.assertLessEqual(
            len(self.system.runs_of_body(DEADLY)), CRASHES_TO_KNOW + TOLERATED_RUNS
        )


class RefusalTest(CrashCase):
    """Guards against refusals that are late or say not run of requests that ran."""

    def test_refusal_at_once_says_that_the_request_has_not_run(self) -> None:
        first = self.ask(self.nodes[0], DEADLY)
        # This one crashed upstreams itself.
        self.assertEqual(first.status, 502)
        runs = len(self.system.runs_of_body(DEADLY))
        self.assertEqual(runs, 2)
        started_at = time.monotonic()
        second = self.ask(self.nodes[0], DEADLY)
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual(second.status, 503)
        self.assertGreater(float(second.headers["retry-after"]), 60.0)
        self.assertEqual(len(self.system.runs_of_body(DEADLY)), runs)

    def test_unsafe_request_that_crashes_upstreams_is_never_said_not_to_have_run(
        self,
    ) -> None:
        statuses = [self.ask(node, DEADLY, "/once/a").status for node in self.nodes * 3]
        runs = self.system.runs_of_body(DEADLY)
        self.assertLessEqual(len(runs), CRASHES_TO_KNOW)
        self.assertEqual(statuses.count(502), len(runs))
        self.assertEqual(set(statuses), {502, 503})

    def test_request_differs_by_body_path_and_caller(self) -> None:
        node = self.nodes[0]
        self.ask(node, DEADLY)
        self.assertEqual(self.ask(node, DEADLY).status, 503)
        self.system.deadly_bodies.clear()
        self.assertEqual(self.ask(node, b"another").status, 200)
        self.assertEqual(self.ask(node, DEADLY, "/desk/b").status, 200)
        answer = node.call(
            "POST",
            "/desk/a",
            DEADLY,
            Request_Id="q-caller",
            Deadline_Ms="1000",
            Authorization="Bearer k",
        )
        self.assertEqual(answer.status, 200)


class InnocentRequestTest(CrashCase):
    """Guards against the refusal of requests that crash no upstream."""

    def setUp(self) -> None:
        super().setUp()
        self.stopped = threading.Event()
        self.answers: list[Answer] = []

    def call_alike(self, node: NodeProcess) -> None:
        while not self.stopped.wait(0.01):
            self.answers.append(self.ask(node, b"popular"))

    def serve_while(self, seconds: float) -> None:
        """Let callers of all nodes send requests that are all alike."""
        callers = [
            threading.Thread(target=self.call_alike, args=(node,))
            for node in self.nodes * 3
        ]
        for caller in callers:
            caller.start()
        settle(seconds)
        self.stopped.set()
        for caller in callers:
            caller.join()

    def assert_served(self) -> None:
        statuses = {answer.status for answer in self.answers}
        self.assertEqual(statuses, {200})
        for node in self.nodes:
            self.assertEqual(node.events("request_blocked"), [])

    def test_popular_requests_are_served_while_upstreams_crash(self) -> None:
        for round_number in range(3):
            for name in [n for n in self.system.sites if n.startswith("d")][:2]:
                delay_s = 1.0 + round_number * 2 * RESTART_S
                threading.Timer(delay_s, self.system.crash_worker, (name,)).start()
        self.serve_while(7.0)
        self.assertGreaterEqual(len(self.system.crashes), 2)
        self.assert_served()

    def test_popular_requests_are_served_beside_one_that_crashes_upstreams(
        self,
    ) -> None:
        for delay_s in (1.0, 1.5, 3.0, 4.5):
            threading.Timer(delay_s, self.ask, (self.nodes[0], DEADLY)).start()
        self.serve_while(6.0)
        statuses = [answer.status for answer in self.answers]
        self.assertEqual(set(statuses), {200})
        self.assertIn("crashed=", "".join(self.nodes[1].events("request_blocked")))

    def test_lost_responses_are_no_crash(self) -> None:
        for worker in self.system.workers.values():
            worker.answer_truncation = AnswerTruncation.UNSENT
        statuses = {self.ask(node, b"text").status for node in self.nodes * 4}
        self.assertEqual(statuses, {502})
        for worker in self.system.workers.values():
            worker.answer_truncation = None
        for node in self.nodes:
            self.assertEqual(self.ask(node, b"text").status, 200)
            self.assertEqual(node.events("upstream_crashed"), [])

    def test_upstreams_that_leave_as_planned_have_not_crashed(self) -> None:
        desks = [name for name in self.system.sites if name.startswith("d")]
        for name in desks:
            self.system.workers[name].event_s = 30.0
        callers = [
            threading.Thread(target=self.ask, args=(node, b"text"))
            for node in self.nodes * 3
        ]
        for caller in callers:
            caller.start()
        wait_for(
            lambda: len(self.system.runs_of_body(b"text")) >= len(callers),
            "requests at the upstreams",
        )
        for name in desks:
            entry = {**self.system.entries[name], "State": "draining"}
            self.system.put_worker_entry(name, entry)
        settle(0.5)
        for name in desks:
            self.system.crash_worker(name)
        for caller in callers:
            caller.join()
        for node in self.nodes:
            self.assertNotEqual(node.events("attempt_failed"), [])
            self.assertEqual(node.events("upstream_crashed"), [])
