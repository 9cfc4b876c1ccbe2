"""Test a node whose workers answer with bytes without end."""

import re
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from platform_case import PlatformCase

from fulmarpulley_testing.endless_worker import EndlessPart, EndlessWorkers
from fulmarpulley_testing.platform_documents import configuration
from fulmarpulley_testing.platform_system import Answer, NodeProcess, settle
from fulmarpulley_testing.platform_worker import PlatformWorker
from fulmarpulley_testing.ports import free_ports
from fulmarpulley_testing.serving import LOOPBACK

FLOOD = "flood"
FLOOD_PREFIX = "/flood/"
WORKERS = 5
CALLERS = 96
CALLER_PAUSE_S = 0.05
FLOOD_S = 4.0
# The process of a node may have 170 MB. Responses may take a third of it, so that as
# much is left for everything else as the node needs by itself.
MAX_GROWTH_MB = 170 / 3
LARGE_BODY = 4 * 1024 * 1024
LARGE_CALLS = 4


class EndlessWorkerTest(PlatformCase):
    """Guards against a node that runs out of memory by the answers of its workers."""

    def start_nodes(self) -> list[NodeProcess]:
        safe, unsafe = configuration(0)["Routes"][1:]
        flood = {
            **unsafe,
            "Name": "r-flood",
            "PathPrefix": FLOOD_PREFIX,
            "Service": FLOOD,
        }
        self.system.configure(
            Routes=[flood, {**safe, "TimeoutMs": 10000}],
            Services=[*configuration(0)["Services"], {"Name": FLOOD}],
        )
        self.ports = free_ports(WORKERS)
        for port in self.ports:
            worker = PlatformWorker(f"f{port}", [])
            entry = worker.entry(FLOOD, f"{LOOPBACK}:{port}", "a1", CALLERS)
            self.system.put_worker_entry(worker.name, entry)
        return [self.system.add_node("n0")]

    def peak_memory_mb(self) -> float:
        """Return the highest memory use since the last call of `forget_peak`."""
        status = (self.node_folder() / "status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found is not None
        return int(found[1]) / 1024

    def forget_peak(self) -> None:
        (self.node_folder() / "clear_refs").write_text("5")

    def node_folder(self) -> Path:
        process = self.nodes[0].process
        assert process is not None
        return Path(f"/proc/{process.pid}")

    def call(self, path: str, name: str) -> Answer:
        return self.nodes[0].call(
            "POST", path, b"text", Request_Id=name, Deadline_Ms="9000"
        )

    @contextmanager
    def flood(self, part: EndlessPart) -> Iterator[Counter[int]]:
        """Call endless workers from many callers; provide the statuses."""
        statuses: Counter[int] = Counter()
        stopped = threading.Event()

        def call_repeatedly(caller: int) -> None:
            while not stopped.wait(CALLER_PAUSE_S):
                statuses[self.call(f"{FLOOD_PREFIX}a", f"f{caller}").status] += 1

        callers = [
            threading.Thread(target=call_repeatedly, args=(n,)) for n in range(CALLERS)
        ]
        with EndlessWorkers(part, self.ports):
            for caller in callers:
                caller.start()
            try:
                yield statuses
            finally:
                stopped.set()
                for caller in callers:
                    caller.join()

    def call_healthy(self) -> list[float]:
        """Call another service for a while; return how long each call took."""
        until = time.monotonic() + FLOOD_S
        durations = []
        while time.monotonic() < until:
            began = time.monotonic()
            self.assertEqual(self.call("/desk/a", "healthy").status, 200)
            durations.append(time.monotonic() - began)
            time.sleep(CALLER_PAUSE_S)
        return durations

    def test_memory_is_bounded_and_others_are_served_whatever_does_not_end(
        self,
    ) -> None:
        self.call("/desk/a", "first")
        settle(0.5)
        self.forget_peak()
        before_mb = self.peak_memory_mb()
        for part in EndlessPart:
            with self.subTest(part):
                self.forget_peak()
                with self.flood(part) as statuses:
                    durations = self.call_healthy()
                    grown_mb = self.peak_memory_mb() - before_mb
                print(
                    f"{part}: {grown_mb:.0f} MB more; {dict(statuses)};"
                    f" {len(durations)} calls beside it, up to {max(durations):.2f} s",
                    flush=True,
                )
                self.assertLess(grown_mb, MAX_GROWTH_MB)
                if part is not EndlessPart.ALLOWED_LENGTH:
                    self.assertNotIn(200, statuses)

    def test_large_answers_pass_beside_endless_ones(self) -> None:
        for desk in self.desks:
            desk.answer_bytes = LARGE_BODY
        answers: list[Answer] = []

        def ask() -> None:
            answers.append(self.call("/desk/a", "large"))

        with self.flood(EndlessPart.CHUNKS):
            settle(1.0)
            callers = [threading.Thread(target=ask) for _ in range(LARGE_CALLS)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
        sizes = [(answer.status, len(answer.body)) for answer in answers]
        self.assertEqual(sizes, [(200, LARGE_BODY)] * LARGE_CALLS)
