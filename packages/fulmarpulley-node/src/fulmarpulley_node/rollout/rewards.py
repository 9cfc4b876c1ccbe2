"""Score generated texts by the reward calls that their items specify."""

import asyncio
import time

from multidict import CIMultiDict, CIMultiDictProxy

from fulmarpulley_core.rollout.rewards import (
    RewardOutcome,
    RewardRetryState,
    reward_document,
    reward_rank,
)
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import RewardCall

from ..observe.events import log_event
from .crash_watch import CrashWatch
from .directory import Directory
from .forwarder import Forwarder, Refusal
from .interfaces import (
    ITEM_FAILURE_STATUS,
    CallerRequest,
    UpstreamCalls,
    UpstreamResponse,
)
from .item_runs import ItemRun
from .metrics import RolloutMetrics
from .rate_limits import RateLimits

SUCCESS_STATUSES = range(200, 300)


class RewardScorer:
    """Make the reward calls of this node's items, in separate pools."""

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        calls: UpstreamCalls,
        limits: RateLimits,
        crashes: CrashWatch,
        metrics: RolloutMetrics,
    ) -> None:
        self.directory = directory
        # Reward calls do not reserve turns ahead of callers, who wait for an answer.
        self.forwarder = Forwarder(
            settings,
            directory,
            calls,
            limits,
            crashes,
            metrics,
            routing="least_tokens",
            may_wait=False,
            transform_document=reward_document,
        )

    async def score(self, run: ItemRun, rank: int, attempts: int) -> str | None:
        """Return the signature of a successful response, or None if every call fails.

        The caller must cancel this call when the score is no longer needed.

        :param rank: position of the item within its step
        :param attempts: number of failures that the item's own route allows
        """
        reward = run.item.reward
        assert reward is not None, "the item has no reward call"
        retry_state = RewardRetryState(attempts)
        started_at = time.monotonic()
        call_rank = reward_rank(run.step.accepted.submitted_ms, rank)
        while not retry_state.exhausted:
            outcome, signature = await self._call(reward, call_rank, retry_state)
            if outcome is RewardOutcome.SCORED:
                self._log_end(run, reward, retry_state, outcome, started_at)
                return signature
            retry_state.record(outcome)
            if not retry_state.exhausted:
                await asyncio.sleep(retry_state.pause_s())
        self._log_end(run, reward, retry_state, RewardOutcome.FAILED, started_at)
        return None

    async def _call(
        self, reward: RewardCall, call_rank: int, retry_state: RewardRetryState
    ) -> tuple[RewardOutcome, str]:
        """Make one call through the current routes."""
        routes = self.directory.routes
        route = routes.find(reward.host, reward.path) if routes else None
        if route is None:
            log_event("reward_without_route", request=reward.request_id)
            return RewardOutcome.LOST, ""
        # The item's route and the reward's route may allow different failure counts;
        # a text is given up only after the larger one.
        retry_state.max_failures = max(retry_state.max_failures, route.attempts)
        headers = CIMultiDict({"Host": reward.host, "Request-Id": reward.request_id})
        request = CallerRequest(
            request_id=reward.request_id,
            method="POST",
            target=reward.path,
            host=reward.host,
            headers=CIMultiDictProxy(headers),
            body=reward.body,
            deadline=asyncio.get_running_loop().time() + route.timeout_s,
        )
        return _classify(await self.forwarder.forward(route, request, call_rank))

    def _log_end(
        self,
        run: ItemRun,
        reward: RewardCall,
        retry_state: RewardRetryState,
        outcome: RewardOutcome,
        started_at: float,
    ) -> None:
        log_event(
            "reward_ended",
            step=run.step_id,
            item=run.item.item_id,
            request=reward.request_id,
            outcome=outcome.value,
            failed=retry_state.failures,
            lost=retry_state.lost,
            seconds=time.monotonic() - started_at,
        )


def _classify(response: UpstreamResponse | Refusal) -> tuple[RewardOutcome, str]:
    if isinstance(response, Refusal):
        return RewardOutcome.LOST, ""
    if response.status in SUCCESS_STATUSES and response.signature:
        return RewardOutcome.SCORED, response.signature
    if response.status == ITEM_FAILURE_STATUS:
        return RewardOutcome.FAILED, ""
    return RewardOutcome.LOST, ""
