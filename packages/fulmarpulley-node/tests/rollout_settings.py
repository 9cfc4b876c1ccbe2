"""Provide settings, limits and requests for the tests of a platform node."""

from typing import Any

from multidict import CIMultiDict, CIMultiDictProxy
from result import Err, Result

from fulmarpulley_node.rollout.crash_reports import CrashReports
from fulmarpulley_node.rollout.interfaces import CallerRequest, LogPage, StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.rate_limits import RateLimits
from fulmarpulley_node.rollout.shared_limits import SharedLimits
from fulmarpulley_schema.generated.rollout_settings import (
    LogStoreSettings,
    RolloutSettings,
)


def settings(**log: int) -> RolloutSettings:
    return RolloutSettings(
        node_id="n1",
        data_centre="a1",
        region="a",
        regions={"a1": "a"},
        callers="h:1",
        readiness="h:2",
        metrics="h:3",
        log=LogStoreSettings(address="h:4", partitions=1, **log),
    )


def caller_request() -> CallerRequest:
    """Return a plain request."""
    return CallerRequest(
        request_id="r1",
        method="POST",
        target="/p",
        host="h",
        headers=CIMultiDictProxy(CIMultiDict({"Request-Id": "r1"})),
        body=b"",
        deadline=None,
    )


class UnreachableLog:
    """Refuses all calls."""

    async def append(self, *_call: object) -> Result[int, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    async def put(self, *_call: object) -> Result[int, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    async def read(self, *_call: object) -> Result[LogPage, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)


def crash_reports() -> CrashReports:
    """Return reports of crashes that are not shared."""
    log: Any = UnreachableLog()
    return CrashReports(settings(), log, RolloutMetrics())


def unlimited() -> RateLimits:
    """Return the limits of upstreams that state none."""
    log: Any = UnreachableLog()
    return RateLimits(SharedLimits(settings(), log), RolloutMetrics())
