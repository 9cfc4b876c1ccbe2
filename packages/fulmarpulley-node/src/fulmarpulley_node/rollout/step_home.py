"""Run the items of one partition's steps while this node owns the partition."""

import asyncio
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import msgspec
from result import Ok

from fulmarpulley_core.ids import (
    ItemId,
    ModelName,
    PrefixId,
    ServiceName,
    StepId,
    StepNumber,
    TenantId,
    Version,
    WorkId,
)
from fulmarpulley_core.placement import text_hash
from fulmarpulley_core.pool.messages import (
    CancelAttempt,
    Event,
    Finish,
    Order,
    OrderFinished,
    PoolSettings,
    Refuse,
    StartAttempt,
    Submit,
    VersionAnnounced,
    VersionReport,
    Withdraw,
    Work,
    WorkKind,
)
from fulmarpulley_core.rollout.step_fold import SavedEvents, Step
from fulmarpulley_core.rollout.step_plan import rank_items
from fulmarpulley_core.rollout.topology import Route, Service, choose_service
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import ItemSpec

from ..background_tasks import BackgroundTasks, log_failure
from ..observe.events import log_event
from .age_marks import AgeMarkWriter
from .attempts import ItemAttemptRunner
from .clock import unix_ms
from .config_gate import ConfigGate
from .directory import Directory
from .interfaces import ITEM_FAILURE_STATUS, UpstreamCallFailure, UpstreamCalls
from .item_runs import ItemRun, PendingResult, work_id_of
from .metrics import RolloutMetrics
from .orders import ORDER_FAILED, OrderIssuer
from .outbox import Outbox
from .ownership import Ownership, Tenure
from .partitions import Partitions
from .pool_driver import PoolDriver
from .rate_limits import RateLimits
from .rewards import RewardScorer
from .service_pools import ServicePools

RECONCILE_INTERVAL_S = 0.5
# Only items that run for a second or longer are saved. Most end sooner, and saving
# these too would double the bytes on the log.
SAVE_INTERVAL_S = 0.5
MIN_SAVE_EVENTS = 16
# A former owner keeps trying to write its results for this time, which is longer than
# most outages of the store.
FLUSH_TIMEOUT_S = 10.0
SYNC_TIMEOUT_S = 2.0
UNPROCESSABLE = 422


