"""Test that accounts reach the pool and the log, in a bounded number of lines."""

import unittest
from typing import Any
from unittest import mock

from rollout_settings import caller_request, settings

from fulmarpulley_core.ids import AccountName, RouteName, ServiceName, WorkId
from fulmarpulley_core.pool.messages import Work
from fulmarpulley_core.rollout.topology import Route, RouteKind, WeightedService
from fulmarpulley_node.rollout import request_log
from fulmarpulley_node.rollout.forwarder import Forwarder, PendingRequest, Refusal
from fulmarpulley_node.rollout.interfaces import CallerRequest
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.request_log import RequestLog
from fulmarpulley_node.rollout.usage_counter import ClientAttempt
from fulmarpulley_schema.generated.http import Ran

DESK = ServiceName("desk")
ROUTE = Route(
    name=RouteName("r"),
    host="h",
    prefix="/",
    kind=RouteKind.SAFE,
    services=(WeightedService(DESK, 1),),
    timeout_s=20.0,
    priority=3,
)


def pending(**fields: object) -> PendingRequest:
    request = caller_request()
    known = {name: getattr(request, name) for name in request.__struct_fields__}
    outcome: Any = None
    digest: Any = "digest"
    merged = CallerRequest(**{**known, **fields})
    return PendingRequest(
        request=merged,
        digest=digest,
        route=ROUTE,
        service=DESK,
        config_version=1,
        deadline=5.0,
        outcome=outcome,
        usage=ClientAttempt(merged.account, DESK),
    )


class AccountOfWorkTest(unittest.TestCase):
    """Guards against requests that are shared or ranked by the wrong party."""

    def work(self, **fields: object) -> Work:
        forwarder = mock.Mock(settings=settings())
        return Forwarder._work(forwarder, WorkId("w"), pending(**fields), 0)

    def test_priority_of_the_account_replaces_that_of_the_route(self) -> None:
        for priority, expected in ((None, None), (0, 9), (4, 5), (12, 0), (-1, 9)):
            work = self.work(account=AccountName("a"), priority=priority)
            self.assertEqual(work.account, "a")
            self.assertEqual(work.account_priority, expected)
            self.assertEqual(work.priority, 6 if expected is None else expected)

    def test_request_without_an_account_is_ranked_by_its_route(self) -> None:
        work = self.work(priority=0)
        found = (work.account, work.account_priority, work.priority, work.tenant)
        self.assertEqual(found, ("", None, 6, "r"))


class AccountLogTest(unittest.TestCase):
    """Guards against log lines that grow with the number of accounts."""

    def setUp(self) -> None:
        self.now = 0.0
        self.lines: list[dict[str, object]] = []
        self.log = RequestLog(RolloutMetrics())
        clock = mock.patch.object(request_log.time, "monotonic", lambda: self.now)
        log_event = mock.patch.object(
            request_log,
            "log_event",
            lambda event, **fields: self.lines.append({"event": event, **fields}),
        )
        for patch in (clock, log_event):
            patch.start()
            self.addCleanup(patch.stop)

    def record(self, account: str, refused: bool = True) -> None:
        waiting = [(AccountName(f"w{n}"), 9 - n) for n in range(5)]
        pool: Any = mock.Mock(largest_accounts=lambda count: waiting[:count])
        outcome: Any = Refusal("overloaded", Ran.NOT_RUN, 1.0)
        if not refused:
            outcome = mock.Mock(spec=request_log.UpstreamResponse, status=200)
        self.log.record(pending(account=AccountName(account)), outcome, 0.1, pool)

    def loads(self) -> list[dict[str, object]]:
        return [line for line in self.lines if line["event"] == "account_load"]

    def test_account_is_in_the_line_of_its_request(self) -> None:
        self.record("a")
        self.record("")
        self.assertEqual(self.lines[0]["account"], "a")
        self.assertNotIn("account", self.lines[1])

    def test_only_the_largest_accounts_are_logged_once_in_a_while(self) -> None:
        for number in range(3000):
            self.record(f"a{number}")
            self.record("large")
        self.assertEqual(self.loads(), [])
        self.assertEqual(
            len(self.log.loads[DESK].requests), request_log.MAX_COUNTED_ACCOUNTS
        )
        self.now = request_log.LOG_INTERVAL_S
        self.record("large")
        self.assertEqual(len(self.loads()), 2 * request_log.LOGGED_ACCOUNTS)
        first = self.loads()[0]
        self.assertEqual((first["account"], first["refused"]), ("large", 3001))
        waiting = {line["account"]: line["waiting"] for line in self.loads()}
        self.assertEqual(waiting["w0"], 9)
        self.assertEqual(self.log.loads[DESK].requests, {})

    def test_nothing_is_logged_of_accounts_while_none_is_refused(self) -> None:
        self.record("a", refused=False)
        self.now = request_log.LOG_INTERVAL_S
        self.record("a", refused=False)
        self.assertEqual(self.loads(), [])


if __name__ == "__main__":
    unittest.main()
