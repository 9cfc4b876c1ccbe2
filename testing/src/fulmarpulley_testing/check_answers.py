"""Find faults in what callers received."""

from collections.abc import Iterator

import msgspec

from fulmarpulley_schema.generated.http import Ran

from .findings import Fault, Finding, Report
from .history import (
    AttemptAnswered,
    AttemptFailed,
    AttemptStarted,
    Completed,
    Entry,
    Invoked,
)
from .produced import Generation, Produced, judge
from .tokens import plain_result

AnswerEvent = AttemptStarted | AttemptAnswered | AttemptFailed | Completed

ANSWER_FAULTS = {
    Fault.CUT_SAMPLE: Fault.CUT_ANSWER,
    Fault.FOREIGN_SAMPLE: Fault.FOREIGN_ANSWER,
}
FOREVER = float("inf")


class Verdict(msgspec.Struct):
    """Hold the time of a `not_run` and that of the next attempt."""

    code: str
    at: float
    next_start: float
    earlier_unknown: bool


class Course:
    """Hold the records of one invocation in order of time."""

    def __init__(self, invoked: Invoked) -> None:
        self.invoked = invoked
        self.events: list[AnswerEvent] = []

    def answers(self) -> list[AttemptAnswered]:
        """Return the answers received."""
        return [one for one in self.events if isinstance(one, AttemptAnswered)]

    def outcome(self) -> str:
        """Return how the invocation ended, or an empty text."""
        ends = [one.outcome for one in self.events if isinstance(one, Completed)]
        return ends[-1] if ends else ""

    def verdicts(self) -> Iterator[Verdict]:
        """Yield each `not_run` that the caller was told."""
        unknown = False
        for place, event in enumerate(self.events):
            if not isinstance(event, AttemptFailed):
                continue
            if event.ran == Ran.NOT_RUN:
                yield Verdict(event.code, event.at, self._next_start(place), unknown)
            else:
                unknown = True

    def _next_start(self, place: int) -> float:
        later = self.events[place:]
        starts = [one.at for one in later if isinstance(one, AttemptStarted)]
        return starts[0] if starts else FOREVER


def check_answers(entries: list[Entry], produced: Produced, report: Report) -> None:
    """Check every invocation and count the answers."""
    for course in _courses(entries):
        outcome = course.outcome()
        report.answers += outcome == "answered"
        report.refused += outcome == "not_run"
        report.unresolved += outcome == "unresolved"
        report.findings += _check_end(course, outcome)
        report.findings += _check_texts(course, produced)
        report.findings += _check_runs(course, produced)


def _courses(entries: list[Entry]) -> list[Course]:
    invoked = [one for one in entries if isinstance(one, Invoked)]
    courses = {one.invocation: Course(one) for one in invoked}
    for entry in entries:
        if isinstance(entry, AnswerEvent):
            courses[entry.invocation].events.append(entry)
    return list(courses.values())


def _check_end(course: Course, outcome: str) -> Iterator[Finding]:
    name = course.invoked.invocation
    answers = course.answers()
    attempts = {answer.attempt for answer in answers}
    texts = {answer.text for answer in answers}
    if outcome in {"", "gave_up"}:
        yield Finding(Fault.LOST_ANSWER, name, f"ended with {outcome or 'nothing'}")
    if outcome == "unresolved" and course.invoked.repeatable:
        yield Finding(Fault.LOST_ANSWER, name, "repeatable, yet unresolved")
    if outcome == "answered" and not answers:
        yield Finding(Fault.LOST_ANSWER, name, "answered without an answer")
    # A fetch by key may return the answer again, but never a different one.
    if len(attempts) < len(answers) or len(texts) > 1:
        detail = f"{len(answers)} answers, {len(texts)} texts"
        yield Finding(Fault.DOUBLED_ANSWER, name, detail)


def _check_texts(course: Course, produced: Produced) -> Iterator[Finding]:
    for answer in course.answers():
        found = _judge_stream(answer) or _judge_text(course.invoked, answer, produced)
        if found is not None:
            fault = ANSWER_FAULTS.get(found[0], found[0])
            yield Finding(fault, course.invoked.invocation, found[1])


def _judge_stream(answer: AttemptAnswered) -> tuple[Fault, str] | None:
    if answer.indexes is None:
        return None
    if len(set(answer.indexes)) != len(answer.indexes):
        return Fault.DOUBLED_ANSWER, f"repeated indexes {answer.indexes}"
    if answer.indexes != list(range(len(answer.indexes))):
        return Fault.CUT_ANSWER, f"indexes {answer.indexes}"
    return None


def _judge_text(
    invoked: Invoked, answer: AttemptAnswered, produced: Produced
) -> tuple[Fault, str] | None:
    if not produced.executions.get(invoked.input):
        return Fault.FOREIGN_ANSWER, "no upstream ran the request"
    if invoked.dialect == "plain":
        return _judge_plain(answer.text, plain_result(invoked.input))
    generation = Generation(
        prompt=invoked.input,
        max_tokens=invoked.max_tokens,
        text=answer.text,
        count=answer.count,
        spans=answer.spans,
        must_be_labelled=False,
    )
    return judge(generation, produced)


def _judge_plain(text: str, expected: str) -> tuple[Fault, str] | None:
    if text == expected:
        return None
    cut = expected.startswith(text)
    fault = Fault.CUT_ANSWER if cut else Fault.FOREIGN_ANSWER
    return fault, f"answer {text!r}, expected {expected!r}"


def _check_runs(course: Course, produced: Produced) -> Iterator[Finding]:
    invoked = course.invoked
    runs = produced.executions.get(invoked.input, [])
    if not invoked.repeatable and len(runs) > 1:
        detail = f"not repeatable, {len(runs)} executions"
        yield Finding(Fault.REPEATED_RUN, invoked.invocation, detail)
    for verdict in course.verdicts():
        if _is_false(verdict, runs, invoked.repeatable):
            detail = f"told {verdict.code}, not_run, but it ran"
            yield Finding(Fault.FALSE_NOT_RUN, invoked.invocation, detail)


def _is_false(verdict: Verdict, runs: list[float], repeatable: bool) -> bool:
    """Judge a `not_run` by the runs before it and up to the next attempt.

    An earlier attempt whose end is unknown may still run later. Of a repeatable
    request it may also have run before, for the verdict is on the last attempt only.
    """
    if any(at < verdict.at for at in runs) and not (
        repeatable and verdict.earlier_unknown
    ):
        return True
    late = any(verdict.at <= at < verdict.next_start for at in runs)
    return late and not verdict.earlier_unknown
