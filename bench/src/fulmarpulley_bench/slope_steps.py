"""Measure `TrainerSteps` by slots."""

from fulmarpulley_core.bitmaps import bitmap_of, encode_bitmap
from fulmarpulley_core.ids import ServiceName, StepNumber, TrainerId, WorkId
from fulmarpulley_core.step_actions import GenerateSample
from fulmarpulley_core.trainer_steps import TrainerSteps
from fulmarpulley_schema.generated.http import (
    PromptGroup,
    Sample,
    Span,
    StepOpen,
    StepTake,
)

from .measure import MEASUREMENTS, Point, Series, allocated_bytes, median_cpu_us, series

SLOTS = (1024, 4096, 16384)
SAMPLES = 16
READY = 512
TAKE_SAMPLES = 256
# Text bytes of a sample of 240 tokens.
TEXT_BYTES = 960


class OpenStep:
    """Hold an open step and the work items that it requested."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.trainer_steps = TrainerSteps(
            ServiceName("service"), TrainerId("trainer"), "n1"
        )
        self.request = StepOpen(
            groups=[
                PromptGroup(prompt=f"{number:0400d}") for number in range(slots // 16)
            ],
            samples_per_group=SAMPLES,
            version=3,
            staleness_bound=2,
        )
        self.number = StepNumber(1)
        actions = self.trainer_steps.open(self.number, self.request, 2, 0.0)
        self.work = [action for action in actions if isinstance(action, GenerateSample)]
        self.taken: set[int] = set()

    def ready(self, count: int) -> int:
        """Finish some samples and return their number."""
        for _ in range(min(count, len(self.work))):
            work = self.work.pop()
            self.trainer_steps.sample_ready(
                self.number, WorkId(work.work_id), _sample(work.slot), 1.0
            )
        return count

    def take(self) -> int:
        """Take one batch."""
        request = StepTake(
            version=3,
            held=encode_bitmap(bitmap_of(self.taken)),
            max_samples=TAKE_SAMPLES,
        )
        taken = self.trainer_steps.take(self.number, request, 1.0)
        if taken is not None:
            self.taken |= {sample.slot for sample in taken.batch.samples}
        return 1


def _sample(slot: int) -> Sample:
    text = f"{slot:0{TEXT_BYTES}d}"
    return Sample(slot=slot, text=text, count=240, spans=[Span(version=3, tokens=240)])


@MEASUREMENTS.register("steps")
def measure_steps() -> list[Series]:
    """Measure opening, finished samples, takes and memory by slots."""
    opening, ready, take, state, full = [], [], [], [], []
    for slots in SLOTS:
        opening.append(Point(slots, median_cpu_us(lambda s=slots: _open_step(s))))  # type: ignore[misc]
        step = OpenStep(slots)
        ready.append(Point(slots, median_cpu_us(lambda s=step: s.ready(READY // 4))))  # type: ignore[misc]
        step = OpenStep(slots)
        step.ready(slots)
        take.append(Point(slots, median_cpu_us(step.take, repeats=4)))
        used, step = allocated_bytes(lambda s=slots: OpenStep(s))  # type: ignore[misc]
        state.append(Point(slots, used))
        used, _ = allocated_bytes(lambda s=step, count=slots: s.ready(count))  # type: ignore[misc]
        full.append(Point(slots, used))
    return [
        series("steps.open", "us", "slots", opening),
        series("steps.sample_ready", "us per sample", "slots", ready),
        series(f"steps.take of {TAKE_SAMPLES}", "us", "slots", take),
        series("steps.memory open", "bytes", "slots", state),
        series("steps.memory of ready samples", "bytes", "slots", full),
    ]


def _open_step(slots: int) -> int:
    OpenStep(slots)
    return 1
