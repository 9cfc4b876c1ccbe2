"""Play an account that floods a plain service beside 80 small ones."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from statistics import mean
from unittest import TestCase

from fulmarpulley_core.ids import AccountName
from fulmarpulley_core.pool import messages as m
from fulmarpulley_core.pool.account_shares import (
    MAX_COUNTED_ACCOUNTS,
    WINDOW_S,
    AccountShares,
)
from fulmarpulley_core.pool.account_turns import MAX_IDLE_ACCOUNTS
from fulmarpulley_core.pool.bands import MAX_IDLE_TENANTS
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_core.pool.fair_queue import FairQueue
from fulmarpulley_core.pool.state import Item
from fulmarpulley_schema.generated.document import ClassEntry, Limits
from fulmarpulley_schema.generated.http import Ran

from .pool_fixtures import Driver, document, refusals, work

SMALL = [f"small{number}" for number in range(80)]
LARGE = "large"
SLOTS = 10
CALL_S = 0.1
CAPACITY_PER_S = SLOTS / CALL_S
DEADLINE_S = 1.0
CALM_S = 30.0
FLOOD_S = 8.0
SMALL_PER_S = 0.75
# In the flood, the slots suffice for half of all requests.
FLOOD_PER_S = 2 * CAPACITY_PER_S - len(SMALL) * SMALL_PER_S
END_S = CALM_S + FLOOD_S


class AccountLoad:
    """Play requests of accounts against a pool, and keep what their callers get."""

    def __init__(self, queue: int = 1024) -> None:
        limits = Limits(queue=queue)
        doc = document(("u1", "u2"), capacity=SLOTS // 2, limits=limits)
        self.pool = Pool(doc, m.PoolSettings(), seed=1)
        self.random = random.Random(1)
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, m.Event]] = []
        self.sent: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.refused: dict[str, Counter[str]] = defaultdict(Counter)
        self.retry_after: dict[str, list[float]] = defaultdict(list)

    def send(
        self,
        name: str,
        per_s: float,
        begin: float = 0.0,
        end: float = END_S,
        priority: int | None = None,
    ) -> None:
        at = begin + self.random.expovariate(per_s)
        while at < end:
            each = work(
                f"{name}/{next(self.numbers)}",
                max_tokens=1,
                deadline=at + DEADLINE_S,
                account=AccountName(name),
                account_priority=priority,
            )
            self.sent[name] += 1
            self._push(at, m.Submit(each))
            at += self.random.expovariate(per_s)

    def run(self) -> None:
        while self.events:
            now, _, event = heapq.heappop(self.events)
            for action in self.pool.handle(event, now):
                self._record(action, now)
            due = self.pool.next_wakeup()
            if due is not None and not isinstance(event, m.Tick):
                self._push(max(due, now), m.Tick())

    def share(self, *names: str) -> float:
        return sum(self.served[n] for n in names) / sum(self.sent[n] for n in names)

    def flood(self, priority: int | None = None) -> None:
        for name in SMALL:
            self.send(name, SMALL_PER_S)
        self.send(LARGE, FLOOD_PER_S / 10, end=CALM_S, priority=priority)
        self.send(LARGE, FLOOD_PER_S, begin=CALM_S, priority=priority)
        self.run()

    def _push(self, at: float, event: m.Event) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), event))

    def _record(self, action: m.Action, now: float) -> None:
        if isinstance(action, m.StartAttempt):
            duration_s = CALL_S * self.random.uniform(0.5, 1.5)
            self._push(now + duration_s, m.AttemptFinished(action.attempt_id, 1))
        elif isinstance(action, m.Finish):
            self.served[action.work_id.partition("/")[0]] += 1
        elif isinstance(action, m.Refuse):
            name = action.work_id.partition("/")[0]
            self.refused[name][action.code] += 1
            if action.retry_after is not None:
                self.retry_after[name].append(action.retry_after)


class AccountLoadTest(TestCase):
    """Guards against callers that are refused or late because of another account."""

    def test_small_accounts_are_served_within_their_deadline(self) -> None:
        """Guards against a flood that delays or refuses the others."""
        for queue in (1024, 40):
            with self.subTest(queue=queue):
                load = AccountLoad(queue)
                load.flood()
                self.assertEqual({n for n in SMALL if load.refused[n]}, set())
                self.assertEqual(load.share(*SMALL), 1.0)

    def test_flooding_account_gets_the_remaining_slots(self) -> None:
        """Guards against slots that stay empty, or run what misses its deadline."""
        load = AccountLoad()
        load.flood()
        small_share = len(SMALL) * SMALL_PER_S / CAPACITY_PER_S
        calm = FLOOD_PER_S / 10 * CALM_S
        remaining = (1 - small_share) * CAPACITY_PER_S * FLOOD_S
        self.assertGreater(load.served[LARGE], 0.8 * (calm + remaining))

    def test_flooding_account_is_told_to_wait_for_its_own_queue(self) -> None:
        """Guards against a flood that returns at once, or small ones sent away."""
        load = AccountLoad()
        load.flood()
        self.assertGreater(load.refused[LARGE]["overloaded"], 100)
        self.assertGreater(mean(load.retry_after[LARGE]), 0.6 * DEADLINE_S)
        self.assertEqual([n for n in SMALL if load.retry_after[n]], [])

    def test_priority_does_not_let_a_flood_starve_the_others(self) -> None:
        load = AccountLoad()
        load.flood(priority=9)
        overall = load.share(LARGE, *SMALL)
        self.assertGreater(min(map(load.share, SMALL)), 0.5 * overall)

    def test_lone_account_gets_all_slots(self) -> None:
        """Guards against shares that are kept for accounts that send nothing."""
        load = AccountLoad()
        load.send(LARGE, 2 * CAPACITY_PER_S, end=FLOOD_S)
        load.run()
        self.assertGreater(load.served[LARGE], 0.9 * CAPACITY_PER_S * FLOOD_S)

    def test_lone_account_is_not_refused_while_there_is_room(self) -> None:
        load = AccountLoad()
        load.send(LARGE, 0.9 * CAPACITY_PER_S)
        load.run()
        self.assertEqual(load.served[LARGE], load.sent[LARGE])

    def test_no_account_is_served_less_than_a_quarter_as_often_as_all(self) -> None:
        """Guards against turns that starve accounts which are always large."""
        for overload in (2.0, 4.0):
            with self.subTest(overload=overload):
                load = AccountLoad()
                sizes = {f"a{rank}": rank**-1.2 for rank in range(1, 81)}
                total = overload * CAPACITY_PER_S / sum(sizes.values())
                for name, size in sizes.items():
                    load.send(name, size * total)
                load.run()
                least = min(load.share(name) for name in sizes)
                self.assertGreater(least, 0.25 * load.share(*sizes))


class AccountAdmissionTest(TestCase):
    """Guards against a queue that one account fills."""

    def setUp(self) -> None:
        self.numbers = itertools.count()

    def driver(self, queue: int) -> Driver:
        return Driver(document(("u1",), capacity=1, limits=Limits(queue=queue)))

    def submit(self, driver: Driver, count: int, **fields: object) -> None:
        name = f"{fields.get('account') or fields.get('tenant')}"
        for number in range(count):
            driver.submit(work(f"{name}{number}/{next(self.numbers)}", **fields))

    def test_last_request_of_the_largest_account_gives_way(self) -> None:
        driver = self.driver(queue=6)
        self.submit(driver, 7, account="large")
        self.assertEqual(refusals(driver.log), [])
        driver.submit(work("small", account="small"))
        refused = refusals(driver.log)
        self.assertEqual([r.work_id.partition("/")[0] for r in refused], ["large6"])
        self.assertEqual((refused[0].code, refused[0].ran), ("overloaded", Ran.NOT_RUN))
        self.assertGreater(refused[0].retry_after or 0, 0)
        driver.submit(work("more", account="large"))
        self.assertEqual(refusals(driver.log)[-1].work_id, "more")

    def test_request_without_an_account_also_finds_room(self) -> None:
        driver = self.driver(queue=6)
        self.submit(driver, 7, account="large")
        driver.submit(work("anonymous", tenant="route"))
        self.assertNotIn("anonymous", [r.work_id for r in refusals(driver.log)])

    def test_accounts_of_equal_size_do_not_displace_each_other(self) -> None:
        driver = self.driver(queue=6)
        self.submit(driver, 1, account="running")
        for name in "abc":
            self.submit(driver, 2, account=name)
        self.submit(driver, 1, account="a")
        self.assertEqual(len(refusals(driver.log)), 1)
        self.assertTrue(refusals(driver.log)[0].work_id.startswith("a0"))

    def test_request_that_may_have_run_is_not_displaced(self) -> None:
        """Guards against a refusal that cannot promise that nothing has run."""
        queue = FairQueue(document())
        for number in range(3):
            each = work(f"w{number}", account="large", max_tokens=1)
            item = Item(work=each, sequence=number, submitted_at=0.0)
            item.ran_before = Ran.MAY_HAVE_RUN if number else Ran.NOT_RUN
            queue.push(item, 2)
        found = queue.displaceable(work("s", account="small"))
        self.assertEqual(found.work.work_id if found else "", "w0")


class AccountQueueTest(TestCase):
    """Guards against wrong ranks, and state that grows with the number of accounts."""

    def filled(self, works: list[m.Work], **fields: object) -> FairQueue:
        queue = FairQueue(document(**fields))
        self.push(queue, works)
        return queue

    def push(self, queue: FairQueue, works: list[m.Work]) -> None:
        for number, each in enumerate(works):
            queue.push(Item(work=each, sequence=number, submitted_at=0.0), 2)

    def turns(self, queue: FairQueue, count: int) -> list[str]:
        taken = [queue.take(next(queue.lanes())).work for _ in range(count)]
        return [each.account or each.tenant for each in taken]

    def test_priority_of_an_account_replaces_that_of_the_route(self) -> None:
        classes = [ClassEntry(name="r", priority=9), ClassEntry(name="s", priority=0)]
        works = [
            work("a", tenant="r", account="a", account_priority=0),
            work("b", tenant="s", account="b", account_priority=9),
            work("c", tenant="r", account="c"),
            work("d", tenant="s", account="d"),
        ]
        lanes = list(self.filled(works, classes=classes).lanes())
        order = [lane.head().work.account for lane in lanes]
        self.assertEqual(order, ["b", "c", "a", "d"])

    def test_routes_without_accounts_keep_a_turn_beside_accounts(self) -> None:
        works = [work(f"{n}{i}", account=n) for n in "ab" for i in range(40)]
        works += [work(f"r{i}", tenant=t) for t in "rs" for i in range(40)]
        count = Counter(self.turns(self.filled(works), 40))
        self.assertEqual({name: count[name] for name in "ab"}, {"a": 10, "b": 10})
        self.assertEqual(count["r"] + count["s"], 20)

    def test_account_that_comes_back_in_a_busy_period_gains_nothing(self) -> None:
        queue = self.filled([work(f"a{i}", account="a") for i in range(50)])
        turns = []
        for number in range(10):
            self.push(queue, [work(f"b{number}", account="b")])
            turns += self.turns(queue, 2)
        self.assertEqual(Counter(turns), {"a": 10, "b": 10})

    def test_state_of_idle_accounts_is_dropped(self) -> None:
        """Guards against memory that grows with all accounts ever seen."""
        queue = self.filled([work(f"l{i}", account="large") for i in range(20)])
        for number in range(5000):
            self.push(queue, [work(f"w{number}", account=f"a{number}")])
            self.turns(queue, 1)
        (band,) = queue._bands.values()
        self.assertLessEqual(len(band.turns.idle), MAX_IDLE_ACCOUNTS)
        self.assertEqual(set(band.accounts), set(band.turns.active))
        self.turns(queue, queue.waiting)
        self.assertEqual((band.turns.idle, band.accounts), ({}, {}))
        self.assertEqual(queue.tokens_before(work("w"), 2), 0)

    def test_idle_routes_are_capped(self) -> None:
        queue = FairQueue(document())
        for number in range(MAX_IDLE_TENANTS + 9):
            self.push(queue, [work(f"w{number}", tenant=f"t{number}")])
            self.turns(queue, 1)
        (band,) = queue._bands.values()
        self.assertEqual(len(band.flows), MAX_IDLE_TENANTS)

    def test_counts_for_shares_are_capped_and_expire(self) -> None:
        shares = AccountShares()
        for number in range(2 * MAX_COUNTED_ACCOUNTS):
            shares.record(AccountName(f"a{number}"), 0.0)
        self.assertEqual(len(shares.counts), MAX_COUNTED_ACCOUNTS)
        shares.record(AccountName("b"), 3 * WINDOW_S)
        self.assertEqual((len(shares.counts), shares.earlier_counts), (1, {}))

    def test_open_items_of_a_tenant_are_dropped_with_the_last(self) -> None:
        driver = Driver(document())
        for start in driver.submit(work("w", tenant="route")):
            driver.finish(start.attempt_id)
        self.assertEqual(driver.pool.components.ledger.open_items_by_step, {})
