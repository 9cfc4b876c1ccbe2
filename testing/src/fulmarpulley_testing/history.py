"""Record what callers, trainers and upstreams observed, for the history checker."""

import os
import time
from pathlib import Path
from typing import TypeAlias

import msgspec

from fulmarpulley_schema.generated.http import Ran, Span


class RunStarted(msgspec.Struct, tag=True, kw_only=True):
    """Record that an engine admitted a request to its running batch."""

    at: float = msgspec.field(default_factory=time.monotonic)
    upstream: str
    request_id: str
    model: str
    prompt: str
    seed: int
    max_tokens: int
    resumed: int


class SpanStarted(msgspec.Struct, tag=True, kw_only=True):
    """Record the version that generates the tokens of a run from an index on."""

    at: float = msgspec.field(default_factory=time.monotonic)
    upstream: str
    run: int
    prompt: str
    seed: int
    index: int
    version: int


class RunEnded(msgspec.Struct, tag=True, kw_only=True):
    """Record the end of a run; count includes the resumed tokens."""

    at: float = msgspec.field(default_factory=time.monotonic)
    upstream: str
    run: int
    request_id: str
    count: int
    reason: str


class OrderHandled(msgspec.Struct, tag=True, kw_only=True):
    """Record an order and its outcome at the engine."""

    at: float = msgspec.field(default_factory=time.monotonic)
    upstream: str
    order_id: str
    model: str
    version: int
    fence: int
    outcome: str


class CallExecuted(msgspec.Struct, tag=True, kw_only=True):
    """Record that a plain service executed a call."""

    at: float = msgspec.field(default_factory=time.monotonic)
    upstream: str
    key: str
    body: str


class Invoked(msgspec.Struct, tag=True, kw_only=True):
    """Record a request, with a unique input, that a caller wants answered once."""

    at: float = msgspec.field(default_factory=time.monotonic)
    caller: str
    invocation: str
    service: str
    dialect: str
    input: str
    max_tokens: int
    repeatable: bool


class AttemptStarted(msgspec.Struct, tag=True, kw_only=True):
    """Record that a caller sends its request or fetches the answer by key."""

    at: float = msgspec.field(default_factory=time.monotonic)
    invocation: str
    attempt: int
    node: str
    fetch: bool
    key: str | None


class AttemptAnswered(msgspec.Struct, tag=True, kw_only=True):
    """Record a complete answer; indexes are those of its streamed tokens."""

    at: float = msgspec.field(default_factory=time.monotonic)
    invocation: str
    attempt: int
    text: str
    count: int
    spans: list[Span]
    upstream: str
    indexes: list[int] | None = None


class AttemptFailed(msgspec.Struct, tag=True, kw_only=True):
    """Record a failed attempt; ran is absent if the connection was lost."""

    at: float = msgspec.field(default_factory=time.monotonic)
    invocation: str
    attempt: int
    code: str
    ran: Ran | None = None


class Completed(msgspec.Struct, tag=True, kw_only=True):
    """Record the outcome: answered, not_run, unresolved or gave_up."""

    at: float = msgspec.field(default_factory=time.monotonic)
    invocation: str
    outcome: str


class StepOpened(msgspec.Struct, tag=True, kw_only=True):
    """Record that a trainer opened a step, also when it sends the step again."""

    at: float = msgspec.field(default_factory=time.monotonic)
    service: str
    trainer: str
    step: int
    prompts: list[str]
    samples_per_group: int
    max_tokens: int
    bound: int
    version: int
    held: list[int]


class TakenSample(msgspec.Struct, kw_only=True):
    """Hold one sample as the trainer received it."""

    slot: int
    text: str
    count: int
    spans: list[Span]
    upstream: str


class BatchTaken(msgspec.Struct, tag=True, kw_only=True):
    """Record the answer to a take that the trainer did not abandon."""

    at: float = msgspec.field(default_factory=time.monotonic)
    service: str
    trainer: str
    step: int
    version: int
    held: list[int]
    samples: list[TakenSample]


class TakeAbandoned(msgspec.Struct, tag=True, kw_only=True):
    """Record a take whose answer the trainer discards."""

    at: float = msgspec.field(default_factory=time.monotonic)
    service: str
    trainer: str
    step: int


class StepEnded(msgspec.Struct, tag=True, kw_only=True):
    """Record the end of a step and how long the trainer waited for its samples."""

    at: float = msgspec.field(default_factory=time.monotonic)
    service: str
    trainer: str
    step: int
    complete: bool
    idle_s: float


class TrainerIdle(msgspec.Struct, tag=True, kw_only=True):
    """Record the total wait of a trainer that finished all its steps."""

    at: float = msgspec.field(default_factory=time.monotonic)
    service: str
    trainer: str
    idle_s: float


class VersionPublished(msgspec.Struct, tag=True, kw_only=True):
    """Record that a trainer's announcement of a version was accepted."""

    at: float = msgspec.field(default_factory=time.monotonic)
    service: str
    trainer: str
    version: int


Entry: TypeAlias = (
    RunStarted
    | SpanStarted
    | RunEnded
    | OrderHandled
    | CallExecuted
    | Invoked
    | AttemptStarted
    | AttemptAnswered
    | AttemptFailed
    | Completed
    | StepOpened
    | BatchTaken
    | TakeAbandoned
    | StepEnded
    | TrainerIdle
    | VersionPublished
)

_decoder: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)


class History:
    """Keep records in memory and in a file that survives a kill of the process."""

    def __init__(self, path: str = "") -> None:
        self.records: list[Entry] = []
        flags = os.O_CREAT | os.O_WRONLY | os.O_APPEND
        self.file_descriptor = os.open(path, flags) if path else None

    def add(self, entry: Entry) -> None:
        """Append one record."""
        self.records.append(entry)
        if self.file_descriptor is not None:
            os.write(self.file_descriptor, msgspec.json.encode(entry) + b"\n")


class HistoryReader:
    """Read the history files of a folder incrementally.

    All processes of a test run on one machine, so their monotonic clocks agree.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.entries: list[Entry] = []
        self.offsets: dict[Path, int] = {}

    def read(self) -> list[Entry]:
        """Return all records so far, oldest first, without incomplete last lines."""
        for path in sorted(self.folder.glob("*.jsonl")):
            self._read_file(path)
        self.entries.sort(key=lambda entry: entry.at)
        return self.entries

    def _read_file(self, path: Path) -> None:
        offset = self.offsets.get(path, 0)
        with path.open("rb") as file:
            file.seek(offset)
            data = file.read()
        complete_lines = data[: data.rfind(b"\n") + 1]
        self.offsets[path] = offset + len(complete_lines)
        self.entries += [_decoder.decode(line) for line in complete_lines.splitlines()]
