"""Build and run a node on the platform."""

import asyncio
import signal

import aiomisc

from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..observe.events import log_event
from ..rollout import scaling_duty  # noqa: F401  (registers the duty)
from ..rollout.crash_reports import CrashReports
from ..rollout.crash_watch import CrashWatch
from ..rollout.directory import Directory
from ..rollout.duties import Duty, DutyRunner
from ..rollout.forwarder import Forwarder
from ..rollout.log_line_writer import LogLineWriter
from ..rollout.metrics import RolloutMetrics
from ..rollout.owner_admission import OwnerAdmission
from ..rollout.ownership import Ownership
from ..rollout.partitions import Partitions
from ..rollout.rate_limits import RateLimits
from ..rollout.rewards import RewardScorer
from ..rollout.shared_limits import SharedLimits
from ..rollout.step_frontend import StepFrontend
from ..rollout.step_homes import StepHomes
from ..rollout.usage_counter import UsageRecorder
from ..rollout.usage_reports import UsageReporting  # noqa: F401  (registers the duty)
from .duty_calls import DutyClient, configured_duties
from .ingress import Ingress
from .store import StoreClient
from .topic_watcher import TopicWatcher
from .workers import WorkerClient

# The load balancer checks readiness every second and removes a node after two
# failed checks.
BALANCER_REMOVAL_DELAY_S = 2.5
# Share of the grace period after which open requests are closed.
DRAIN_GRACE_FRACTION = 0.9


class Node:
    """Own the services of one node; create it inside the event loop."""

    def __init__(self, settings: RolloutSettings) -> None:
        self.settings = settings
        self.metrics = RolloutMetrics()
        self.store = StoreClient(settings, self.metrics)
        self.shared_limits = SharedLimits(settings, self.store)
        self.limits = RateLimits(self.shared_limits, self.metrics)
        self.workers = WorkerClient(settings, self.limits)
        self.directory = Directory(self.metrics)
        self.workers.on_leaving = self.directory.upstream_leaving
        self.crash_reports = CrashReports(settings, self.store, self.metrics)
        self.crashes = CrashWatch(
            self.directory, self.workers, self.crash_reports, self.metrics
        )
        self.topic_watcher = TopicWatcher(
            self.store, self.directory, self.crash_reports, self.metrics
        )
        self.partitions = Partitions(settings, self.store)
        self.ownership = Ownership(settings, self.store, self.partitions)
        self.rewards = RewardScorer(
            settings,
            self.directory,
            self.workers,
            self.limits,
            self.crashes,
            self.metrics,
        )
        self.homes = StepHomes(
            settings,
            self.directory,
            self.partitions,
            self.workers,
            self.limits,
            self.rewards,
            self.ownership,
            self.metrics,
        )
        self.admission = OwnerAdmission(
            settings, self.store, self.ownership, self.homes, self.metrics
        )
        self.duty_calls = DutyClient(settings)
        duties = configured_duties(settings)
        self.duties = DutyRunner(
            settings,
            self.directory,
            self.partitions,
            self.ownership,
            self.duty_calls,
            duties,
            self.metrics,
        )
        self.duties.home_of = self.homes.homes.get
        self.usage = (
            UsageRecorder(settings, self.store, self.metrics)
            if Duty.USAGE in duties
            else None
        )
        self.steps = StepFrontend(self.directory, self.partitions, self.metrics)
        self.forwarder = Forwarder(
            settings,
            self.directory,
            self.workers,
            self.limits,
            self.crashes,
            self.metrics,
            usage=self.usage,
        )
        self.ingress = Ingress(
            settings, self.directory, self.steps, self.forwarder, self.metrics
        )

    def services(self) -> tuple[aiomisc.Service, ...]:
        """Return the services in the order in which they start."""
        return (
            self.directory,
            self.crash_reports,
            self.topic_watcher,
            self.partitions,
            self.shared_limits,
            *([] if self.usage is None else [self.usage]),
            self.ingress,
            self.duties,
            self.ownership,
            self.admission,
        )

    async def run(self) -> None:
        """Serve until the first stop signal, then shut down gracefully."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._ignore_settings_signal)
        await stop_requested.wait()
        started_at = loop.time()
        log_event("shutdown_started", open_requests=self.ingress.open_requests)
        deadline = started_at + self.settings.bounds.grace_s * DRAIN_GRACE_FRACTION
        self.ingress.stop_by(deadline)
        # Requests are answered in time even if the store does not answer.
        hand_over = asyncio.create_task(self._hand_over())
        await asyncio.sleep(BALANCER_REMOVAL_DELAY_S)
        await self.ingress.drain(deadline)
        if self.usage is not None:
            await self.usage.flush()
        await asyncio.wait({hand_over}, timeout=max(0.0, deadline - loop.time()))
        log_event("shutdown_finished", open_requests=self.ingress.open_requests)

    async def _hand_over(self) -> None:
        """Save the events of unfinished items and release all partitions."""
        await self.homes.save()
        await self.ownership.leave()

    async def close(self) -> None:
        """Close the connections to the workers, the platform and the store."""
        await self.workers.close()
        await self.duty_calls.close()
        await self.store.close()

    def _ignore_settings_signal(self) -> None:
        # The settings hold addresses and limits of the whole deployment, which change
        # only with a restart. Configuration changes arrive through the store.
        log_event("settings_signal_ignored", reason="settings change with a restart")


async def serve(settings: RolloutSettings) -> None:
    """Run a node until a stop signal arrives."""
    node = Node(settings)
    log_lines = LogLineWriter(settings.node_id, node.metrics.count_dropped_lines)
    log_lines.start()
    async with aiomisc.entrypoint(*node.services(), log_config=False, catch_signals=()):
        log_event("node_started", callers=settings.callers)
        await node.run()
    await node.close()
    log_event("node_stopped")
    log_lines.flush()
