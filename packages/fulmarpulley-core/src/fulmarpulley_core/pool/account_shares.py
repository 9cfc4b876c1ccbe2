"""Weigh the turns of accounts by how much they send."""

from ..ids import AccountName

# Part of an account's share that grows with what it sends; the rest is equal for all.
# So no account is served less than this share of what all requests are, and none gets
# less than the rest of an equal share. With equal shares alone, the largest of 80
# accounts (sizes by a power law, exponent 1.2) would be served a seventh as often as
# all requests when half of them can be served. The limit is a quarter.
PROPORTIONAL_SHARE = 0.3
# Requests of the current window and the one before count, so that a burst of some
# seconds raises the share of an account a little only.
WINDOW_S = 30.0
# Accounts that are counted in a window; further ones count as if they had sent little.
MAX_COUNTED_ACCOUNTS = 4096


class AccountShares:
    """Count the recent requests of accounts, refused ones included."""

    def __init__(self) -> None:
        self.counts: dict[AccountName, int] = {}
        self.earlier_counts: dict[AccountName, int] = {}
        self._total = 0
        self._earlier_total = 0
        self._ends_at = 0.0

    def record(self, account: AccountName, now: float) -> None:
        """Count a request."""
        if now >= self._ends_at:
            self._start_window(now)
        if account in self.counts or len(self.counts) < MAX_COUNTED_ACCOUNTS:
            self.counts[account] = self.counts.get(account, 0) + 1
            self._total += 1

    def share(self, account: AccountName, equal_share: float = 1.0) -> float:
        """Return the share of an account; that of an average one is 1.

        :param equal_share: equal shares that the account stands for
        """
        total = self._total + self._earlier_total
        if not total:
            return equal_share
        accounts = max(len(self.counts), len(self.earlier_counts))
        own = self.counts.get(account, 0) + self.earlier_counts.get(account, 0)
        equal_part = (1 - PROPORTIONAL_SHARE) * equal_share
        return equal_part + PROPORTIONAL_SHARE * own * accounts / total

    def _start_window(self, now: float) -> None:
        is_next = now < self._ends_at + WINDOW_S
        self.earlier_counts = self.counts if is_next else {}
        self._earlier_total = self._total if is_next else 0
        self.counts, self._total = {}, 0
        self._ends_at = now + WINDOW_S
