"""Check the samples that trainers received."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from .execution_index import ExecutionIndex, Generation, find_fault
from .findings import Fault, Finding, Report
from .history import (
    BatchTaken,
    Entry,
    StepEnded,
    StepOpened,
    TakenSample,
    TrainerIdle,
)
from .tokens import parse

StepEvent = StepOpened | BatchTaken | StepEnded


class StepTrace:
    """Hold the records of one step, oldest first."""

    def __init__(self, opened: StepOpened) -> None:
        self.opened = opened
        self.name = f"{opened.service}/{opened.trainer}/{opened.step}"
        self.slots = len(opened.prompts) * opened.samples_per_group
        self.batches: list[BatchTaken] = []
        self.complete = False

    def slot_name(self, slot: int) -> str:
        """Return the name of a slot for findings."""
        return f"{self.name}/{slot}"


def check_samples(
    entries: list[Entry], executed: ExecutionIndex, report: Report
) -> None:
    """Check every step and count the samples."""
    for trace in _build_traces(entries):
        report.samples += sum(len(batch.samples) for batch in trace.batches)
        report.findings += _check_slots(trace)
        report.findings += _check_generations(trace)
        for batch in trace.batches:
            report.findings += _check_batch(trace, batch, executed)
    for entry in entries:
        if isinstance(entry, TrainerIdle):
            report.idle_s[f"{entry.service}/{entry.trainer}"] = entry.idle_s


def _build_traces(entries: list[Entry]) -> list[StepTrace]:
    traces: dict[tuple[str, str, int], StepTrace] = {}
    for entry in entries:
        if not isinstance(entry, StepEvent):
            continue
        key = (entry.service, entry.trainer, entry.step)
        if isinstance(entry, StepOpened):
            traces.setdefault(key, StepTrace(entry))
        elif isinstance(entry, BatchTaken):
            traces[key].batches.append(entry)
        else:
            traces[key].complete = entry.complete
    return list(traces.values())


def _check_slots(trace: StepTrace) -> Iterator[Finding]:
    received = {sample.slot for batch in trace.batches for sample in batch.samples}
    for slot in sorted(set(range(trace.slots)) - received):
        yield Finding(Fault.LOST_SLOT, trace.slot_name(slot), "no sample received")
    if not trace.complete and len(received) == trace.slots:
        yield Finding(
            Fault.LOST_SLOT,
            trace.name,
            "all slots received, but the step did not complete",
        )
    for batch in trace.batches:
        counts = Counter(sample.slot for sample in batch.samples)
        held = set(batch.held)
        for slot, count in counts.items():
            if count > 1 or slot in held:
                detail = f"received {count} times, already held: {slot in held}"
                yield Finding(Fault.DOUBLED_SLOT, trace.slot_name(slot), detail)


def _check_generations(trace: StepTrace) -> Iterator[Finding]:
    slots_by_generation: defaultdict[tuple[str, int], set[int]] = defaultdict(set)
    for batch in trace.batches:
        for sample in batch.samples:
            if tokens := parse(sample.text):
                slots_by_generation[tokens[0].prompt_hash, tokens[0].seed].add(
                    sample.slot
                )
    for slots in slots_by_generation.values():
        if len(slots) > 1:
            detail = f"same generation in slots {sorted(slots)}"
            yield Finding(Fault.DOUBLED_SLOT, trace.name, detail)


def _check_batch(
    trace: StepTrace, batch: BatchTaken, executed: ExecutionIndex
) -> Iterator[Finding]:
    for sample in batch.samples:
        if not 0 <= sample.slot < trace.slots:
            detail = f"slot out of range, the step has {trace.slots} slots"
            yield Finding(Fault.FOREIGN_SAMPLE, trace.slot_name(sample.slot), detail)
            continue
        found = find_fault(_generation(trace.opened, sample), executed)
        if found is not None:
            yield Finding(found[0], trace.slot_name(sample.slot), found[1])
        yield from _check_staleness(trace, batch, sample)


def _generation(opened: StepOpened, sample: TakenSample) -> Generation:
    return Generation(
        prompt=opened.prompts[sample.slot // opened.samples_per_group],
        max_tokens=opened.max_tokens,
        text=sample.text,
        count=sample.count,
        spans=sample.spans,
        must_be_labelled=True,
    )


def _check_staleness(
    trace: StepTrace, batch: BatchTaken, sample: TakenSample
) -> Iterator[Finding]:
    """Check staleness by the versions in the tokens, not by the reported spans."""
    oldest = min((token.version for token in parse(sample.text) or []), default=None)
    bound = trace.opened.bound
    if oldest is not None and oldest < batch.version - bound:
        detail = (
            f"token version {oldest}, trainer version {batch.version}, bound {bound}"
        )
        yield Finding(Fault.STALE, trace.slot_name(sample.slot), detail)
