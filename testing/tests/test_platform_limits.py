"""Test upstreams that state a rate limit, with nodes as processes."""

import itertools
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from platform_case import PlatformCase

from fulmarpulley_testing.platform_limits import (
    STABILITY_S,
    busiest_window,
    most_allowed,
)
from fulmarpulley_testing.platform_store import StoreMode
from fulmarpulley_testing.platform_system import (
    Answer,
    NodeProcess,
    settle,
    submit,
)
from fulmarpulley_testing.platform_worker import PlatformWorker
from fulmarpulley_testing.processes import wait_for

CALLERS_PER_NODE = 6
# Callers in a closed loop send at most this often each.
CALLER_PAUSE_S = 0.2
# More than the engines finish during the test if nothing limits them.
ITEMS = 400


class LimitCase(PlatformCase):
    """Plays callers at all nodes while upstreams state limits."""

    def setUp(self) -> None:
        super().setUp()
        self.answers: list[Answer] = []
        self.numbers = itertools.count()

    @contextmanager
    def callers(self) -> Iterator[None]:
        stopped = threading.Event()
        threads = [
            threading.Thread(target=self._call_repeatedly, args=(node, stopped))
            for node in self.nodes
            for _ in range(CALLERS_PER_NODE)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            stopped.set()
            for thread in threads:
                thread.join()

    def _call_repeatedly(self, node: NodeProcess, stopped: threading.Event) -> None:
        while not stopped.wait(CALLER_PAUSE_S):
            answer = node.call(
                "POST",
                "/desk/a",
                b"text",
                Request_Id=f"q{next(self.numbers)}",
                Deadline_Ms="1000",
            )
            self.answers.append(answer)

    def wait_for_limits(self, workers: list[PlatformWorker]) -> None:
        wait_for(lambda: all(w.limit_periods for w in workers), "stated limits")

    def assert_limits_kept(self, workers: list[PlatformWorker]) -> None:
        for worker in workers:
            period = worker.limit_periods[0]
            self.assertLessEqual(
                busiest_window(worker.arrivals, period.stated_at + STABILITY_S),
                most_allowed(period.requests_per_s),
            )


class DeskLimitTest(LimitCase):
    """Guards against nodes that exceed the limit of an upstream together."""

    def test_nodes_together_keep_to_the_limits_of_all_upstreams(self) -> None:
        for desk in self.desks:
            desk.rate_limit = 1.5
        with self.callers():
            self.wait_for_limits(self.desks)
            settle(STABILITY_S + 5.0)
        self.assert_limits_kept(self.desks)

    def test_nodes_keep_to_the_limits_while_the_store_is_down(self) -> None:
        for desk in self.desks:
            desk.rate_limit = 1.5
        with self.callers():
            self.wait_for_limits(self.desks)
            self.system.store.mode = StoreMode.BUSY
            settle(STABILITY_S + 5.0)
        self.assert_limits_kept(self.desks)

    def test_upstream_without_a_limit_answers_all_requests(self) -> None:
        self.desks[0].rate_limit = 0.5
        with self.callers():
            settle(2.0)
            self.desks[0].rate_limit = None
            settle(5.0)
        self.assertEqual({answer.status for answer in self.answers}, {200})
        # The end of the limit shows in responses to the few requests that it allows.
        self.assertGreater(len(self.desks[0].arrivals), 20)

    def test_refused_request_is_told_when_to_return(self) -> None:
        for desk in self.desks:
            desk.rate_limit = 0.5
        with self.callers():
            settle(3.0)
        refused = [answer for answer in self.answers if answer.status != 200]
        self.assertGreater(len(refused), 10)
        self.assertEqual({answer.status for answer in refused}, {503})
        for answer in refused:
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)


class EngineLimitTest(LimitCase):
    """Guards against items that exceed the limit of an engine."""

    def test_items_keep_to_the_limits_of_engines(self) -> None:
        for engine in self.engines:
            engine.rate_limit = 2.0
            engine.event_s = 0.05
        submit(self.nodes[0], "s1", ITEMS)
        self.wait_for_limits(self.engines)
        settle(STABILITY_S + 5.0)
        self.assert_limits_kept(self.engines)
