"""Test which reports of engines show that another node has replaced an owner."""

import unittest

from fulmarpulley_core.ids import ItemId, UpstreamId
from fulmarpulley_core.rollout.replacement_evidence import (
    ABORTED_SHIELD_S,
    COMPLETED_SHIELD_S,
    ENGINES_PER_CHECK,
    MAX_ENDED_RUNS,
    PREDECESSOR_TIMEOUT_S,
    EndedRuns,
    EngineRun,
    OwnerRuns,
    RunReport,
    choose_engines,
    find_replacement,
)

ENGINE, OTHER_ENGINE = UpstreamId("e1"), UpstreamId("e2")
NOW = 1000.0


def run_of(item: str, engine: UpstreamId = ENGINE) -> EngineRun:
    return EngineRun(engine, ItemId(item))


class FindReplacementTest(unittest.TestCase):
    """Guards against owners that stop although nobody has replaced them."""

    def setUp(self) -> None:
        self.running: set[EngineRun] = set()
        self.ended = EndedRuns()
        self.inherited: frozenset[ItemId] = frozenset()
        self.owned_since = NOW - 100.0

    def find(self, *items: str, engine: UpstreamId = ENGINE) -> str | None:
        report = RunReport(engine, [ItemId(item) for item in items], NOW)
        owner = OwnerRuns(
            items={ItemId("i1"), ItemId("i2")},
            running=self.running,
            ended=self.ended,
            inherited=self.inherited,
            owned_since=self.owned_since,
        )
        return find_replacement(report, owner)

    def test_item_that_only_another_owner_can_run_is_evidence(self) -> None:
        self.running = {run_of("i1"), run_of("i2", OTHER_ENGINE)}
        self.assertEqual(self.find("i1", "i2"), "i2")

    def test_own_runs_and_hedges_are_no_evidence(self) -> None:
        self.running = {run_of("i1"), run_of("i1", OTHER_ENGINE)}
        self.assertIsNone(self.find("i1"))
        self.assertIsNone(self.find("i1", engine=OTHER_ENGINE))

    def test_foreign_items_and_an_idle_engine_are_no_evidence(self) -> None:
        # An engine that started again reports no runs at first.
        self.assertIsNone(self.find())
        self.assertIsNone(self.find("other", "i11"))

    def test_run_that_ended_within_the_age_of_a_report_is_no_evidence(self) -> None:
        self.ended.record(run_of("i1"), aborted=False, now=NOW - COMPLETED_SHIELD_S / 2)
        self.assertIsNone(self.find("i1"))
        # It says nothing about other engines.
        self.assertEqual(self.find("i1", engine=OTHER_ENGINE), "i1")

    def test_run_that_ended_before_is_evidence(self) -> None:
        self.ended.record(run_of("i1"), aborted=False, now=NOW - COMPLETED_SHIELD_S * 2)
        self.assertEqual(self.find("i1"), "i1")

    def test_retry_does_not_hide_that_an_earlier_run_was_aborted(self) -> None:
        # An engine that was frozen lists aborted runs for longer than completed ones.
        self.ended.record(run_of("i1"), aborted=True, now=NOW - ABORTED_SHIELD_S / 2)
        self.ended.record(run_of("i1"), aborted=False, now=NOW - COMPLETED_SHIELD_S * 2)
        self.assertIsNone(self.find("i1"))

    def test_runs_of_an_earlier_owner_are_no_evidence(self) -> None:
        # It may itself be cut off, and then knows only items that were there before.
        self.inherited = frozenset({ItemId("i1")})
        self.owned_since = NOW - PREDECESSOR_TIMEOUT_S / 2
        self.assertIsNone(self.find("i1"))
        self.assertEqual(self.find("i2"), "i2")
        self.owned_since = NOW - PREDECESSOR_TIMEOUT_S * 2
        self.assertEqual(self.find("i1"), "i1")


class EndedRunsTest(unittest.TestCase):
    """Guards against memory that grows with the attempts of a node."""

    def test_number_of_remembered_runs_is_bounded(self) -> None:
        ended = EndedRuns()
        for number in range(3 * MAX_ENDED_RUNS):
            ended.record(run_of(f"i{number}"), aborted=True, now=NOW)
            self.assertTrue(ended.may_be_listed(run_of(f"i{number}"), NOW))
        kept = sum(
            ended.may_be_listed(run_of(f"i{number}"), NOW)
            for number in range(3 * MAX_ENDED_RUNS)
        )
        self.assertLessEqual(kept, MAX_ENDED_RUNS)


class ChooseEnginesTest(unittest.TestCase):
    """Guards against an engine that cannot answer and is asked each time."""

    def test_engines_take_turns(self) -> None:
        engines = [UpstreamId(name) for name in ("e3", "e1", "e2")]
        last, asked = UpstreamId(""), []
        for _ in range(3):
            chosen = choose_engines(engines, last)
            self.assertEqual(len(chosen), ENGINES_PER_CHECK)
            asked += chosen
            last = chosen[-1]
        self.assertEqual(asked, ["e1", "e2", "e3", "e1", "e2", "e3"])

    def test_few_engines_are_asked_once_per_check(self) -> None:
        self.assertEqual(choose_engines([ENGINE], ENGINE), [ENGINE])
        self.assertEqual(choose_engines([], ENGINE), [])
