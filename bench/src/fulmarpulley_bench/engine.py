"""Simulate an inference engine with continuous batching and a prefix cache."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from itertools import count

import msgspec

from fulmarpulley_core.ids import AttemptId, ModelName, PrefixId, Version
from fulmarpulley_schema.generated.http import Span

from .clock import Clock


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the speed and the memory of an engine."""

    capacity: int
    # Tokens per second of a stream that runs alone.
    peak_rate: float
    # Number of running streams at which the rate per stream is half the peak rate.
    half_rate_streams: float
    # Prompt tokens that take as long as one generated token.
    prefill_ratio: float = 20.0
    cache_tokens: int = 40_000
    swap_s: float = 2.0

    def rate(self, streams: int) -> float:
        """Return the tokens per second of each stream when `streams` of them run."""
        return self.peak_rate / (1.0 + streams / self.half_rate_streams)

    def full_rate(self) -> float:
        """Return the tokens per second of the engine at full capacity."""
        return self.capacity * self.rate(self.capacity)


class Stream(msgspec.Struct):
    """Hold an attempt on an engine; `prefill` is a cost in generated tokens."""

    attempt_id: AttemptId
    model: ModelName
    prefix: PrefixId
    prompt_tokens: int
    resume_from: int
    length: int
    priority: int
    started: float = 0.0
    prefill: float = 0.0
    tokens_at_start: float = 0.0
    spans: list[Span] = []


class CachedPrefix(msgspec.Struct, frozen=True):
    """Describe a prompt prefix in the cache of an engine."""

    model: ModelName
    tokens: int


