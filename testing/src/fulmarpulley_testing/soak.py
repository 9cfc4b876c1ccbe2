"""Run a cluster under random faults and check its history."""

import itertools
import random
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path

import defopt

from .checker import check_folder
from .cluster import Cluster, log_tails, start_cluster
from .faults import FaultInjection, FaultTargets, faults
from .findings import Report
from .layout import ENGINE_DESK, ClusterSettings
from .output import print_flushed
from .processes import NotReadyError, Processes, exit_on_sigterm

FAULTS_AT_ONCE = 2
FAULTS_PER_ROUND = 4
STEPS_PER_ROUND = 4
PATIENCE_S = 90.0


class Soak:
    """Run rounds of traffic and faults for a given time."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.seed = seed
        self.random = random.Random(seed)
        self.targets = FaultTargets()

    def run(self, seconds: float) -> Report:
        """Run rounds until the time is up or one has a finding."""
        deadline = time.monotonic() + seconds
        for number in itertools.count():
            self.run_round(number)
            report = check_folder(self.cluster.folder)
            print_flushed(
                f"round {number}: {report.summary_line()} "
                f"unresolved={report.unresolved}"
            )
            if report.findings or time.monotonic() > deadline:
                return report
        raise AssertionError("unreachable")

    def run_round(self, number: int) -> None:
        """Inject faults under traffic, revert them and wait for the clients."""
        self.start_clients(number)
        names = self.random.choices(list(faults), k=FAULTS_PER_ROUND)
        print_flushed(f"round {number}: {' '.join(names)}")
        with ThreadPoolExecutor(FAULTS_AT_ONCE) as pool:
            seeds = [f"{self.seed}/{number}/{index}" for index in range(len(names))]
            list(pool.map(self.inject, names, seeds))
        self.cluster.wait_nodes()
        for client in self.cluster.clients:
            client.wait(2 * PATIENCE_S)
        self.cluster.clients.clear()

    def inject(self, name: str, seed: str) -> None:
        """Inject one fault after a random delay and revert it."""
        injection = FaultInjection(self.cluster, seed, self.targets)
        injection.sleep_fault_duration()
        faults.get(name)(injection)

    def start_clients(self, number: int) -> None:
        """Start a trainer and callers; their requests differ in each round."""
        defaults = {"seed": self.seed * 1000 + number, "patience_s": PATIENCE_S}
        defaults["read_timeout_s"] = 5.0
        first = number * STEPS_PER_ROUND
        steps = {"first_step": first, "steps": STEPS_PER_ROUND, "train_s": 1.0}
        self.cluster.start_trainer(groups=6, max_tokens=100, **steps, **defaults)
        load = {"count": 200, "rate": 20.0, **defaults}
        self.cluster.start_caller(not_repeatable_ratio=0.6, stream_ratio=0.2, **load)
        engine_desk = {"service": ENGINE_DESK, "dialect": "engine"}
        load |= {"count": 100, "rate": 10.0}
        self.cluster.start_caller(
            not_repeatable_ratio=0.2, stream_ratio=0.5, **engine_desk, **load
        )


def main(*, seed: int = 1, seconds: float = 600.0, keep: str = "") -> None:
    """Inject random faults for a time; exit with 1 when the checker has a finding.

    :param keep: Folder for logs and histories; temporary when empty.
    """
    exit_on_sigterm()
    with ExitStack() as stack:
        folder = keep or stack.enter_context(tempfile.TemporaryDirectory())
        Path(folder).mkdir(exist_ok=True)
        processes = stack.enter_context(Processes(Path(folder)))
        sys.exit(run_and_report(processes, seed, seconds))


def run_and_report(processes: Processes, seed: int, seconds: float) -> int:
    """Run the soak test, print its seed and findings and return the exit code."""
    started = time.monotonic()
    settings = ClusterSettings(seed=seed, desk_engines=2, log_proxy=True)
    try:
        report = Soak(start_cluster(processes, settings), seed).run(seconds)
    except (NotReadyError, TimeoutError):
        print_flushed(log_tails(processes.folder))
        print_flushed(f"soak seed={seed} aborted")
        raise
    for finding in report.findings:
        print_flushed(f"{finding.fault.value} {finding.subject}: {finding.detail}")
    outcomes = f"unresolved={report.unresolved} refused={report.refused}"
    duration = f"seconds={time.monotonic() - started:.1f}"
    print_flushed(f"soak seed={seed} {report.summary_line()} {outcomes} {duration}")
    return 1 if report.findings else 0


if __name__ == "__main__":
    defopt.run(main)
