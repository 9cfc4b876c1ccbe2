"""Collect the samples of one training step."""

import asyncio
import base64
import random
import time
from contextlib import suppress

import msgspec

from fulmarpulley_schema.generated.http import (
    PromptGroup,
    SampleBatch,
    StepOpen,
    StepTake,
)

from .history import (
    BatchTaken,
    History,
    StepEnded,
    StepOpened,
    TakeAbandoned,
    TakenSample,
)
from .node_client import CallError, NodeClient

MAX_ABANDON_DELAY_S = 0.5
MAX_TAKE_WAIT_S = 2.0


class TrainerSettings(msgspec.Struct, kw_only=True):
    """Configure a trainer."""

    service: str
    trainer: str
    model: str
    first_step: int
    steps: int
    groups: int
    samples_per_group: int
    max_tokens: int
    bound: int
    train_s: float
    abandon_ratio: float
    patience_s: float
    read_timeout_s: float
    seed: int
    weight_store: str
    weight_bytes: int


def encode_bitmap(slots: set[int], count: int) -> str:
    """Encode slots as base64; slot s is bit s % 8 (lowest first) of byte s // 8."""
    data = bytearray((count + 7) // 8)
    for slot in slots:
        data[slot // 8] |= 1 << slot % 8
    return base64.b64encode(data).decode()


class Step:
    """Open one step and take its samples until it has all of them."""

    def __init__(
        self, client: NodeClient, history: History, settings: TrainerSettings, step: int
    ) -> None:
        self.client = client
        self.history = history
        self.settings = settings
        self.step = step
        self.random = random.Random(f"{settings.seed}/{step}")
        self.slots = settings.groups * settings.samples_per_group
        self.held: set[int] = set()
        self.node = client.choose()
        trainer = f"/v1/services/{settings.service}/trainers/{settings.trainer}"
        self.path = f"{trainer}/steps/{step}"
        self.prompts = [
            f"{settings.service}/{settings.trainer}/{settings.seed}/{step}/{group}"
            for group in range(settings.groups)
        ]

    async def open(self, version: int) -> None:
        """Send the step with the held slots until a node accepts it."""
        settings = self.settings
        body = StepOpen(
            groups=[PromptGroup(prompt=p, prefix=p) for p in self.prompts],
            samples_per_group=settings.samples_per_group,
            version=version,
            max_tokens=settings.max_tokens,
            staleness_bound=settings.bound,
            held=encode_bitmap(self.held, self.slots),
        )
        opened = StepOpened(
            service=settings.service,
            trainer=settings.trainer,
            step=self.step,
            prompts=self.prompts,
            samples_per_group=settings.samples_per_group,
            max_tokens=settings.max_tokens,
            bound=settings.bound,
            version=version,
            held=sorted(self.held),
        )
        self.history.add(opened)
        await self.send_until_accepted("PUT", self.path, body, settings.patience_s)

    async def send_until_accepted(
        self, method: str, path: str, body: object, patience_s: float
    ) -> None:
        """Retry a call at other nodes; raise CallError after patience_s."""
        deadline = time.monotonic() + patience_s
        while True:
            try:
                await self.client.send(self.node, method, path, body)
            except CallError as error:
                if time.monotonic() > deadline:
                    raise
                self.node = self.client.choose(avoid=self.node)
                await asyncio.sleep(min(error.retry_after_s, 1.0))
            else:
                return

    async def collect(self, version: int) -> bool:
        """Take samples until every slot is held; return False on a time-out."""
        started = time.monotonic()
        deadline = started + self.settings.patience_s
        while len(self.held) < self.slots and time.monotonic() < deadline:
            try:
                await self.take(version)
            except CallError as error:
                await self.handle_take_error(error, version)
        complete = len(self.held) == self.slots
        ended = StepEnded(
            service=self.settings.service,
            trainer=self.settings.trainer,
            step=self.step,
            complete=complete,
            idle_s=time.monotonic() - started,
        )
        self.history.add(ended)
        return complete

    async def handle_take_error(self, error: CallError, version: int) -> None:
        """Open the step again if the node does not know it, else switch nodes."""
        if error.code == "unknown_step":
            await self.open(version)
            return
        self.node = self.client.choose(avoid=self.node)
        await asyncio.sleep(min(error.retry_after_s, 1.0))

    async def take(self, version: int) -> None:
        """Take finished samples once, or abandon the take at random."""
        body = StepTake(
            version=version,
            held=encode_bitmap(self.held, self.slots),
            wait_s=min(MAX_TAKE_WAIT_S, self.settings.read_timeout_s / 2),
        )
        call = self.client.call(
            self.node, "POST", f"{self.path}/take", SampleBatch, body
        )
        if self.random.random() >= self.settings.abandon_ratio:
            self.accept_batch(await call, version)
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(call, self.random.random() * MAX_ABANDON_DELAY_S)
        self.record_abandoned()

    def record_abandoned(self) -> None:
        """Record a take whose answer is discarded."""
        abandoned = TakeAbandoned(
            service=self.settings.service,
            trainer=self.settings.trainer,
            step=self.step,
        )
        self.history.add(abandoned)

    def accept_batch(self, batch: SampleBatch, version: int) -> None:
        """Record a batch and mark its slots as held."""
        samples = [
            TakenSample(
                slot=sample.slot,
                text=sample.text,
                count=sample.count,
                spans=sample.spans,
                upstream=sample.upstream,
            )
            for sample in batch.samples
        ]
        taken = BatchTaken(
            service=self.settings.service,
            trainer=self.settings.trainer,
            step=self.step,
            version=version,
            held=sorted(self.held),
            samples=samples,
        )
        self.history.add(taken)
        self.held |= {sample.slot for sample in samples}

    async def close(self) -> None:
        """Close the step; on an error only switch nodes."""
        try:
            await self.client.send(self.node, "DELETE", self.path)
        except CallError:
            self.node = self.client.choose(avoid=self.node)
