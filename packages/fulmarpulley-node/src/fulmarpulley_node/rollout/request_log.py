"""Log the outcomes of plain requests, and the accounts that are refused most."""

import time
from collections import Counter
from typing import TYPE_CHECKING

from fulmarpulley_core.ids import AccountName, ServiceName

from ..observe.events import log_event
from .interfaces import CallerRequest, UpstreamResponse
from .metrics import RolloutMetrics, labels
from .pool_driver import PoolDriver

if TYPE_CHECKING:
    from .forwarder import PendingRequest, Refusal

# Accounts can be thousands, so they are no metric label. Instead the largest ones of a
# service are logged, at most once in this time and only while requests are refused.
LOG_INTERVAL_S = 10.0
LOGGED_ACCOUNTS = 5
# Requests of further accounts are not counted until the next lines.
MAX_COUNTED_ACCOUNTS = 1024


class RequestLog:
    """Log outcomes, and per service the accounts that wait and are refused."""

    def __init__(self, metrics: RolloutMetrics) -> None:
        self.metrics = metrics
        self.loads: dict[ServiceName, AccountLoad] = {}

    def record(
        self,
        pending: "PendingRequest",
        outcome: "UpstreamResponse | Refusal",
        seconds: float,
        pool: PoolDriver,
    ) -> None:
        """Log and count the outcome of a request."""
        answered = isinstance(outcome, UpstreamResponse)
        code = (
            str(outcome.status)
            if isinstance(outcome, UpstreamResponse)
            else outcome.code
        )
        request, route = pending.request, pending.route.name
        self.metrics.requests.observe(labels(route=route, code=code), seconds)
        log_event(
            "request_answered" if answered else "request_refused",
            request=request.request_id,
            digest=pending.digest,
            route=route,
            service=pending.service,
            config=pending.config_version,
            upstream=pending.upstream,
            attempts=pending.attempts,
            outcome=code,
            seconds=seconds,
            **account_fields(request),
        )
        if request.account:
            load = self.loads.setdefault(pending.service, AccountLoad(pending.service))
            load.record(request.account, not answered, pool, time.monotonic())


class AccountLoad:
    """Count the requests of accounts to a service between two logs of the largest."""

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.requests: Counter[AccountName] = Counter()
        self.refused: Counter[AccountName] = Counter()
        self.logged_at: float | None = None

    def record(
        self, account: AccountName, refused: bool, pool: PoolDriver, now: float
    ) -> None:
        """Count a request, and log the accounts that are refused or wait most."""
        if account in self.requests or len(self.requests) < MAX_COUNTED_ACCOUNTS:
            self.requests[account] += 1
            self.refused[account] += refused
        self.logged_at = now if self.logged_at is None else self.logged_at
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            self._log(dict(pool.largest_accounts(LOGGED_ACCOUNTS)))
            self.requests.clear()
            self.refused.clear()

    def _log(self, waiting: dict[AccountName, int]) -> None:
        if not self.refused.total():
            return
        most_refused = [a for a, n in self.refused.most_common(LOGGED_ACCOUNTS) if n]
        for account in dict.fromkeys([*most_refused, *waiting]):
            log_event(
                "account_load",
                service=self.service,
                account=account,
                requests=self.requests[account],
                refused=self.refused[account],
                waiting=waiting.get(account, 0),
            )


def account_fields(request: CallerRequest) -> dict[str, str]:
    """Return the log field that names the account of a request, if it has one."""
    return {"account": request.account} if request.account else {}
