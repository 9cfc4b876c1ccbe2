"""Bound the memory that the bodies of all responses under way take together."""

import asyncio
from typing import Self

import aiohttp

# A response of this size or less is read without waiting for others.
FREE_BYTES = 64 * 1024
# Worker responses have a few KB, streams a few hundred KB, and store pages up to 2 MB.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Memory for all larger responses but the oldest one. That one may always grow to its
# limit, so that it ends in any case, and then the next one is the oldest.
SHARED_BYTES = 4 * 1024 * 1024


class BodyLease:
    """Hold the memory of one body while it is read.

    A lease that is kept holds it until nothing refers to the lease any more.
    """

    def __init__(self, memory: "ResponseMemory") -> None:
        self.memory = memory
        self.kept = False

    def __enter__(self) -> Self:
        """Start to read the body."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Release the memory unless the lease is kept."""
        if not self.kept:
            self.release()

    def __del__(self) -> None:
        self.release()

    def keep(self) -> Self:
        """Hold the memory beyond the reading of the body."""
        self.kept = True
        return self

    async def grow(self, size: int) -> None:
        """Wait until the body may take this many bytes."""
        if size <= FREE_BYTES:
            return
        # The order of the leases is that of their first growth.
        self.memory.held.setdefault(id(self), 0)
        while not self.memory.may_hold(id(self), size):
            await self.memory.wait_for_release()
        self.memory.held[id(self)] = size

    def release(self) -> None:
        """Return the memory."""
        if self.memory.held.pop(id(self), None) is not None:
            self.memory.wake_waiters()


class ResponseMemory:
    """Share memory between the responses of all calls to upstreams."""

    def __init__(self) -> None:
        # Bytes by lease, the oldest lease first.
        self.held: dict[int, int] = {}
        self._released: asyncio.Event | None = None

    def lease(self) -> BodyLease:
        """Return a lease for one body."""
        return BodyLease(self)

    def may_hold(self, lease: int, size: int) -> bool:
        """Tell whether a lease may grow to a size."""
        oldest = next(iter(self.held))
        if lease == oldest:
            return True
        others = sum(n for key, n in self.held.items() if key not in (oldest, lease))
        return others + size <= SHARED_BYTES

    async def wait_for_release(self) -> None:
        """Wait until any lease is released."""
        if self._released is None:
            self._released = asyncio.Event()
        await self._released.wait()

    def wake_waiters(self) -> None:
        """Let the waiting leases try again."""
        if self._released is not None:
            self._released.set()
            self._released = None


async def read_body(
    response: aiohttp.ClientResponse,
    lease: BodyLease,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> bytearray:
    """Return the body of a response; raise ClientPayloadError if it is too large.

    While the lease waits, the connection is not read any further.
    """
    body = bytearray()
    try:
        async for block in response.content.iter_any():
            body += block
            del block
            if len(body) > max_bytes:
                response.close()
                raise aiohttp.ClientPayloadError(f"the body exceeds {max_bytes} bytes")
            await lease.grow(len(body))
    except BaseException:
        # The library keeps exceptions, and so this frame, in a reference cycle.
        body.clear()
        raise
    return body
