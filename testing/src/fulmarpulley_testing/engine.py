"""Run a simulated model engine with continuous batching."""

import asyncio
import os
import time
from collections import deque
from collections.abc import AsyncIterator

import defopt
import msgspec
from aiohttp import web

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.upstream import (
    CancelRequest,
    EndEvent,
    GenerateRequest,
    LoadBody,
    TokenEvent,
)

from .engine_batch import Batch, BatchSettings, Run
from .engine_orders import EngineFaults, OrderExecutor
from .history import History
from .serving import (
    abort_connection,
    add_control,
    decode_body,
    json_response,
    serve,
    sleep_if_positive,
)

LOAD_PERIOD_S = 0.05
MAX_LOAD_SAMPLES = 400
CRASH_EXIT_CODE = 70


class CacheEvent(msgspec.Struct, kw_only=True):
    """Report prefixes that entered or left the cache."""

    offset: int
    added: list[str]
    removed: list[str]


class CacheEvents(msgspec.Struct, kw_only=True):
    """Hold a page of cache events, whose offsets may have gaps."""

    next: int
    events: list[CacheEvent]


class Engine:
    """Serve the HTTP interface of an engine."""

    def __init__(self, settings: BatchSettings, history: History) -> None:
        self.settings = settings
        self.history = history
        self.faults = EngineFaults()
        self.batch = Batch(settings, history)
        self.orders = OrderExecutor(self.batch, self.faults, history)
        self.load_samples: deque[tuple[float, LoadBody]] = deque(
            maxlen=MAX_LOAD_SAMPLES
        )
        self.generated = 0

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Run a request and stream its tokens; answer 503 if refused before it ran."""
        message = await decode_body(request, GenerateRequest)
        # Draining alone refuses nothing, so the history shows what nodes still send.
        if self.faults.refusals > 0:
            self.faults.refusals -= 1
            return web.Response(status=503)
        run = self.batch.submit(message)
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        try:
            await response.prepare(request)
            await self.stream(run, request, response)
        except ConnectionResetError:
            return response
        finally:
            self.batch.end(run, "disconnected")
        return response

    async def stream(
        self, run: Run, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Write the events of a run until it ends or a fault cuts the stream."""
        async for event in _run_events(run):
            name = "token" if isinstance(event, TokenEvent) else "end"
            data = codec.to_json(self.mask_version(event))
            await response.write(b"event: %s\ndata: %s\n\n" % (name.encode(), data))
            if name == "token":
                self.count_sent_token()
            if self.faults.cut_streams > 0 and name == "token":
                self.faults.cut_streams -= 1
                abort_connection(request)
                return

    def mask_version(self, event: TokenEvent | EndEvent) -> TokenEvent | EndEvent:
        """Remove the version from a token if the hide_versions fault is set."""
        if self.faults.hide_versions and isinstance(event, TokenEvent):
            return TokenEvent(index=event.index, token=event.token)
        return event

    def count_sent_token(self) -> None:
        """Count a token and exit the process at the crash_after_tokens limit."""
        self.generated += 1
        limit = self.faults.crash_after_tokens
        if limit and self.generated >= limit:
            os._exit(CRASH_EXIT_CODE)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request."""
        message = await decode_body(request, CancelRequest)
        found = self.batch.cancel(message.request_id)
        return json_response({}, 200 if found else 404)

    async def load(self, _request: web.Request) -> web.Response:
        """Report the load as it was load_lag_s ago."""
        await sleep_if_positive(self.faults.load_delay_s)
        now = time.monotonic()
        old_enough = [
            sample
            for sample in self.load_samples
            if sample[0] <= now - self.faults.load_lag_s
        ]
        sampled_at, body = old_enough[-1] if old_enough else (now, self.current_load())
        return json_response(msgspec.structs.replace(body, age_s=now - sampled_at))

    def current_load(self) -> LoadBody:
        """Return the current load."""
        return LoadBody(
            running=len(self.batch.running),
            queued=self.batch.queue_length(),
            cache_used=self.batch.cache.used,
            cache_size=self.batch.cache.size,
            versions=dict(self.batch.versions),
            draining=self.faults.draining,
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return cache events after cache_lag_s, without every cache_gap-th one."""
        await sleep_if_positive(self.faults.cache_lag_s)
        start = max(1, int(request.query.get("from", "1")))
        changes = self.batch.cache_changes
        gap = self.faults.cache_gap
        events = [
            CacheEvent(offset=offset, added=added, removed=removed)
            for offset, (added, removed) in enumerate(changes, 1)
            if offset >= start and not (gap and offset % gap == 0)
        ]
        return json_response(CacheEvents(next=len(changes) + 1, events=events))

    async def sample_load(self) -> None:
        """Apply the hang fault and sample the load periodically."""
        while True:
            self.batch.hung = self.faults.hang
            self.load_samples.append((time.monotonic(), self.current_load()))
            await asyncio.sleep(LOAD_PERIOD_S)

    async def run(self, _app: web.Application) -> AsyncIterator[None]:
        """Run the batch and load sampling while the application runs."""
        tasks = [
            asyncio.create_task(self.batch.run_forever()),
            asyncio.create_task(self.sample_load()),
        ]
        yield
        for task in tasks:
            task.cancel()


async def _run_events(run: Run) -> AsyncIterator[TokenEvent | EndEvent]:
    while True:
        event = await run.events.get()
        yield event
        if isinstance(event, EndEvent):
            return


def application(engine: Engine) -> web.Application:
    """Build the application of an engine."""
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.router.add_post("/v1/generate", engine.generate)
    app.router.add_post("/v1/cancel", engine.cancel)
    app.router.add_get("/v1/load", engine.load)
    app.router.add_get("/v1/cache-events", engine.cache_events)
    app.router.add_post("/v1/orders", engine.orders.handle)
    app.router.add_post("/v1/kv/export", engine.orders.export_cache)
    app.router.add_post("/v1/kv/import", engine.orders.import_cache)
    app.cleanup_ctx.append(engine.run)
    add_control(app, engine, engine.history)
    return app


def main(
    *,
    port: int,
    name: str = "engine",
    history: str = "",
    model: str = "model",
    version: int = 0,
    tokens_per_s: float = 200.0,
    concurrency: int = 8,
    cache_tokens: int = 4096,
    swap_s: float = 0.5,
    checks_fencing: bool = False,
    weight_store: str = "",
) -> None:
    """Run an engine with an initial version of one model."""
    settings = BatchSettings(
        upstream=name,
        tokens_per_s=tokens_per_s,
        concurrency=concurrency,
        cache_tokens=cache_tokens,
    )
    engine = Engine(settings, History(history))
    engine.batch.versions[model] = version
    engine.faults.swap_s = swap_s
    engine.faults.checks_fencing = checks_fencing
    engine.orders.weight_store = weight_store
    serve(application(engine), port)


if __name__ == "__main__":
    defopt.run(main)
