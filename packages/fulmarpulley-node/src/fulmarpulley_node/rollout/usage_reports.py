"""Report the usage of accounts to the platform, as the duty of one node at a time."""

import asyncio
from collections.abc import Mapping

from result import Err, Ok, Result

from fulmarpulley_core.ids import AccountName, FenceNumber, Partition
from fulmarpulley_core.rollout.usage import US_PER_S, UsageLedger, decode
from fulmarpulley_core.rollout.usage_reports import (
    GIVE_UP_AFTER_S,
    REPEAT_INTERVAL_S,
    UsageSends,
)
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import UsageReport

from ..observe.events import log_event
from .clock import elapsed_s, unix_us
from .duties import (
    USAGE_SUBJECT,
    Duty,
    DutyContext,
    DutyTask,
    duty_tasks,
    usage_partition,
)
from .interfaces import DutyFailure, LogPage, StoreFailure
from .metrics import labels
from .usage_counter import USAGE_PARTITION, USAGE_TOPIC

# The topic is read at this interval, not by long polls, which would end at each of the
# some hundred records a second of a large deployment.
READ_INTERVAL_S = 0.25
SYNC_TIMEOUT_S = 0.4
# The partition is followed by long polls of 1 s. It is read again where an up-to-date
# view is needed: after an append, and for the permit of a call.
MAX_AGE_S = 2.5
# A page that was read sooner after the one before holds records written just before.
MAX_LIVE_INTERVAL_S = 0.6
# Shares of the permitted lateness: after the first one a window is closed if all nodes
# have written and the log was read for some time; after the second one without them.
CLOSE_SHARE = 0.35
LATEST_CLOSE_SHARE = 0.6
SETTLING_S = 3.0
# After an outage of the log, nodes repeat their appends with pauses of up to 1 s, so
# the holder may reach the log before their counts do. It closes no window before they
# had this time, unless the log keeps failing until a window is twice as late as
# permitted.
CATCH_UP_S = 1.5
LOST_CONTACT_SHARE = 2.0
# The log keeps records for 20 s at least.
RETAINED_S = 15.0


