"""Hold the state of work items, attempts and upstreams of a pool."""

import math
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from fulmarpulley_schema.generated.document import AttachState, UpstreamEntry
from fulmarpulley_schema.generated.http import Ran

from ..ids import AttemptId, ModelName, UpstreamId, Version
from .messages import Availability, StartReason, Work, WorkKind

if TYPE_CHECKING:
    from .bands import Lane


# Plain services stream no tokens, so only the deadline bounds their attempts.
PLAIN_DIALECTS = frozenset({"plain"})


# Share of the hinted length that is reserved. Answers grow while they run and end at
# different times, so an engine never holds all of them at full length. An answer that
# still runs out of memory is prefilled again within some 10 ms; with the full length
# reserved, short answers waited for seconds behind long ones.
RESERVED_HINT_SHARE = 0.7
# The recent pace covers one to two of these windows, or some ten stream events.
PACE_WINDOW_S = 0.5
# An upstream that limits its rate gets another request after this time, which shows
# whether the limit still holds.
LIMIT_RECHECK_S = 2.0


class Item(msgspec.Struct, eq=False, kw_only=True):
    """Hold a work item from its submission to its end."""

    work: Work
    sequence: int
    submitted_at: float
    deadline: float | None = None
    received_tokens: int = 0
    oldest_version: Version | None = None
    failures: int = 0
    # Retries, and attempts cancelled as stalled, since the item last received a token.
    tries: int = 0
    stalls: int = 0
    ran_before: Ran = Ran.NOT_RUN
    queued: bool = False
    charge: int = 0
    moves: int = 0
    moved_at: float = -math.inf
    lane: "Lane | None" = None
    # Upstreams to avoid, the one to avoid most at the end.
    avoided: list[UpstreamId] = []
    attempts: list["Attempt"] = []

    @property
    def is_sample(self) -> bool:
        """Tell whether a trainer waits for this item."""
        return self.work.kind is WorkKind.SAMPLE

    def avoid(self, upstream_id: UpstreamId) -> None:
        """Prefer other upstreams to one that failed this item.

        A sample avoids the last one only, since engines may refuse work for a moment.
        """
        self.avoided = [] if self.is_sample else self.avoided
        if upstream_id in self.avoided:
            self.avoided.remove(upstream_id)
        self.avoided.append(upstream_id)

    def reserved_tokens(self) -> int:
        """Return the tokens to reserve at an upstream for this item."""
        work = self.work
        generated = work.max_tokens
        if work.length_hint:
            # Reserving max_tokens left two thirds of the slots empty.
            generated = min(
                generated, math.ceil(work.length_hint * RESERVED_HINT_SHARE)
            )
        return work.prompt_tokens + generated

    def ran(self) -> Ran:
        """Return whether the item has run or may have run, live attempts included."""
        if self.ran_before is Ran.NOT_RUN and self.attempts:
            return Ran.MAY_HAVE_RUN
        return self.ran_before

    def record_run(self, ran: Ran) -> None:
        """Record an ended run; a certain run replaces a possible one."""
        if self.ran_before is not Ran.RAN:
            self.ran_before = ran


class RecentPace(msgspec.Struct):
    """Measure the recent seconds per token of an attempt; marks are (time, tokens).

    The mean since the start would take seconds to show that an upstream became slow.
    """

    window_start: tuple[float, int]
    next_window_start: tuple[float, int]

    def update(self, now: float, tokens: int) -> None:
        """Advance the window with the tokens received until now."""
        if now - self.next_window_start[0] >= PACE_WINDOW_S:
            self.window_start, self.next_window_start = (
                self.next_window_start,
                (now, tokens),
            )

    def seconds_per_token(self, last_token_at: float, tokens: int) -> float | None:
        """Return the seconds per token, or None without a token in the window."""
        since, received_tokens = self.window_start
        if tokens <= received_tokens or last_token_at <= since:
            return None
        return (last_token_at - since) / (tokens - received_tokens)


class Attempt(msgspec.Struct, eq=False, kw_only=True):
    """Hold an attempt that was started and has not ended."""

    attempt_id: AttemptId
    item: Item
    upstream: "Upstream"
    started_at: float
    reserved_tokens: int
    pending_tokens: int
    resume_from: int = 0
    tokens: int = 0
    last_token_at: float = -math.inf
    # A silence before this time was due to a load of weights or to the prompt.
    not_silent_until: float = -math.inf
    # Whether a load may have been in progress at the last check for silence.
    pause_possible: bool = True
    recent_pace: RecentPace | None = None
    reason: StartReason = StartReason.QUEUED
    counted_as_probe: bool = False

    def silent_since(self, now: float) -> float:
        """Return since when no token has come, not counting the pauses of swaps."""
        swap_end = min(now, self.upstream.swap_until)
        return max(self.started_at, self.last_token_at, swap_end)


