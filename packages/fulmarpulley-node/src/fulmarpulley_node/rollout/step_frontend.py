"""Serve trainers on any node: submit, read and end steps."""

import asyncio
import time
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from fulmarpulley_core.ids import AccountName, ItemId, StepId
from fulmarpulley_core.rollout.step_fold import Step
from fulmarpulley_core.rollout.topology import Route, RouteKind
from fulmarpulley_schema.generated.steps import (
    ItemResult,
    StepAccepted,
    StepEnded,
)

from ..observe.events import log_event
from .directory import Directory
from .follower import PartitionFollower
from .interfaces import StoreFailure
from .metrics import RolloutMetrics
from .partitions import Partitions

# Trainers close their connection after one second and retry a few times. A response
# before that tells them when to retry, so that their retries outlast short outages.
SUBMIT_TIMEOUT_S = 0.85
READ_TIMEOUT_S = 1.2
END_TIMEOUT_S = 2.5
RETRY_DELAY_S = 0.1
# Leaves time for the append that accepts the step.
LOCATE_TIMEOUT_S = 0.6
# An append that ends with the time of a submission may take effect, so that the trainer
# can no longer be told that nothing was done.
MIN_APPEND_S = 0.1
# Keeps a page of results below the size that clients accept in one response.
PAGE_BYTES = 900_000
# Results that any node has returned are visible on this node within this time.
MAX_READ_AGE_S = 0.4


class StepOutcome(StrEnum):
    """Classify the outcome of a trainer's call."""

    DONE = "done"
    NOT_FOUND = "not_found"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ResultPage(msgspec.Struct, frozen=True):
    """Hold the results from a position on, and the position after them."""

    total: int
    next_position: int
    results: list[ItemResult]


