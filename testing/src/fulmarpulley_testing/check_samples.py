"""Find faults in what trainers received."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from .findings import Fault, Finding, Report
from .history import (
    BatchTaken,
    Entry,
    StepEnded,
    StepOpened,
    TakenSample,
    TrainerIdle,
)
from .produced import Generation, Produced, judge
from .tokens import parse

StepEvent = StepOpened | BatchTaken | StepEnded


class StepCourse:
    """Hold the records of one step in order of time."""

    def __init__(self, opened: StepOpened) -> None:
        self.opened = opened
        self.name = f"{opened.service}/{opened.trainer}/{opened.step}"
        self.slots = len(opened.prompts) * opened.samples_per_group
        self.batches: list[BatchTaken] = []
        self.complete = False

    def subject(self, slot: int) -> str:
        """Return the name of a slot."""
        return f"{self.name}/{slot}"


def check_samples(entries: list[Entry], produced: Produced, report: Report) -> None:
    """Check every step and count the samples."""
    for course in _courses(entries):
        report.samples += sum(len(batch.samples) for batch in course.batches)
        report.findings += _check_slots(course)
        report.findings += _check_generations(course)
        for batch in course.batches:
            report.findings += _check_batch(course, batch, produced)
    for entry in entries:
        if isinstance(entry, TrainerIdle):
            report.idle_s[f"{entry.service}/{entry.trainer}"] = entry.idle_s


def _courses(entries: list[Entry]) -> list[StepCourse]:
    courses: dict[tuple[str, str, int], StepCourse] = {}
    for entry in entries:
        if not isinstance(entry, StepEvent):
            continue
        place = (entry.service, entry.trainer, entry.step)
        if isinstance(entry, StepOpened):
            courses.setdefault(place, StepCourse(entry))
        elif isinstance(entry, BatchTaken):
            courses[place].batches.append(entry)
        else:
            courses[place].complete = entry.complete
    return list(courses.values())


def _check_slots(course: StepCourse) -> Iterator[Finding]:
    received = {sample.slot for batch in course.batches for sample in batch.samples}
    for slot in sorted(set(range(course.slots)) - received):
        yield Finding(Fault.LOST_SLOT, course.subject(slot), "never received")
    if not course.complete and len(received) == course.slots:
        yield Finding(Fault.LOST_SLOT, course.name, "step not complete")
    for batch in course.batches:
        counts = Counter(sample.slot for sample in batch.samples)
        held = set(batch.held)
        for slot, count in counts.items():
            if count > 1 or slot in held:
                detail = f"{count} times, held before: {slot in held}"
                yield Finding(Fault.DOUBLED_SLOT, course.subject(slot), detail)


def _check_generations(course: StepCourse) -> Iterator[Finding]:
    slots_of: defaultdict[tuple[str, int], set[int]] = defaultdict(set)
    for batch in course.batches:
        for sample in batch.samples:
            if tokens := parse(sample.text):
                slots_of[tokens[0].prompt_hash, tokens[0].seed].add(sample.slot)
    for slots in slots_of.values():
        if len(slots) > 1:
            detail = f"one generation in slots {sorted(slots)}"
            yield Finding(Fault.DOUBLED_SLOT, course.name, detail)


def _check_batch(
    course: StepCourse, batch: BatchTaken, produced: Produced
) -> Iterator[Finding]:
    for sample in batch.samples:
        if not 0 <= sample.slot < course.slots:
            detail = f"the step has {course.slots} slots"
            yield Finding(Fault.FOREIGN_SAMPLE, course.subject(sample.slot), detail)
            continue
        found = judge(_generation(course.opened, sample), produced)
        if found is not None:
            yield Finding(found[0], course.subject(sample.slot), found[1])
        yield from _check_age(course, batch, sample)


def _generation(opened: StepOpened, sample: TakenSample) -> Generation:
    return Generation(
        prompt=opened.prompts[sample.slot // opened.samples_per_group],
        max_tokens=opened.max_tokens,
        text=sample.text,
        count=sample.count,
        spans=sample.spans,
        must_be_labelled=True,
    )


def _check_age(
    course: StepCourse, batch: BatchTaken, sample: TakenSample
) -> Iterator[Finding]:
    """Compare the actual versions, which a wrong label cannot hide."""
    oldest = min((token.version for token in parse(sample.text) or []), default=None)
    bound = course.opened.bound
    if oldest is not None and oldest < batch.version - bound:
        detail = f"version {oldest}, trainer at {batch.version}, bound {bound}"
        yield Finding(Fault.STALE, course.subject(sample.slot), detail)
