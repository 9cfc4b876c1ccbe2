"""Hold the items that a node runs and what their attempts have produced."""

import asyncio

import msgspec

from fulmarpulley_core.ids import AttemptId, StepId, UpstreamId, WorkId
from fulmarpulley_core.rollout.step_fold import Saved, Step
from fulmarpulley_schema.generated.steps import (
    ItemProgress,
    ItemResult,
    ItemSpec,
    ItemState,
    TextRef,
)


class UnsavedProgress(msgspec.Struct, kw_only=True):
    """Hold events of an unfinished item that are not on the log yet."""

    step_id: StepId
    item_id: str
    run: str
    start: int
    events: list[bytes]
    versions: list[int]

    def to_record(self, ref: TextRef) -> ItemProgress:
        """Return the record that refers to the events."""
        return ItemProgress(
            step_id=self.step_id,
            item_id=self.item_id,
            run=self.run,
            start=self.start,
            events_ref=ref,
            versions=self.versions,
        )


class PendingResult(msgspec.Struct, eq=False):
    """Hold a result from the end of its item until it is on the log.

    One that is not `listed` yet waits for its score; its text is kept meanwhile.
    """

    step_id: StepId
    result: ItemResult
    listed: bool = True


class ItemRun(msgspec.Struct, eq=False, kw_only=True):
    """Hold an item from its submission to the pool until its result is listed."""

    work_id: WorkId
    step: Step
    item: ItemSpec
    saved: Saved
    logged_run: str = ""
    logged_events: int = 0
    errors: int = 0
    # The whole text, while the reward call is not answered.
    generated: PendingResult | None = None
    scoring_task: asyncio.Task[None] | None = None
    ended: bool = False

    @property
    def step_id(self) -> StepId:
        """Return the step of the item."""
        return self.step.step_id

    def unsaved_progress(self, min_events: int) -> UnsavedProgress | None:
        """Return what the log does not hold yet, if it is at least some events."""
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
        """Note that the log holds these events."""
        self.logged_run = progress.run
        self.logged_events = progress.start + len(progress.events)

    def cancel_scoring(self) -> None:
        """Cut the reward call."""
        if self.scoring_task is not None:
            self.scoring_task.cancel()

    def completed_result(self, saved: Saved) -> ItemResult:
        """Return the result for the events of a whole run."""
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
    """Hold the events of one attempt, those resumed after included."""

    attempt_id: AttemptId
    run: ItemRun
    upstream: UpstreamId
    events: list[bytes]
    versions: list[int]

    def to_saved(self) -> Saved:
        """Return the events and their versions."""
        return Saved(self.events, self.versions, self.attempt_id)


def work_id_of(step_id: StepId, item_id: str) -> WorkId:
    """Return the id of an item within the pool."""
    return WorkId(f"{step_id}/{item_id}")
