"""Fold the usage reports of a partition, and decide what its owner does next.

The counts of a window are fixed by a record before they are reported. A record of an
earlier tenure than the newest one before it in the log is void: its writer has been
replaced. An owner reads the log up to its own fence before it writes, and repeats a
record that it finds with the same counts. So all valid records of a window have the
same counts. A reader that comes after the first ones and their fence have expired
cannot tell which are void; it takes the record with the highest fence.
"""

import msgspec

from fulmarpulley_schema.generated.steps import UsageReport

# Windows that are remembered after they have been settled.
KEPT_WINDOWS = 64
# Log records may expire after 20 s. A report that is not settled is repeated in time.
REPEAT_INTERVAL_S = 7.0
# The platform gets a window no later than this after its end; it would not be of use.
GIVE_UP_AFTER_S = 60.0
MIN_RETRY_S = 0.3
MAX_RETRY_S = 2.0


class UsageReportFold:
    """Hold the valid reports of a partition, by window."""

    def __init__(self) -> None:
        self.reports: dict[int, UsageReport] = {}
        self.settled: int | None = None
        self.fence = 0

    def apply(self, record: UsageReport, tenure: str) -> None:
        """Apply a record, unless its writer has been replaced.

        :param tenure: newest tenure of the partition; empty if its fence has expired
        """
        if tenure not in ("", record.tenure) or record.fence < self.fence:
            return
        self.fence = record.fence
        known = self.reports.get(record.window)
        if known is None or known.fence < record.fence:
            self.reports[record.window] = record
        if self.settled is None or record.settled > self.settled:
            self.settled = record.settled
            oldest = record.settled - KEPT_WINDOWS
            self.reports = {k: r for k, r in self.reports.items() if k > oldest}

    def newest_window(self) -> int | None:
        """Return the newest window that needs no counting; None if none is known."""
        windows = [*self.reports, *([] if self.settled is None else [self.settled])]
        return max(windows, default=None)

    def unsettled(self) -> list[UsageReport]:
        """Return the reports that may not have been sent, oldest first."""
        settled = self.settled
        return [
            report
            for window, report in sorted(self.reports.items())
            if settled is None or window > settled
        ]


class SendState(msgspec.Struct):
    """Hold when a report may be sent again, and the pause after a failure."""

    next_at_s: float = 0.0
    pause_s: float = MIN_RETRY_S


class UsageSends:
    """Decide which report a tenure sends next, and which windows are settled."""

    def __init__(self) -> None:
        self.done: set[int] = set()
        self._states: dict[int, SendState] = {}

    def next_report(
        self, fold: UsageReportFold, now_s: float
    ) -> tuple[UsageReport | None, float]:
        """Return the report to send now, or None and the time of the next one.

        Reports that failed take turns, so that a slow answer to one does not hold up
        the next window.
        """
        waiting = [r for r in fold.unsettled() if r.window not in self.done]
        if not waiting:
            return None, float("inf")
        report = min(waiting, key=lambda r: (self._state(r).next_at_s, r.window))
        next_at_s = self._state(report).next_at_s
        return (report if next_at_s <= now_s else None), next_at_s

    def record_failure(self, report: UsageReport, now_s: float) -> None:
        """Wait longer after each failure to send a report."""
        state = self._state(report)
        state.next_at_s = now_s + state.pause_s
        state.pause_s = min(2 * state.pause_s, MAX_RETRY_S)

    def finish(self, window: int) -> None:
        """Record that a window is reported or given up."""
        self.done.add(window)
        self._states.pop(window, None)

    def settled(self, fold: UsageReportFold, first: int) -> int:
        """Return the newest window up to which all are done.

        :param first: the window that is counted next if the log has no report
        """
        settled = first - 1 if fold.settled is None else fold.settled
        for report in fold.unsettled():
            if report.window not in self.done:
                return max(settled, report.window - 1)
            settled = report.window
        self.done = {window for window in self.done if window > settled - KEPT_WINDOWS}
        return settled

    def _state(self, report: UsageReport) -> SendState:
        return self._states.setdefault(report.window, SendState())
