"""Test which nodes take part in the ownership of partitions."""

import random
import unittest
from itertools import pairwise

from fulmarpulley_core.rollout.owner_eligibility import (
    LEAVE_INTERVAL_S,
    MIN_AMPLE_NODES,
    Capacity,
    Decision,
    OwnerEligibility,
    OwnersView,
    check_delay_s,
    parse_capacity,
    standby_delay_s,
    standby_needed,
)

AMPLE = Capacity(2150, 552)
SMALL = Capacity(360, 152)
PARTITIONS = 8
MEMBER_TTL_S = 1.5
STANDBY_TTL_S = 8.0
STEP_S = 0.1


class Node:
    """Runs the checks of a node, like OwnerAdmission does."""

    def __init__(self, name: str, capacity: Capacity, start_s: float) -> None:
        self.name, self.capacity, self.next_s = name, capacity, start_s
        self.eligibility = OwnerEligibility(capacity)
        self.member = self.announced = False
        self.started = False
        self.standby_s = 0.0


class Fleet:
    """Runs nodes against a group that gives partitions out in one of two ways."""

    def __init__(self, seed: int, even: bool) -> None:
        self.rng = random.Random(seed)
        self.even = even
        self.now_s = 0.0
        self.count = 0
        self.nodes: dict[str, Node] = {}
        # Expiry times of killed members, which the group still lists.
        self.expiring: dict[str, float] = {}
        self.owners: dict[int, str] = {}
        self.standby: dict[str, float] = {}
        self.moves: list[tuple[float, str, Decision]] = []
        self.reading = True
        self.unowned_since_s: float | None = None
        self.longest_gap_s = 0.0

    def add(self, count: int, capacity: Capacity, within_s: float = 3.0) -> None:
        for _ in range(count):
            name = f"n{self.count}/x/{capacity}"
            self.count += 1
            start_s = self.now_s + self.rng.random() * within_s
            self.nodes[name] = Node(name, capacity, start_s)

    def kill(self, names: list[str]) -> None:
        for name in names:
            if self.nodes.pop(name).member:
                self.expiring[name] = self.now_s + MEMBER_TTL_S

    def members(self, capacity: Capacity) -> list[str]:
        nodes = self.nodes.values()
        return [n.name for n in nodes if n.member and n.capacity == capacity]

    def named(self, capacity: Capacity) -> list[str]:
        return [n.name for n in self.nodes.values() if n.capacity == capacity]

    def owner_capacities(self) -> set[Capacity | None]:
        return {parse_capacity(owner) for owner in self.owners.values()}

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._expire()
            for node in list(self.nodes.values()):
                if self.now_s >= node.next_s:
                    self._check(node)
            if len(self.owners) == PARTITIONS:
                self.unowned_since_s = None
            else:
                self.unowned_since_s = self.unowned_since_s or self.now_s
                gap_s = self.now_s - self.unowned_since_s
                self.longest_gap_s = max(self.longest_gap_s, gap_s)

    def _expire(self) -> None:
        for name, expiry_s in list(self.expiring.items()):
            if expiry_s <= self.now_s:
                del self.expiring[name]
                self._assign()
        self.standby = {m: s for m, s in self.standby.items() if s > self.now_s}

    def _assign(self) -> None:
        alive = [n.name for n in self.nodes.values() if n.member] + [*self.expiring]
        if self.even:
            self.rng.shuffle(alive)
            chosen = (alive * PARTITIONS)[:PARTITIONS]
            self.owners = dict(enumerate(chosen))
            return
        self.owners = {p: o for p, o in self.owners.items() if o in alive}
        for partition in range(PARTITIONS):
            if partition not in self.owners and alive:
                owned = list(self.owners.values())
                self.owners[partition] = min(alive, key=owned.count)

    def view(self) -> OwnersView | None:
        if not self.reading:
            return None
        # Where partitions stay, each of the groups for announcements shows one member.
        seen = PARTITIONS if self.even else MIN_AMPLE_NODES
        return OwnersView(
            owners={owner: parse_capacity(owner) for owner in self.owners.values()},
            unowned=PARTITIONS - len(self.owners),
            standby=frozenset(list(self.standby)[:seen]),
        )

    def _check(self, node: Node) -> None:
        view = self.view()
        if node.capacity.ample and node.member:
            owns = node.name in self.owners.values()
            node.announced = not owns and view is not None and standby_needed(view)
            if node.announced:
                self.standby[node.name] = self.now_s + STANDBY_TTL_S
            self._wait_standby(node)
            return
        verdict = node.eligibility.decide(node.member, view, self.now_s)
        if verdict.decision in (Decision.JOIN, Decision.LEAVE):
            node.member = verdict.decision is Decision.JOIN
            self.moves.append((self.now_s, node.name, verdict.decision))
            self._assign()
        if node.capacity.ample:
            self._wait_standby(node)
        else:
            node.next_s = self.now_s + check_delay_s(verdict, self.rng.random())

    def _wait_standby(self, node: Node) -> None:
        spread = self.rng.random()
        node.standby_s = standby_delay_s(node.standby_s, node.announced, spread)
        node.next_s = self.now_s + node.standby_s


