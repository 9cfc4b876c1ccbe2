import unittest

from fulmarpulley_core.ids import ItemId, StepId
from fulmarpulley_core.rollout.step_fold import StepFold
from fulmarpulley_schema.generated.steps import (
    ItemProgress,
    ItemResult,
    ItemResults,
    ItemsGenerated,
    ItemSpec,
    ItemState,
    StepAccepted,
    StepEnded,
    TextRef,
)


def spec(name: str, group: str = "g") -> ItemSpec:
    return ItemSpec(
        item_id=name,
        path="/p",
        headers={},
        body=name.encode(),
        prompt_tokens=1,
        max_tokens=1,
        group=group,
    )


def accepted(step: str, *names: str, at_ms: int = 0, group: str = "g") -> StepAccepted:
    return StepAccepted(
        step_id=step,
        host="h",
        path="/p",
        submitted_ms=at_ms,
        items=[spec(name, group) for name in names],
    )


def results(step: str, **texts: str) -> ItemResults:
    listed = [
        ItemResult(item_id=name, state=ItemState.COMPLETED, text=text.encode())
        for name, text in texts.items()
    ]
    return ItemResults(step_id=step, results=listed)


class TextLog:
    """Stands in for the text partition, with one text per record."""

    def __init__(self) -> None:
        self.texts: list[list[bytes]] = []

    def progress(self, run: str, start: int, *events: str) -> ItemProgress:
        self.texts.append([event.encode() for event in events])
        ref = TextRef(offset=len(self.texts) - 1, records=1, size=1)
        return ItemProgress(
            step_id="s",
            item_id="a",
            run=run,
            start=start,
            events_ref=ref,
            versions=[1] * len(events),
        )

    def read(self, refs: list[TextRef]) -> list[bytes]:
        return [event for ref in refs for event in self.texts[ref.offset]]


class StepFoldTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fold = StepFold()
        self.texts = TextLog()
        self.fold.apply(accepted("s", "a", "b"))
        self.step = self.fold.steps[StepId("s")]

    def listed(self) -> list[tuple[str, bytes]]:
        return [(result.item_id, result.text) for result in self.step.results]

    def saved(self) -> list[bytes]:
        saved = self.step.saved[ItemId("a")]
        events = self.texts.read(saved.refs)
        self.assertEqual(len(events), len(saved.versions))
        return events

    def test_acceptance_repeated_keeps_the_first(self) -> None:
        # An append without an answer is repeated, and may take effect twice.
        self.fold.apply(results("s", a="x"))
        self.fold.apply(accepted("s", "a", "b", "c"))
        self.assertIs(self.fold.steps[StepId("s")], self.step)
        self.assertEqual(self.step.total, 2)

    def test_results_repeated_keep_the_first_and_its_position(self) -> None:
        # Two concurrent owners may record results of the same item.
        self.fold.apply(results("s", b="one"))
        self.fold.apply(results("s", b="two", a="x"))
        self.assertEqual(self.listed(), [("b", b"one"), ("a", b"x")])

    def test_results_after_the_end_have_no_effect(self) -> None:
        self.fold.apply(StepEnded(step_id="s"))
        self.fold.apply(results("s", a="x"))
        self.assertEqual(self.listed(), [])

    def test_results_of_an_unknown_step_or_item_have_no_effect(self) -> None:
        self.fold.apply(results("other", a="x"))
        self.fold.apply(results("s", z="x"))
        self.assertEqual(self.listed(), [])

    def test_body_is_kept_until_the_item_has_a_result(self) -> None:
        self.assertEqual(self.step.body(ItemId("a")), b"a")
        self.fold.apply(results("s", a="x"))
        self.assertIsNone(self.step.body(ItemId("a")))
        self.assertEqual(self.step.body(ItemId("b")), b"b")

    def test_progress_extends_the_same_run(self) -> None:
        self.fold.apply(self.texts.progress("r1", 0, "1", "2"))
        self.fold.apply(self.texts.progress("r1", 2, "3"))
        self.assertEqual(self.saved(), [b"1", b"2", b"3"])

    def test_progress_never_joins_two_runs(self) -> None:
        # The second run did not resume after the events of the first one.
        self.fold.apply(self.texts.progress("r1", 0, "1", "2"))
        self.fold.apply(self.texts.progress("r2", 2, "x"))
        self.assertEqual(self.saved(), [b"1", b"2"])

    def test_progress_repeated_has_no_effect(self) -> None:
        self.fold.apply(self.texts.progress("r1", 0, "1", "2"))
        self.fold.apply(self.texts.progress("r1", 2, "3"))
        self.fold.apply(self.texts.progress("r1", 2, "3"))
        self.fold.apply(self.texts.progress("r1", 0, "1", "2"))
        self.assertEqual(self.saved(), [b"1", b"2", b"3"])

    def test_progress_of_a_longer_run_replaces_the_shorter(self) -> None:
        self.fold.apply(self.texts.progress("r1", 0, "1"))
        self.fold.apply(self.texts.progress("r2", 0, "1", "2"))
        self.assertEqual(self.saved(), [b"1", b"2"])

    def test_acceptance_finds_the_carried_groups(self) -> None:
        self.fold.apply(accepted("t", "b", "c", group="k"))
        self.assertEqual(self.fold.steps[StepId("t")].carried_groups, {"k"})

    def test_expire_drops_only_old_steps_that_are_done(self) -> None:
        self.fold.expire(200_000, 120.0)
        self.assertIn(StepId("s"), self.fold.steps)
        self.fold.apply(StepEnded(step_id="s"))
        self.fold.expire(100_000, 120.0)
        self.assertIn(StepId("s"), self.fold.steps)
        self.fold.expire(200_000, 120.0)
        self.assertEqual(self.fold.steps, {})


class GeneratedTest(unittest.TestCase):
    """Guards against texts that are generated again while they wait for a score."""

    def setUp(self) -> None:
        self.fold = StepFold()
        self.fold.apply(accepted("s", "a", "b"))
        self.step = self.fold.steps[StepId("s")]

    def generate(self, **texts: str) -> None:
        found = results("s", **texts).results
        self.fold.apply(ItemsGenerated(step_id="s", results=found))

    def generated_texts(self) -> dict[str, bytes]:
        return {name: result.text for name, result in self.step.generated.items()}

    def test_generated_text_is_kept_and_not_listed(self) -> None:
        self.generate(a="one")
        self.generate(a="two")
        self.assertEqual(self.generated_texts(), {"a": b"one"})
        self.assertEqual(self.step.results, [])
        self.assertIn(ItemId("a"), self.step.open_items)

    def test_listed_result_replaces_the_generated_text(self) -> None:
        self.generate(a="one")
        self.fold.apply(results("s", a="one"))
        self.generate(a="one")
        self.assertEqual(self.generated_texts(), {})
        self.assertEqual(len(self.step.results), 1)

    def test_end_of_the_step_drops_generated_texts(self) -> None:
        self.generate(a="one")
        self.fold.apply(StepEnded(step_id="s"))
        self.generate(b="two")
        self.assertEqual(self.generated_texts(), {})

    def test_late_progress_of_a_generated_item_is_ignored(self) -> None:
        self.generate(a="one")
        self.fold.apply(TextLog().progress("r", 0, "x"))
        self.assertEqual(self.step.saved, {})
