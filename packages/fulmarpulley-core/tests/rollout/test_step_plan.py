import unittest

from fulmarpulley_core.rollout.step_plan import rank_items
from fulmarpulley_schema.generated.steps import ItemSpec


def item(name: str, group: str, hint: int, most: int = 1000) -> ItemSpec:
    return ItemSpec(
        item_id=name,
        path="/p",
        headers={},
        body=b"",
        prompt_tokens=10,
        max_tokens=most,
        length_hint=hint,
        group=group,
    )


def order(items: list[ItemSpec], target: int, carried_groups: set[str]) -> list[str]:
    ranks = rank_items(items, target, carried_groups)
    return sorted(ranks, key=lambda name: ranks[name])


class RankItemsTest(unittest.TestCase):
    def test_rank_items_starts_the_longest_first(self) -> None:
        # A long item that starts last delays the whole step.
        items = [item("a", "g", 10), item("b", "g", 300), item("c", "h", 100)]
        self.assertEqual(order(items, 2, set()), ["b", "c", "a"])

    def test_rank_items_leaves_the_longest_group_for_the_end(self) -> None:
        # The trainer does not wait for the last group, so it must not take slots first.
        items = [item("a", "g", 10), item("b", "h", 900), item("c", "i", 100)]
        self.assertEqual(order(items, 2, set()), ["c", "a", "b"])

    def test_rank_items_waits_for_a_carried_group(self) -> None:
        # The trainer waits for a carried group however long it is.
        items = [item("a", "g", 10), item("b", "h", 900), item("c", "i", 100)]
        self.assertEqual(order(items, 2, {"h"}), ["b", "a", "c"])

    def test_rank_items_without_a_target_waits_for_all(self) -> None:
        items = [item("a", "g", 10), item("b", "h", 900)]
        self.assertEqual(order(items, 0, set()), ["b", "a"])

    def test_rank_items_without_a_hint_takes_the_most_tokens(self) -> None:
        items = [item("a", "g", 0, most=50), item("b", "g", 20)]
        self.assertEqual(order(items, 1, set()), ["a", "b"])
