"""Check the recorded history of a test run.

Only the records of callers, trainers, engines and plain services are read, never
those of nodes.
"""

import sys
from pathlib import Path

import defopt

from .check_answers import check_answers
from .check_samples import check_samples
from .execution_index import ExecutionIndex
from .findings import Report
from .history import Entry, HistoryReader


def check(entries: list[Entry]) -> Report:
    """Check records that are sorted by time."""
    report = Report()
    executed = ExecutionIndex(entries)
    check_answers(entries, executed, report)
    check_samples(entries, executed, report)
    return report


def check_folder(folder: Path) -> Report:
    """Check all history files of a folder."""
    return check(HistoryReader(folder).read())


def main(*, folder: Path) -> None:
    """Check a folder of history files; exit with 1 if it has findings."""
    report = check_folder(folder)
    for finding in report.findings:
        print(f"{finding.fault.value} {finding.subject}: {finding.detail}")
    print(
        f"{report.summary_line()} "
        f"unresolved={report.unresolved} refused={report.refused}"
    )
    sys.exit(1 if report.findings else 0)


if __name__ == "__main__":
    defopt.run(main)
