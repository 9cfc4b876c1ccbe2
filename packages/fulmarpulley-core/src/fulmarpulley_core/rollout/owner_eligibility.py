"""Decide whether a node takes part in the group that assigns the partitions.

Each rule answers a load:

- The owner of a busy service runs some 200 streams for all trainers. A node that cannot
  bear this leaves the ownership to ample nodes, as long as enough of these are seen.
- Each join, leave or loss of a member may move partitions, which interrupts trainers.
  So weak nodes stay out of the group, and do not leave it twice within a short time.
- A fleet without ample nodes must have owners from its start on. So a weak node joins
  at its first check if there is no owner, or if there are owners that are not ample.
- After a loss of ample nodes a weak one joins at its second check: the group mostly
  gives their partitions to other ample nodes before.
- When ample nodes come back, the group may leave the partitions with weak owners, which
  see no ample member then. So ample nodes without partitions announce themselves.
"""

import math
from collections import Counter
from enum import StrEnum

import msgspec

# The owner of a busy service takes up to about a core, and some 150 MB beside the 47 MB
# that a node takes at rest.
AMPLE_MILLICORES = 1000
AMPLE_MEMORY_MB = 200
# With fewer ample nodes the loss of one would leave too few for all partitions.
MIN_AMPLE_NODES = 3
# Bounds how often a node can move partitions by leaving.
LEAVE_INTERVAL_S = 30.0
# Consecutive checks that must agree before partitions move.
CONFIRMING_CHECKS = 2
# 100 nodes outside the group make about 50 read calls a second.
CHECK_INTERVAL_S = 2.0
# With the expiry of members after 1.5 s, two checks end within 5 s after a loss.
CONFIRMATION_INTERVAL_S = 1.0
# A weak member only checks whether it may leave, which is not urgent.
MEMBER_INTERVAL_S = 5.0
# 80 nodes that are all weak make about 16 read calls a second, beside 216 join calls.
ALIKE_INTERVAL_S = 20.0
# Checks of ample nodes that own nothing become rarer up to this interval while no
# announcement is needed: 80 of them make about 1 read call a second.
MAX_STANDBY_INTERVAL_S = 60.0
# Checks differ by up to this share, so that they spread over time.
SPREAD_SHARE = 0.1


class Capacity(msgspec.Struct, frozen=True):
    """Hold what the instance of a node has."""

    millicores: int
    memory_mb: int

    @property
    def ample(self) -> bool:
        """Tell whether the instance can bear the partition of a busy service."""
        return self.millicores >= AMPLE_MILLICORES and self.memory_mb >= AMPLE_MEMORY_MB

    def weaker_than(self, other: "Capacity") -> bool:
        """Tell whether this one has less of something and more of nothing."""
        return (
            self != other
            and self.millicores <= other.millicores
            and self.memory_mb <= other.memory_mb
        )

    def __str__(self) -> str:
        """Return the form that stands in member names."""
        return f"{self.millicores}m/{self.memory_mb}"


class Decision(StrEnum):
    """Name what a node does about its membership."""

    JOIN = "join"
    STAY = "stay"
    LEAVE = "leave"
    WAIT = "wait"


class Reason(StrEnum):
    """Name why a decision was made."""

    AMPLE = "ample"
    NO_READING = "no_reading"
    UNREADABLE = "unreadable"
    NO_OWNER = "no_owner"
    UNOWNED = "unowned_partitions"
    FEW_AMPLE = "few_ample"
    NO_AMPLE = "no_ample"
    OWNERS_WEAKER = "owners_weaker"
    ENOUGH_AMPLE = "enough_ample"
    LEFT_RECENTLY = "left_recently"


class Verdict(msgspec.Struct, frozen=True):
    """Hold a decision, its reason, and whether the next check is to confirm it."""

    decision: Decision
    reason: Reason
    unconfirmed: bool = False


