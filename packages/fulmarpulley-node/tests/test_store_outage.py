"""Guard calls to a store that falls silent and comes back."""

import asyncio
import time
import unittest

from result import Err, Ok
from rollout_settings import settings as rollout_settings

from fulmarpulley_node.platform.store import (
    CALL_TIMEOUT_S,
    RESEND_INTERVAL_S,
    StoreClient,
)
from fulmarpulley_node.rollout.metrics import RolloutMetrics

LONG_POLL_S = 1.0
OUTAGE_S = 4.0
SLOW_S = 0.8
# What a call takes beside the time that the store needs.
SLACK_S = 0.3
EMPTY_PAGE = bytes(16)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + EMPTY_PAGE


class StandIn:
    """Answers after some time, or never; calls that were taken meanwhile stay so."""

    def __init__(self) -> None:
        self.silent = False
        self.delay_s = 0.0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                silent = self.silent
                await asyncio.sleep(self.delay_s)
                if not silent:
                    writer.write(ANSWER)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class OutageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = StandIn()
        server = await asyncio.start_server(self.stand_in.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        settings = rollout_settings()
        settings.log.address = f"127.0.0.1:{port}"
        self.store = StoreClient(settings, RolloutMetrics())
        self.addAsyncCleanup(self.store.close)

    async def read_until_answered(self) -> float:
        """Reads as followers do, and returns the time of the first answer."""
        while isinstance(await self.store.read("t", 0, 0, LONG_POLL_S), Err):
            pass
        return time.monotonic()

    async def test_read_is_answered_soon_after_the_store_is_back(self) -> None:
        # Guards against results that nobody can read for 2.5 s after an outage, since
        # a read that was sent before its end waits for its answer. Steps that could be
        # read 0.5 s sooner were late on the large site.
        self.stand_in.silent = True
        reading = asyncio.create_task(self.read_until_answered())
        await asyncio.sleep(OUTAGE_S)
        self.stand_in.silent = False
        back = time.monotonic()
        self.assertLess(await reading - back, RESEND_INTERVAL_S + SLACK_S)

    async def test_store_that_answers_slowly_is_waited_for(self) -> None:
        # Guards against a store whose answers all come after the short time-out.
        self.stand_in.silent = True
        self.assertIsInstance(await self.store.read("t", 0, 0, 0.0), Err)
        self.stand_in.silent, self.stand_in.delay_s = False, SLOW_S
        began = time.monotonic()
        answered = await self.read_until_answered()
        self.assertLess(answered - began, SLOW_S + SLACK_S)

    async def test_store_that_answers_is_asked_for_as_long_as_before(self) -> None:
        self.stand_in.silent = True
        self.assertIsInstance(await self.store.read("t", 0, 0, 0.0), Err)
        self.stand_in.silent = False
        await self.read_until_answered()
        self.stand_in.delay_s = CALL_TIMEOUT_S - SLACK_S
        done = await self.store.read("t", 0, 0, 0.0)
        self.assertIsInstance(done, Ok)