class StepFrontend:
    """Serve trainers' calls from the fold of the step's partition."""

    def __init__(
        self, directory: Directory, partitions: Partitions, metrics: RolloutMetrics
    ) -> None:
        self.directory = directory
        self.partitions = partitions
        self.metrics = metrics

    async def submit(
        self, route: Route, step: StepAccepted, account: AccountName | None = None
    ) -> StepOutcome:
        """Accept a step once; REFUSED guarantees that none of it will run.

        :param account: that of the trainer, empty for an anonymous one; None if the
            deployment has no accounts
        """
        started_at = time.monotonic()
        outcome, reason = StepOutcome.UNKNOWN, "the trainer closed its connection"
        try:
            outcome, reason = await self._submit(route, step, account)
        finally:
            self._log_submission(
                route, step, outcome, reason, time.monotonic() - started_at
            )
        return outcome

    def _log_submission(
        self,
        route: Route,
        step: StepAccepted,
        outcome: StepOutcome,
        reason: str,
        seconds: float,
    ) -> None:
        self.metrics.steps.inc({"route": route.name, "outcome": outcome.value})
        log_event(
            "step_submitted",
            step=step.step_id,
            route=route.name,
            model=step.model,
            number=step.number,
            min_version=step.min_version,
            items=len(step.items),
            outcome=outcome.value,
            reason=reason,
            seconds=seconds,
        )

    async def _submit(
        self, route: Route, step: StepAccepted, account: AccountName | None
    ) -> tuple[StepOutcome, str]:
        step_id = StepId(step.step_id)
        known = self.partitions.find_loaded(step_id)
        if known is not None:
            return self._access(known[1], account), "accepted before"
        deadline = time.monotonic() + SUBMIT_TIMEOUT_S
        preferred = self.partitions.follower_for_service(route.services[0].service)
        try:
            async with asyncio.timeout(LOCATE_TIMEOUT_S):
                partition, accepted = await self.partitions.locate(
                    step_id, preferred.partition
                )
        except TimeoutError:
            # Nothing was accepted yet.
            return StepOutcome.REFUSED, "the nodes could not agree on a partition"
        if accepted:
            known = self.partitions.find_loaded(step_id)
            access = self._access(known[1], account) if known else StepOutcome.DONE
            return access, f"accepted before in partition {partition}"
        follower = self.partitions.followers[partition]
        return await self._accept(follower, step, account, deadline)

    async def _accept(
        self,
        follower: PartitionFollower,
        step: StepAccepted,
        account: AccountName | None,
        deadline: float,
    ) -> tuple[StepOutcome, str]:
        """Append the record that accepts a step."""
        step_id = StepId(step.step_id)
        may_be_appended = False
        while True:
            result = await self._append(follower, step, deadline)
            if isinstance(result, Ok) and account is None:
                return StepOutcome.DONE, f"offset {result.ok_value}"
            if isinstance(result, Ok):
                return await self._confirm(follower, step_id, account, deadline)
            failure = result.err_value
            may_be_appended = may_be_appended or failure is StoreFailure.UNKNOWN
            if may_be_appended:
                await follower.sync(max(0.0, deadline - time.monotonic()))
                known = self.partitions.find_loaded(step_id)
                if known is not None:
                    reason = "found after an unacknowledged append"
                    return self._access(known[1], account), reason
            if time.monotonic() + RETRY_DELAY_S + MIN_APPEND_S >= deadline:
                outcome = (
                    StepOutcome.UNKNOWN if may_be_appended else StepOutcome.REFUSED
                )
                return outcome, failure.value
            await asyncio.sleep(RETRY_DELAY_S)

    async def _confirm(
        self,
        follower: PartitionFollower,
        step_id: StepId,
        account: AccountName | None,
        deadline: float,
    ) -> tuple[StepOutcome, str]:
        """Tell whether an appended step counts, or another account's of the same id."""
        synced = await follower.sync(max(0.0, deadline - time.monotonic()))
        known = self.partitions.find_loaded(step_id)
        if known is not None:
            return self._access(known[1], account), "read back"
        reason = "not found" if synced else "not read back"
        return StepOutcome.UNKNOWN, f"{reason} after an acknowledged append"

    def _access(self, step: Step, account: AccountName | None) -> StepOutcome:
        """Return DONE if a client may use a step."""
        routes, accepted = self.directory.routes, step.accepted
        if routes is None:
            return StepOutcome.REFUSED
        if account is None:
            # A configuration that this node has not read may introduce accounts.
            outdated = routes.topology.version < accepted.config_version
            refused = bool(accepted.account) and outdated
            return StepOutcome.REFUSED if refused else StepOutcome.DONE
        if accepted.account:
            own = accepted.account == account
            return StepOutcome.DONE if own else StepOutcome.NOT_FOUND
        if account:
            return StepOutcome.DONE
        route = routes.find(accepted.host, accepted.path)
        anonymous = route is not None and route.anonymous
        return StepOutcome.DONE if anonymous else StepOutcome.NOT_FOUND

    async def _append(
        self, follower: PartitionFollower, step: StepAccepted, deadline: float
    ) -> Result[int, StoreFailure]:
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                return await self.partitions.append(follower.partition, [step])
        except TimeoutError:
            return Err(StoreFailure.UNKNOWN)

    async def results(
        self,
        host: str,
        step_id: StepId,
        after: int,
        wait_s: float,
        account: AccountName | None = None,
    ) -> Result[ResultPage, StepOutcome]:
        """Return the results from a position on, waiting for the first of them."""
        deadline = time.monotonic() + wait_s
        found = await self._find(host, step_id, account)
        if isinstance(found, Err):
            return found
        follower, step = found.ok_value
        follower.keep_active()
        # An empty page is only correct if the fold is up to date.
        if len(step.results) <= after and not await follower.sync(
            READ_TIMEOUT_S, MAX_READ_AGE_S
        ):
            return Err(StepOutcome.REFUSED)
        while len(step.results) <= after and step.is_open():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or not await follower.wait_for_change(remaining_s):
                break
        if len(step.results) <= after and not follower.healthy:
            return Err(StepOutcome.REFUSED)
        return await self._read_page(follower, step, after)

    async def _read_page(
        self, follower: PartitionFollower, step: Step, after: int
    ) -> Result[ResultPage, StepOutcome]:
        results = _results_for_page(step, after)
        refs = [result.text_ref for result in results if result.text_ref is not None]
        read = await self.partitions.texts.read(follower.partition, refs)
        if isinstance(read, Err):
            log_event("texts_unreadable", step=step.step_id, reason=read.err_value)
            return Err(StepOutcome.REFUSED)
        texts = iter(read.ok_value)
        complete = [
            r
            if r.text_ref is None
            else msgspec.structs.replace(r, text=next(texts), text_ref=None)
            for r in results
        ]
        return Ok(ResultPage(step.total, after + len(complete), complete))

    async def body(
        self,
        host: str,
        step_id: StepId,
        item_id: ItemId,
        account: AccountName | None = None,
    ) -> Result[bytes, StepOutcome]:
        """Return the request body of an item that has no result yet."""
        found = await self._find(host, step_id, account)
        if isinstance(found, Err):
            return found
        body = found.ok_value[1].body(item_id)
        return Err(StepOutcome.NOT_FOUND) if body is None else Ok(body)

    async def end(
        self, host: str, step_id: StepId, account: AccountName | None = None
    ) -> StepOutcome:
        """End a step, retrying until the log accepts it or END_TIMEOUT_S has passed."""
        outcome = await self._end(host, step_id, account)
        log_event("step_ended", step=step_id, outcome=outcome.value)
        return outcome

    async def _end(
        self, host: str, step_id: StepId, account: AccountName | None
    ) -> StepOutcome:
        deadline = time.monotonic() + END_TIMEOUT_S
        found = await self._find(host, step_id, account)
        if isinstance(found, Err):
            return found.err_value
        follower, step = found.ok_value
        while not step.ended:
            record = StepEnded(step_id=step_id)
            result = await self.partitions.append(follower.partition, [record])
            if isinstance(result, Ok):
                break
            if time.monotonic() + RETRY_DELAY_S >= deadline:
                return StepOutcome.UNKNOWN
            await asyncio.sleep(RETRY_DELAY_S)
        return StepOutcome.DONE

    async def _find(
        self, host: str, step_id: StepId, account: AccountName | None
    ) -> Result[tuple[PartitionFollower, Step], StepOutcome]:
        routes = self.directory.routes
        if routes is None:
            return Err(StepOutcome.REFUSED)
        preferred = [
            self.partitions.follower_for_service(part.service)
            for route in routes.routes_for_host(host)
            if route.kind is RouteKind.ROLLOUT
            for part in route.services
        ]
        unique = list(dict.fromkeys(preferred))
        found = await self.partitions.find(step_id, unique, READ_TIMEOUT_S)
        if isinstance(found, Err):
            return Err(StepOutcome.REFUSED)
        if found.ok_value is None:
            return Err(StepOutcome.NOT_FOUND)
        access = self._access(found.ok_value[1], account)
        return Ok(found.ok_value) if access is StepOutcome.DONE else Err(access)


def _results_for_page(step: Step, after: int) -> list[ItemResult]:
    """Return the results from a position on that fit into one page, at least one."""
    results: list[ItemResult] = []
    size = 0
    for result in step.results[after:]:
        ref = result.text_ref
        size += len(result.text) if ref is None else ref.size
        if results and size > PAGE_BYTES:
            break
        results.append(result)
    return results
