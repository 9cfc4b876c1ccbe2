"""Define the findings and the report of the history checker."""

from collections import Counter
from enum import Enum

import msgspec


class Fault(Enum):
    """List the kinds of faults; foreign means not produced for this request."""

    LOST_ANSWER = "lost_answer"
    DOUBLED_ANSWER = "doubled_answer"
    FOREIGN_ANSWER = "foreign_answer"
    CUT_ANSWER = "cut_answer"
    LOST_SLOT = "lost_slot"
    DOUBLED_SLOT = "doubled_slot"
    FOREIGN_SAMPLE = "foreign_sample"
    CUT_SAMPLE = "cut_sample"
    MISLABELLED = "mislabelled"
    STALE = "stale"
    REPEATED_RUN = "repeated_run"
    FALSE_NOT_RUN = "false_not_run"
    LATE_RUN = "late_run"
    ORDER_CONFLICT = "order_conflict"
    LIMIT_EXCEEDED = "limit_exceeded"
    LEAKED_KEY = "leaked_key"
    DUTY_BROKEN = "duty_broken"
    DUTY_UNDONE = "duty_undone"


# Column of the summary line in which a fault is counted.
SUMMARY_COLUMNS = {
    Fault.LOST_ANSWER: "lost",
    Fault.CUT_ANSWER: "lost",
    Fault.LOST_SLOT: "lost",
    Fault.CUT_SAMPLE: "lost",
    Fault.DOUBLED_ANSWER: "doubled",
    Fault.DOUBLED_SLOT: "doubled",
    Fault.REPEATED_RUN: "doubled",
    # A caller that is told not_run sends the request again, so it may run twice.
    Fault.FALSE_NOT_RUN: "doubled",
    Fault.FOREIGN_ANSWER: "mislabelled",
    Fault.FOREIGN_SAMPLE: "mislabelled",
    Fault.LATE_RUN: "mislabelled",
    Fault.ORDER_CONFLICT: "mislabelled",
    Fault.LIMIT_EXCEEDED: "mislabelled",
    Fault.LEAKED_KEY: "mislabelled",
    Fault.MISLABELLED: "mislabelled",
    Fault.DUTY_BROKEN: "mislabelled",
    Fault.DUTY_UNDONE: "lost",
    Fault.STALE: "stale",
}


class Finding(msgspec.Struct, frozen=True):
    """Describe one fault and the invocation or slot where it was found."""

    fault: Fault
    subject: str
    detail: str


class Report(msgspec.Struct, kw_only=True):
    """Summarize a history; unresolved and refused requests are no faults."""

    samples: int = 0
    answers: int = 0
    unresolved: int = 0
    refused: int = 0
    idle_s: dict[str, float] = {}
    findings: list[Finding] = []

    def faults(self) -> set[Fault]:
        """Return the set of fault kinds that were found."""
        return {finding.fault for finding in self.findings}

    def summary_line(self) -> str:
        """Return the summary line."""
        counts = Counter(SUMMARY_COLUMNS[finding.fault] for finding in self.findings)
        names = ("lost", "doubled", "mislabelled", "stale")
        columns = " ".join(f"{name}={counts[name]}" for name in names)
        return f"samples={self.samples} answers={self.answers} {columns}"
