"""Give the accounts with waiting work turns, and count what they have waiting."""

import heapq
from collections.abc import Callable, Iterator

import msgspec

from ..ids import AccountName

# Requests without an account take turns together, under this name.
NO_ACCOUNT = AccountName("")
# An idle account is tracked only while it has been served more than the account that
# is served now, which is by at most one request. Beyond this number the accounts that
# have been idle longest are forgotten.
MAX_IDLE_ACCOUNTS = 1024


class Turn(msgspec.Struct, eq=False):
    """Hold the virtual start time of an account in tokens, and its valid heap entry."""

    start_tag: float
    entry: int = 0


class AccountTurns:
    """Order the accounts with waiting work by the tokens that they were served.

    An account that becomes active starts at the virtual time, so it gains nothing by
    having been idle.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.active: dict[AccountName, Turn] = {}
        # In the order in which the accounts became idle.
        self.idle: dict[AccountName, Turn] = {}
        self._heap: list[tuple[float, int, AccountName]] = []
        self._entries = 0

    def activate(self, account: AccountName) -> None:
        """Add an account that has waiting work again."""
        turn = self.idle.pop(account, None) or Turn(self.virtual_time)
        turn.start_tag = max(turn.start_tag, self.virtual_time)
        self.active[account] = turn
        self._schedule(account, turn)

    def deactivate(self, account: AccountName) -> None:
        """Remove an account that has no more waiting work."""
        turn = self.active.pop(account)
        if not self.active:
            # Leads end with the busy period.
            self.idle.clear()
            self._heap.clear()
        elif turn.start_tag > self.virtual_time:
            self.idle[account] = turn
            self._forget_idle()

    def charge(self, account: AccountName, tokens: float, is_last: bool) -> None:
        """Advance the turn of an active account by the tokens that it is served.

        :param is_last: the account becomes idle now
        """
        if len(self.active) == 1:
            # Nobody else waits, so no account needs to be ahead of another.
            self.idle.clear()
            return
        turn = self.active[account]
        self.virtual_time = max(self.virtual_time, turn.start_tag)
        turn.start_tag += tokens
        if not is_last:
            self._schedule(account, turn)
        if self.idle:
            self._forget_idle()

    def correct(self, account: AccountName, tokens: float) -> None:
        """Add tokens to the charge of an account that is still tracked."""
        turn = self.active.get(account)
        if turn is not None:
            turn.start_tag += tokens
            self._schedule(account, turn)
        elif account in self.idle:
            self.idle[account].start_tag += tokens

    def in_order(self) -> Iterator[AccountName]:
        """Yield the active accounts in service order; stop before the next change.

        The heap is walked instead of sorted, since mostly the first one is served.
        """
        if len(self.active) == 1:
            yield from self.active
            return
        heap = self._heap
        while heap and not self._is_valid(heap[0]):
            heapq.heappop(heap)
        candidates = [(heap[0], 0)] if heap else []
        while candidates:
            entry, index = heapq.heappop(candidates)
            if self._is_valid(entry):
                yield entry[2]
            for child in range(2 * index + 1, min(2 * index + 3, len(heap))):
                heapq.heappush(candidates, (heap[child], child))

    def _is_valid(self, entry: tuple[float, int, AccountName]) -> bool:
        turn = self.active.get(entry[2])
        return turn is not None and turn.entry == entry[1]

    def _schedule(self, account: AccountName, turn: Turn) -> None:
        self._entries += 1
        turn.entry = self._entries
        entry = (turn.start_tag, turn.entry, account)
        if self._heap and self._heap[0][2] == account:
            heapq.heapreplace(self._heap, entry)
            return
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 2 * len(self.active) + 64:
            self._heap = [each for each in self._heap if self._is_valid(each)]
            heapq.heapify(self._heap)

    def _forget_idle(self) -> None:
        while self.idle:
            account = next(iter(self.idle))
            ahead = self.idle[account].start_tag > self.virtual_time
            if ahead and len(self.idle) <= MAX_IDLE_ACCOUNTS:
                return
            del self.idle[account]


class WaitingCounts:
    """Group accounts by the number of their waiting requests.

    There are few different numbers: 1,024 requests have at most 44.
    """

    def __init__(self) -> None:
        self._accounts: dict[int, dict[AccountName, None]] = {}

    def change(self, account: AccountName, before: int, after: int) -> None:
        """Record that the number of waiting requests of an account has changed."""
        if before:
            accounts = self._accounts[before]
            del accounts[account]
            if not accounts:
                del self._accounts[before]
        if after:
            self._accounts.setdefault(after, {})[account] = None

    def sum_of_turns(
        self, rounds: float, share: Callable[[AccountName], float]
    ) -> float:
        """Return the requests that are served in a number of rounds of turns.

        Each account has one turn at once, and as many in a round as its share says.
        """
        served = 0.0
        for number, accounts in self._accounts.items():
            if number == 1 or not rounds:
                served += len(accounts)
            else:
                served += sum(
                    min(number, 1 + rounds * share(each)) for each in accounts
                )
        return served

    def largest(self) -> Iterator[tuple[AccountName, int]]:
        """Yield accounts and numbers, the largest number first."""
        for number in sorted(self._accounts, reverse=True):
            for account in self._accounts[number]:
                yield account, number