class HealthState(StrEnum):
    """Name the state of an upstream that bounds its slots."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class HealthRecord(msgspec.Struct, eq=False):
    """Hold the health of one upstream; a new epoch invalidates its older timers."""

    state: HealthState = HealthState.HEALTHY
    epoch: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_at: float = -math.inf
    paused: bool = False
    paused_until: float = -math.inf
    ramp_step: int = 0
    slow: bool = False
    probes: int = 0
    probing_since: float = -math.inf
    probe_slots: int = 1
    seconds_per_token: float | None = None
    slow_streak: int = 0
    # Whether tokens or a complete answer have come since the last failure or refusal.
    answering: bool = True


class Upstream(msgspec.Struct, eq=False, kw_only=True):
    """Hold what a pool knows about an upstream.

    `slots` is the number of attempts that may run at once; it is zero while the
    upstream accepts no new attempt. `pending_tokens` is what the own attempts have
    yet to process, `external_attempts` the number of other attempts at time
    `external_measured_at`, and `attempt_counts` the number of own attempts from a time
    on. A weight swap may pause the upstream until `swap_until`. It is marked as slow
    until `slow_until`, and as limiting its rate until `limited_until`; then it has no
    turn for a further request before `next_turn_at`. It accepts no new work since
    `unavailable_since`. Its latest event came at `last_event_at`, `event_interval_s`
    after the one before of the same attempt.
    """

    entry: UpstreamEntry
    upstream_id: UpstreamId
    health: HealthRecord = msgspec.field(default_factory=HealthRecord)
    slots: int = 0
    listed: bool = True
    reported: Availability = Availability.AVAILABLE
    tokens_in_flight: int = 0
    pending_tokens: int = 0
    external_attempts: float = 0.0
    external_measured_at: float = 0.0
    started_attempts: int = 0
    swap_until: float = -math.inf
    slow_until: float = -math.inf
    limited_until: float = -math.inf
    next_turn_at: float = -math.inf
    unavailable_since: float | None = None
    event_interval_s: float = math.inf
    last_event_at: float = -math.inf
    loading: set[ModelName] = set()
    attempt_counts: deque[tuple[float, int]] = msgspec.field(default_factory=deque)
    attempts: dict[AttemptId, Attempt] = {}
    versions: dict[ModelName, Version] = {}

    def availability(self) -> Availability:
        """Combine the document, the instance list and the upstream's own signal."""
        if not self.listed:
            return Availability.LEAVING
        if self.entry.state is AttachState.DRAINING:
            return Availability.DRAINING
        return self.reported

    def is_engine(self) -> bool:
        """Tell whether the upstream streams tokens and loads versions."""
        return self.entry.dialect not in PLAIN_DIALECTS

    def is_free(self) -> bool:
        """Tell whether one more attempt may start."""
        return len(self.attempts) < self.slots

    def keeps_pace(self, now: float) -> bool:
        """Tell whether the upstream is not marked as slow."""
        return self.slow_until <= now

    def record_limit(self, limited: bool, now: float) -> None:
        """Record whether the upstream limits its rate."""
        self.limited_until = now + LIMIT_RECHECK_S if limited else -math.inf
        if not limited:
            self.next_turn_at = -math.inf

    def is_limited(self, now: float) -> bool:
        """Tell whether the upstream has lately limited its rate."""
        return now < self.limited_until

    def turn_wait_s(self, now: float) -> float:
        """Return how long its rate limit delays the next request at least."""
        if not self.is_limited(now):
            return 0.0
        paused_until = self.health.paused_until if self.health.paused else now
        return max(0.0, self.next_turn_at - now, paused_until - now)

    def is_loading(self, model: ModelName) -> bool:
        """Tell whether an order to load a version of the model is in progress."""
        return model in self.loading

    def has_room(self, reserved_tokens: int, token_limit: int) -> bool:
        """Tell whether the tokens of an attempt fit; an idle upstream accepts any."""
        return (
            not self.attempts or self.tokens_in_flight + reserved_tokens <= token_limit
        )
