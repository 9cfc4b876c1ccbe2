"""Track the slots of one training step: in work, ready, held by the trainer.

Each open and take contains a bitmap of the slots that the trainer holds, and this
bitmap is authoritative. Work is submitted for every slot that is not held, not ready,
not in work and not waiting for a retry. Each bitmap restores this invariant, so no
sample is lost with a response. Sets of slots are integers: a bitmap of 16,384 slots
costs a few operations on 2 KiB, and other events touch single slots only.
"""

import heapq
from enum import StrEnum

from fulmarpulley_schema.generated.http import Sample, SampleBatch, StepOpen

from .bitmaps import bitmap_of, encode_bitmap, slots_of
from .ids import StepNumber, Version, WorkId
from .ready_samples import ReadySamples
from .step_actions import (
    GenerateSample,
    SamplesReady,
    StepAction,
    TakeResult,
    WithdrawSample,
)

# Delay before a failed sample is retried if the pool gives no time.
SAMPLE_RETRY_S = 1.0


class SlotState(StrEnum):
    """Enumerate the states of a slot."""

    HELD = "held"
    READY = "ready"
    IN_WORK = "in_work"
    DELAYED = "delayed"
    DROPPED = "dropped"


class Step:
    """Track one open step; `prefix` makes its work ids unique among all homes."""

    def __init__(
        self, number: StepNumber, body: StepOpen, bound: int, prefix: str
    ) -> None:
        self.number = number
        self.groups = body.groups
        self.samples_per_group = body.samples_per_group
        self.max_tokens = body.max_tokens
        self.bound = bound
        self.prefix = prefix
        self.slots = len(body.groups) * body.samples_per_group
        self.version = Version(body.version)
        self.held = 0
        self._all = (1 << self.slots) - 1
        self._ready = ReadySamples()
        self._work: dict[int, WorkId] = {}
        self._started: dict[int, float] = {}
        self._work_bits = 0
        self._delayed: list[tuple[float, int]] = []
        self._delayed_bits = 0
        self._handed_over_bits = 0
        self._generation = 0

    @property
    def finished(self) -> bool:
        """Return whether the trainer holds every slot."""
        return self.held == self._all

    @property
    def ready_count(self) -> int:
        """Return the number of samples to be taken or to be confirmed as held."""
        return len(self._ready)

    def state_of(self, slot: int) -> SlotState:
        """Return the state of a slot; a READY slot can have a replacement in work."""
        bit = 1 << slot
        if self.held & bit:
            return SlotState.HELD
        if self._ready.bits & bit:
            return SlotState.READY
        if self._work_bits & bit:
            return SlotState.IN_WORK
        return SlotState.DELAYED if self._delayed_bits & bit else SlotState.DROPPED

    def same_content(self, body: StepOpen) -> bool:
        """Return whether an open has the same prompts and limits as this step."""
        return (
            self.samples_per_group == body.samples_per_group
            and self.max_tokens == body.max_tokens
            and self.groups == body.groups
        )

    def samples(self) -> list[Sample]:
        """List the ready samples for the handover to the next home."""
        return self._ready.samples()

    def held_text(self) -> str:
        """Return the bitmap of the held slots, encoded as base64."""
        return encode_bitmap(self.held)

    def set_bound(self, bound: int, now: float) -> list[StepAction]:
        """Change the staleness bound and drop the samples beyond it."""
        if bound == self.bound:
            return []
        self.bound = bound
        return self._drop_expired(now)

    def set_held(self, held: int, now: float) -> list[StepAction]:
        """Set the slots that the trainer holds; generate those that are missing."""
        self.held = held & self._all
        self._handed_over_bits = 0
        for slot in slots_of(self.held & self._ready.bits):
            self._ready.drop(slot)
        actions = self._withdraw(self.held & self._work_bits)
        busy = self.held | self._ready.bits | self._work_bits | self._delayed_bits
        return actions + self._generate(self._all & ~busy, now)

    def take(self, held: int, limit: int, now: float) -> TakeResult:
        """Hand over up to `limit` samples, those that expire first at the front."""
        actions = self.set_held(held, now)
        slots = self._ready.first(limit)
        self._handed_over_bits = bitmap_of(slots)
        missing = self.slots - self.held.bit_count() - len(slots)
        samples = [self._ready.sample(slot) for slot in slots]
        return TakeResult(SampleBatch(samples=samples, missing=missing), actions)

    def set_version(self, version: Version, now: float) -> list[StepAction]:
        """Set the trainer's current version and drop the samples that expired."""
        if version <= self.version:
            return []
        self.version = version
        return self._drop_expired(now)

    def sample_ready(
        self, work_id: WorkId, sample: Sample, now: float
    ) -> list[StepAction]:
        """Add a finished, scored sample; results of unknown work are dropped."""
        slot = sample.slot
        if self._work.get(slot) != work_id:
            return []
        self._end_work(slot)
        oldest = oldest_version(sample)
        if oldest is None or not self._within_bound(oldest):
            if self._ready.bits >> slot & 1:
                return []
            if oldest is None:
                return self._delay(slot, now + SAMPLE_RETRY_S)
            return self._generate(1 << slot, now)
        kept = self._ready.keep(sample, oldest)
        return [SamplesReady(self.number)] if kept else []

    def assume_held(self, held: int) -> None:
        """Set the held slots from a peer; generate nothing until the trainer reports.

        The trainer may have closed the step or taken samples in the meantime.
        """
        self.held = held & self._all
        self._handed_over_bits = self._all

    def restore(self, samples: list[Sample]) -> list[StepAction]:
        """Restore finished samples from a leaving home."""
        actions: list[StepAction] = []
        for sample in samples:
            oldest = oldest_version(sample)
            if (
                oldest is None
                or not self._within_bound(oldest)
                or sample.slot >= self.slots
            ):
                continue
            bit = 1 << sample.slot
            if (self.held | self._ready.bits) & bit:
                continue
            actions += self._withdraw(self._work_bits & bit)
            if self._ready.keep(sample, oldest):
                actions.append(SamplesReady(self.number))
        return actions

    def work_failed(
        self, slot: int, work_id: WorkId, now: float, retry_after: float | None = None
    ) -> list[StepAction]:
        """Record that a work item ended without a sample; it is retried later."""
        if self._work.get(slot) != work_id:
            return []
        self._end_work(slot)
        if self._ready.bits >> slot & 1:
            return []
        return self._delay(
            slot, now + (SAMPLE_RETRY_S if retry_after is None else retry_after)
        )

    def retry(self, now: float) -> list[StepAction]:
        """Generate the delayed slots whose retry is due."""
        actions: list[StepAction] = []
        while self._delayed and self._delayed[0][0] <= now:
            slot = heapq.heappop(self._delayed)[1]
            self._delayed_bits &= ~(1 << slot)
            busy = self.held | self._ready.bits | self._work_bits
            actions += self._generate(1 << slot & ~busy, now)
        return actions

    def replace_expiring(self, now: float) -> list[StepAction]:
        """Generate replacements for the samples that expire with the next version.

        Samples that were handed over are left out, since the trainer probably holds
        them. With a bound of 0 a replacement would expire together with the sample.
        """
        expiring = self._ready.of_version(Version(self.version - self.bound))
        if not self.bound or not expiring:
            return []
        busy = self._work_bits | self._handed_over_bits | self._delayed_bits
        bits = bitmap_of(expiring) & ~busy
        return self._generate(bits, now, Version(self.version - self.bound + 1))

    def has_expiring(self) -> bool:
        """Return whether ready samples expire with the next version."""
        return self._ready.has_version(Version(self.version - self.bound))

    def next_retry(self) -> float | None:
        """Return when the next delayed slot is due."""
        return self._delayed[0][0] if self._delayed else None

    def started_at(self, slot: int, work_id: WorkId) -> float | None:
        """Return when the work in progress of a slot was submitted."""
        return self._started[slot] if self._work.get(slot) == work_id else None

    def withdrawals(self) -> list[WithdrawSample]:
        """List the actions that would withdraw the work in progress."""
        return [WithdrawSample(work_id) for work_id in self._work.values()]

    def withdraw_all(self) -> list[StepAction]:
        """Withdraw all work in progress."""
        return self._withdraw(self._work_bits)

    def _drop_expired(self, now: float) -> list[StepAction]:
        expired = self._ready.drop_below(Version(self.version - self.bound))
        # The trainer may hold the slots that were handed over; its next bitmap
        # shows which ones, and those that were lost are generated then.
        bits = bitmap_of(expired) & ~(self._handed_over_bits | self._work_bits)
        return self._generate(bits & ~self._delayed_bits, now)

    def _within_bound(self, oldest: Version) -> bool:
        return self.version - oldest <= self.bound

    def _generate(
        self, bits: int, now: float, min_version: Version | None = None
    ) -> list[StepAction]:
        if not bits:
            return []
        self._work_bits |= bits
        lowest = Version(max(0, self.version - self.bound))
        wanted = lowest if min_version is None else min_version
        actions: list[StepAction] = []
        for slot in slots_of(bits):
            self._generation += 1
            work_id = WorkId(f"{self.prefix}/{slot}/{self._generation}")
            self._work[slot] = work_id
            self._started[slot] = now
            actions.append(GenerateSample(work_id, self.number, slot, wanted))
        return actions

    def _withdraw(self, bits: int) -> list[StepAction]:
        actions: list[StepAction] = []
        for slot in slots_of(bits):
            actions.append(WithdrawSample(self._work[slot]))
            self._end_work(slot)
        return actions

    def _end_work(self, slot: int) -> None:
        del self._work[slot], self._started[slot]
        self._work_bits &= ~(1 << slot)

    def _delay(self, slot: int, until: float) -> list[StepAction]:
        heapq.heappush(self._delayed, (until, slot))
        self._delayed_bits |= 1 << slot
        return []


def oldest_version(sample: Sample) -> Version | None:
    """Return the oldest version that generated a sample, or None if it has no spans."""
    return Version(min(span.version for span in sample.spans)) if sample.spans else None
