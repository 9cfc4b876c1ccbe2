"""Measure processor time and memory, and fit lines over sizes."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from statistics import linear_regression, median
from typing import TypeVar

import msgspec

from fulmarpulley_core.registry import Registry

T = TypeVar("T")
REPEATS = 5


class Point(msgspec.Struct, frozen=True):
    """Hold a value measured at a size."""

    size: float
    value: float


class Series(msgspec.Struct, kw_only=True):
    """Hold the points of a measured quantity over sizes and their linear fit."""

    name: str
    unit: str
    size_name: str
    points: list[Point]
    slope: float = 0.0
    intercept: float = 0.0
    # Coefficient of determination; 1 is a perfect fit.
    r2: float = 1.0


Measurement = Callable[[], list[Series]]
MEASUREMENTS: Registry[Measurement] = Registry("measurement")


def series(name: str, unit: str, size_name: str, points: list[Point]) -> Series:
    """Fit a line through measured points."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = linear_regression(sizes, values)
    mean = sum(values) / len(values)
    total = sum((value - mean) ** 2 for value in values)
    residual = sum(
        (value - slope * size - intercept) ** 2
        for size, value in zip(sizes, values, strict=True)
    )
    return Series(
        name=name,
        unit=unit,
        size_name=size_name,
        points=points,
        slope=slope,
        intercept=intercept,
        r2=1.0 - residual / total if total > 0 else 1.0,
    )


def median_cpu_us(operation: Callable[[], int], repeats: int = REPEATS) -> float:
    """Return the median microseconds per event; `operation` returns its events."""
    costs = []
    for _ in range(repeats):
        with exclude_setup_from_gc():
            began = time.process_time()
            events = operation()
            costs.append(1e6 * (time.process_time() - began) / events)
    return median(costs)


def allocated_bytes(create: Callable[[], T]) -> tuple[int, T]:
    """Return the bytes still allocated after a call, and its result."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = create()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before, result


@contextmanager
def exclude_setup_from_gc() -> Iterator[None]:
    """Freeze existing objects so that collections don't scan them meanwhile."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
