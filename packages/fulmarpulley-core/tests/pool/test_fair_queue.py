from collections import Counter
from unittest import TestCase

from fulmarpulley_core.pool.fair_queue import FairQueue
from fulmarpulley_core.pool.messages import Work
from fulmarpulley_core.pool.state import Item
from fulmarpulley_schema.generated.document import ClassEntry, TrainerEntry

from .pool_fixtures import document, sample, work


def filled(works: list[Work], **fields: object) -> FairQueue:
    queue = FairQueue(document(**fields))
    for number, each in enumerate(works):
        item = Item(work=each, sequence=number, submitted_at=0.0)
        queue.push(item, item.reserved_tokens())
    return queue


def served(queue: FairQueue, count: int) -> list[Work]:
    return [queue.take(next(queue.lanes())).work for _ in range(count)]


class FairQueueTest(TestCase):
    """Guards against a tenant that takes the share of another."""

    def test_trainers_with_equal_shares_get_equal_tokens(self) -> None:
        works = [sample(f"a{i}", tenant="a", max_tokens=299) for i in range(100)]
        works += [sample(f"b{i}", tenant="b", max_tokens=99) for i in range(100)]
        tokens: Counter[str] = Counter()
        for each in served(filled(works), 80):
            tokens[each.tenant] += each.prompt_tokens + each.max_tokens
        self.assertAlmostEqual(tokens["a"] / tokens["b"], 1.0, delta=0.1)

    def test_shares_of_the_document_are_followed(self) -> None:
        works = [sample(f"{t}{i}", tenant=t) for i in range(90) for t in "ab"]
        trainers = [TrainerEntry(id="a", share=2.0), TrainerEntry(id="b")]
        count = Counter(w.tenant for w in served(filled(works, trainers=trainers), 60))
        self.assertAlmostEqual(count["a"], 40, delta=2)

    def test_idle_tenant_gains_no_advantage_when_it_returns(self) -> None:
        queue = filled([sample(f"a{i}", tenant="a") for i in range(100)])
        served(queue, 50)
        for number in range(100, 150):
            each = sample(f"b{number}", tenant="b")
            queue.push(Item(work=each, sequence=number, submitted_at=0.0), 11)
        count = Counter(w.tenant for w in served(queue, 20))
        self.assertEqual(count["a"], 10)

    def test_tenant_that_was_blocked_catches_up_within_a_bound(self) -> None:
        works = [sample(f"b{i}", tenant="b", max_tokens=9999) for i in range(40)]
        works += [sample(f"a{i}", tenant="a", max_tokens=9999) for i in range(40)]
        queue = filled(works)
        for _ in range(20):
            queue.take(next(x for x in queue.lanes() if x.head().work.tenant == "a"))
        turns = [each.tenant for each in served(queue, 12)]
        # "b" catches up by 65,536 tokens and the charge of the last item of "a".
        self.assertEqual(turns.index("a"), 8)

    def test_desk_is_served_first_but_trainers_keep_a_share(self) -> None:
        works = [sample(f"s{i}") for i in range(100)]
        works += [work(f"d{i}", tenant="desk") for i in range(100)]
        first = served(filled(works), 40)
        self.assertEqual(first[0].tenant, "desk")
        desk = sum(each.tenant == "desk" for each in first)
        self.assertAlmostEqual(desk, 30, delta=2)

    def test_class_of_higher_priority_goes_first(self) -> None:
        classes = [ClassEntry(name="low", priority=1), ClassEntry(name="high")]
        works = [work("l", tenant="low"), work("h", tenant="high")]
        queue = filled(works, classes=classes)
        self.assertEqual([w.work_id for w in served(queue, 2)], ["h", "l"])

    def test_classes_are_served_in_order_of_arrival_within_the_burst(self) -> None:
        """Guards against a class that waits longer since it happened to send more."""
        tenants = "aab" * 10
        works = [work(f"{n}", tenant=t, max_tokens=99) for n, t in enumerate(tenants)]
        turns = [each.work_id for each in served(filled(works), 30)]
        self.assertEqual(turns, [str(number) for number in range(30)])

    def test_class_beyond_the_burst_waits_for_the_others(self) -> None:
        """Guards against a class that fills the queue and starves another."""
        works = [work(f"a{i}", tenant="a", max_tokens=999) for i in range(40)]
        works += [work(f"b{i}", tenant="b", max_tokens=999) for i in range(40)]
        turns = [each.tenant for each in served(filled(works), 40)]
        # Served first are 8,192 tokens of "a" and the item that exceeds them.
        self.assertEqual(turns.index("b"), 9)
        self.assertAlmostEqual(turns[9:].count("a"), 15, delta=1)

    def test_class_that_returns_to_a_full_queue_goes_first(self) -> None:
        """Guards against a small class that waits for each item behind a large one."""
        works = [work(f"a{i}", tenant="a", max_tokens=999) for i in range(60)]
        queue = filled([work("b", tenant="b"), *works])
        served(queue, 20)
        for number in range(100, 103):
            each = work(f"b{number}", tenant="b")
            queue.push(Item(work=each, sequence=number, submitted_at=0.0), 10)
            self.assertEqual(served(queue, 1)[0].tenant, "b")
            served(queue, 1)

    def test_lead_of_a_class_is_reset_when_the_queue_is_empty(self) -> None:
        """Guards against a class that is penalized for its use of an idle pool."""
        queue = filled([work(f"a{i}", tenant="a", max_tokens=999) for i in range(20)])
        served(queue, 20)
        for number, tenant in enumerate("abab", start=100):
            each = work(f"{tenant}{number}", tenant=tenant)
            queue.push(Item(work=each, sequence=number, submitted_at=0.0), 10)
        turns = [each.tenant for each in served(queue, 4)]
        self.assertEqual(turns, ["a", "b", "a", "b"])

    def test_groups_of_an_older_step_are_served_before_the_next_step(self) -> None:
        works = [sample("n", step=2, group=0), sample("l", step=1, group=9)]
        works += [sample("r", step=1, group=3)]
        order = [w.work_id for w in served(filled(works), 3)]
        self.assertEqual(order, ["r", "l", "n"])

    def test_correct_charge_replaces_the_estimate(self) -> None:
        queue = filled([sample(f"{t}{i}", tenant=t) for i in range(9) for t in "ab"])
        first = queue.take(next(queue.lanes()))
        queue.correct_charge(first, 33)
        following = [w.tenant for w in served(queue, 4)]
        self.assertEqual(following.count(first.work.tenant), 1)

    def test_removed_items_are_not_served(self) -> None:
        queue = FairQueue(document())
        items = [
            Item(work=work(f"w{i}"), sequence=i, submitted_at=0.0) for i in range(99)
        ]
        for item in items:
            queue.push(item, 11)
        for item in items[:-1]:
            queue.remove(item)
        self.assertEqual([w.work_id for w in served(queue, 1)], ["w98"])
        self.assertEqual((queue.waiting, queue.desk_tokens), (0, 0))
        self.assertEqual(list(queue.lanes()), [])
