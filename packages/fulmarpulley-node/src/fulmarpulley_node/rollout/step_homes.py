"""Run a step home for each partition that this node owns."""

import asyncio

from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks
from .directory import Directory
from .interfaces import UpstreamCalls
from .metrics import RolloutMetrics
from .ownership import Ownership, Tenure
from .partitions import Partitions
from .rate_limits import RateLimits
from .replacement_check import ReplacementCheck
from .rewards import RewardScorer
from .step_home import StepHome


class StepHomes:
    """Own the step homes of the partitions that this node owns."""

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        partitions: Partitions,
        calls: UpstreamCalls,
        limits: RateLimits,
        rewards: RewardScorer,
        ownership: Ownership,
        metrics: RolloutMetrics,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.partitions = partitions
        self.calls = calls
        self.limits = limits
        self.rewards = rewards
        self.ownership = ownership
        self.metrics = metrics
        self.tasks = BackgroundTasks()
        self.homes: dict[Tenure, StepHome] = {}
        ownership.on_gained.append(self.open)
        ownership.on_lost.append(self.close)

    def open(self, tenure: Tenure) -> None:
        """Start the home of a partition that this node has gained."""
        home = StepHome(
            self.settings,
            self.directory,
            self.partitions,
            self.calls,
            self.limits,
            self.rewards,
            self.ownership,
            tenure,
            self.metrics,
        )
        self.homes[tenure] = home
        home.start()
        check = ReplacementCheck(
            self.directory, self.calls, self.ownership, tenure, home, self.metrics
        )
        self.tasks.supervise(check.run)

    def close(self, tenure: Tenure) -> None:
        """Stop the home of a partition that this node has lost."""
        home = self.homes.pop(tenure, None)
        if home is not None:
            self.tasks.spawn(home.stop())

    async def save(self) -> None:
        """Save the unfinished items of all partitions."""
        await asyncio.gather(*(home.save(1) for home in self.homes.values()))