class StepHome:
    """Own the pools, item runs and results of one partition."""

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        partitions: Partitions,
        calls: UpstreamCalls,
        limits: RateLimits,
        rewards: RewardScorer,
        ownership: Ownership,
        tenure: Tenure,
        metrics: RolloutMetrics,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.rewards = rewards
        self.tenure = tenure
        self.metrics = metrics
        self.follower = partitions.followers[tenure.partition]
        self.partitions = partitions
        self.outbox = Outbox(partitions, tenure.partition)
        self.tasks = BackgroundTasks()
        pool_settings = PoolSettings(
            id_prefix=f"{settings.node_id}.",
            refuse_while_loading=True,
            split_models=True,
        )
        self.pools = ServicePools(settings, directory, pool_settings, self._handlers)
        self.pools.extra_events = self._version_events
        self.runs: dict[WorkId, ItemRun] = {}
        # Events, saved by former owners, of items that are not scheduled yet.
        self.recovered: dict[WorkId, SavedEvents] = {}
        self.ranks: dict[StepId, Mapping[ItemId, int]] = {}
        self.service_by_work: dict[WorkId, ServiceName] = {}
        self.config_gate = ConfigGate(directory)
        self.config_version = 0
        self.attempts = ItemAttemptRunner(directory, calls, limits, metrics, self.tasks)
        self.attempts.on_failed = self._attempt_failed
        self.orders = OrderIssuer(directory, calls, ownership, tenure)
        self.mark_writer = AgeMarkWriter(
            settings, directory, partitions, tenure.partition
        )
        self.mark_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start running items."""
        self.follower.set_owned(True)
        self.directory.listeners.append(self.directory_changed)
        self._open_pools()
        self.tasks.supervise(self._run)
        self.tasks.supervise(self.outbox.run)
        self.tasks.supervise(self._save_periodically)
        self.mark_task = self.tasks.supervise(self.mark_writer.run)

    async def stop(self) -> None:
        """Abort all attempts and save their events, for the next owner to resume."""
        self.directory.listeners.remove(self.directory_changed)
        self.follower.set_owned(False)
        if self.mark_task is not None:
            self.mark_task.cancel()
        self.pools.close()
        self.attempts.cancel_all()
        for run in self.runs.values():
            run.cancel_scoring()
        await self.save(1)
        await self.outbox.flush(FLUSH_TIMEOUT_S)
        await self.tasks.stop()

    async def save(self, min_events: int) -> None:
        """Save the events of unfinished items for the next owner."""
        unsaved = [run.unsaved_progress(min_events) for run in self.runs.values()]
        for progress in await self.outbox.save([p for p in unsaved if p is not None]):
            run = self.runs.get(work_id_of(progress.step_id, progress.item_id))
            if run is not None:
                run.mark_logged(progress)

    async def _save_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save(MIN_SAVE_EVENTS)

    def directory_changed(self) -> None:
        """Update the pools after the configuration, upstreams or versions changed."""
        self._open_pools()
        self.pools.directory_changed()
        routes = self.directory.routes
        if routes is not None and routes.topology.version != self.config_version:
            self.config_version = routes.topology.version
            # Items may have a route now, or none any more.
            self.follower.notify()

    def _open_pools(self) -> None:
        # Engines load announced versions even while no step is open.
        routes, partition = self.directory.routes, self.tenure.partition
        for name in self.partitions.engine_services(routes, partition):
            self.pools.open(name)

    def _owns_service(self, name: ServiceName) -> bool:
        return self.partitions.follower_for_service(name) is self.follower

    async def _run(self) -> None:
        while not await self.follower.sync(SYNC_TIMEOUT_S):
            log_event("home_waits_for_log", partition=self.tenure.partition)
        await self._recover()
        while True:
            self._reconcile()
            await self.follower.wait_for_change(RECONCILE_INTERVAL_S)

    async def _recover(self) -> None:
        """Load the events of unfinished items that former owners saved."""
        saved_refs = {
            work_id_of(step.step_id, item_id): refs
            for step in self.follower.fold.open_steps()
            for item_id, refs in step.saved.items()
        }
        texts, partition = self.partitions.texts, self.tenure.partition
        results = await asyncio.gather(
            *(texts.read_events(partition, refs.refs) for refs in saved_refs.values())
        )
        for (work_id, refs), events in zip(saved_refs.items(), results, strict=True):
            if isinstance(events, Ok):
                self.recovered[work_id] = SavedEvents(
                    events.ok_value, list(refs.versions), refs.run
                )
            else:
                log_event("saved_events_lost", work=work_id, reason=events.err_value)

    def _reconcile(self) -> None:
        now_ms = unix_ms()
        steps = self.follower.fold.steps
        self.ranks = {k: v for k, v in self.ranks.items() if k in steps}
        self.config_gate.forget_all_but(steps.keys())
        for run in list(self.runs.values()):
            if run.step.ended or ItemId(run.item.item_id) not in run.step.open_items:
                self._remove_run(run)
        for step in list(self.follower.fold.open_steps()):
            if not self.config_gate.admits(step):
                continue
            for item in list(step.open_items.values()):
                try:
                    self._schedule_item(step, item, now_ms)
                except Exception as error:
                    # One item must not keep the others from running.
                    log_failure(
                        "item_failed",
                        self._schedule_item,
                        error,
                        step=step.step_id,
                        item=item.item_id,
                    )

    def _schedule_item(self, step: Step, item: ItemSpec, now_ms: int) -> None:
        work_id = work_id_of(step.step_id, item.item_id)
        run = self.runs.get(work_id)
        if run is not None and run.ended:
            return
        routes = self.directory.routes
        if routes is None:
            return
        route = routes.find(step.accepted.host, item.path)
        if run is None:
            saved = self.recovered.pop(work_id, SavedEvents())
            run = ItemRun(work_id=work_id, step=step, item=item, saved=saved)
            self.runs[work_id] = run
            generated = step.generated.get(ItemId(item.item_id))
            if generated is not None:
                run.generated = PendingResult(step.step_id, generated, listed=False)
        if route is None:
            self._end_by_config(run, "no route matches the item any more")
            return
        if now_ms > step.accepted.submitted_ms + route.retention_s * 1000:
            self._end_by_config(run, "the retention time of the route has expired")
            return
        run.end_due_since_s = None
        if run.generated is not None:
            self._start_scoring(run, route)
        else:
            self._submit(run, route)

    def _end_by_config(self, run: ItemRun, reason: str) -> None:
        self._withdraw(run)
        if self.config_gate.confirms_end(run):
            self._give_up(run, reason)

    def _submit(self, run: ItemRun, route: Route) -> None:
        name = choose_service(route, text_hash(run.item.item_id))
        previous = self.service_by_work.get(run.work_id)
        if previous == name:
            return
        if previous is not None:
            self.pools[previous].post(Withdraw(run.work_id))
        pool = self.pools.open(name)
        if pool is None:
            return
        self.service_by_work[run.work_id] = name
        pool.post(Submit(self._work(run)))

    def _work(self, run: ItemRun) -> Work:
        accepted, item = run.step.accepted, run.item
        return Work(
            work_id=run.work_id,
            tenant=TenantId(accepted.model),
            kind=WorkKind.SAMPLE,
            model=ModelName(accepted.model),
            max_tokens=max(1, item.max_tokens),
            prompt_tokens=max(1, item.prompt_tokens),
            min_version=Version(accepted.min_version),
            prefix=PrefixId(item.prefix),
            due=run.results_due(self._route(run), asyncio.get_running_loop().time()),
            step=StepNumber(accepted.number),
            rank=self._ranks(run.step)[ItemId(item.item_id)],
            length_hint=item.length_hint,
            resume_tokens=len(run.saved.events) * self._tokens_per_event(run),
        )

    def _ranks(self, step: Step) -> Mapping[ItemId, int]:
        known = self.ranks.get(step.step_id)
        if known is None:
            accepted = step.accepted
            known = rank_items(
                accepted.items, accepted.target_groups, step.carried_groups
            )
            self.ranks[step.step_id] = known
        return known

    def _service(self, name: ServiceName) -> Service | None:
        routes = self.directory.routes
        return routes.topology.services.get(name) if routes else None

    def _handlers(self, name: ServiceName) -> dict[type, Callable[[Any], object]]:
        return {
            StartAttempt: self._start_attempt,
            CancelAttempt: self.attempts.cancel,
            Order: lambda action: self.tasks.spawn(self._issue_order(name, action)),
            Finish: self._handle_finish,
            Refuse: self._handle_refusal,
        }

    def _version_events(self, name: ServiceName, pool: PoolDriver) -> Iterator[Event]:
        """Yield the versions that engines serve and those that trainers announced."""
        for entry in self.directory.upstreams_for_service(name):
            listed = pool.pool.components.ledger.upstreams.get(entry.upstream_id)
            for model, version in entry.versions.items():
                # Directory entries lag behind the versions seen in responses, so older
                # ones are skipped. An upstream's version only decreases when an order
                # is executed late, and responses show that too.
                if listed is None or listed.versions.get(model, Version(0)) < version:
                    yield VersionReport(entry.upstream_id, model, version)
        for model, version in self.directory.versions.items():
            yield VersionAnnounced(model, version)

    def _tokens_per_event(self, run: ItemRun) -> int:
        name = self.service_by_work.get(run.work_id)
        service = self._service(name) if name else None
        engine = service.engine if service else None
        return max(1, engine.tokens_per_event) if engine else 1

    def _start_attempt(self, action: StartAttempt) -> None:
        run = self.runs[action.work_id]
        pool = self.pools[self.service_by_work[run.work_id]]
        self.attempts.start(action, run, pool, self._tokens_per_event(run))

    def _attempt_failed(self, run: ItemRun, failure: UpstreamCallFailure) -> None:
        if failure.status == ITEM_FAILURE_STATUS:
            run.errors += 1
        route = self._route(run)
        if failure.status == UNPROCESSABLE:
            self._give_up(run, "the upstream rejected the item as unprocessable")
        elif route is not None and run.errors >= route.attempts:
            self._give_up(run, f"{run.errors} attempts failed with a server error")

    def _route(self, run: ItemRun) -> Route | None:
        routes = self.directory.routes
        return routes.find(run.step.accepted.host, run.item.path) if routes else None

    def _handle_finish(self, action: Finish) -> None:
        run = self.runs.get(action.work_id)
        attempt = self.attempts.running.get(action.attempt_id)
        if run is None or attempt is None:
            return
        route = self._route(run)
        saved = attempt.to_saved()
        if route is not None and route.single_version and len(set(saved.versions)) > 1:
            self._restart_item(run, "its events come from several versions")
            return
        entry = PendingResult(run.step_id, run.completed_result(saved))
        if run.item.reward is None:
            self._end(run, entry, attempt.upstream)
            return
        log_event(
            "item_generated",
            step=run.step_id,
            item=run.item.item_id,
            upstream=attempt.upstream,
            events=len(saved.events),
            reward=run.item.reward.request_id,
        )
        entry.listed = False
        run.generated = entry
        self.outbox.put(entry)
        if route is not None:
            self._start_scoring(run, route)

    def _start_scoring(self, run: ItemRun, route: Route) -> None:
        if run.scoring_task is None:
            run.scoring_task = self.tasks.spawn(
                self._score_and_list(run, route.attempts)
            )

    async def _score_and_list(self, run: ItemRun, attempts: int) -> None:
        rank = self._ranks(run.step)[ItemId(run.item.item_id)]
        score = await self.rewards.score(run, rank, attempts)
        # This task is about to end, so it must not be cancelled any more.
        run.scoring_task = None
        entry = run.generated
        if run.ended or entry is None:
            return
        if score is None:
            self._give_up(run, "all reward calls failed")
            return
        entry.result = msgspec.structs.replace(entry.result, score=score)
        entry.listed = True
        self._end(run, entry)

    def _restart_item(self, run: ItemRun, reason: str) -> None:
        log_event(
            "item_started_over", step=run.step_id, item=run.item.item_id, reason=reason
        )
        run.saved = SavedEvents()
        name = self.service_by_work[run.work_id]
        loop = asyncio.get_running_loop()
        loop.call_soon(self.pools[name].post, Submit(self._work(run)))

    def _end(self, run: ItemRun, entry: PendingResult, upstream: str = "") -> None:
        run.ended = True
        self.outbox.put(entry)
        result = entry.result
        age_s = (unix_ms() - run.step.accepted.submitted_ms) / 1000
        labels = {"model": run.step.accepted.model, "state": result.state.value}
        self.metrics.items.observe(labels, max(0.0, age_s))
        log_event(
            "item_ended",
            step=run.step_id,
            item=run.item.item_id,
            state=result.state.value,
            upstream=upstream,
            events=len(run.saved.events),
            versions=",".join(map(str, result.versions)),
            age_s=age_s,
        )

    def _give_up(self, run: ItemRun, reason: str) -> None:
        if run.ended:
            return
        log_event(
            "item_given_up", step=run.step_id, item=run.item.item_id, reason=reason
        )
        self._end(run, PendingResult(run.step_id, run.dead_result()))
        self._withdraw(run)
        run.cancel_scoring()

    def _remove_run(self, run: ItemRun) -> None:
        run.ended = True
        run.cancel_scoring()
        self._withdraw(run)
        del self.runs[run.work_id]

    def _withdraw(self, run: ItemRun) -> None:
        name = self.service_by_work.pop(run.work_id, None)
        if name is not None:
            self.pools[name].post(Withdraw(run.work_id))

    def _handle_refusal(self, action: Refuse) -> None:
        run = self.runs.get(action.work_id)
        if run is None or run.ended or action.code == "cancelled":
            return
        log_event("item_refused_by_pool", work=action.work_id, code=action.code)
        self.service_by_work.pop(action.work_id, None)

    async def _issue_order(self, name: ServiceName, order: Order) -> None:
        pool = self.pools[name]
        outcome = ORDER_FAILED
        try:
            if self._owns_service(name):
                outcome = await self.orders.issue(order)
        except Exception as error:
            # The pool waits for the outcome of each order.
            log_failure("order_failed", self.orders.issue, error, order=order.order_id)
        if outcome.loaded is not None:
            pool.post(VersionReport(order.upstream, order.model, outcome.loaded))
        succeeded = outcome.loaded is not None
        pool.post(OrderFinished(order.order_id, succeeded, outcome.retry_after))
