"""Guard against a checker that misses a fault: tests inject each kind."""

import unittest
from collections.abc import Iterator
from typing import Any

import msgspec

from fulmarpulley_schema.generated.http import Ran, Span
from fulmarpulley_testing.checker import check
from fulmarpulley_testing.findings import SUMMARY_COLUMNS, Fault, Report
from fulmarpulley_testing.history import (
    AttemptAnswered,
    AttemptFailed,
    AttemptStarted,
    BatchTaken,
    CallExecuted,
    Completed,
    Entry,
    Invoked,
    RunEnded,
    RunStarted,
    SpanStarted,
    StepEnded,
    StepOpened,
    TakenSample,
)
from fulmarpulley_testing.tokens import generation_length, plain_result, token_text

MAX_TOKENS = 40
SWAP_INDEX = 2


def text_of(prompt: str, seed: int, versions: list[int]) -> str:
    return "".join(token_text(prompt, seed, i, v) for i, v in enumerate(versions))


def versions_of(prompt: str, seed: int, first: int = 0) -> list[int]:
    """Return the version of each token, with a swap at SWAP_INDEX."""
    length = generation_length(prompt, seed, MAX_TOKENS)
    return [first + (i >= SWAP_INDEX) for i in range(length)]


def spans_of(versions: list[int]) -> list[Span]:
    found = sorted(set(versions))
    return [Span(version=v, tokens=versions.count(v)) for v in found]