class OwnersView(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a check has seen.

    :param owners: capacity of each member that owns a partition; None if not stated
    :param unowned: number of partitions without an owner
    :param standby: member names of ample nodes that announced themselves
    """

    owners: dict[str, Capacity | None]
    unowned: int = 0
    standby: frozenset[str] = frozenset()

    @property
    def ample(self) -> int:
        """Return how many ample nodes are seen."""
        owners = {m for m, c in self.owners.items() if c is not None and c.ample}
        return len(owners | self.standby)

    def summary(self) -> str:
        """Return the number of owners of each capacity, for log lines."""
        counts = Counter(
            str(capacity or "unstated") for capacity in self.owners.values()
        )
        return ",".join(f"{count}*{name}" for name, count in sorted(counts.items()))


class OwnerEligibility:
    """Decide for one node; `decide` is called once a check."""

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.left_at_s = -math.inf
        self.has_read = False
        # The reason for a move that the last checks agree on, and their number.
        self.pending: Reason | None = None
        self.agreeing_checks = 0

    def decide(self, member: bool, view: OwnersView | None, now_s: float) -> Verdict:
        """Return what to do; `view` is None if the owners could not be read."""
        if self.capacity.ample:
            return Verdict(Decision.STAY if member else Decision.JOIN, Reason.AMPLE)
        if view is None:
            return self._decide_blind(member)
        first = not self.has_read
        self.has_read = True
        if member:
            return self._leave_or_stay(view, now_s)
        return self._join_or_wait(view, first)

    def _decide_blind(self, member: bool) -> Verdict:
        if member:
            return Verdict(Decision.STAY, Reason.UNREADABLE)
        if self.has_read:
            return Verdict(Decision.WAIT, Reason.UNREADABLE)
        # A log that does not list owners must not leave a fleet without any.
        return self._confirm(Decision.JOIN, Decision.WAIT, Reason.NO_READING)

    def _join_or_wait(self, view: OwnersView, first: bool) -> Verdict:
        capacities = view.owners.values()
        few = view.ample < MIN_AMPLE_NODES
        if not view.owners and first and few:
            return self._decided(Decision.JOIN, Reason.NO_OWNER)
        if view.owners and few:
            if all(c is not None and c.weaker_than(self.capacity) for c in capacities):
                return self._decided(Decision.JOIN, Reason.OWNERS_WEAKER)
            if any(c is None or not c.ample for c in capacities):
                return self._decided(Decision.JOIN, Reason.FEW_AMPLE)
        if view.unowned or not view.owners:
            return self._confirm(Decision.JOIN, Decision.WAIT, Reason.UNOWNED)
        if few:
            return self._confirm(Decision.JOIN, Decision.WAIT, Reason.FEW_AMPLE)
        return self._decided(Decision.WAIT, Reason.ENOUGH_AMPLE)

    def _leave_or_stay(self, view: OwnersView, now_s: float) -> Verdict:
        if view.unowned or not view.owners:
            return self._decided(Decision.STAY, Reason.UNOWNED)
        if view.ample < MIN_AMPLE_NODES:
            reason = Reason.FEW_AMPLE if view.ample else Reason.NO_AMPLE
            return self._decided(Decision.STAY, reason)
        if now_s < self.left_at_s + LEAVE_INTERVAL_S:
            return self._decided(Decision.STAY, Reason.LEFT_RECENTLY)
        verdict = self._confirm(Decision.LEAVE, Decision.STAY, Reason.ENOUGH_AMPLE)
        if verdict.decision is Decision.LEAVE:
            self.left_at_s = now_s
        return verdict

    def _decided(self, decision: Decision, reason: Reason) -> Verdict:
        self.pending = None
        self.agreeing_checks = 0
        return Verdict(decision, reason)

    def _confirm(self, decision: Decision, before: Decision, reason: Reason) -> Verdict:
        """Decide for a move once enough consecutive checks agree on its reason."""
        self.agreeing_checks = self.agreeing_checks + 1 if reason is self.pending else 1
        self.pending = reason
        if self.agreeing_checks >= CONFIRMING_CHECKS:
            return self._decided(decision, reason)
        return Verdict(before, reason, unconfirmed=True)


def standby_needed(view: OwnersView) -> bool:
    """Tell whether an ample node that owns nothing has to announce itself.

    The group may leave partitions with weak owners, which see only other owners.
    """
    owners = [capacity for capacity in view.owners.values() if capacity is not None]
    weak = any(not capacity.ample for capacity in owners)
    return weak or sum(capacity.ample for capacity in owners) < MIN_AMPLE_NODES


def standby_delay_s(last_s: float, announced: bool, spread: float) -> float:
    """Return the time until the next check of an ample node that owns nothing.

    :param last_s: the last such time; 0 before the first check
    :param spread: random number from 0 to 1
    """
    if announced or not last_s:
        return _spread(CHECK_INTERVAL_S, spread)
    return _spread(min(2 * last_s, MAX_STANDBY_INTERVAL_S), spread)


def check_delay_s(verdict: Verdict, spread: float) -> float:
    """Return the time until the next check of a weak node.

    :param spread: random number from 0 to 1
    """
    if verdict.unconfirmed:
        interval_s = CONFIRMATION_INTERVAL_S
    elif verdict.decision is Decision.WAIT:
        interval_s = CHECK_INTERVAL_S
    elif verdict.reason is Reason.NO_AMPLE:
        interval_s = ALIKE_INTERVAL_S
    else:
        interval_s = MEMBER_INTERVAL_S
    return _spread(interval_s, spread)


def parse_capacity(member: str) -> Capacity | None:
    """Return the capacity in a member name; None if it has none."""
    parts = member.rsplit("/", 2)
    if len(parts) < 3:
        return None
    millicores, memory_mb = parts[1], parts[2]
    digits = millicores.removesuffix("m")
    if not (millicores.endswith("m") and _is_number(digits) and _is_number(memory_mb)):
        return None
    return Capacity(int(digits), int(memory_mb))


def _spread(interval_s: float, spread: float) -> float:
    return interval_s * (1 + SPREAD_SHARE * (2 * spread - 1))


def _is_number(text: str) -> bool:
    # The length is bounded, since other writers choose member names.
    return text.isascii() and text.isdigit() and len(text) <= 9
