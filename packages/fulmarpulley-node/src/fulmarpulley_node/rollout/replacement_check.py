"""End a tenure when engines show that another node has taken the partition over."""

import asyncio
import time

from result import Err, Result

from fulmarpulley_core.ids import ItemId, UpstreamId
from fulmarpulley_core.rollout.replacement_evidence import (
    OwnerRuns,
    RunReport,
    choose_engines,
    find_replacement,
)
from fulmarpulley_core.rollout.upstreams import ListedUpstream

from ..observe.events import log_event
from .directory import Directory
from .interfaces import UpstreamCalls
from .metrics import RolloutMetrics, labels
from .ownership import Ownership, Tenure
from .step_home import StepHome

CHECK_INTERVAL_S = 0.5
# A report takes some milliseconds. Slow engines must not hold up the next check.
REPORT_TIMEOUT_S = 0.5
SYNC_TIMEOUT_S = 2.0


class ReplacementCheck:
    """Ask the engines of one tenure for reports while the store cannot be reached."""

    def __init__(
        self,
        directory: Directory,
        calls: UpstreamCalls,
        ownership: Ownership,
        tenure: Tenure,
        home: StepHome,
        metrics: RolloutMetrics,
    ) -> None:
        self.directory = directory
        self.calls = calls
        self.ownership = ownership
        self.tenure = tenure
        self.home = home
        self.metrics = metrics
        self.owned_since = time.monotonic()
        self.inherited: frozenset[ItemId] = frozenset()
        self.last_asked = UpstreamId("")

    async def run(self) -> None:
        """Check until the tenure ends."""
        while not await self.home.follower.sync(SYNC_TIMEOUT_S):
            if self.tenure.ended:
                return
        self.inherited = self._open_items()
        while not self.tenure.ended:
            if self.ownership.lacks_contact():
                await self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Ask the next engines, and end the tenure if one shows another owner."""
        engines = {entry.upstream_id: entry for entry in self._engines()}
        chosen = choose_engines(list(engines), self.last_asked)
        if not chosen:
            return
        self.last_asked = chosen[-1]
        asked_at = time.monotonic()
        results = await asyncio.gather(*(self._ask(engines[name]) for name in chosen))
        for engine, result in zip(chosen, results, strict=True):
            # The group decides as soon as it can be asked again.
            if self.tenure.ended or not self.ownership.lacks_contact():
                return
            if isinstance(result, Err):
                self._count("unreadable")
                continue
            report = RunReport(engine, result.ok_value, asked_at)
            item_id = find_replacement(report, self._owner_runs())
            self._count("not_replaced" if item_id is None else "replaced")
            if item_id is not None:
                log_event(
                    "ownership_superseded",
                    partition=self.tenure.partition,
                    upstream=engine,
                    item=item_id,
                    without_contact_s=asked_at - self.ownership.last_contact_at,
                )
                self.ownership.end_tenure(self.tenure)

    async def _ask(self, engine: ListedUpstream) -> Result[list[ItemId], str]:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                return await self.calls.running_requests(engine)
        except TimeoutError:
            return Err("the report did not arrive in time")

    def _engines(self) -> list[ListedUpstream]:
        return [
            entry
            for service in self.home.pools.pools
            for entry in self.directory.upstreams_for_service(service)
        ]

    def _owner_runs(self) -> OwnerRuns:
        attempts = self.home.attempts
        return OwnerRuns(
            items=self._open_items(),
            running={attempt.engine_run for attempt in attempts.running.values()},
            ended=attempts.ended,
            inherited=self.inherited,
            owned_since=self.owned_since,
        )

    def _open_items(self) -> frozenset[ItemId]:
        steps = self.home.follower.fold.open_steps()
        return frozenset(item_id for step in steps for item_id in step.open_items)

    def _count(self, outcome: str) -> None:
        self.metrics.replacement_checks.inc(labels(outcome=outcome))
