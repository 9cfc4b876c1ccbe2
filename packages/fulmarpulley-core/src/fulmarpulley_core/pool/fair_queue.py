"""Queue work items by priority, with token-based fairness between tenants."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from fulmarpulley_schema.generated.document import ServiceDocument

from ..ids import ModelName, StepNumber, TenantId, Version
from .messages import Work, WorkKind
from .state import Item

# Samples have rank 0; desk classes of priority 0 to 9 have the ranks from this one on.
LOWEST_DESK_RANK = 1
DEFAULT_PRIORITY = 5
# Share of the tokens that lower bands get while a higher one has waiting work, so that
# desk requests take precedence without starving trainers.
LOWER_BAND_SHARE = 0.25
CREDIT_PER_TOKEN = LOWER_BAND_SHARE / (1 - LOWER_BAND_SHARE)
# A tenant whose items could not run catches up by at most this many tokens, so that it
# does not starve the others when it returns.
MAX_CATCH_UP_TOKENS = 65536
# Desk classes of equal priority are served in order of arrival while none is ahead of
# another by more than this many tokens per share in a busy period. Without this burst,
# a class that happened to send more waited four times as long with an engine down.
DESK_BURST_TOKENS = 8192

SortKey = tuple[int, int, int, int]


class LaneKey(NamedTuple):
    """Group items by what an upstream must satisfy to run them."""

    model: ModelName
    min_version: Version
    staleness_bound: int | None
    step: StepNumber


class Lane:
    """Hold the items of a tenant that can run on the same upstreams, sorted."""

    def __init__(self, key: LaneKey, flow: "Flow") -> None:
        self.key = key
        self.flow = flow
        self.waiting = 0
        # The first item, if no upstream could take it, and the epoch of that try.
        self.blocked_item: Item | None = None
        self.blocked_epoch = -1
        self._heap: list[tuple[SortKey, Item]] = []

    def push(self, item: Item) -> None:
        """Add an item."""
        self.waiting += 1
        heapq.heappush(self._heap, (_sort_key(item), item))

    def head(self) -> Item:
        """Return the first item of a lane that is not empty."""
        while not self._heap[0][1].queued:
            heapq.heappop(self._heap)
        return self._heap[0][1]

    def is_blocked(self, epoch: int) -> bool:
        """Tell whether only newly freed capacity can take the first item."""
        return self.blocked_epoch == epoch and self.blocked_item is self.head()

    def block(self, epoch: int) -> None:
        """Record that no upstream can take the first item in this epoch."""
        self.blocked_epoch = epoch
        self.blocked_item = self.head()

    def head_sort_key(self) -> SortKey:
        """Return the sort key of the first item."""
        self.head()
        return self._heap[0][0]

    def compact(self) -> None:
        """Rebuild the heap when most of its entries are removed items."""
        if len(self._heap) > 2 * self.waiting + 64:
            self._heap = [entry for entry in self._heap if entry[1].queued]
            heapq.heapify(self._heap)


class Flow:
    """Hold the lanes of a tenant and its virtual start time in tokens per share."""

    def __init__(self, band: "Band", share: float) -> None:
        self.band = band
        self.share = share
        self.start_tag = 0.0
        self.busy_period = 0
        self.lanes: dict[LaneKey, Lane] = {}

    def head_sort_key(self) -> SortKey:
        """Return the sort key of the first item of all lanes."""
        return min(lane.head_sort_key() for lane in self.lanes.values())

    def ordered_lanes(self) -> list[Lane]:
        """Return the lanes sorted by their first items."""
        if len(self.lanes) == 1:
            return list(self.lanes.values())
        return sorted(self.lanes.values(), key=Lane.head_sort_key)


class Band:
    """Hold the tenants of one rank; higher ranks are served first."""

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.credit = 0.0
        self.virtual_time = 0.0
        self.burst = DESK_BURST_TOKENS if rank >= LOWEST_DESK_RANK else 0
        self.busy_period = 0
        self.flows: dict[TenantId, Flow] = {}
        self.active: dict[TenantId, Flow] = {}

    def activate(self, tenant: TenantId, flow: Flow) -> None:
        """Add a tenant that has waiting work again."""
        start_tag = self.virtual_time
        if self.burst and flow.busy_period == self.busy_period:
            start_tag -= self.burst / flow.share
        flow.start_tag = max(flow.start_tag, start_tag)
        flow.busy_period = self.busy_period
        self.active[tenant] = flow

    def end_busy_period(self) -> None:
        """Reset leads and credit when the band has no waiting work."""
        self.credit = 0.0
        self.busy_period += 1

    def ordered_flows(self) -> list[Flow]:
        """Return the tenants with waiting work in service order."""
        flows = sorted(self.active.values(), key=lambda flow: flow.start_tag)
        if not self.burst or len(flows) < 2:
            return flows
        least = flows[0].start_tag
        within_burst = [
            f for f in flows if (f.start_tag - least) * f.share <= self.burst
        ]
        within_burst.sort(key=Flow.head_sort_key)
        return within_burst + flows[len(within_burst) :]


class FairQueue:
    """Serve bands by rank, tenants by tokens per share, and items by step."""

    def __init__(self, document: ServiceDocument) -> None:
        self.waiting = 0
        self.desk_waiting = 0
        self.desk_tokens = 0
        self._bands: dict[int, Band] = {}
        self._ranked: list[Band] = []
        self.change_document(document)

    def change_document(self, document: ServiceDocument) -> None:
        """Apply the shares and priorities of a document."""
        self._shares = {TenantId(t.id): t.share for t in document.trainers}
        self._shares |= {TenantId(c.name): c.share for c in document.classes}
        self._ranks = {
            TenantId(c.name): LOWEST_DESK_RANK + c.priority for c in document.classes
        }
        for band in self._bands.values():
            for tenant, flow in band.flows.items():
                flow.share = self._shares.get(tenant, 1.0)

    def push(self, item: Item, charge: int) -> None:
        """Queue an item that is expected to take `charge` tokens."""
        item.queued = True
        item.charge = charge
        flow = self._flow(item.work)
        key = _lane_key(item.work)
        lane = flow.lanes.get(key)
        if lane is None:
            lane = flow.lanes[key] = Lane(key, flow)
        lane.push(item)
        item.lane = lane
        self._update_counts(item, 1)

    def remove(self, item: Item) -> None:
        """Remove an item if it is queued."""
        if item.queued and item.lane is not None:
            self._dequeue(item, item.lane)

    def lanes(self) -> Iterator[Lane]:
        """Yield the lanes in service order."""
        for band in self._ordered_bands():
            oldest = band.virtual_time
            for flow in band.ordered_flows():
                flow.start_tag = max(
                    flow.start_tag, oldest - MAX_CATCH_UP_TOKENS / flow.share
                )
                yield from flow.ordered_lanes()

    def take(self, lane: Lane) -> Item:
        """Remove the first item of a lane and charge its tenant."""
        item = lane.head()
        flow = lane.flow
        band = flow.band
        band.virtual_time = max(band.virtual_time, flow.start_tag)
        flow.start_tag += item.charge / flow.share
        self._update_credit(band, item.charge)
        self._dequeue(item, lane)
        return item

    def correct_charge(self, item: Item, tokens: int) -> None:
        """Replace the estimated charge of a started item by the tokens it took."""
        if item.lane is not None:
            flow = item.lane.flow
            flow.start_tag += (tokens - item.charge) / flow.share
            item.charge = tokens

    def has_waiting(self, tenant: TenantId, step: StepNumber) -> bool:
        """Tell whether a tenant has waiting samples of this step or an older one."""
        band = self._bands.get(0)
        flow = band.active.get(tenant) if band else None
        return flow is not None and any(key.step <= step for key in flow.lanes)

    def required_versions(self) -> dict[ModelName, Version]:
        """Return the newest version of each model that waiting work requires."""
        required: dict[ModelName, Version] = {}
        for band in self._ranked:
            for flow in band.active.values():
                for key in flow.lanes:
                    known = required.get(key.model, key.min_version)
                    required[key.model] = max(known, key.min_version)
        return required

    def _ordered_bands(self) -> list[Band]:
        active = [band for band in self._ranked if band.active]
        with_credit = [band for band in active[1:] if band.credit > 0]
        return with_credit + [band for band in active if band not in with_credit]

    def _update_credit(self, served: Band, charge: int) -> None:
        active = [band for band in self._ranked if band.active]
        if served.credit > 0 and active[0] is not served:
            served.credit -= charge
            return
        for band in active:
            if band.rank < served.rank:
                band.credit += charge * CREDIT_PER_TOKEN

    def _flow(self, work: Work) -> Flow:
        rank = 0
        if work.kind is WorkKind.DESK:
            rank = self._ranks.get(work.tenant, LOWEST_DESK_RANK + DEFAULT_PRIORITY)
        band = self._bands.get(rank)
        if band is None:
            band = self._bands[rank] = Band(rank)
            self._ranked = sorted(self._bands.values(), key=lambda b: -b.rank)
        flow = band.flows.get(work.tenant)
        if flow is None:
            flow = Flow(band, self._shares.get(work.tenant, 1.0))
            band.flows[work.tenant] = flow
        if work.tenant not in band.active:
            band.activate(work.tenant, flow)
        return flow

    def _dequeue(self, item: Item, lane: Lane) -> None:
        item.queued = False
        self._update_counts(item, -1)
        lane.waiting -= 1
        lane.compact()
        if lane.waiting:
            return
        flow = lane.flow
        del flow.lanes[lane.key]
        if not flow.lanes:
            del flow.band.active[item.work.tenant]
            if not flow.band.active:
                flow.band.end_busy_period()

    def _update_counts(self, item: Item, sign: int) -> None:
        self.waiting += sign
        if not item.is_sample:
            self.desk_waiting += sign
            self.desk_tokens += sign * item.charge


def _lane_key(work: Work) -> LaneKey:
    step = work.step if work.kind is WorkKind.SAMPLE else StepNumber(0)
    return LaneKey(work.model, work.min_version, work.staleness_bound, step)


def _sort_key(item: Item) -> SortKey:
    work = item.work
    if work.kind is WorkKind.SAMPLE:
        return (work.step, work.rank, work.group, item.sequence)
    return (-work.priority, work.rank, 0, item.sequence)
