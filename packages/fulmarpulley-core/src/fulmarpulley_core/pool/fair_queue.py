"""Queue work items by priority, with fair turns of accounts and tenants."""

from collections import Counter
from collections.abc import Iterator
from itertools import islice

from fulmarpulley_schema.generated.document import ServiceDocument

from ..ids import AccountName, ModelName, StepNumber, TenantId, Version
from .account_shares import AccountShares
from .account_turns import NO_ACCOUNT
from .bands import LOWEST_DESK_RANK, Band, Flow, FlowKey, Lane, LaneKey
from .means import Mean
from .messages import Work, WorkKind
from .state import Item

DEFAULT_PRIORITY = 5
# Share of the tokens that lower bands get while a higher one has waiting work, so that
# desk requests take precedence without starving trainers.
LOWER_BAND_SHARE = 0.25
CREDIT_PER_TOKEN = LOWER_BAND_SHARE / (1 - LOWER_BAND_SHARE)


class FairQueue:
    """Serve bands by rank, flows by tokens per share, and items by step."""

    def __init__(self, document: ServiceDocument) -> None:
        self.waiting = 0
        self.desk_waiting = 0
        self.desk_tokens = 0
        self._bands: dict[int, Band] = {}
        self._ranked: list[Band] = []
        self._shares = AccountShares()
        self._accounts_waiting = 0
        self._tokens_served = 0
        # Lanes with waiting work by model and required version.
        self._lanes_by_version: Counter[tuple[ModelName, Version]] = Counter()
        self.change_document(document)

    def change_document(self, document: ServiceDocument) -> None:
        """Apply the shares and priorities of a document."""
        self._tenant_shares = {TenantId(t.id): t.share for t in document.trainers}
        self._tenant_shares |= {TenantId(c.name): c.share for c in document.classes}
        self._ranks = {
            TenantId(c.name): LOWEST_DESK_RANK + c.priority for c in document.classes
        }
        for band in self._bands.values():
            for tenant, flow in band.flows.items():
                flow.share = self._tenant_shares.get(tenant, 1.0)

    def record_arrival(self, work: Work, now: float) -> None:
        """Count desk work for the share of its account, also if it is refused."""
        if work.kind is WorkKind.DESK:
            self._shares.record(work.account, now)

    def push(self, item: Item, charge: int) -> None:
        """Queue an item that is expected to take `charge` tokens."""
        item.queued = True
        item.charge = charge
        flow = self._flow(item.work)
        key = _lane_key(item.work)
        lane = flow.lanes.get(key)
        if lane is None:
            lane = flow.lanes[key] = Lane(key, flow)
            self._lanes_by_version[key.model, key.min_version] += 1
        lane.push(item)
        item.lane = lane
        self._update_counts(item, lane, 1)

    def remove(self, item: Item) -> None:
        """Remove an item if it is queued."""
        if item.queued and item.lane is not None:
            self._dequeue(item, item.lane)

    def lanes(self) -> Iterator[Lane]:
        """Yield the lanes in service order."""
        for band in self._ordered_bands():
            yield from band.lanes()

    def take(self, lane: Lane) -> Item:
        """Remove the first item of a lane and charge its flow."""
        item = lane.head()
        flow = lane.flow
        band = flow.band
        band.charge(flow, item.charge)
        self._tokens_served += item.charge
        if flow.key.account and flow.waiting > 1:
            flow.tokens_per_turn = flow.tokens_per_turn or Mean()
            flow.tokens_per_turn.add(self._tokens_served - flow.served_before)
            flow.served_before = self._tokens_served
        if len(self._ranked) > 1:
            self._update_credit(band, item.charge)
        self._dequeue(item, lane)
        return item

    def correct_charge(self, item: Item, tokens: int) -> None:
        """Replace the estimated charge of a started item by the tokens it took."""
        if item.lane is not None and tokens != item.charge:
            flow = item.lane.flow
            flow.band.correct_charge(flow, tokens - item.charge)
            item.charge = tokens

    def tokens_before(self, work: Work, charge: int) -> float:
        """Return the waiting desk tokens that are served before further desk work.

        Without waiting accounts these are all of them.
        """
        if not self._accounts_waiting:
            return self.desk_tokens
        rank = self._rank(work)
        flow = self._known_flow(work)
        desk = [band for band in self._ranked if band.rank >= LOWEST_DESK_RANK]
        before = 0.0
        for band in desk:
            if band.rank == rank and band.waiting:
                items = band.waiting_before(flow, work.account)
                before = items * band.tokens / band.waiting
        higher = sum(band.tokens for band in desk if band.rank > rank)
        before += min(higher, (before + charge) / CREDIT_PER_TOKEN)
        lower = (band.tokens for band in desk if band.rank < rank)
        before += sum(min(n, before * CREDIT_PER_TOKEN) for n in lower)
        if flow is None or flow.tokens_per_turn is None:
            return before
        # Others that come later take turns before it too, as they did until now.
        return max(before, flow.waiting * flow.tokens_per_turn.value)

    def displaceable(self, work: Work) -> Item | None:
        """Return the waiting item that has to give way to work in a full queue.

        It is the last one of the flow that has the most waiting, if that has at least
        two more than the flow of the work. Without accounts nothing gives way.
        """
        if not self._accounts_waiting and not work.account:
            return None
        flows = [
            flow
            for band in self._ranked
            if band.rank >= LOWEST_DESK_RANK and (flow := band.largest_flow())
        ]
        largest = max(flows, key=lambda flow: flow.waiting, default=None)
        own = self._known_flow(work)
        if largest is None or largest.waiting < 2 + (own.waiting if own else 0):
            return None
        return largest.last_not_run()

    def largest_accounts(self, count: int) -> list[tuple[AccountName, int]]:
        """Return the accounts with the most waiting requests of one rank."""
        found = [
            entry
            for band in self._ranked
            for entry in islice(band.waiting_by_account.largest(), count)
        ]
        return sorted(found, key=lambda entry: -entry[1])[:count]

    def has_waiting(self, tenant: TenantId, step: StepNumber) -> bool:
        """Tell whether a tenant has waiting samples of this step or an older one."""
        band = self._bands.get(0)
        flow = band.active.get(tenant) if band else None
        return flow is not None and any(key.step <= step for key in flow.lanes)

    def required_versions(self) -> dict[ModelName, Version]:
        """Return the newest version of each model that waiting work requires."""
        required: dict[ModelName, Version] = {}
        for model, version in self._lanes_by_version:
            required[model] = max(required.get(model, version), version)
        return required

    def _ordered_bands(self) -> list[Band]:
        active = [band for band in self._ranked if band.turns.active]
        if len(active) < 2:
            return active
        with_credit = [band for band in active[1:] if band.credit > 0]
        return with_credit + [band for band in active if band not in with_credit]

    def _update_credit(self, served: Band, charge: int) -> None:
        active = [band for band in self._ranked if band.turns.active]
        if served.credit > 0 and active[0] is not served:
            served.credit -= charge
            return
        for band in active:
            if band.rank < served.rank:
                band.credit += charge * CREDIT_PER_TOKEN

    def _rank(self, work: Work) -> int:
        if work.kind is not WorkKind.DESK:
            return 0
        if work.account_priority is not None:
            return LOWEST_DESK_RANK + work.account_priority
        return self._ranks.get(work.tenant, LOWEST_DESK_RANK + DEFAULT_PRIORITY)

    def _known_flow(self, work: Work) -> Flow | None:
        band = self._bands.get(self._rank(work))
        return band.active_flow(work) if band else None

    def _flow(self, work: Work) -> Flow:
        rank = self._rank(work)
        band = self._bands.get(rank)
        if band is None:
            band = self._bands[rank] = Band(rank, self._shares)
            self._ranked = sorted(self._bands.values(), key=lambda b: -b.rank)
        flow = band.active_flow(work)
        if flow is not None:
            return flow
        if work.account:
            flow = Flow(band, FlowKey(work.account, TenantId("")), 1.0)
            flow.served_before = self._tokens_served
        else:
            share = self._tenant_shares.get(work.tenant, 1.0)
            key = FlowKey(NO_ACCOUNT, work.tenant)
            flow = band.flows.get(work.tenant) or Flow(band, key, share)
        band.activate(flow)
        return flow

    def _dequeue(self, item: Item, lane: Lane) -> None:
        item.queued = False
        self._update_counts(item, lane, -1)
        lane.waiting -= 1
        lane.compact()
        if lane.waiting:
            return
        flow = lane.flow
        del flow.lanes[lane.key]
        version = (lane.key.model, lane.key.min_version)
        self._lanes_by_version[version] -= 1
        if not self._lanes_by_version[version]:
            del self._lanes_by_version[version]
        if not flow.lanes:
            flow.band.deactivate(flow)

    def _update_counts(self, item: Item, lane: Lane, sign: int) -> None:
        flow, band = lane.flow, lane.flow.band
        self.waiting += sign
        flow.waiting += sign
        band.waiting += sign
        band.tokens += sign * item.charge
        account = flow.key.account
        if account:
            self._accounts_waiting += sign
            before = flow.waiting - sign
            band.waiting_by_account.change(account, before, flow.waiting)
        if band.rank >= LOWEST_DESK_RANK:
            self.desk_waiting += sign
            self.desk_tokens += sign * item.charge


def _lane_key(work: Work) -> LaneKey:
    step = work.step if work.kind is WorkKind.SAMPLE else StepNumber(0)
    return LaneKey(work.model, work.min_version, work.staleness_bound, step)
