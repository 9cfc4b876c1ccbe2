"""Forecast whether the engines of a service end its steps in time.

Trainers submit a step every few seconds, so an engine that is idle at one moment says
nothing about the number of engines that are needed. Shortages are derived from the open
steps, and spare engines from the open steps of a window of several step intervals.
"""

import math
from collections import deque
from typing import NamedTuple

import msgspec

# Six intervals of trainers that submit a step every 4 s.
WINDOW_S = 24.0
# A forecast of one moment can be off while a burst is being distributed, or while a
# step is being accepted item by item.
SHORTAGE_CONFIRMATION_S = 1.0
# Share of the slots that have to be taken. Each engine has a free slot for an instant
# between two items.
TAKEN_SHARE = 0.9
# Share of the time until a step is due in which its tokens should be generated: the
# items that are started last end after the others.
USABLE_TIME_SHARE = 0.8
# Share of the slots that the mean load may take: steps of several trainers coincide.
MEAN_LOAD_SHARE = 0.7
MIN_REMAINING_S = 0.25
# Without this many steps in the window, the load is not known well enough.
MIN_WINDOW_STEPS = 2


class OpenStep(NamedTuple):
    """Hold what is left of a step.

    :param due_s: time at which its results are due
    :param tokens: tokens that are expected to be generated from now on
    :param items: unfinished items
    """

    due_s: float
    tokens: float
    items: int


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the load of a service's pool at one moment.

    :param waiting: items without an engine
    :param slots: slots of the engines that serve
    :param slots_taken: those that no item can take now, also because the engine loads
        weights or has no memory left
    :param seconds_per_token: measured pace of one item; None if it is not known yet
    :param arrived_steps: number of steps that have arrived so far
    :param arrived_tokens: tokens of these steps
    """

    steps: tuple[OpenStep, ...] = ()
    waiting: int = 0
    slots: int = 0
    slots_taken: int = 0
    seconds_per_token: float | None = None
    arrived_steps: int = 0
    arrived_tokens: float = 0.0


class Forecast(NamedTuple):
    """Describe a shortage: how late a step would be, and the slots that it lacks."""

    late_s: float
    missing_slots: float


class LoadSample(NamedTuple):
    """Hold what the window keeps of one moment."""

    at_s: float
    required_slots: float
    arrived_steps: int
    arrived_tokens: float


def forecast_shortage(load: PoolLoad, now_s: float, boot_s: float) -> Forecast | None:
    """Return the worst step that is late because all slots are taken, or None.

    A step that all present engines end before a new one could serve is left alone.
    """
    pace = load.seconds_per_token
    if pace is None or not load.slots or not load.waiting:
        return None
    if load.slots_taken < TAKEN_SHARE * load.slots:
        return None
    worst, tokens = None, 0.0
    for step in sorted(load.steps):
        # Later steps do not delay earlier ones, so this is the earliest possible end.
        tokens += step.tokens
        end_s = now_s + tokens * pace / load.slots
        if end_s <= max(step.due_s, now_s + boot_s):
            continue
        late_s = end_s - step.due_s
        if worst is None or late_s > worst.late_s:
            # The slots whose work in the time of the late ones is the excess.
            missing = late_s / (end_s - now_s) * load.slots
            worst = Forecast(late_s, min(missing, float(load.waiting)))
    return worst


def required_slots(load: PoolLoad, now_s: float) -> float:
    """Return the slots with which the open steps end in time at the measured pace."""
    pace = load.seconds_per_token or 0.0
    tokens, items, most = 0.0, 0, 0.0
    for step in sorted(load.steps):
        tokens += step.tokens
        items += step.items
        usable_s = max(MIN_REMAINING_S, (step.due_s - now_s) * USABLE_TIME_SHARE)
        # An item takes one slot at a time.
        most = max(most, min(float(items), tokens * pace / usable_s))
    return most


class LoadWindow:
    """Remember the load of the last seconds."""

    def __init__(self) -> None:
        self.samples: deque[LoadSample] = deque()
        self.shortage_since_s: float | None = None
        self.short_at_s = -math.inf

    def add(self, load: PoolLoad, now_s: float, boot_s: float) -> Forecast | None:
        """Record the load; return a shortage that has lasted long enough to count."""
        self.samples.append(
            LoadSample(
                now_s,
                required_slots(load, now_s),
                load.arrived_steps,
                load.arrived_tokens,
            )
        )
        while self.samples[0].at_s < now_s - WINDOW_S:
            self.samples.popleft()
        forecast = forecast_shortage(load, now_s, boot_s)
        if forecast is None:
            self.shortage_since_s = None
            return None
        self.short_at_s = now_s
        if self.shortage_since_s is None:
            self.shortage_since_s = now_s
        confirmed = now_s >= self.shortage_since_s + SHORTAGE_CONFIRMATION_S
        return forecast if confirmed else None

    def clear(self) -> None:
        """Forget all samples, for example since an outage disturbed them."""
        self.samples.clear()
        self.shortage_since_s = None

    def needed_slots(self, seconds_per_token: float | None) -> float | None:
        """Return the slots that the steps of a whole window need.

        None means that the window is incomplete or shows too few steps.
        """
        if seconds_per_token is None or not self.samples:
            return None
        first, last = self.samples[0], self.samples[-1]
        span_s = last.at_s - first.at_s
        steps = last.arrived_steps - first.arrived_steps
        # The window is sampled at intervals, so its samples span a little less.
        if span_s < WINDOW_S * 0.9 or steps < MIN_WINDOW_STEPS:
            return None
        rate = (last.arrived_tokens - first.arrived_tokens) / span_s
        peak = max(sample.required_slots for sample in self.samples)
        return max(peak, rate * seconds_per_token / MEAN_LOAD_SHARE)
