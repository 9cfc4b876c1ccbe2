"""Test the listing of a keyed topic beside odd keys and items of other writers."""

import base64
import unittest
from typing import Any

from aiohttp import web
from result import Ok
from rollout_settings import settings

from fulmarpulley_node.platform.store import Listing, StoreClient
from fulmarpulley_node.rollout.metrics import RolloutMetrics

KEYS = ["a", "b&After=z c", "c%20d#e?f", "é", "z"]


def item(key: str) -> dict[str, Any]:
    return {"Key": key, "Value": base64.b64encode(b"{}").decode(), "Offset": 1}


class PagedStore:
    """Lists one key per page, after an odd item."""

    def __init__(self, odd_items: list[Any]) -> None:
        self.odd_items = odd_items
        self.calls = 0

    async def newest(self, request: web.Request) -> web.Response:
        self.calls += 1
        after = request.query.get("After")
        position = 0 if after is None else KEYS.index(after) + 1
        items = [*self.odd_items, *(item(key) for key in KEYS[position : position + 1])]
        return web.json_response(
            {"Items": items, "HasMore": position < len(KEYS) - 1, "End": 7}
        )


class ListingTest(unittest.IsolatedAsyncioTestCase):
    """Guards against listings that one odd key or item makes fail or never end."""

    async def list(self, store: PagedStore) -> Listing:
        app = web.Application()
        app.router.add_get("/-/log-newest", store.newest)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        address = runner.addresses[0]
        options = settings()
        options.log.address = f"{address[0]}:{address[1]}"
        client = StoreClient(options, RolloutMetrics())
        self.addAsyncCleanup(client.close)
        result = await client.newest("keyed.servers")
        assert isinstance(result, Ok)
        return result.ok_value

    async def test_pages_after_odd_keys_are_listed(self) -> None:
        store = PagedStore([])
        listing = await self.list(store)
        self.assertEqual([found.key for found in listing.items], KEYS)
        self.assertEqual(store.calls, len(KEYS))

    async def test_items_beside_odd_ones_are_listed(self) -> None:
        odd = [{"Key": 7, "Value": "e30="}, {"Key": "x", "Value": "no base64!"}, None]
        listing = await self.list(PagedStore(odd))
        self.assertEqual([found.key for found in listing.items], KEYS)
