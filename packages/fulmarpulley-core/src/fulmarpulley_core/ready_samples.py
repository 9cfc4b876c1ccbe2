"""Keep finished samples of a step, grouped by the oldest version in each."""

import msgspec

from fulmarpulley_schema.generated.http import Sample

from .ids import Version


class _ReadySample(msgspec.Struct, frozen=True):
    sample: Sample
    oldest: Version


class ReadySamples:
    """Keep at most one sample per slot; `bits` is the bitmap of their slots."""

    def __init__(self) -> None:
        self.bits = 0
        self._samples: dict[int, _ReadySample] = {}
        self._by_version: dict[Version, dict[int, None]] = {}

    def __len__(self) -> int:
        return len(self._samples)

    def sample(self, slot: int) -> Sample:
        """Return the sample of a slot."""
        return self._samples[slot].sample

    def samples(self) -> list[Sample]:
        """List all samples."""
        return [ready.sample for ready in self._samples.values()]

    def keep(self, sample: Sample, oldest: Version) -> bool:
        """Keep a sample unless the slot has one that is at least as new.

        Return whether it was kept.
        """
        known = self._samples.get(sample.slot)
        if known is not None:
            if known.oldest >= oldest:
                return False
            self.drop(sample.slot)
        self._samples[sample.slot] = _ReadySample(sample, oldest)
        self.bits |= 1 << sample.slot
        self._by_version.setdefault(oldest, {})[sample.slot] = None
        return True

    def drop(self, slot: int) -> None:
        """Drop the sample of a slot."""
        oldest = self._samples.pop(slot).oldest
        self.bits &= ~(1 << slot)
        slots = self._by_version[oldest]
        del slots[slot]
        if not slots:
            del self._by_version[oldest]

    def drop_below(self, lowest: Version) -> list[int]:
        """Drop the samples older than a version; return their slots."""
        old = [version for version in self._by_version if version < lowest]
        slots = [slot for version in old for slot in self._by_version[version]]
        for slot in slots:
            self.drop(slot)
        return slots

    def of_version(self, oldest: Version) -> list[int]:
        """List the slots of samples with this oldest version."""
        return list(self._by_version.get(oldest, ()))

    def has_version(self, oldest: Version) -> bool:
        """Return whether any sample has this oldest version."""
        return oldest in self._by_version

    def first(self, limit: int) -> list[int]:
        """List the slots of up to `limit` samples, oldest version first."""
        slots: list[int] = []
        for oldest in sorted(self._by_version):
            for slot in self._by_version[oldest]:
                if len(slots) == limit:
                    return slots
                slots.append(slot)
        return slots