@duty_tasks.register(Duty.USAGE)
class UsageReporting(DutyTask):
    """Count the requests of each window, fix the counts on the log, and report them."""

    def __init__(self, context: DutyContext) -> None:
        super().__init__(context)
        bounds = context.settings.bounds
        self.window_us = int(bounds.report_window_s * US_PER_S)
        self.late_us = int(bounds.usage_late_s * US_PER_S)
        self.tenure = context.tenure
        self.follower = context.partitions.followers[self.tenure.partition]
        self.ledger = UsageLedger(self.window_us)
        self.sends = UsageSends()
        # Counts that this tenure has fixed. A repeated append has the same ones, since
        # the first append may take effect after it.
        self.drafts: dict[int, Mapping[str, int]] = {}
        self.next_offset: int | None = None
        # Windows that begin earlier, by the clock of this node, are not known whole.
        self.complete_from_us = 0
        self.first_window: int | None = None
        self.read_at_s = float("-inf")
        # Since when the topic has been read without a failure.
        self.contact_since_s: float | None = None
        self.appended_at_s: dict[int, float] = {}

    @classmethod
    def belongs_to(cls, partition: Partition, settings: RolloutSettings) -> bool:
        """Return whether the owner of a partition reports usage."""
        return partition == usage_partition(settings)

    async def run(self) -> None:
        """Count, and report at the same time, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._count())
            group.create_task(self._send())

    async def _count(self) -> None:
        while True:
            await self.count_once()
            await asyncio.sleep(READ_INTERVAL_S)

    async def count_once(self) -> None:
        """Read the new counts and write the reports that are due."""
        if await self._read_topic() and await self._is_current(MAX_AGE_S):
            await self._repeat_reports()
            await self._write_due()

    async def _is_current(self, max_age_s: float = 0.0) -> bool:
        """Return whether this tenure is the newest, and all earlier reports are known.

        :param max_age_s: seconds by which the records that were read may lag behind
        """
        synced = await self.follower.sync(SYNC_TIMEOUT_S, max_age_s)
        if self.tenure.fence is None or not synced:
            return False
        return self.follower.fold.orders.tenure == self.tenure.tenure_id

    async def _read_topic(self) -> bool:
        """Read the counts of all nodes to the end; return False on a failure."""
        if self.next_offset is None:
            page = await self._read_page(0, max_bytes=1)
            if page is None:
                return False
            self._begin(page)
        while True:
            page = await self._read_page(self.next_offset or 0)
            if page is None:
                return False
            self._apply_page(page)
            if (self.next_offset or 0) >= page.end:
                break
        self.read_at_s = elapsed_s()
        if self.contact_since_s is None:
            self.contact_since_s = self.read_at_s
        return True

    def _begin(self, page: LogPage) -> None:
        self.next_offset = page.first
        if page.first > 0:
            self.complete_from_us = unix_us() - int(RETAINED_S * US_PER_S)

    async def _read_page(self, start: int, max_bytes: int = 0) -> LogPage | None:
        log = self.context.partitions.log
        result: Result[LogPage, StoreFailure] = await log.read(
            USAGE_TOPIC, USAGE_PARTITION, start, 0.0, max_bytes
        )
        if isinstance(result, Err):
            self.contact_since_s = None
            return None
        return result.ok_value

    def _apply_page(self, page: LogPage) -> None:
        expected = self.next_offset or 0
        if page.start > expected:
            log_event("usage_records_expired", read_until=expected, first=page.start)
            self.next_offset = page.start
            self.complete_from_us = unix_us() - int(RETAINED_S * US_PER_S)
        is_live = elapsed_s() < self.read_at_s + MAX_LIVE_INTERVAL_S
        late: dict[str, int] = {}
        read_at_us = unix_us()
        for offset, data in enumerate(page.records, page.start):
            if offset != self.next_offset:
                continue
            self.next_offset += 1
            record = decode(data)
            if record is None:
                log_event("usage_record_unreadable", offset=offset)
                continue
            requests = self.ledger.apply(record, read_at_us, is_live)
            if requests and is_live:
                late[record.node_id] = late.get(record.node_id, 0) + requests
        self.ledger.update_median()
        if late:
            number = sum(late.values())
            self.context.metrics.usage_requests.add(labels(outcome="late"), number)
            nodes = ",".join(sorted(late)[:5])
            log_event("usage_late", requests=number, nodes=nodes)

    def _next_window(self) -> int:
        """Return the oldest window that is neither reported nor known incompletely."""
        newest = self.follower.fold.usage.newest_window()
        if self.first_window is None:
            # Without a report on the log, none was written within the time for which
            # the log keeps records, so windows that are not late yet are not reported.
            holder_us = self.ledger.now_us(unix_us())
            self.first_window = (holder_us - self.late_us) // self.window_us
        window = self.first_window if newest is None else newest + 1
        complete_from_us = self.ledger.now_us(self.complete_from_us)
        return max(window, -(-complete_from_us // self.window_us))

    async def _write_due(self) -> None:
        while self._is_closed(window := self._next_window()):
            if window not in self.drafts:
                self.drafts[window] = self.ledger.counts(window)
            counts = self.drafts[window]
            if not await self._append_report(window, counts):
                return
            self.drafts = {k: c for k, c in self.drafts.items() if k >= window}
            self._log_skipped(window)
            self.ledger.close(window, unix_us())
            log_event(
                "usage_report_written",
                window=window,
                accounts=len(counts),
                requests=sum(counts.values()),
                fence=self.tenure.fence,
            )

    def _log_skipped(self, window: int) -> None:
        """Log the windows before a new one that are never reported."""
        known = [k for k in self.follower.fold.usage.reports if k < window]
        if known and max(known) + 1 < window:
            log_event("usage_windows_skipped", first=max(known) + 1, last=window - 1)

    def _is_closed(self, window: int) -> bool:
        """Return whether the nodes have written their counts of a window."""
        if window in self.drafts:
            return True
        holder_us = unix_us()
        age_us = self.ledger.age_us(window, holder_us)
        if age_us >= LOST_CONTACT_SHARE * self.late_us:
            return True
        since_s = elapsed_s() if self.contact_since_s is None else self.contact_since_s
        contact_s = elapsed_s() - since_s
        if age_us >= LATEST_CLOSE_SHARE * self.late_us:
            return contact_s >= CATCH_UP_S
        return (
            age_us >= CLOSE_SHARE * self.late_us
            and contact_s >= SETTLING_S
            and not self.ledger.missing_nodes(window)
        )

    async def _append_report(self, window: int, counts: Mapping[str, int]) -> bool:
        """Append a report and return whether it is valid on the log."""
        fold = self.follower.fold
        if self.tenure.fence is None:
            return False
        first = self.first_window if self.first_window is not None else window
        record = UsageReport(
            window=window,
            counts=dict(counts),
            tenure=self.tenure.tenure_id,
            fence=self.tenure.fence,
            settled=self.sends.settled(fold.usage, first),
        )
        result = await self.context.partitions.append(self.tenure.partition, [record])
        if isinstance(result, Err) or not await self._is_current():
            return False
        self.appended_at_s[window] = elapsed_s()
        return window in fold.usage.reports

    async def _repeat_reports(self) -> None:
        """Keep the reports that are not settled from expiring on the log."""
        for report in self.follower.fold.usage.unsettled():
            appended_at_s = self.appended_at_s.get(report.window, float("-inf"))
            is_own = report.fence == self.tenure.fence
            if report.window not in self.sends.done and (
                not is_own or elapsed_s() > appended_at_s + REPEAT_INTERVAL_S
            ):
                await self._append_report(report.window, report.counts)

    async def _send(self) -> None:
        while True:
            report, next_at_s = None, float("inf")
            if await self._is_current(MAX_AGE_S):
                report, next_at_s = self.sends.next_report(
                    self.follower.fold.usage, elapsed_s()
                )
            if report is None:
                wait_s = min(next_at_s - elapsed_s(), READ_INTERVAL_S)
                await asyncio.sleep(max(0.0, wait_s))
            else:
                await self._send_report(report)

    async def _send_report(self, report: UsageReport) -> None:
        result = await self.context.runner.call(
            self.tenure, USAGE_SUBJECT, lambda fence: self._call(report.window, fence)
        )
        age_s = self.ledger.age_us(report.window, unix_us()) / US_PER_S
        is_given_up = isinstance(result, Err) and age_s > GIVE_UP_AFTER_S
        outcome = "ok" if isinstance(result, Ok) else result.err_value.value
        log_event(
            "usage_reported",
            window=report.window,
            accounts=len(report.counts),
            requests=sum(report.counts.values()),
            fence=self.tenure.fence,
            outcome="given_up" if is_given_up else outcome,
            age_s=age_s,
        )
        if isinstance(result, Ok):
            self.context.metrics.usage_reports.observe({}, age_s)
        if isinstance(result, Ok) or is_given_up:
            self.sends.finish(report.window)
        else:
            self.sends.record_failure(report, elapsed_s())

    async def _call(self, window: int, fence: FenceNumber) -> Result[None, DutyFailure]:
        """Send the counts that are on the log, which was read for the permit."""
        counts = self.follower.fold.usage.reports[window].counts
        account_counts = {AccountName(name): number for name, number in counts.items()}
        return await self.context.calls.report_usage(window, account_counts, fence)
