"""Test the memory that the bodies of responses take together."""

import asyncio
import unittest

from fulmarpulley_node.platform.response_memory import (
    FREE_BYTES,
    MAX_RESPONSE_BYTES,
    SHARED_BYTES,
    BodyLease,
    ResponseMemory,
)

STEP_BYTES = 512 * 1024
READERS = 50


class ResponseMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a sum of bounded responses that is not bounded."""

    async def asyncSetUp(self) -> None:
        self.memory = ResponseMemory()
        self.most_held = 0

    async def read(self, size: int) -> None:
        with self.memory.lease() as lease:
            for part in range(STEP_BYTES, size + 1, STEP_BYTES):
                await lease.grow(part)
                held = sum(self.memory.held.values())
                self.most_held = max(self.most_held, held)
                await asyncio.sleep(0)

    async def test_sum_of_all_bodies_is_bounded_and_each_ends(self) -> None:
        reads = [self.read(MAX_RESPONSE_BYTES) for _ in range(READERS)]
        async with asyncio.timeout(20.0):
            await asyncio.gather(*reads)
        self.assertLessEqual(self.most_held, MAX_RESPONSE_BYTES + SHARED_BYTES)
        self.assertEqual(self.memory.held, {})

    async def test_small_bodies_do_not_wait_for_large_ones(self) -> None:
        leases = [self.memory.lease() for _ in range(READERS)]
        await leases[0].grow(MAX_RESPONSE_BYTES)
        await leases[1].grow(SHARED_BYTES)
        waiting = asyncio.create_task(leases[2].grow(SHARED_BYTES))
        for lease in leases[3:]:
            await lease.grow(FREE_BYTES)
        self.assertFalse(waiting.done())
        leases[0].release()
        await waiting

    async def test_failed_read_holds_no_memory(self) -> None:
        with self.assertRaises(ValueError), self.memory.lease() as lease:
            await lease.grow(STEP_BYTES)
            raise ValueError("the connection ended")
        self.assertEqual(self.memory.held, {})

    async def test_kept_body_counts_until_it_is_dropped(self) -> None:
        async def read() -> BodyLease:
            with self.memory.lease() as lease:
                await lease.grow(STEP_BYTES)
                lease.keep()
            return lease

        kept = await read()
        self.assertEqual(list(self.memory.held.values()), [STEP_BYTES])
        del kept
        self.assertEqual(self.memory.held, {})
