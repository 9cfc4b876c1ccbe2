"""Fold the records of a partition into its training steps.

Every node that reads a partition gets the same steps, since only the order of the
records counts: the first acceptance of a step, the first result of an item and the
first end of a step take effect. Duplicate records therefore have no effect.
"""

from collections.abc import Callable, Iterator

import msgspec

from fulmarpulley_schema.generated.steps import (
    ItemProgress,
    ItemResult,
    ItemResults,
    ItemsGenerated,
    ItemSpec,
    OrderIntent,
    OwnerFence,
    RecordAges,
    StepAccepted,
    StepEnded,
    TextRef,
    UpstreamsWanted,
    UsageReport,
)

from ..ids import ItemId, StepId
from .order_history import OrderHistory
from .scaling_records import ScalingHistory
from .step_records import StepRecord
from .usage_reports import UsageReportFold


class SavedEvents(msgspec.Struct):
    """Hold the events of an unfinished item and the version that generated each.

    All events belong to one attempt, including those after which it resumed.
    """

    events: list[bytes] = []
    versions: list[int] = []
    run: str = ""


class SavedEventRefs(msgspec.Struct):
    """Hold references to the saved events of an item, and the version of each."""

    refs: list[TextRef] = []
    versions: list[int] = []
    run: str = ""


class Step(msgspec.Struct, eq=False, kw_only=True):
    """Hold a step; `results` are in log order, which defines their positions.

    `carried_groups` are groups that already had items in an earlier step; `generated`
    are the complete texts of open items that have no score yet.
    """

    accepted: StepAccepted
    open_items: dict[ItemId, ItemSpec]
    results: list[ItemResult] = []
    saved: dict[ItemId, SavedEventRefs] = {}
    generated: dict[ItemId, ItemResult] = {}
    ended: bool = False
    carried_groups: frozenset[str] = frozenset()

    @property
    def step_id(self) -> StepId:
        """Return the id that the trainer chose for the step."""
        return StepId(self.accepted.step_id)

    @property
    def total(self) -> int:
        """Return the number of items."""
        return len(self.accepted.items)

    def body(self, item_id: ItemId) -> bytes | None:
        """Return the body of an item that has no result yet."""
        item = self.open_items.get(item_id)
        return None if item is None or self.ended else item.body

    def is_open(self) -> bool:
        """Return whether items can still get a result."""
        return not self.ended and bool(self.open_items)


class StepFold:
    """Build the steps of one partition from its records."""

    def __init__(self) -> None:
        self.steps: dict[StepId, Step] = {}
        self.orders = OrderHistory()
        self.usage = UsageReportFold()
        self.scaling = ScalingHistory()
        # The newest step of each item, since later steps may repeat items.
        self._newest_step: dict[ItemId, StepId] = {}
        self._handlers: dict[type, Callable[..., None]] = {
            OwnerFence: self.orders.apply_fence,
            OrderIntent: self.orders.apply_intent,
            RecordAges: self.orders.apply_ages,
            StepAccepted: self._apply_accepted,
            ItemResults: self._apply_results,
            ItemProgress: self._apply_progress,
            ItemsGenerated: self._apply_generated,
            StepEnded: self._apply_ended,
            UsageReport: self._apply_usage,
            UpstreamsWanted: self._apply_wanted,
        }

    def apply(self, record: StepRecord) -> None:
        """Apply the next record."""
        self._handlers[type(record)](record)

    def expire(self, now_ms: int, retention_s: float) -> None:
        """Drop steps whose results need not be kept any longer.

        :param now_ms: current time in Unix milliseconds
        """
        oldest = now_ms - retention_s * 1000
        for step in list(self.steps.values()):
            if step.accepted.submitted_ms < oldest and not step.is_open():
                self._forget(step)

    def _forget(self, step: Step) -> None:
        del self.steps[step.step_id]
        for item in step.accepted.items:
            if self._newest_step.get(ItemId(item.item_id)) == step.step_id:
                del self._newest_step[ItemId(item.item_id)]

    def open_steps(self) -> Iterator[Step]:
        """Yield the steps with items left to run, oldest first."""
        return (step for step in self.steps.values() if step.is_open())

    def _apply_usage(self, record: UsageReport) -> None:
        self.usage.apply(record, self.orders.tenure)

    def _apply_accepted(self, record: StepAccepted) -> None:
        items = {ItemId(item.item_id): item for item in record.items}
        if StepId(record.step_id) in self.steps:
            return
        earlier = self._newest_step.keys()
        carried_groups = {
            i.group for name, i in items.items() if i.group and name in earlier
        }
        step = Step(
            accepted=record, open_items=items, carried_groups=frozenset(carried_groups)
        )
        self.steps[step.step_id] = step
        for name in items:
            self._newest_step[name] = step.step_id

    def _apply_results(self, record: ItemResults) -> None:
        step = self.steps.get(StepId(record.step_id))
        if step is None or step.ended:
            return
        for result in record.results:
            item_id = ItemId(result.item_id)
            if step.open_items.pop(item_id, None) is not None:
                step.results.append(result)
                step.saved.pop(item_id, None)
                step.generated.pop(item_id, None)

    def _apply_progress(self, record: ItemProgress) -> None:
        step = self.steps.get(StepId(record.step_id))
        if step is None or ItemId(record.item_id) not in step.open_items:
            return
        item_id = ItemId(record.item_id)
        if item_id in step.generated:
            return
        known = step.saved.get(item_id)
        if record.start == 0:
            if known is None or len(record.versions) > len(known.versions):
                refs, versions = [record.events_ref], list(record.versions)
                step.saved[item_id] = SavedEventRefs(refs, versions, record.run)
        elif (
            known is not None
            and known.run == record.run
            and len(known.versions) == record.start
        ):
            known.refs.append(record.events_ref)
            known.versions.extend(record.versions)

    def _apply_generated(self, record: ItemsGenerated) -> None:
        step = self.steps.get(StepId(record.step_id))
        if step is None or step.ended:
            return
        for result in record.results:
            item_id = ItemId(result.item_id)
            if item_id in step.open_items:
                step.generated.setdefault(item_id, result)
                step.saved.pop(item_id, None)

    def _apply_ended(self, record: StepEnded) -> None:
        step = self.steps.get(StepId(record.step_id))
        if step is not None:
            step.ended = True
            step.saved.clear()
            step.generated.clear()

    def _apply_wanted(self, record: UpstreamsWanted) -> None:
        # As with intents, records of a former owner are void.
        if self.orders.tenure in {"", record.tenure}:
            self.scaling.apply(record, self.orders.record_read_at_s)
