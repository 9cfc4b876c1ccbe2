"""Simulate the links between clients, data centres and the two regions."""

from collections.abc import Callable

import msgspec

from .clock import Clock

LOCAL_LATENCY_S = 0.0005
REGION_LATENCY_S = 0.008
REGION_BYTES_PER_S = 225e6 / 8
# Weight copies within a region use a 10 Gb/s network.
LOCAL_BYTES_PER_S = 10e9 / 8


class Transfer(msgspec.Struct):
    """Hold a bulk transfer over the link between the regions."""

    remaining_bytes: float
    done: Callable[[], None]


class Network:
    """Delay messages and share the link between the regions among transfers.

    Bulk transfers share the bandwidth of the link equally. Small messages are only
    delayed by the latency and counted; they don't slow down transfers, since they use
    about 1% of the link at these loads.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.region_bytes = 0.0
        self._transfers: list[Transfer] = []
        self._updated = 0.0
        self._generation = 0

    def latency(self, source: str, target: str) -> float:
        """Return the one-way latency between two regions in seconds."""
        return LOCAL_LATENCY_S if source == target else REGION_LATENCY_S

    def count_bytes(self, source: str, target: str, size: float) -> None:
        """Count the bytes of a small message between two regions."""
        if source != target:
            self.region_bytes += size

    def transfer(
        self, source: str, target: str, size: float, done: Callable[[], None]
    ) -> None:
        """Start a bulk transfer and call `done` when it has arrived."""
        if source == target:
            self.clock.after(LOCAL_LATENCY_S + size / LOCAL_BYTES_PER_S, done)
            return
        self.region_bytes += size
        self._advance()
        self._transfers.append(Transfer(size, done))
        self._schedule()

    def _advance(self) -> None:
        elapsed = self.clock.now - self._updated
        self._updated = self.clock.now
        if not self._transfers:
            return
        sent_bytes = elapsed * REGION_BYTES_PER_S / len(self._transfers)
        for transfer in self._transfers:
            transfer.remaining_bytes -= sent_bytes

    def _schedule(self) -> None:
        self._generation += 1
        if not self._transfers:
            return
        generation = self._generation
        min_remaining_bytes = max(
            0.0, min(transfer.remaining_bytes for transfer in self._transfers)
        )
        delay = min_remaining_bytes * len(self._transfers) / REGION_BYTES_PER_S
        self.clock.after(delay, lambda: self._end(generation))

    def _end(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        finished = [
            transfer for transfer in self._transfers if transfer.remaining_bytes <= 1.0
        ]
        self._transfers = [
            transfer for transfer in self._transfers if transfer.remaining_bytes > 1.0
        ]
        self._schedule()
        for transfer in finished:
            self.clock.after(REGION_LATENCY_S, transfer.done)
