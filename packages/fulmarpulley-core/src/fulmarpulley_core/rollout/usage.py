"""Count the requests that began to run, by account and window, from all nodes.

Each node counts in slices of its own clock and writes them to the log. The holder of
the usage duty adds them up. A node's clock keeps its error for as long as the process
lives, so the holder sees the error in the time that each record states, compares it
with those of the other nodes, and moves the slices of a node that is off.
"""

import statistics
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from fulmarpulley_schema.codec import from_msgpack
from fulmarpulley_schema.generated.usage import NodeUsage

from ..ids import AccountName, ServiceName

US_PER_S = 1_000_000
MAX_SLICE_US = 250_000
# A node whose clock differs from the median by more is corrected. Records that wait for
# the log make a clock look behind by some tenths of a second.
MAX_CLOCK_ERROR_US = 500_000
# Counts that the log has not taken for this long are of no use any more.
MAX_COUNT_AGE_US = 60 * US_PER_S
# A node that writes late counts does so at most this often.
LATE_WRITE_INTERVAL_US = US_PER_S
# Sequence numbers of a node that are remembered to recognise repeated records.
REMEMBERED_RECORDS = 256
# Times of a service from which its usual run time is taken. Waits in the queues of
# upstreams only lengthen times, so the lowest of several lower quartiles is used.
BATCH_SIZE = 32
BATCHES = 64
RECORD_KIND = 1
_encoder = msgspec.msgpack.Encoder()


def encode(record: NodeUsage) -> bytes:
    """Encode a record, with its kind as the first byte."""
    return bytes([RECORD_KIND]) + _encoder.encode(record)


def decode(data: bytes) -> NodeUsage | None:
    """Decode a record; return None for data that another writer left."""
    if not data or data[0] != RECORD_KIND:
        return None
    try:
        record = from_msgpack(data[1:], NodeUsage)
    except msgspec.DecodeError:
        return None
    return None if any(len(row) % 2 for row in record.counts.values()) else record


class RunTimes:
    """Estimate the usual run time of requests at each service."""

    def __init__(self) -> None:
        self._batches: dict[ServiceName, list[int]] = {}
        self._quartiles: dict[ServiceName, list[int]] = {}

    def add(self, service: ServiceName, time_us: int) -> None:
        """Record the time from the sending of a request to its response."""
        batch = self._batches.setdefault(service, [])
        batch.append(time_us)
        if len(batch) == BATCH_SIZE:
            quartiles = self._quartiles.setdefault(service, [])
            quartiles.append(_lower_quartile(batch))
            del quartiles[:-BATCHES]
            batch.clear()

    def usual_us(self, service: ServiceName) -> int:
        """Return the usual run time; zero if none is known."""
        quartiles = self._quartiles.get(service)
        if quartiles:
            return min(quartiles)
        batch = self._batches.get(service)
        return _lower_quartile(batch) if batch else 0


