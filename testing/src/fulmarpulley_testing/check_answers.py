"""Check the answers that callers received."""

from collections.abc import Iterator

import msgspec

from fulmarpulley_schema.generated.http import Ran

from .execution_index import ExecutionIndex, Generation, find_fault
from .findings import Fault, Finding, Report
from .history import (
    AttemptAnswered,
    AttemptFailed,
    AttemptStarted,
    Completed,
    Entry,
    Invoked,
)
from .tokens import plain_result

AnswerEvent = AttemptStarted | AttemptAnswered | AttemptFailed | Completed

ANSWER_FAULT_BY_SAMPLE_FAULT = {
    Fault.CUT_SAMPLE: Fault.CUT_ANSWER,
    Fault.FOREIGN_SAMPLE: Fault.FOREIGN_ANSWER,
}
NO_NEXT_ATTEMPT = float("inf")


class NotRunResponse(msgspec.Struct):
    """Hold a `not_run` response and the time of the next attempt."""

    code: str
    at: float
    next_attempt_at: float
    earlier_attempt_unknown: bool


class InvocationTrace:
    """Hold the records of one invocation, oldest first."""

    def __init__(self, invoked: Invoked) -> None:
        self.invoked = invoked
        self.events: list[AnswerEvent] = []

    def answers(self) -> list[AttemptAnswered]:
        """Return the answers received."""
        return [event for event in self.events if isinstance(event, AttemptAnswered)]

    def outcome(self) -> str:
        """Return the recorded outcome, or an empty string without one."""
        outcomes = [
            event.outcome for event in self.events if isinstance(event, Completed)
        ]
        return outcomes[-1] if outcomes else ""

    def not_run_responses(self) -> Iterator[NotRunResponse]:
        """Yield each `not_run` response that the caller received."""
        unknown = False
        for position, event in enumerate(self.events):
            if not isinstance(event, AttemptFailed):
                continue
            if event.ran == Ran.NOT_RUN:
                yield NotRunResponse(
                    event.code, event.at, self._next_attempt_at(position), unknown
                )
            else:
                unknown = True

    def _next_attempt_at(self, position: int) -> float:
        later = self.events[position:]
        starts = [event.at for event in later if isinstance(event, AttemptStarted)]
        return starts[0] if starts else NO_NEXT_ATTEMPT


def check_answers(
    entries: list[Entry], executed: ExecutionIndex, report: Report
) -> None:
    """Check every invocation and count the answers."""
    for trace in _build_traces(entries):
        outcome = trace.outcome()
        report.answers += outcome == "answered"
        report.refused += outcome == "not_run"
        report.unresolved += outcome == "unresolved"
        report.findings += _check_end(trace, outcome)
        report.findings += _check_texts(trace, executed)
        report.findings += _check_runs(trace, executed)


def _build_traces(entries: list[Entry]) -> list[InvocationTrace]:
    invocations = [entry for entry in entries if isinstance(entry, Invoked)]
    traces = {invoked.invocation: InvocationTrace(invoked) for invoked in invocations}
    for entry in entries:
        if isinstance(entry, AnswerEvent):
            traces[entry.invocation].events.append(entry)
    return list(traces.values())


def _check_end(trace: InvocationTrace, outcome: str) -> Iterator[Finding]:
    name = trace.invoked.invocation
    answers = trace.answers()
    attempts = {answer.attempt for answer in answers}
    texts = {answer.text for answer in answers}
    if outcome in {"", "gave_up"}:
        yield Finding(Fault.LOST_ANSWER, name, f"outcome {outcome or 'missing'}")
    if outcome == "unresolved" and trace.invoked.repeatable:
        yield Finding(Fault.LOST_ANSWER, name, "repeatable request ended unresolved")
    if outcome == "answered" and not answers:
        yield Finding(
            Fault.LOST_ANSWER, name, "completed as answered, but no answer recorded"
        )
    # A fetch by key may return the same answer again, but not a different one.
    if len(attempts) < len(answers) or len(texts) > 1:
        detail = f"{len(answers)} answers with {len(texts)} different texts"
        yield Finding(Fault.DOUBLED_ANSWER, name, detail)


def _check_texts(trace: InvocationTrace, executed: ExecutionIndex) -> Iterator[Finding]:
    for answer in trace.answers():
        found = _find_stream_fault(answer) or _find_text_fault(
            trace.invoked, answer, executed
        )
        if found is not None:
            fault = ANSWER_FAULT_BY_SAMPLE_FAULT.get(found[0], found[0])
            yield Finding(fault, trace.invoked.invocation, found[1])


def _find_stream_fault(answer: AttemptAnswered) -> tuple[Fault, str] | None:
    if answer.indexes is None:
        return None
    if len(set(answer.indexes)) != len(answer.indexes):
        return Fault.DOUBLED_ANSWER, f"duplicate stream indexes: {answer.indexes}"
    if answer.indexes != list(range(len(answer.indexes))):
        return Fault.CUT_ANSWER, f"stream indexes not consecutive: {answer.indexes}"
    return None


def _find_text_fault(
    invoked: Invoked, answer: AttemptAnswered, executed: ExecutionIndex
) -> tuple[Fault, str] | None:
    if not executed.times_by_input.get(invoked.input):
        return Fault.FOREIGN_ANSWER, "no upstream executed the request"
    if invoked.dialect == "plain":
        return _find_plain_fault(answer.text, plain_result(invoked.input))
    generation = Generation(
        prompt=invoked.input,
        max_tokens=invoked.max_tokens,
        text=answer.text,
        count=answer.count,
        spans=answer.spans,
        must_be_labelled=False,
    )
    return find_fault(generation, executed)


def _find_plain_fault(text: str, expected: str) -> tuple[Fault, str] | None:
    if text == expected:
        return None
    cut = expected.startswith(text)
    fault = Fault.CUT_ANSWER if cut else Fault.FOREIGN_ANSWER
    return fault, f"answer {text!r}, expected {expected!r}"


def _check_runs(trace: InvocationTrace, executed: ExecutionIndex) -> Iterator[Finding]:
    invoked = trace.invoked
    run_times = executed.times_by_input.get(invoked.input, [])
    if not invoked.repeatable and len(run_times) > 1:
        detail = f"not repeatable, but executed {len(run_times)} times"
        yield Finding(Fault.REPEATED_RUN, invoked.invocation, detail)
    for response in trace.not_run_responses():
        if _is_false_not_run(response, run_times, invoked.repeatable):
            detail = f"not_run reported with code {response.code}, but the request ran"
            yield Finding(Fault.FALSE_NOT_RUN, invoked.invocation, detail)


def _is_false_not_run(
    response: NotRunResponse, run_times: list[float], repeatable: bool
) -> bool:
    """Compare a `not_run` with the runs before it and up to the next attempt.

    An earlier attempt whose outcome is unknown may still run after the response. For
    a repeatable request it may also have run before, since `not_run` then describes
    the last attempt only.
    """
    if any(at < response.at for at in run_times) and not (
        repeatable and response.earlier_attempt_unknown
    ):
        return True
    ran_later = any(response.at <= at < response.next_attempt_at for at in run_times)
    return ran_later and not response.earlier_attempt_unknown
