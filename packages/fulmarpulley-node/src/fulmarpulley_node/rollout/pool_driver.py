"""Run the dispatcher of one pool on the event loop."""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from fulmarpulley_core.ids import AccountName, AttemptId, UpstreamId, WorkId
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_core.pool.messages import (
    Action,
    Event,
    PoolSettings,
    StartReason,
    Tick,
)
from fulmarpulley_core.pool.relocation import MoveCounts
from fulmarpulley_schema.generated.document import ServiceDocument

from ..observe.events import log_event

MIN_TIMER_S = 0.001
HELD_LOG_INTERVAL_S = 1.0


class PoolDriver:
    """Pass events to a pool and its actions to handlers, and run its timer."""

    def __init__(
        self,
        document: ServiceDocument,
        settings: PoolSettings,
        seed: int,
        handlers: dict[type, Callable[[Any], object]],
    ) -> None:
        self.service = document.name
        self.pool = Pool(document, settings, seed)
        self.handlers = handlers
        self.closed = False
        self._events: deque[Sequence[Event]] = deque()
        self._busy = False
        self._retries_held_since: float | None = None
        self._next_held_log = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    def post(self, *events: Event) -> None:
        """Handle events as one batch, now or after the batch in progress."""
        self._events.append(events)
        if self._busy or self.closed:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False
            # Also after an exception, since the timer handles the remaining events.
            self._set_timer()

    def usable(self) -> list[UpstreamId]:
        """Return the upstreams that accept new attempts."""
        return [upstream.upstream_id for upstream in self.pool.usable()]

    def largest_accounts(self, count: int) -> list[tuple[AccountName, int]]:
        """Return the accounts with the most waiting requests, and their numbers."""
        return self.pool.largest_accounts(count)

    def start_reason(self, attempt_id: AttemptId) -> StartReason | None:
        """Return why a running attempt was started, or None if it has ended."""
        return self.pool.start_reason(attempt_id)

    def move_counts(self) -> MoveCounts:
        """Return how many runs were moved, by outcome."""
        return self.pool.move_counts()

    def latest_start(self, work_id: WorkId) -> float:
        """Return the time after which no attempt of a work item may start."""
        return self.pool.latest_start(work_id)

    def close(self) -> None:
        """Stop the timer and ignore further events."""
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _handle(self, events: Sequence[Event]) -> None:
        now = asyncio.get_running_loop().time()
        for action in self.pool.handle_all(events, now):
            self._handle_action(action)
        self._log_held_retries(now)

    def _log_held_retries(self, now: float) -> None:
        """Log once a second which retries wait for the budget, beside free slots."""
        held, since = self.pool.held_retries(), self._retries_held_since
        if held and now >= self._next_held_log:
            self._retries_held_since = now if since is None else since
            self._next_held_log = now + HELD_LOG_INTERVAL_S
            log_event(
                "retries_held",
                service=self.service,
                items=held,
                free_slots=self.pool.free_slots(),
            )
        elif since is not None and not held:
            self._retries_held_since = None
            log_event("retries_resumed", service=self.service, seconds=now - since)

    def _handle_action(self, action: Action) -> None:
        self.handlers[type(action)](action)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        loop = asyncio.get_running_loop()
        due = loop.time() if self._events else self.pool.next_wakeup()
        if due is not None and not self.closed:
            when = max(due, loop.time() + MIN_TIMER_S)
            self._timer = loop.call_at(when, lambda: self.post(Tick()))
