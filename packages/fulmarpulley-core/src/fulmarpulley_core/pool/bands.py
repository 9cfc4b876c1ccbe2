"""Hold the waiting work of one rank, by account or tenant."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from fulmarpulley_schema.generated.http import Ran

from ..ids import AccountName, ModelName, StepNumber, TenantId, Version
from .account_shares import AccountShares
from .account_turns import NO_ACCOUNT, AccountTurns, WaitingCounts
from .means import Mean
from .messages import Work, WorkKind
from .state import Item

# Samples have rank 0; desk classes of priority 0 to 9 have the ranks from this one on.
LOWEST_DESK_RANK = 1
# A tenant whose items could not run catches up by at most this many tokens, so that it
# does not starve the others when it returns.
MAX_CATCH_UP_TOKENS = 65536
# Desk classes of equal priority are served in order of arrival while none is ahead of
# another by more than this many tokens per share in a busy period. Without this burst,
# a class that happened to send more waited four times as long with an engine down.
DESK_BURST_TOKENS = 8192
# Idle tenants that a band tracks; beyond it the longest idle ones are forgotten.
MAX_IDLE_TENANTS = 1024

SortKey = tuple[int, int, int, int]


class LaneKey(NamedTuple):
    """Group items by what an upstream must satisfy to run them."""

    model: ModelName
    min_version: Version
    staleness_bound: int | None
    step: StepNumber


class Lane:
    """Hold the items of a flow that can run on the same upstreams, sorted."""

    __slots__ = ("_heap", "blocked_epoch", "blocked_item", "flow", "key", "waiting")

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

    def last_not_run(self) -> Item | None:
        """Return the last item that has certainly not run."""
        entries = [
            e for e in self._heap if e[1].queued and e[1].ran_before is Ran.NOT_RUN
        ]
        return max(entries)[1] if entries else None

    def compact(self) -> None:
        """Rebuild the heap when most of its entries are removed items."""
        if len(self._heap) > 2 * self.waiting + 64:
            self._heap = [entry for entry in self._heap if entry[1].queued]
            heapq.heapify(self._heap)


class FlowKey(NamedTuple):
    """Identify who shares: an account, or the tenant of work without an account."""

    account: AccountName
    tenant: TenantId


class Flow:
    """Hold the lanes of a flow and its virtual start time in tokens per share.

    The start time is that of a tenant; accounts have theirs in the turns of the band.
    """

    __slots__ = (
        "band",
        "busy_period",
        "key",
        "lanes",
        "served_before",
        "share",
        "start_tag",
        "tokens_per_turn",
        "waiting",
    )

    def __init__(self, band: "Band", key: FlowKey, share: float) -> None:
        self.band = band
        self.key = key
        self.share = share
        self.waiting = 0
        # Tokens that were served in total for each item of the flow that was served
        # while it had waiting work, and those served in total at its last item.
        self.tokens_per_turn: Mean | None = None
        self.served_before = 0
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

    def last_not_run(self) -> Item | None:
        """Return the last item that has certainly not run."""
        lasts = [lane.last_not_run() for lane in self.lanes.values()]
        return max((item for item in lasts if item), key=_sort_key, default=None)


class Band:
    """Hold the flows of one rank; higher ranks are served first.

    Accounts take turns by their shares. Tenants of work without an account take turns
    with them as one group, and share its turns by their tokens.
    """

    def __init__(self, rank: int, shares: AccountShares) -> None:
        self.rank = rank
        self.shares = shares
        self.credit = 0.0
        self.waiting = 0
        self.tokens = 0
        self.turns = AccountTurns()
        self.accounts: dict[AccountName, Flow] = {}
        self.waiting_by_account = WaitingCounts()
        self.virtual_time = 0.0
        self.burst = DESK_BURST_TOKENS if rank >= LOWEST_DESK_RANK else 0
        self.busy_period = 0
        # Tenants, the longest idle ones first.
        self.flows: dict[TenantId, Flow] = {}
        self.active: dict[TenantId, Flow] = {}

    def active_flow(self, work: Work) -> Flow | None:
        """Return the flow of work, if it has waiting work."""
        if work.account:
            return self.accounts.get(work.account)
        return self.active.get(work.tenant)

    def activate(self, flow: Flow) -> None:
        """Add a flow that has waiting work again."""
        account, tenant = flow.key
        if account not in self.turns.active:
            self.turns.activate(account)
        if account:
            self.accounts[account] = flow
            return
        start_tag = self.virtual_time
        if self.burst and flow.busy_period == self.busy_period:
            start_tag -= self.burst / flow.share
        flow.start_tag = max(flow.start_tag, start_tag)
        flow.busy_period = self.busy_period
        self.flows[tenant] = flow
        self.active[tenant] = flow

    def deactivate(self, flow: Flow) -> None:
        """Remove a flow that has no more waiting work."""
        account, tenant = flow.key
        if account:
            del self.accounts[account]
            self.turns.deactivate(account)
        else:
            del self.active[tenant]
            self.flows[tenant] = self.flows.pop(tenant)
            if len(self.flows) - len(self.active) > MAX_IDLE_TENANTS:
                del self.flows[next(t for t in self.flows if t not in self.active)]
            if not self.active:
                self.busy_period += 1
                self.turns.deactivate(NO_ACCOUNT)
        if not self.turns.active:
            self.credit = 0.0

    def charge(self, flow: Flow, tokens: int) -> None:
        """Charge a flow for an item that is served."""
        account = flow.key.account
        if account:
            share = self.shares.share(account)
            self.turns.charge(account, tokens / share, flow.waiting == 1)
            return
        if self.accounts:
            self.turns.charge(NO_ACCOUNT, tokens / self._group_share(), False)
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.start_tag += tokens / flow.share

    def correct_charge(self, flow: Flow, tokens: int) -> None:
        """Add tokens to the charge of a flow."""
        if flow.key.account:
            account = flow.key.account
            self.turns.correct(account, tokens / self.shares.share(account))
        else:
            flow.start_tag += tokens / flow.share

    def waiting_before(self, flow: Flow | None, account: AccountName) -> float:
        """Return the waiting items of the band that are served before a further one.

        :param flow: what the item belongs to, if it has waiting work
        """
        tenants = sum(flow.waiting for flow in self.active.values())
        share_of = self.shares.share
        if not account:
            rounds = tenants / self._group_share()
            return tenants + self.waiting_by_account.sum_of_turns(rounds, share_of)
        rounds = (flow.waiting if flow else 0) / share_of(account)
        group = len(self.active) + rounds * self._group_share()
        turns = self.waiting_by_account.sum_of_turns(rounds, share_of)
        return min(tenants, group) + turns

    def _group_share(self) -> float:
        shares = sum(flow.share for flow in self.active.values())
        return self.shares.share(NO_ACCOUNT, shares or 1.0)

    def largest_flow(self) -> Flow | None:
        """Return the flow with the most waiting items."""
        flows = list(self.active.values())
        for account, _ in self.waiting_by_account.largest():
            flows.append(self.accounts[account])
            break
        return max(flows, key=lambda flow: flow.waiting, default=None)

    def lanes(self) -> Iterator[Lane]:
        """Yield the lanes in service order."""
        for account in self.turns.in_order():
            if account:
                yield from self.accounts[account].ordered_lanes()
                continue
            oldest = self.virtual_time
            for flow in self.ordered_flows():
                flow.start_tag = max(
                    flow.start_tag, oldest - MAX_CATCH_UP_TOKENS / flow.share
                )
                yield from flow.ordered_lanes()

    def ordered_flows(self) -> list[Flow]:
        """Return the tenants with waiting work and no account in service order."""
        flows = sorted(self.active.values(), key=lambda flow: flow.start_tag)
        if not self.burst or len(flows) < 2:
            return flows
        least = flows[0].start_tag
        within_burst = [
            f for f in flows if (f.start_tag - least) * f.share <= self.burst
        ]
        within_burst.sort(key=Flow.head_sort_key)
        return within_burst + flows[len(within_burst) :]


def _sort_key(item: Item) -> SortKey:
    work = item.work
    if work.kind is WorkKind.SAMPLE:
        return (work.step, work.rank, work.group, item.sequence)
    return (-work.priority, work.rank, 0, item.sequence)
