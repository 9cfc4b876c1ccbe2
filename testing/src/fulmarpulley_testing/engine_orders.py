"""Execute the orders that nodes send to an engine."""

import asyncio

import aiohttp
import msgspec
from aiohttp import web

from fulmarpulley_schema.generated.upstream import (
    OrderAction,
    OrderRefusal,
    OrderRequest,
)

from .engine_batch import Batch
from .history import History, OrderHandled
from .serving import decode_body, json_response, sleep_if_positive

FETCH_TIMEOUT_S = 10.0


class EngineFaults(msgspec.Struct):
    """Hold the faults of an engine; counts apply to the next requests or swaps."""

    swap_s: float = 0.5
    failed_swaps: int = 0
    checks_fencing: bool = False
    draining: bool = False
    hang: bool = False
    refusals: int = 0
    cut_streams: int = 0
    crash_after_tokens: int = 0
    hide_versions: bool = False
    load_lag_s: float = 0.2
    load_delay_s: float = 0.0
    cache_lag_s: float = 0.0
    cache_gap: int = 0


class CacheTransfer(msgspec.Struct, kw_only=True):
    """Identify a cached prefix and its size in tokens."""

    prefix: str
    tokens: int = 0


class OrderExecutor:
    """Check the fence of orders and execute them one at a time."""

    def __init__(self, batch: Batch, faults: EngineFaults, history: History) -> None:
        self.batch = batch
        self.faults = faults
        self.history = history
        self.weight_store = ""
        self.newest_fence = 0
        self.lock = asyncio.Lock()
        self.outcomes: dict[str, asyncio.Future[bool]] = {}

    async def handle(self, request: web.Request) -> web.Response:
        """Execute an order; answer 200 on success, 500 on failure, 409 if fenced."""
        order = await decode_body(request, OrderRequest)
        if self.faults.checks_fencing and order.fence < self.newest_fence:
            self.record(order, "fenced")
            return json_response(OrderRefusal(newest_fence=self.newest_fence), 409)
        self.newest_fence = max(self.newest_fence, order.fence)
        outcome = self.outcomes.get(order.order_id)
        if outcome is None:
            outcome = asyncio.ensure_future(self.execute(order))
            self.outcomes[order.order_id] = outcome
        done = await asyncio.shield(outcome)
        return json_response({}, 200 if done else 500)

    async def execute(self, order: OrderRequest) -> bool:
        """Execute an order and record its outcome."""
        async with self.lock:
            done = order.action != OrderAction.LOAD or await self.swap(order)
        self.record(order, "done" if done else "failed")
        return done

    async def swap(self, order: OrderRequest) -> bool:
        """Fetch weights, pause generation and continue with the new version."""
        if not await self.fetch(order):
            return False
        self.batch.paused = True
        try:
            await sleep_if_positive(self.faults.swap_s)
        finally:
            self.batch.paused = False
        if self.faults.failed_swaps > 0:
            self.faults.failed_swaps -= 1
            return False
        self.batch.versions[order.model] = order.version
        return True

    async def fetch(self, order: OrderRequest) -> bool:
        """Download the weights from the store unless another engine is the source."""
        if order.source or not self.weight_store:
            return True
        url = f"{self.weight_store}/weights/{order.model}/{order.version}"
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url, allow_redirects=False) as answer,
            ):
                await answer.read()
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def record(self, order: OrderRequest, outcome: str) -> None:
        """Record an order and its outcome."""
        handled = OrderHandled(
            upstream=self.batch.settings.upstream,
            order_id=order.order_id,
            model=order.model,
            version=order.version,
            fence=order.fence,
            outcome=outcome,
        )
        self.history.add(handled)

    async def export_cache(self, request: web.Request) -> web.Response:
        """Return the size of a cached prefix."""
        requested = await decode_body(request, CacheTransfer)
        tokens = self.batch.cache.entries.get(requested.prefix)
        if tokens is None:
            return web.Response(status=404)
        return json_response(CacheTransfer(prefix=requested.prefix, tokens=tokens))

    async def import_cache(self, request: web.Request) -> web.Response:
        """Cache a prefix that another engine exported."""
        imported = await decode_body(request, CacheTransfer)
        if not self.batch.cache.touch(imported.prefix):
            evicted = self.batch.cache.add(imported.prefix, imported.tokens)
            self.batch.cache_changes.append(([imported.prefix], evicted))
        return json_response({})