class FleetTest(unittest.TestCase):
    """Guards against weak owners beside ample nodes, lost owners, and flapping."""

    def fleets(self) -> list[Fleet]:
        fleets = [Fleet(seed, even) for seed in range(3) for even in (False, True)]
        for fleet in fleets:
            fleet.add(25, AMPLE)
            fleet.add(100, SMALL)
            fleet.run(60.0)
        return fleets

    def test_only_ample_nodes_own_soon_after_the_start(self) -> None:
        for fleet in self.fleets():
            self.assertEqual(fleet.owner_capacities(), {AMPLE})
            self.assertEqual(fleet.members(SMALL), [])
            self.assertLess(fleet.longest_gap_s, 1.0)

    def test_small_nodes_stay_out_after_loss_of_half_of_the_ample(self) -> None:
        for fleet in self.fleets():
            moves = len(fleet.moves)
            fleet.kill(fleet.named(AMPLE)[::2])
            fleet.run(60.0)
            self.assertEqual(fleet.owner_capacities(), {AMPLE})
            small = [m for m in fleet.moves[moves:] if m[1].endswith(str(SMALL))]
            self.assertEqual(small, [])

    def test_small_nodes_take_over_and_give_back_to_the_ample(self) -> None:
        for fleet in self.fleets():
            fleet.kill(fleet.named(AMPLE))
            fleet.run(5.0)
            self.assertEqual(fleet.owner_capacities(), {SMALL})
            self.assertEqual(len(fleet.owners), PARTITIONS)
            fleet.run(60.0)
            fleet.add(25, AMPLE)
            fleet.run(60.0)
            self.assertEqual(fleet.owner_capacities(), {AMPLE})
            self.assertEqual(fleet.members(SMALL), [])

    def test_nodes_that_are_alike_all_join_at_their_first_check(self) -> None:
        for capacity in (AMPLE, SMALL, Capacity(2150, 152)):
            for even in (False, True):
                fleet = Fleet(1, even)
                fleet.add(80, capacity)
                starts = {name: node.next_s for name, node in fleet.nodes.items()}
                fleet.run(120.0)
                self.assertEqual(len(fleet.moves), 80)
                for moved_s, name, _ in fleet.moves:
                    self.assertLessEqual(moved_s, starts[name] + 2 * STEP_S)

    def test_failing_reads_change_nothing(self) -> None:
        for fleet in self.fleets():
            moves = len(fleet.moves)
            fleet.reading = False
            fleet.run(60.0)
            self.assertEqual(len(fleet.moves), moves)

    def test_nobody_flaps_under_random_joins_and_kills(self) -> None:
        for fleet in self.fleets():
            settled_s = fleet.now_s
            for _ in range(60):
                capacity = fleet.rng.choice((AMPLE, SMALL))
                names = fleet.named(capacity)
                fleet.kill(fleet.rng.sample(names, min(len(names), 3)))
                fleet.add(3, capacity)
                fleet.reading = fleet.rng.random() < 0.8
                fleet.run(5.0)
            left: dict[str, list[float]] = {}
            for moved_s, name, decision in fleet.moves:
                if decision is Decision.LEAVE:
                    left.setdefault(name, []).append(moved_s)
            for times in left.values():
                gaps = [b - a for a, b in pairwise(times)]
                self.assertTrue(all(gap >= LEAVE_INTERVAL_S for gap in gaps))
            fleet.reading = True
            fleet.run(60.0)
            self.assertEqual(fleet.owner_capacities(), {AMPLE})
            small = [m for m in fleet.moves if m[0] > settled_s and str(SMALL) in m[1]]
            # Some 90 of the small nodes are new. 36 to 60 moves were measured with
            # three seeds; each disturbance could move 100 nodes.
            self.assertLess(len(small), 120)


class DecisionTest(unittest.TestCase):
    """Guards against moves on a single or unreadable reading."""

    def view(self, unowned: int = 0, **owners: Capacity | None) -> OwnersView:
        return OwnersView(owners=owners, unowned=unowned)

    def decide(self, views: list[OwnersView | None], member: bool = False) -> Decision:
        eligibility = OwnerEligibility(SMALL)
        return [eligibility.decide(member, view, 0.0).decision for view in views][-1]

    def test_partitions_without_owner_are_taken_at_the_second_check(self) -> None:
        lost = self.view(1, a=AMPLE, b=AMPLE, c=AMPLE)
        self.assertEqual(self.decide([lost]), Decision.WAIT)
        self.assertEqual(self.decide([lost, lost]), Decision.JOIN)

    def test_log_that_lists_no_owners_leaves_no_fleet_without_owners(self) -> None:
        self.assertEqual(self.decide([None, None]), Decision.JOIN)
        enough = self.view(a=AMPLE, b=AMPLE, c=AMPLE)
        self.assertEqual(self.decide([enough, *[None] * 9]), Decision.WAIT)

    def test_node_joins_beside_owners_of_older_builds(self) -> None:
        self.assertEqual(self.decide([self.view(a=None, b=AMPLE)]), Decision.JOIN)

    def test_member_leaves_at_the_second_check_and_not_twice(self) -> None:
        enough = self.view(a=AMPLE, b=AMPLE, c=AMPLE, d=SMALL)
        self.assertGreaterEqual(enough.ample, MIN_AMPLE_NODES)
        eligibility = OwnerEligibility(SMALL)
        decisions = [
            eligibility.decide(True, enough, now_s).decision
            for now_s in (0.0, 5.0, 10.0, 30.0, 35.0, 40.0)
        ]
        stay, leave = Decision.STAY, Decision.LEAVE
        self.assertEqual(decisions, [stay, leave, stay, stay, stay, leave])

    def test_member_names_of_any_writer_are_parsed(self) -> None:
        self.assertEqual(parse_capacity(f"a/b/c/{SMALL}"), SMALL)
        for name in ("", "n/id", "n/id/m/5", "n/id/5/5", "n/id/\u0665m/5", "a/1m/x"):
            self.assertIsNone(parse_capacity(name))