class Engine:
    """Run streams at an equal rate that falls with their number."""

    def __init__(
        self,
        clock: Clock,
        profile: EngineProfile,
        finished: Callable[[Stream, int], None],
    ) -> None:
        self.clock = clock
        self.profile = profile
        self.finished = finished
        self.alive = True
        self.epoch = 0
        self.paused = 0
        self.versions: dict[ModelName, Version] = {}
        self.running: dict[AttemptId, Stream] = {}
        self.waiting: list[tuple[int, int, Stream]] = []
        self.cache: OrderedDict[PrefixId, CachedPrefix] = OrderedDict()
        self.cache_used = 0
        self.cache_added: list[PrefixId] = []
        self.cache_removed: list[PrefixId] = []
        self.generated = 0.0
        # Tokens that a stream would have generated since the start. All streams run at
        # the same rate, so that one counter measures the progress of each of them.
        self._tokens_per_stream = 0.0
        self._updated = 0.0
        self._ends: list[tuple[float, AttemptId]] = []
        self._generation = 0
        self._sequence = count()

    def start(self, stream: Stream) -> None:
        """Run a stream, or queue it by priority when the engine is at capacity."""
        self._advance()
        if len(self.running) < self.profile.capacity:
            self._run(stream)
        else:
            entry = (-stream.priority, next(self._sequence), stream)
            heapq.heappush(self.waiting, entry)
        self._schedule()

    def cancel(self, attempt_id: AttemptId) -> int:
        """Stop a stream and return the tokens generated in this attempt."""
        self._advance()
        stream = self.running.pop(attempt_id, None)
        if stream is None:
            self.waiting = [w for w in self.waiting if w[2].attempt_id != attempt_id]
            heapq.heapify(self.waiting)
            return 0
        tokens = self._generated_tokens(stream)
        self._run_waiting()
        self._schedule()
        return tokens

    def progress(self) -> list[tuple[Stream, int]]:
        """Return the running streams with the tokens generated in this attempt."""
        self._advance()
        return [
            (stream, self._generated_tokens(stream)) for stream in self.running.values()
        ]

    def spans(self, stream: Stream, tokens: int) -> list[Span]:
        """Return the version spans of the first tokens of an attempt."""
        labelled = [span for span in stream.spans if span.tokens > 0]
        remaining = tokens - sum(span.tokens for span in labelled)
        if remaining > 0:
            labelled.append(Span(version=self.versions[stream.model], tokens=remaining))
        return labelled

    def pause(self) -> None:
        """Pause all streams for a weight swap."""
        self._advance()
        self.paused += 1
        self._schedule()

    def resume(self) -> None:
        """Resume the streams after a weight swap."""
        self._advance()
        self.paused -= 1
        self._schedule()

    def set_version(self, model: ModelName, version: Version) -> None:
        """Serve a version; tokens generated before keep the old version."""
        self._advance()
        for stream in self.running.values():
            if stream.model == model:
                stream.spans = self.spans(stream, self._generated_tokens(stream))
        self.versions[model] = version
        outdated = [
            prefix for prefix, cached in self.cache.items() if cached.model == model
        ]
        for prefix in outdated:
            self._evict_prefix(prefix)

    def crash(self) -> list[tuple[Stream, int]]:
        """Drop all streams and the cache; return the streams with their tokens."""
        lost = self.progress() + [(entry[2], 0) for entry in self.waiting]
        self.alive = False
        self.epoch += 1
        self.paused = 0
        self.running = {}
        self.waiting = []
        self.cache.clear()
        self.cache_used = 0
        self._schedule()
        return lost

    def restart(self, versions: dict[ModelName, Version]) -> None:
        """Accept streams again with an empty cache."""
        self._advance()
        self.alive = True
        self.versions = dict(versions)

    def _run(self, stream: Stream) -> None:
        stream.started = self.clock.now
        prompt = 0 if stream.prefix in self.cache else stream.prompt_tokens
        prefill = (prompt + stream.resume_from) / self.profile.prefill_ratio
        stream.prefill = prefill
        stream.tokens_at_start = self._tokens_per_stream
        self.running[stream.attempt_id] = stream
        end = self._tokens_per_stream + prefill + stream.length - stream.resume_from
        heapq.heappush(self._ends, (end, stream.attempt_id))
        self._cache_prefix(stream)

    def _cache_prefix(self, stream: Stream) -> None:
        if not stream.prefix:
            return
        if stream.prefix not in self.cache:
            cached = CachedPrefix(stream.model, stream.prompt_tokens)
            self.cache[stream.prefix] = cached
            self.cache_used += cached.tokens
            self.cache_added.append(stream.prefix)
        self.cache.move_to_end(stream.prefix)
        while self.cache_used > self.profile.cache_tokens:
            self._evict_prefix(next(iter(self.cache)))

    def _evict_prefix(self, prefix: PrefixId) -> None:
        self.cache_used -= self.cache.pop(prefix).tokens
        self.cache_removed.append(prefix)

    def _generated_tokens(self, stream: Stream) -> int:
        done = self._tokens_per_stream - stream.tokens_at_start - stream.prefill
        return max(0, min(int(done + 1e-6), stream.length - stream.resume_from))

    def _run_waiting(self) -> None:
        while self.waiting and len(self.running) < self.profile.capacity:
            self._run(heapq.heappop(self.waiting)[2])

    def _advance(self) -> None:
        elapsed = self.clock.now - self._updated
        self._updated = self.clock.now
        if self.running and not self.paused:
            streams = len(self.running)
            tokens = elapsed * self.profile.rate(streams)
            self._tokens_per_stream += tokens
            self.generated += tokens * streams

    def _schedule(self) -> None:
        self._generation += 1
        while self._ends and self._ends[0][1] not in self.running:
            heapq.heappop(self._ends)
        if not self._ends or self.paused or not self.running:
            return
        generation = self._generation
        remaining = max(0.0, self._ends[0][0] - self._tokens_per_stream)
        delay = remaining / self.profile.rate(len(self.running))
        self.clock.after(delay, lambda: self._end(generation))

    def _end(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        self._tokens_per_stream = max(self._tokens_per_stream, self._ends[0][0])
        ended: list[Stream] = []
        while self._ends and self._ends[0][0] <= self._tokens_per_stream + 1e-6:
            stream = self.running.pop(heapq.heappop(self._ends)[1], None)
            if stream is not None:
                ended.append(stream)
        self._run_waiting()
        self._schedule()
        for stream in ended:
            self.finished(stream, stream.length - stream.resume_from)
