"""Build and run a node on the platform."""

import asyncio
import signal

import aiomisc

from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..observe.events import log_event
from ..rollout.directory import Directory
from ..rollout.forwarder import Forwarder
from ..rollout.log_lines import LogLines
from ..rollout.metrics import RolloutMetrics
from ..rollout.ownership import Ownership
from ..rollout.partitions import Partitions
from ..rollout.rewards import Rewards
from ..rollout.step_entry import StepEntry
from ..rollout.step_homes import StepHomes
from .ingress import Ingress
from .published import Published
from .store import StoreClient
from .workers import Workers

# The balancer takes a node out after two misses of its question each second.
BALANCER_LAG_S = 2.5
# Part of the grace time after which open requests are cut.
GRACE_SHARE = 0.9


class Node:
    """Hold the services of one node; build it inside the event loop."""

    def __init__(self, settings: RolloutSettings) -> None:
        self.settings = settings
        self.metrics = RolloutMetrics()
        self.store = StoreClient(settings, self.metrics)
        self.workers = Workers(settings)
        self.directory = Directory()
        self.published = Published(self.store, self.directory)
        self.partitions = Partitions(settings, self.store)
        self.ownership = Ownership(settings, self.store, self.partitions)
        self.rewards = Rewards(settings, self.directory, self.workers, self.metrics)
        self.homes = StepHomes(
            settings,
            self.directory,
            self.partitions,
            self.workers,
            self.rewards,
            self.ownership,
            self.metrics,
        )
        self.steps = StepEntry(self.directory, self.partitions, self.metrics)
        self.forwarder = Forwarder(settings, self.directory, self.workers, self.metrics)
        self.ingress = Ingress(
            settings, self.directory, self.steps, self.forwarder, self.metrics
        )

    def services(self) -> tuple[aiomisc.Service, ...]:
        """List the services in the order of their start."""
        return (
            self.directory,
            self.published,
            self.partitions,
            self.ingress,
            self.ownership,
        )

    async def run(self) -> None:
        """Serve until the first signal, then leave without cutting requests."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await stopping.wait()
        began = loop.time()
        log_event("shutdown_started", open_requests=self.ingress.open_requests)
        self.ingress.leaving = True
        await self.homes.save()
        await self.ownership.leave()
        await asyncio.sleep(BALANCER_LAG_S)
        await self.ingress.drain(began + self.settings.bounds.grace_s * GRACE_SHARE)
        log_event("shutdown_finished", open_requests=self.ingress.open_requests)

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self.workers.close()
        await self.store.close()

    def _reload(self) -> None:
        # The settings hold addresses and bounds of the whole deployment, which
        # change only with a restart; the configuration comes from the store.
        log_event("settings_signal_ignored", reason="settings change with a restart")


async def serve(settings: RolloutSettings) -> None:
    """Run a node until it is told to stop."""
    node = Node(settings)
    lines = LogLines(settings.node_id, node.metrics.count_dropped_lines)
    lines.start()
    async with aiomisc.entrypoint(*node.services(), log_config=False, catch_signals=()):
        log_event("node_started", callers=settings.callers)
        await node.run()
    await node.close()
    log_event("node_stopped")
    lines.flush()
