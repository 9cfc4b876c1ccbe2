"""Shut the node down without interrupting requests."""

import asyncio
import signal
from collections.abc import Callable

from fulmarpulley_schema.generated.settings import NodeSettings

from .gate import Gate
from .homes.partitions import Partitions
from .homes.pools import Pools
from .homes.steps import Steps
from .members import Members
from .observe.events import log_event

DRAIN_CHECK_INTERVAL_S = 0.05


class Shutdown:
    """Run a graceful shutdown; a second signal skips the remaining waits."""

    def __init__(
        self,
        settings: NodeSettings,
        gate: Gate,
        members: Members,
        pools: Pools,
        steps: Steps,
        partitions: Partitions,
        open_requests: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.gate = gate
        self.members = members
        self.pools = pools
        self.steps = steps
        self.partitions = partitions
        self.open_requests = open_requests
        self.requested = asyncio.Event()
        self.forced = asyncio.Event()

    def install_signal_handlers(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start the shutdown on SIGTERM or SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    async def run(self) -> None:
        """Wait for the first signal, then leave the cluster and drain requests."""
        await self.requested.wait()
        log_event("shutdown_started")
        self.gate.leaving = True
        await self.members.leave()
        self.pools.leave()
        self.partitions.leaving = True
        await self.steps.hand_over()
        await self._sleep_unless_forced(self.settings.balancer_lag_s)
        self.gate.closed = True
        await self._drain()
        log_event("shutdown_finished", open_requests=self.open_requests())

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.shutdown_s
        while not self._drained() and loop.time() < deadline:
            if self.forced.is_set():
                return
            await self._sleep_unless_forced(DRAIN_CHECK_INTERVAL_S)

    def _drained(self) -> bool:
        idle = self.pools.idle and self.partitions.idle
        return idle and not self.open_requests()

    async def _sleep_unless_forced(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.forced.wait()
        except TimeoutError:
            return

    def _on_signal(self) -> None:
        if self.requested.is_set():
            self.forced.set()
        self.requested.set()
