"""Test usage reports of nodes on the platform while holders and the platform fail."""

import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor

from platform_case import PlatformCase

from fulmarpulley_testing.platform_cloud import CloudMode, PlatformCloud
from fulmarpulley_testing.platform_documents import (
    DESK_PREFIX,
    ROLLOUT_PREFIX,
    submission,
)
from fulmarpulley_testing.platform_system import NodeProcess, settle
from fulmarpulley_testing.processes import wait_for

USAGE_SUBJECT = "duty/usage"
WINDOW_S = 1.0
ACCOUNTS = {"acme": "key-a", "bell": "key-b"}
CLOCK_STEP_S = 3.0


class UsageCase(PlatformCase):
    lease_ms = 500.0
    fencing_required = False

    def start_nodes(self) -> list[NodeProcess]:
        self.cloud = PlatformCloud(self.fencing_required, self.lease_ms / 1000)
        self.numbers = itertools.count()
        self.sent = dict.fromkeys(ACCOUNTS, 0)
        port = self.system.serve(self.cloud.app())
        bounds = {
            "report_window_s": WINDOW_S,
            "usage_late_s": 4.0,
            "fencing_required": self.fencing_required,
        }
        self.system.duties = {
            "duties_address": f"127.0.0.1:{port}",
            "duties": ["usage_reporting"],
            "bounds": bounds,
        }
        tenants = [{"Name": n, "ApiKeys": [key]} for n, key in ACCOUNTS.items()]
        self.system.configure(Tenants=tenants)
        return super().start_nodes()

    def holder(self) -> NodeProcess:
        holder = self.system.owner(USAGE_SUBJECT)
        assert holder is not None
        return holder

    def other(self) -> NodeProcess:
        return next(node for node in self.nodes if node is not self.holder())

    def call(self, nodes: list[NodeProcess], count: int) -> None:
        """Sends requests of both accounts, 10 at a time."""

        def send(number: int) -> None:
            account = ["acme", "acme", "bell"][number % 3]
            answer = nodes[number % len(nodes)].call(
                "GET",
                f"{DESK_PREFIX}{number}",
                Request_Id=f"{account}-{number}",
                Authorization=f"Bearer {ACCOUNTS[account]}",
            )
            self.assertEqual(answer.status, 200)

        with ThreadPoolExecutor(10) as pool:
            list(pool.map(send, itertools.islice(self.numbers, count)))

    def wait_for_calls(self, count: int) -> None:
        """Waits until the holder has made a number of further calls."""
        holder = self.holder()
        before = len(holder.events("duty_call"))
        wait_for(lambda: len(holder.events("duty_call")) >= before + count, "calls")

    def ran(self) -> dict[str, int]:
        """Returns the number of requests that ran, each counted once."""
        runs = {run.request_id for w in self.desks for run in w.runs}
        counts = dict.fromkeys(ACCOUNTS, 0)
        for name in runs:
            counts[name.split("-")[0]] += 1
        return counts

    def reported(self) -> dict[str, int]:
        windows = list(self.cloud.windows.values())
        return {a: sum(w.get(a, 0) for w in windows) for a in ACCOUNTS}

    def wait_until_reported(self) -> None:
        wait_for(lambda: self.reported() == self.ran(), "reports of all requests")
        last = max(self.cloud.windows)
        wait_for(lambda: max(self.cloud.windows) > last + 1, "windows without requests")
        self.assertEqual(self.reported(), self.ran())
        first = min(self.cloud.windows)
        missing = set(range(first, last)) - set(self.cloud.windows)
        self.assertFalse(missing)
        self.assertEqual(self.cloud.findings, [])


def written(node: NodeProcess) -> list[str]:
    return node.events("usage_report_written")


def requests(line: str) -> int:
    return int(line.split("requests=")[1].split(maxsplit=1)[0])


class UsageReportTest(UsageCase):
    """Guards against usage that is lost, counted twice or reported with two counts."""

    def test_requests_are_reported_once_and_items_not(self) -> None:
        answer = self.nodes[0].call(
            "POST",
            f"{ROLLOUT_PREFIX}s1",
            submission("s1", 3),
            Request_Id="s1",
            Authorization="Bearer key-a",
        )
        self.assertLess(answer.status, 300)
        for _ in range(6):
            self.call(self.nodes, 20)
        wait_for(lambda: len(self.system.all_runs("s1-0")) == 1, "a run of an item")
        self.wait_until_reported()

    def test_step_of_the_time_of_day_moves_no_requests(self) -> None:
        # A node that read the time of day would report the window of the step 3 s later
        # again, or too early.
        for node in self.nodes:
            node.clock_shift_path.write_text("0")
        self.call(self.nodes, 20)
        began = time.time()
        self.other().clock_shift_path.write_text(f"{CLOCK_STEP_S}")
        self.call(self.nodes, 20)
        ended = time.time()
        self.wait_until_reported()
        counted = [w for w, counts in self.cloud.windows.items() if counts]
        self.assertLessEqual(max(counted), int(ended / WINDOW_S))
        self.assertGreaterEqual(min(counted), int(began / WINDOW_S) - 10)

    def test_next_holder_sends_the_report_of_a_killed_one(self) -> None:
        self.call(self.nodes, 10)
        self.wait_until_reported()
        self.cloud.mode = CloudMode.DOWN
        holder, other = self.holder(), self.other()
        self.call([other], 20)
        wait_for(
            lambda: sum(requests(line) for line in written(holder)) == 30,
            "reports on the log",
        )
        holder.kill()
        self.cloud.mode = CloudMode.UP
        self.wait_until_reported()

    def test_paused_holder_sends_nothing_when_it_continues(self) -> None:
        # A frozen node may lose the counts that it has not written yet.
        self.call(self.nodes, 10)
        self.wait_until_reported()
        holder, other = self.holder(), self.other()
        holder.signal(signal.SIGSTOP)
        wait_for(lambda: self.system.owner(USAGE_SUBJECT) is other, "a takeover")
        self.call([other], 20)
        calls = len(self.cloud.calls)
        wait_for(lambda: len(self.cloud.calls) > calls + 2, "calls of the next holder")
        holder.signal(signal.SIGCONT)
        settle(2.0)
        self.call(self.nodes, 10)
        self.wait_until_reported()

    def test_calls_are_repeated_with_the_same_counts(self) -> None:
        for mode in (CloudMode.LOSE_ANSWERS, CloudMode.REJECT, CloudMode.SLOW):
            self.cloud.mode = mode
            self.call(self.nodes, 20)
            self.wait_for_calls(4)
        self.cloud.mode = CloudMode.UP
        self.wait_until_reported()
        usage = [call.body["Window"] for call in self.cloud.calls]
        self.assertGreater(len(usage), len(set(usage)))

    def test_counts_are_written_at_a_stop(self) -> None:
        node = self.other()
        self.call([node], 20)
        node.signal(signal.SIGTERM)
        assert node.process is not None
        self.assertEqual(node.process.wait(10), 0)
        self.wait_until_reported()


class FencedUsageReportTest(UsageCase):
    """Guards against a holder that stops reporting after the platform rejects it."""

    fencing_required = True

    def test_holder_takes_a_new_token_after_a_higher_one_was_seen(self) -> None:
        self.call(self.nodes, 10)
        wait_for(lambda: bool(self.cloud.calls), "a report")
        # A token between those of this tenure and the next one.
        self.cloud.calls[-1].token += 1
        self.cloud.calls[-1].holder = "gone"
        self.cloud.calls[-1].at -= 10.0
        self.call(self.nodes, 20)
        self.wait_until_reported()
        self.assertTrue(self.holder().events("fence_renewed"))
