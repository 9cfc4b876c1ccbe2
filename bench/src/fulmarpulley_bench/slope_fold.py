"""Measure the fold of a partition of the platform's log by items."""

from fulmarpulley_core.rollout.step_fold import StepFold
from fulmarpulley_core.rollout.step_records import RecordReader, StepRecord, encode
from fulmarpulley_schema.generated.steps import (
    ItemResult,
    ItemResults,
    ItemSpec,
    ItemState,
    StepAccepted,
    TextRef,
)

from .measure import MEASUREMENTS, Point, Series, allocated_bytes, median_cpu_us, series

ITEMS = (1024, 4096, 16384)
STEP_ITEMS = 64
# Results per record, and bytes of a body and of a text, as in a day of the deployment
# emsm-colchon-grown.
RESULTS_PER_RECORD = 3
BODY_BYTES = 340
TEXT_BYTES = 4600


class EncodedSteps:
    """Hold the encoded records of steps: acceptance and item results."""

    def __init__(self, items: int) -> None:
        steps = range(items // STEP_ITEMS)
        self.accepted = [encode(_step_accepted(step)) for step in steps]
        self.item_results = [
            encode(record) for step in steps for record in _item_results(step)
        ]

    def fold(self) -> StepFold:
        """Fold all records, as the owner of a partition does at a takeover."""
        fold, reader = StepFold(), RecordReader()
        for record in reader.read_all(self.accepted + self.item_results):
            if record is not None:
                fold.apply(record)
        return fold

    def fold_open(self) -> StepFold:
        """Fold the acceptance records only, so that every item is open."""
        fold, reader = StepFold(), RecordReader()
        for record in reader.read_all(self.accepted):
            if record is not None:
                fold.apply(record)
        return fold

    def size(self) -> int:
        """Return the total bytes of all records."""
        return sum(map(len, self.accepted + self.item_results))


def _item_id(step: int, item: int) -> str:
    return f"{step:08x}{item:08x}"


def _step_accepted(step: int) -> StepRecord:
    items = [
        ItemSpec(
            item_id=_item_id(step, item),
            path="/pufi791/3/91c4",
            headers={"Model": "daka510000", "Sample-Sizes": "540,400"},
            body=bytes(BODY_BYTES),
            prompt_tokens=540,
            max_tokens=400,
            group=f"g{item // 8}",
        )
        for item in range(STEP_ITEMS)
    ]
    return StepAccepted(
        step_id=f"{step:016x}", host="h", path="/p", submitted_ms=step, items=items
    )


def _item_results(step: int) -> list[StepRecord]:
    results = [
        ItemResult(
            item_id=_item_id(step, item),
            state=ItemState.COMPLETED,
            text=b"",
            text_ref=TextRef(offset=item, records=1, size=TEXT_BYTES),
            versions=[step, step + 1],
        )
        for item in range(STEP_ITEMS)
    ]
    return [
        ItemResults(
            step_id=f"{step:016x}", results=results[first : first + RESULTS_PER_RECORD]
        )
        for first in range(0, STEP_ITEMS, RESULTS_PER_RECORD)
    ]


@MEASUREMENTS.register("fold")
def measure_fold() -> list[Series]:
    """Measure log bytes, processor time and memory of the fold by items."""
    size, takeover, open_memory, listed_memory = [], [], [], []
    for items in ITEMS:
        records = EncodedSteps(items)
        size.append(Point(items, records.size()))

        def read(records: EncodedSteps = records, items: int = items) -> int:
            records.fold()
            return items

        takeover.append(Point(items, median_cpu_us(read)))
        used, _ = allocated_bytes(records.fold_open)
        open_memory.append(Point(items, used))
        used, _ = allocated_bytes(records.fold)
        listed_memory.append(Point(items, used))
    return [
        series("fold.bytes on the log without texts", "bytes", "items", size),
        series("fold.read at a takeover", "us per item", "items", takeover),
        series("fold.memory of open items", "bytes", "items", open_memory),
        series("fold.memory of listed items", "bytes", "items", listed_memory),
    ]