class HistoryBuilder:
    """Build a faultless history for tests to modify."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.run = 0

    def add(self, kind: type[Any], **fields: Any) -> Any:
        entry = kind(at=float(len(self.entries)), **fields)
        self.entries.append(entry)
        return entry

    def generate(self, prompt: str, seed: int, first: int = 0) -> None:
        self.run += 1
        versions = versions_of(prompt, seed, first)
        common = {"upstream": "e", "prompt": prompt, "seed": seed}
        request_fields = {"request_id": f"r{self.run}"}
        self.add(
            RunStarted,
            model="m",
            max_tokens=MAX_TOKENS,
            resumed=0,
            **common,
            **request_fields,
        )
        for version in sorted(set(versions)):
            index = versions.index(version)
            self.add(SpanStarted, run=self.run, index=index, version=version, **common)
        end = {"upstream": "e", "run": self.run, "reason": "stop"}
        self.add(RunEnded, count=len(versions), **end, **request_fields)

    def invoke(self, name: str, dialect: str, repeatable: bool) -> None:
        self.add(
            Invoked,
            caller="c",
            invocation=name,
            service="s",
            dialect=dialect,
            input=name,
            max_tokens=MAX_TOKENS,
            repeatable=repeatable,
        )

    def start(self, name: str, attempt: int = 1) -> None:
        attempt_fields = {"node": "n", "fetch": False, "key": "k"}
        self.add(AttemptStarted, invocation=name, attempt=attempt, **attempt_fields)

    def fail(self, name: str, ran: Ran | None, attempt: int = 1) -> None:
        self.add(AttemptFailed, invocation=name, attempt=attempt, code="x", ran=ran)

    def execute(self, name: str) -> None:
        self.add(CallExecuted, upstream="p", key="k", body=name)

    def complete(self, name: str, outcome: str = "answered") -> None:
        self.add(Completed, invocation=name, outcome=outcome)

    def answer(self, name: str, text: str, versions: list[int]) -> None:
        self.add(
            AttemptAnswered,
            invocation=name,
            attempt=1,
            text=text,
            count=len(versions),
            spans=spans_of(versions),
            upstream="e",
            indexes=list(range(len(versions))) or None,
        )


def add_engine_invocation(builder: HistoryBuilder, name: str) -> None:
    builder.invoke(name, "engine", True)
    builder.start(name)
    builder.generate(name, 7)
    versions = versions_of(name, 7)
    builder.answer(name, text_of(name, 7, versions), versions)
    builder.complete(name)


def add_plain_invocation(builder: HistoryBuilder, name: str) -> None:
    builder.invoke(name, "plain", False)
    builder.start(name)
    builder.execute(name)
    builder.answer(name, plain_result(name), [])
    builder.complete(name)


def add_training_step(builder: HistoryBuilder) -> None:
    prompts = ["step prompt 0", "step prompt 1"]
    step = {"service": "s", "trainer": "t", "step": 0}
    builder.add(
        StepOpened,
        prompts=prompts,
        samples_per_group=2,
        max_tokens=MAX_TOKENS,
        bound=1,
        version=4,
        held=[],
        **step,
    )
    held: list[int] = []
    for slot in range(4):
        sample = sample_of(builder, prompts[slot // 2], slot)
        builder.add(BatchTaken, version=5, held=list(held), samples=[sample], **step)
        held.append(slot)
    builder.add(StepEnded, complete=True, idle_s=0.0, **step)


def sample_of(builder: HistoryBuilder, prompt: str, slot: int) -> TakenSample:
    seed = 100 + slot
    builder.generate(prompt, seed, first=4)
    versions = versions_of(prompt, seed, first=4)
    return TakenSample(
        slot=slot,
        text=text_of(prompt, seed, versions),
        count=len(versions),
        spans=spans_of(versions),
        upstream="e",
    )


def faultless_history() -> HistoryBuilder:
    builder = HistoryBuilder()
    for number in range(3):
        add_engine_invocation(builder, f"engine input {number}")
        add_plain_invocation(builder, f"plain input {number}")
    add_training_step(builder)
    return builder


class CheckerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.builder = faultless_history()

    def entries_of(self, kind: type[Any]) -> Iterator[Any]:
        return (entry for entry in self.builder.entries if isinstance(entry, kind))

    def answers(self, prefix: str) -> list[Any]:
        found = self.entries_of(AttemptAnswered)
        return [answer for answer in found if answer.invocation.startswith(prefix)]

    def batches(self) -> list[Any]:
        return list(self.entries_of(BatchTaken))

    def report(self) -> Report:
        return check(sorted(self.builder.entries, key=lambda entry: entry.at))

    def assert_found(self, *faults: Fault) -> None:
        self.assertEqual(self.report().faults(), set(faults))

    def test_faultless_history_has_no_findings(self) -> None:
        report = self.report()
        self.assertEqual(report.findings, [])
        expected = "samples=4 answers=6 lost=0 doubled=0 mislabelled=0 stale=0"
        self.assertEqual(report.summary_line(), expected)

    def test_every_fault_has_a_column(self) -> None:
        self.assertEqual(set(SUMMARY_COLUMNS), set(Fault))

    def test_invocation_without_end_is_lost(self) -> None:
        self.builder.entries.remove(next(self.entries_of(Completed)))
        self.assert_found(Fault.LOST_ANSWER)

    def test_invocation_given_up_is_lost(self) -> None:
        self.builder.invoke("n", "plain", False)
        self.builder.start("n")
        self.builder.fail("n", None)
        self.builder.complete("n", "gave_up")
        self.assert_found(Fault.LOST_ANSWER)

    def test_second_answer_is_doubled(self) -> None:
        second_answer = msgspec.structs.replace(self.answers("plain")[0])
        self.builder.entries.append(second_answer)
        self.assert_found(Fault.DOUBLED_ANSWER)

    def test_same_answer_of_a_later_fetch_is_no_fault(self) -> None:
        second_answer = msgspec.structs.replace(self.answers("plain")[0], attempt=2)
        self.builder.entries.append(second_answer)
        self.assert_found()

    def test_different_answer_of_a_later_fetch_is_doubled(self) -> None:
        second_answer = msgspec.structs.replace(self.answers("engine")[0], attempt=2)
        second_answer.text = text_of(
            "engine input 0", 8, versions_of("engine input 0", 8)
        )
        second_answer.indexes = list(range(len(versions_of("engine input 0", 8))))
        self.builder.entries.append(second_answer)
        self.assertIn(Fault.DOUBLED_ANSWER, self.report().faults())

    def test_repeated_stream_index_is_doubled(self) -> None:
        self.answers("engine")[0].indexes[0] = 1
        self.assert_found(Fault.DOUBLED_ANSWER)

    def test_answer_of_another_request_is_foreign(self) -> None:
        first, second = self.answers("plain")[:2]
        first.text = second.text
        self.assert_found(Fault.FOREIGN_ANSWER)

    def test_streamed_answer_of_another_request_is_foreign(self) -> None:
        first, second = self.answers("engine")[:2]
        first.text, first.indexes = second.text, second.indexes
        first.count, first.spans = second.count, second.spans
        self.assert_found(Fault.FOREIGN_ANSWER)

    def test_answer_without_execution_is_foreign(self) -> None:
        self.builder.entries.remove(next(self.entries_of(CallExecuted)))
        self.assert_found(Fault.FOREIGN_ANSWER)

    def test_short_answers_are_cut(self) -> None:
        answer = self.answers("engine")[0]
        answer.text = answer.text[: answer.text.rindex(" ", 0, -1) + 1]
        answer.indexes.pop()
        self.assert_found(Fault.CUT_ANSWER)
        self.answers("plain")[0].text = "resul"
        self.assertEqual(len(self.report().findings), 2)

    def test_missing_stream_index_is_cut(self) -> None:
        self.answers("engine")[0].indexes[-1] += 1
        self.assert_found(Fault.CUT_ANSWER)

    def test_slot_never_received_is_lost(self) -> None:
        self.batches()[-1].samples.clear()
        self.assert_found(Fault.LOST_SLOT)

    def test_slot_received_while_held_is_doubled(self) -> None:
        batches = self.batches()
        batches[-1].samples.append(batches[0].samples[0])
        self.assert_found(Fault.DOUBLED_SLOT)

    def test_slot_twice_in_a_batch_is_doubled(self) -> None:
        batch = self.batches()[0]
        batch.samples.append(batch.samples[0])
        self.assert_found(Fault.DOUBLED_SLOT)

    def test_one_generation_in_two_slots_is_doubled(self) -> None:
        batches = self.batches()
        copied = msgspec.structs.replace(batches[0].samples[0], slot=1)
        batches[1].samples[0] = copied
        self.assert_found(Fault.DOUBLED_SLOT)

    def test_sample_of_another_prompt_is_foreign(self) -> None:
        batches = self.batches()
        first, last = batches[0].samples[0], batches[-1].samples[0]
        first.slot, last.slot = last.slot, first.slot
        batches[-1].held = [1, 2, 3]
        self.assert_found(Fault.FOREIGN_SAMPLE)

    def test_sample_of_mixed_seeds_is_foreign(self) -> None:
        sample = self.batches()[0].samples[0]
        kept = sample.text[: sample.text.rindex(" ", 0, -1) + 1]
        last = sample.spans[-1].version
        other = token_text("step prompt 0", 101, sample.count - 1, last)
        sample.text = kept + other
        self.assert_found(Fault.FOREIGN_SAMPLE)

    def test_slot_outside_the_step_is_foreign(self) -> None:
        batch = self.batches()[0]
        batch.samples.append(msgspec.structs.replace(batch.samples[0], slot=4))
        self.assertIn(Fault.FOREIGN_SAMPLE, self.report().faults())

    def test_sample_that_no_engine_produced_is_foreign(self) -> None:
        spans = [
            span
            for span in self.entries_of(SpanStarted)
            if span.prompt == "step prompt 1"
        ]
        for span in spans:
            self.builder.entries.remove(span)
        self.assert_found(Fault.FOREIGN_SAMPLE)

    def test_sample_without_last_token_is_cut(self) -> None:
        sample = self.batches()[0].samples[0]
        sample.text = sample.text[: sample.text.rindex(" ", 0, -1) + 1]
        self.assert_found(Fault.CUT_SAMPLE)

    def test_wrong_span_is_mislabelled(self) -> None:
        sample = self.batches()[0].samples[0]
        sample.spans = [Span(version=5, tokens=sample.count)]
        self.assert_found(Fault.MISLABELLED)

    def test_sample_without_spans_is_mislabelled(self) -> None:
        self.batches()[0].samples[0].spans = []
        self.assert_found(Fault.MISLABELLED)

    def test_sample_past_the_bound_is_stale(self) -> None:
        self.batches()[-1].version = 6
        self.assert_found(Fault.STALE)

    def test_wrong_label_does_not_hide_stale_sample(self) -> None:
        batch = self.batches()[-1]
        batch.version = 6
        batch.samples[0].spans = [Span(version=6, tokens=batch.samples[0].count)]
        self.assert_found(Fault.STALE, Fault.MISLABELLED)

    def test_second_execution_is_repeated_run(self) -> None:
        self.builder.execute("plain input 0")
        self.assert_found(Fault.REPEATED_RUN)

    def test_not_run_after_execution_is_false(self) -> None:
        self.builder.invoke("n", "plain", False)
        self.builder.start("n")
        self.builder.execute("n")
        self.builder.fail("n", Ran.NOT_RUN)
        self.builder.complete("n", "not_run")
        self.assert_found(Fault.FALSE_NOT_RUN)

    def test_execution_after_not_run_is_false(self) -> None:
        self.builder.invoke("n", "engine", True)
        self.builder.start("n")
        self.builder.fail("n", Ran.NOT_RUN)
        self.builder.complete("n", "not_run")
        self.builder.generate("n", 1)
        self.assert_found(Fault.FALSE_NOT_RUN)

    def test_not_run_after_execution_in_lost_attempt_is_false(self) -> None:
        self.builder.invoke("n", "plain", False)
        self.builder.start("n")
        self.builder.execute("n")
        self.builder.fail("n", None)
        self.builder.start("n", 2)
        self.builder.fail("n", Ran.NOT_RUN, 2)
        self.builder.complete("n", "not_run")
        self.assert_found(Fault.FALSE_NOT_RUN)

    def test_execution_in_next_attempt_is_no_fault(self) -> None:
        self.builder.invoke("n", "plain", False)
        self.builder.start("n")
        self.builder.fail("n", Ran.NOT_RUN)
        self.builder.start("n", 2)
        self.builder.execute("n")
        self.builder.answer("n", plain_result("n"), [])
        self.builder.complete("n")
        self.assert_found()

    def test_unresolved_is_lost_only_if_repeatable(self) -> None:
        for name, repeatable in (("n", False), ("r", True)):
            self.builder.invoke(name, "plain", repeatable)
            self.builder.start(name)
            self.builder.fail(name, Ran.MAY_HAVE_RUN)
            self.builder.complete(name, "unresolved")
        report = self.report()
        self.assertEqual(report.unresolved, 2)
        self.assertEqual([finding.subject for finding in report.findings], ["r"])
