"""Test requests that crash the upstreams that run them, with nodes as processes."""

import itertools
import time
from collections.abc import Iterator

from platform_case import PlatformCase

from fulmarpulley_testing.platform_system import (
    DESK,
    Answer,
    NodeProcess,
    reward_call,
    settle,
    submit,
)
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
