"""Track the items that a node runs and the events that their attempts produced."""

import asyncio

import msgspec

from fulmarpulley_core.ids import AttemptId, ItemId, StepId, UpstreamId, WorkId
from fulmarpulley_core.pool.messages import StartReason
from fulmarpulley_core.rollout.replacement_evidence import EngineRun
from fulmarpulley_core.rollout.step_fold import SavedEvents, Step
from fulmarpulley_core.rollout.topology import Route
from fulmarpulley_schema.generated.steps import (
    ItemProgress,
    ItemResult,
    ItemSpec,
    ItemState,
    TextRef,
)


class UnsavedProgress(msgspec.Struct, kw_only=True):
    """Hold events of an unfinished item that are not yet on the log."""

    step_id: StepId
    item_id: str
    run: str
    start: int
    events: list[bytes]
    versions: list[int]

    def to_record(self, ref: TextRef) -> ItemProgress:
        """Return the log record that refers to the events."""
        return ItemProgress(
            step_id=self.step_id,
            item_id=self.item_id,
            run=self.run,
            start=self.start,
            events_ref=ref,
            versions=self.versions,
        )


class PendingResult(msgspec.Struct, eq=False):
    """Hold a result from the end of generation until it is on the log.

    A result that is not `listed` yet waits for its score; its text is saved meanwhile.
    """

    step_id: StepId
    result: ItemResult
    listed: bool = True


class ItemRun(msgspec.Struct, eq=False, kw_only=True):
    """Track an item from its submission to the pool until its result is listed."""

    work_id: WorkId
    step: Step
    item: ItemSpec
    saved: SavedEvents
    logged_run: str = ""
    logged_events: int = 0
    errors: int = 0
    # The complete text while its reward call is pending.
    generated: PendingResult | None = None
    scoring_task: asyncio.Task[None] | None = None
    # Since when the configuration that this node knows gives a reason to end the item,
    # by the clock that counts suspended time.
    end_due_since_s: float | None = None
    ended: bool = False
    # When a pool got the item for the first time, by the clock of the event loop.
    submitted_at: float | None = None

    @property
    def step_id(self) -> StepId:
        """Return the id of the item's step."""
        return self.step.step_id

    def results_due(self, route: Route | None, now: float) -> float | None:
        """Return when the results of the step are due, or None without a due time.

        The time counts from the first submission to a pool, since the clock of the
        node that accepted the step may be off by seconds.
        """
        if self.submitted_at is None:
            self.submitted_at = now
        if route is None or not route.result_deadline_s:
            return None
        return self.submitted_at + route.result_deadline_s

    def unsaved_progress(self, min_events: int) -> UnsavedProgress | None:
        """Return the events not yet on the log, or None if fewer than `min_events`."""
        saved = self.saved
        start = self.logged_events if saved.run == self.logged_run else 0
        is_complete = self.ended or self.generated is not None
        if is_complete or len(saved.events) - start < min_events:
            return None
        return UnsavedProgress(
            step_id=self.step_id,
            item_id=self.item.item_id,
            run=saved.run,
            start=start,
            events=saved.events[start:],
            versions=saved.versions[start:],
        )

    def mark_logged(self, progress: UnsavedProgress) -> None:
        """Record that the log holds these events."""
        self.logged_run = progress.run
        self.logged_events = progress.start + len(progress.events)

    def cancel_scoring(self) -> None:
        """Cancel the reward call."""
        if self.scoring_task is not None:
            self.scoring_task.cancel()

    def completed_result(self, saved: SavedEvents) -> ItemResult:
        """Return the result for the events of a finished attempt."""
        return ItemResult(
            item_id=self.item.item_id,
            state=ItemState.COMPLETED,
            text=b"\n".join(saved.events),
            versions=sorted(set(saved.versions)),
        )

    def dead_result(self) -> ItemResult:
        """Return the result of an item that cannot be completed."""
        return ItemResult(item_id=self.item.item_id, state=ItemState.DEAD, text=b"")


class AttemptRun(msgspec.Struct, eq=False, kw_only=True):
    """Hold the events of one attempt, including those that it resumed after."""

    attempt_id: AttemptId
    run: ItemRun
    upstream: UpstreamId
    events: list[bytes]
    versions: list[int]
    reason: StartReason | None = None

    @property
    def engine_run(self) -> EngineRun:
        """Return the item and its engine."""
        return EngineRun(self.upstream, ItemId(self.run.item.item_id))

    def to_saved(self) -> SavedEvents:
        """Return the events and their versions for saving."""
        return SavedEvents(self.events, self.versions, self.attempt_id)


def work_id_of(step_id: StepId, item_id: str) -> WorkId:
    """Return the work id of an item in its pool."""
    return WorkId(f"{step_id}/{item_id}")
