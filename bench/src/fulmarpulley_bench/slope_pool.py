"""Measure the cost of pool events and the memory of queued work."""

from itertools import count

from fulmarpulley_core.ids import ModelName, Region, TenantId, UpstreamId, Version
from fulmarpulley_core.ids import WorkId as Id
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_core.pool.messages import (
    Action,
    AttemptFinished,
    AttemptProgress,
    LoadReport,
    PoolSettings,
    StartAttempt,
    Submit,
    VersionReport,
    Work,
    WorkKind,
)
from fulmarpulley_schema.generated.document import (
    ServiceDocument,
    ServiceKind,
    TrainerEntry,
    UpstreamEntry,
)
from fulmarpulley_schema.generated.http import Span

from .measure import MEASUREMENTS, Point, Series, allocated_bytes, median_cpu_us, series

CAPACITY = 16
UPSTREAMS = (4, 8, 16, 32)
QUEUED = (256, 1024, 4096, 16384)
EVENTS_PER_REPEAT = 400
TYPICAL_UPSTREAMS = 32
TYPICAL_QUEUE = 1024
MODEL = ModelName("model")


class LoadedPool:
    """Keep a pool at full capacity with a queue of a given length."""

    def __init__(self, upstreams: int, queued: int) -> None:
        self.pool = Pool(_document(upstreams), PoolSettings(), seed=1)
        self.numbers = count()
        self.now = 0.0
        self.running: list[StartAttempt] = []
        self.upstreams = [UpstreamId(f"u{number}") for number in range(upstreams)]
        for name in self.upstreams:
            self.pool.handle(VersionReport(name, MODEL, Version(1)), 0.0)
        for _ in range(upstreams * CAPACITY + queued):
            self.submit()

    def submit(self) -> None:
        """Submit one sample."""
        number = next(self.numbers)
        work = Work(
            work_id=Id(f"service/trainer/1/{number}"),
            tenant=TenantId("trainer"),
            kind=WorkKind.SAMPLE,
            model=MODEL,
            max_tokens=512,
            prompt_tokens=256,
            staleness_bound=8,
            region=Region("r0"),
            group=number // 8,
        )
        self._record_starts(self.pool.handle(Submit(work), self._advance_time()))

    def finish_and_submit(self) -> int:
        """Replace finished samples with new ones; return the number of replacements."""
        for _ in range(EVENTS_PER_REPEAT):
            attempt = self.running.pop(0)
            spans = [Span(version=1, tokens=300)]
            event = AttemptFinished(attempt.attempt_id, 300, spans)
            self._record_starts(self.pool.handle(event, self._advance_time()))
            self.submit()
        return EVENTS_PER_REPEAT

    def progress(self) -> int:
        """Report the progress of every running attempt."""
        for number, attempt in enumerate(self.running):
            event = AttemptProgress(attempt.attempt_id, number % 200, Version(1))
            self._record_starts(self.pool.handle(event, self._advance_time()))
        return len(self.running)

    def loads(self) -> int:
        """Report the load of every upstream several times."""
        for number in range(EVENTS_PER_REPEAT):
            name = self.upstreams[number % len(self.upstreams)]
            event = LoadReport(name, CAPACITY, 0, 1000, 0.5)
            self._record_starts(self.pool.handle(event, self._advance_time()))
        return EVENTS_PER_REPEAT

    def _record_starts(self, actions: list[Action]) -> None:
        self.running += [
            action for action in actions if isinstance(action, StartAttempt)
        ]

    def _advance_time(self) -> float:
        self.now += 0.0005
        return self.now


def _document(upstreams: int) -> ServiceDocument:
    return ServiceDocument(
        name="service",
        kind=ServiceKind.TRAINING,
        model=MODEL,
        trainers=[TrainerEntry(id="trainer")],
        upstreams=[
            UpstreamEntry(
                id=f"u{number}",
                address=f"http://127.0.0.1:{9000 + number}",
                data_centre=f"d{number % 2}",
                region="r0",
                capacity=CAPACITY,
            )
            for number in range(upstreams)
        ],
    )


@MEASUREMENTS.register("pool")
def measure_pool() -> list[Series]:
    """Measure the events of a pool by upstreams and by queued items."""
    measured: list[Series] = []
    by_upstreams = [(size, LoadedPool(size, TYPICAL_QUEUE)) for size in UPSTREAMS]
    by_queue = [(size, LoadedPool(TYPICAL_UPSTREAMS, size)) for size in QUEUED]
    for label, pools in (("upstreams", by_upstreams), ("queued", by_queue)):
        for name in ("finish_and_submit", "progress", "loads"):
            points = [
                Point(size, median_cpu_us(getattr(pool, name))) for size, pool in pools
            ]
            measured.append(series(f"pool.{name} by {label}", "us", label, points))
    return [*measured, _memory("upstreams"), _memory("queued")]


def _memory(label: str) -> Series:
    points = []
    for size in UPSTREAMS if label == "upstreams" else QUEUED:
        upstreams = size if label == "upstreams" else TYPICAL_UPSTREAMS
        queued = TYPICAL_QUEUE if label == "upstreams" else size
        used, _ = allocated_bytes(lambda u=upstreams, q=queued: LoadedPool(u, q))  # type: ignore[misc]
        points.append(Point(size, used))
    return series(f"pool.memory by {label}", "bytes", label, points)