def _lower_quartile(values: list[int]) -> int:
    return sorted(values)[len(values) // 4]


def slice_length_us(window_us: int) -> int:
    """Return the length of the slices of a window, which fill it exactly."""
    return window_us // -(-window_us // MAX_SLICE_US)


class UsageCounter:
    """Count the requests of one node, in slices of its clock."""

    def __init__(self, node_id: str, start_id: str, window_us: int) -> None:
        self.node_id = node_id
        self.start_id = start_id
        self.window_us = window_us
        self.slice_us = slice_length_us(window_us)
        self.sequence = 0
        self.written_at_us = 0
        self._counts: dict[tuple[AccountName, int], int] = defaultdict(int)

    def add(self, account: AccountName, began_us: int, number: int = 1) -> None:
        """Count a request that began at a time; -1 takes one back."""
        self._counts[account, began_us // self.slice_us] += number

    def is_due(self, now_us: int) -> bool:
        """Return whether a record should be written now.

        This is so every half window, and soon after the end of a window.
        """
        if not self._counts:
            return False
        since_us = now_us - self.written_at_us
        if since_us >= self.window_us // 2:
            return True
        window_start_us = now_us - now_us % self.window_us
        oldest_us = min(number for _, number in self._counts) * self.slice_us
        interval_us = min(LATE_WRITE_INTERVAL_US, self.window_us // 4)
        first_after_end = self.written_at_us < window_start_us
        return oldest_us < window_start_us and (
            first_after_end or since_us >= interval_us
        )

    def take(self, now_us: int) -> NodeUsage | None:
        """Return the counts since the last record as the next one; None if none."""
        self.written_at_us = now_us
        counts = {key: number for key, number in self._counts.items() if number}
        self._counts.clear()
        if not counts:
            return None
        first = min(number for _, number in counts)
        rows: dict[str, list[int]] = {}
        for (account, slice_number), number in sorted(counts.items()):
            rows.setdefault(account, []).extend((slice_number - first, number))
        record = NodeUsage(
            node_id=self.node_id,
            start_id=self.start_id,
            sequence=self.sequence,
            at_us=now_us,
            slice_us=self.slice_us,
            first_slice=first,
            counts=rows,
        )
        self.sequence += 1
        return record

    def drop_old(self, now_us: int) -> int:
        """Drop counts that were not written for too long; return their number."""
        oldest = (now_us - MAX_COUNT_AGE_US) // self.slice_us
        old = [key for key in self._counts if key[1] < oldest]
        return sum(self._counts.pop(key) for key in old)


class CountedNode(msgspec.Struct, eq=False):
    """Hold what one start of a node has counted.

    `lead_us` tells by how much its clock is ahead of the holder's, less the delay of
    its fastest record; None if no record was read as soon as it was written.
    """

    lead_us: int | None = None
    written_at_us: int = 0
    read_at_us: int = 0
    newest_sequence: int = -1
    sequences: set[int] = set()
    # Counts by the middle of the slice, by the clock of the node.
    slices: dict[int, dict[AccountName, int]] = {}

    def is_repeated(self, sequence: int) -> bool:
        """Tell whether a record was read before, and remember it."""
        if sequence in self.sequences or (
            sequence <= self.newest_sequence - REMEMBERED_RECORDS
        ):
            return True
        self.sequences.add(sequence)
        self.newest_sequence = max(self.newest_sequence, sequence)
        if len(self.sequences) > 2 * REMEMBERED_RECORDS:
            oldest = self.newest_sequence - REMEMBERED_RECORDS
            self.sequences = {s for s in self.sequences if s > oldest}
        return False


class UsageLedger:
    """Add up the counts of all nodes, as the holder of the usage duty."""

    def __init__(self, window_us: int) -> None:
        self.window_us = window_us
        self.closed_window = -1
        self._nodes: dict[tuple[str, str], CountedNode] = {}
        # By how much the median of the nodes' clocks is ahead of the holder's.
        self.median_lead_us = 0

    def apply(self, record: NodeUsage, read_at_us: int, is_live: bool) -> int:
        """Add a record; return how many of its requests came too late.

        :param read_at_us: time of reading by the clock of the holder
        :param is_live: whether the record was read soon after it was written
        """
        node = self._nodes.setdefault((record.node_id, record.start_id), CountedNode())
        if node.is_repeated(record.sequence):
            return 0
        node.read_at_us = read_at_us
        node.written_at_us = max(node.written_at_us, record.at_us)
        if is_live:
            lead_us = record.at_us - read_at_us
            node.lead_us = (
                lead_us if node.lead_us is None else max(node.lead_us, lead_us)
            )
        late = 0
        shift_us = self._shift_us(node)
        for middle_us, account, number in _slices(record):
            if (middle_us - shift_us) // self.window_us <= self.closed_window:
                late += number
                continue
            counts = node.slices.setdefault(middle_us, {})
            counts[account] = counts.get(account, 0) + number
        return late

    def update_median(self) -> None:
        """Compare the clocks again, after records were added."""
        leads = [n.lead_us for n in self._nodes.values() if n.lead_us is not None]
        if leads:
            self.median_lead_us = int(statistics.median(leads))

    def now_us(self, holder_us: int) -> int:
        """Return the time by the median of the nodes' clocks."""
        return holder_us + self.median_lead_us

    def age_us(self, window: int, holder_us: int) -> int:
        """Return the time since the end of a window."""
        return self.now_us(holder_us) - (window + 1) * self.window_us

    def missing_nodes(self, window: int) -> int:
        """Return how many nodes may still have counts of a window to write.

        These are the nodes with counts of the window that have written no record since
        its end.
        """
        end_us = (window + 1) * self.window_us
        return sum(
            node.written_at_us - self._shift_us(node) < end_us
            and any(w >= window - 1 for w, _ in self._by_window(node))
            for node in self._nodes.values()
        )

    def counts(self, window: int) -> dict[str, int]:
        """Return the number of requests of each account in a window."""
        total: dict[AccountName, int] = defaultdict(int)
        for node in self._nodes.values():
            for slice_window, counts in self._by_window(node):
                if slice_window == window:
                    for account, number in counts.items():
                        total[account] += number
        return {
            account: total[account] for account in sorted(total) if total[account] > 0
        }

    def close(self, window: int, holder_us: int) -> None:
        """Forget the counts up to a window; later ones come too late."""
        self.closed_window = max(self.closed_window, window)
        kept = window - 1
        for key, node in list(self._nodes.items()):
            shift_us = self._shift_us(node)
            node.slices = {
                middle_us: counts
                for middle_us, counts in node.slices.items()
                if (middle_us - shift_us) // self.window_us > kept
            }
            if node.read_at_us < holder_us - MAX_COUNT_AGE_US:
                del self._nodes[key]

    def _by_window(
        self, node: CountedNode
    ) -> Iterator[tuple[int, dict[AccountName, int]]]:
        shift_us = self._shift_us(node)
        for middle_us, counts in node.slices.items():
            yield (middle_us - shift_us) // self.window_us, counts

    def _shift_us(self, node: CountedNode) -> int:
        """Return by how much a clock is ahead, if it has to be corrected."""
        if node.lead_us is None:
            return 0
        error_us = node.lead_us - self.median_lead_us
        return error_us if abs(error_us) > MAX_CLOCK_ERROR_US else 0


def _slices(record: NodeUsage) -> Iterator[tuple[int, AccountName, int]]:
    """Yield the middle of each slice, the account and the number of requests."""
    for account, row in record.counts.items():
        for offset, number in zip(row[::2], row[1::2], strict=True):
            middle_us = (record.first_slice + offset) * record.slice_us
            yield middle_us + record.slice_us // 2, AccountName(account), number
