"""Run a cluster through failures and changes, and check its history."""

import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import defopt
import msgspec

from fulmarpulley_schema.generated.document import Limits

from .cluster import Cluster, log_tails, start_cluster
from .findings import Report
from .history import AttemptAnswered, BatchTaken, VersionPublished
from .layout import ClusterSettings, drain
from .output import print_flushed
from .processes import Processes, exit_on_sigterm

DEMO_SEED = 7


def run(cluster: Cluster) -> Report:
    """Run traffic on a training service and a desk while the cluster changes."""
    trainer = cluster.start_trainer(
        steps=4, groups=8, samples_per_group=4, max_tokens=120, train_s=0.5
    )
    cluster.start_caller(
        count=240, rate=20.0, not_repeatable_ratio=0.5, stream_ratio=0.3
    )
    cluster.wait_records(BatchTaken, 1)
    print_flushed("the trainer has received its first samples")
    kill_node(cluster)
    cluster.wait_records(VersionPublished, 1)
    print_flushed("the trainer has announced a new version of the weights")
    remove_upstream(cluster)
    edit_document(cluster)
    cluster.wait_records(AttemptAnswered, 100)
    print_flushed(f"trainer ended with exit code {trainer.wait(120.0)}")
    return cluster.finish()


def kill_node(cluster: Cluster) -> None:
    """Kill the second node."""
    cluster.process(cluster.layout.nodes[1]).kill()
    print_flushed("node n2 is killed")


def remove_upstream(cluster: Cluster) -> None:
    """Mark the last engine as leaving on the instance list and in the document."""
    engine = cluster.layout.engines[-1]
    cluster.mark_leaving(engine)
    cluster.apply(drain(cluster.layout.training_document(), engine.name))
    print_flushed(f"upstream {engine.name} is leaving")


def edit_document(cluster: Cluster) -> None:
    """Change a limit in the service document of the desk."""
    document = cluster.layout.desk_document()
    limits = Limits(queue=512)
    revision = cluster.apply(msgspec.structs.replace(document, limits=limits))
    print_flushed(
        f"revision {revision} of {document.name} is in force on all live nodes"
    )


def main(*, keep: str = "") -> None:
    """Run the demo; exit with 1 when the history checker reports a finding.

    :param keep: Folder for logs and histories; temporary when empty.
    """
    exit_on_sigterm()
    with ExitStack() as stack:
        folder = keep or stack.enter_context(tempfile.TemporaryDirectory())
        Path(folder).mkdir(exist_ok=True)
        processes = stack.enter_context(Processes(Path(folder)))
        sys.exit(run_and_report(processes))


def run_and_report(processes: Processes) -> int:
    """Run the demo, print the findings and return the exit code."""
    started = time.monotonic()
    try:
        cluster = start_cluster(processes, ClusterSettings(seed=DEMO_SEED))
        report = run(cluster)
    except Exception:
        print_flushed(log_tails(processes.folder))
        raise
    if report.findings:
        print_flushed(log_tails(processes.folder))
    for finding in report.findings:
        print_flushed(f"{finding.fault.value} {finding.subject}: {finding.detail}")
    print_flushed(f"unresolved={report.unresolved} refused={report.refused}")
    print_flushed(
        f"demo {report.summary_line()} seconds={time.monotonic() - started:.1f}"
    )
    return 1 if report.findings else 0


if __name__ == "__main__":
    defopt.run(main)
