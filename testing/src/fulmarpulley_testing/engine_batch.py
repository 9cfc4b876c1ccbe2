"""Simulate continuous batching with a prefix cache."""

import asyncio
import heapq
import itertools
import time
from collections import OrderedDict

import msgspec

from fulmarpulley_schema.generated.upstream import (
    EndEvent,
    GenerateRequest,
    TokenEvent,
)

from .history import History, RunEnded, RunStarted, SpanStarted
from .tokens import generation_length, token_text


class BatchSettings(msgspec.Struct, kw_only=True):
    """Configure a batch; rates apply to each running request."""

    upstream: str
    tokens_per_s: float = 200.0
    concurrency: int = 8
    cache_tokens: int = 4096
    prefill_tokens_per_s: float = 20000.0


class Run:
    """Hold the progress of one request and its events."""

    def __init__(self, number: int, request: GenerateRequest) -> None:
        self.number = number
        self.request = request
        self.index = len(request.resume_tokens)
        self.length = generation_length(
            request.prompt, request.seed, request.max_tokens
        )
        self.version: int | None = None
        self.prefill_s = 0.0
        self.ended = False
        self.events: asyncio.Queue[TokenEvent | EndEvent] = asyncio.Queue()


class PrefixCache:
    """Cache prompt prefixes up to a size in tokens and evict by least recent use."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0
        self.entries: OrderedDict[str, int] = OrderedDict()

    def touch(self, prefix: str) -> bool:
        """Mark a prefix as recently used and return whether it is cached."""
        if prefix not in self.entries:
            return False
        self.entries.move_to_end(prefix)
        return True

    def add(self, prefix: str, tokens: int) -> list[str]:
        """Cache a prefix and return the evicted ones."""
        self.entries[prefix] = tokens
        self.used += tokens
        evicted = []
        while self.used > self.size and len(self.entries) > 1:
            oldest, size = self.entries.popitem(last=False)
            self.used -= size
            evicted.append(oldest)
        return evicted


class Batch:
    """Generate tokens for the running requests at a fixed rate."""

    def __init__(self, settings: BatchSettings, history: History) -> None:
        self.settings = settings
        self.history = history
        self.versions: dict[str, int] = {}
        self.cache = PrefixCache(settings.cache_tokens)
        self.cache_changes: list[tuple[list[str], list[str]]] = []
        self.queued: list[tuple[int, int, Run]] = []
        self.running: dict[int, Run] = {}
        # Start at the clock, so that numbers do not repeat after a process restart.
        self.run_numbers = itertools.count(time.monotonic_ns())
        self.paused = False
        self.hung = False

    def submit(self, request: GenerateRequest) -> Run:
        """Queue a request; higher priorities run first."""
        run = Run(next(self.run_numbers), request)
        heapq.heappush(self.queued, (-request.priority, run.number, run))
        return run

    def cancel(self, request_id: str) -> bool:
        """Cancel the runs of a request id and return whether there were any."""
        waiting = [run for _, _, run in self.queued]
        found = [
            run
            for run in [*self.running.values(), *waiting]
            if run.request.request_id == request_id and not run.ended
        ]
        for run in found:
            self.end(run, "cancelled")
        return bool(found)

    def end(self, run: Run, reason: str) -> None:
        """End a run; do nothing if it has already ended."""
        if run.ended:
            return
        run.ended = True
        run.events.put_nowait(EndEvent(count=run.index, reason=reason))
        if self.running.pop(run.number, None) is not None:
            self._record_end(run, reason)

    def queue_length(self) -> int:
        """Return the number of requests that wait to run."""
        return sum(not run.ended for _, _, run in self.queued)

    async def run_forever(self) -> None:
        """Generate tokens until cancelled."""
        loop = asyncio.get_running_loop()
        period = 1 / self.settings.tokens_per_s
        due = loop.time()
        while True:
            if not self.paused and not self.hung:
                self._admit()
                self._produce(period)
            # Catch up after a late wake-up, by five periods at most.
            due = max(due + period, loop.time() - 5 * period)
            await asyncio.sleep(max(0.0, due - loop.time()))

    def _admit(self) -> None:
        while self.queued and len(self.running) < self.settings.concurrency:
            run = heapq.heappop(self.queued)[2]
            if not run.ended:
                self._start(run)

    def _start(self, run: Run) -> None:
        request = run.request
        self.running[run.number] = run
        run.prefill_s = self._prefill_s(request)
        started = RunStarted(
            upstream=self.settings.upstream,
            request_id=request.request_id,
            model=request.model,
            prompt=request.prompt,
            seed=request.seed,
            max_tokens=request.max_tokens,
            resumed=run.index,
        )
        self.history.add(started)

    def _prefill_s(self, request: GenerateRequest) -> float:
        tokens = len(request.prompt) + len(request.resume_tokens)
        prefix = request.prefix
        if prefix and self.cache.touch(prefix):
            tokens = len(request.resume_tokens)
        elif prefix:
            evicted = self.cache.add(prefix, len(request.prompt))
            self.cache_changes.append(([prefix], evicted))
        return tokens / self.settings.prefill_tokens_per_s

    def _produce(self, period: float) -> None:
        for run in list(self.running.values()):
            if run.prefill_s > 0:
                run.prefill_s -= period
            elif run.index >= run.length:
                self.end(run, "stop")
            else:
                self._produce_token(run)

    def _produce_token(self, run: Run) -> None:
        request = run.request
        version = self.versions.get(request.model, 0)
        if version != run.version:
            run.version = version
            self._record_span(run, version)
        text = token_text(request.prompt, request.seed, run.index, version)
        event = TokenEvent(index=run.index, token=text, version=version)
        run.index += 1
        run.events.put_nowait(event)
        if run.index >= run.length:
            self.end(run, "stop")

    def _record_span(self, run: Run, version: int) -> None:
        span = SpanStarted(
            upstream=self.settings.upstream,
            run=run.number,
            prompt=run.request.prompt,
            seed=run.request.seed,
            index=run.index,
            version=version,
        )
        self.history.add(span)

    def _record_end(self, run: Run, reason: str) -> None:
        ended = RunEnded(
            upstream=self.settings.upstream,
            run=run.number,
            request_id=run.request.request_id,
            count=run.index,
            reason=reason,
        )
        self.history.add(ended)
