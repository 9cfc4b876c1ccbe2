"""Run one contender on one deployment with one seed."""

import time

import msgspec

from fulmarpulley_core.ids import ModelName, TenantId, TrainerId, UpstreamId, Version
from fulmarpulley_core.pool.messages import Refuse, VersionAnnounced, Work
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Span

from .bounds import least_idle
from .clock import Clock
from .contenders import CONTENDERS, Contender
from .deployments import (
    DESK_ENGINE,
    TRAINING_ENGINE,
    Deployment,
    TrainingPlan,
    manizales,
    zlatna,
)
from .desk import DeskClients
from .engine import EngineProfile
from .network import Network
from .random_lengths import RandomStream
from .service import Service
from .step_homes import SampleSubmitter, StepHome, TrainerSpec
from .trainer import Trainer

DEPLOYMENTS = {"manizales": manizales, "zlatna": zlatna}
CRASH_DOWNTIME_S = 60.0
DESK_DURATION_S = 1800.0
# A run that is not complete by then has lost samples.
MAX_VIRTUAL_TIME_S = 6_000.0


class RunSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Specify a run; `steps` and `groups` shorten it for tests."""

    deployment: str
    contender: str
    seed: int
    steps: int | None = None
    groups: int | None = None
    lookahead: int | None = None
    train_s: float | None = None
    desk_s: float = DESK_DURATION_S


class TrainerResult(msgspec.Struct, kw_only=True):
    """Hold the result of a trainer; times and staleness skip its first step."""

    trainer: str
    idle_s: float
    least_idle_s: float
    staleness_mean: float
    staleness_p95: int
    delivered: int
    duplicates: int
    past_bound: int
    done: bool
    idle_by_step: list[float]


class RunResult(msgspec.Struct, kw_only=True):
    """Hold the result of a run."""

    spec: RunSpec
    trainers: list[TrainerResult]
    desk_p50_s: float
    desk_p99_s: float
    desk_sent: int
    desk_answered: int
    desk_refused: dict[str, int]
    region_bytes: float
    region_mean_bps: float
    wasted_tokens: float
    generated_tokens: float
    load: float
    offered_load: float
    desk_load: float
    orders: int
    hedges: int
    resumes: int
    virtual_s: float
    wall_s: float


class TrainingResultHandler:
    """Pass results to the step home of the trainer that the work belongs to."""

    def __init__(self) -> None:
        self.homes: dict[TenantId, StepHome] = {}

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Pass on a complete sample."""
        self.homes[work.tenant].finished(work, tokens, spans)

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Pass on a refusal."""
        self.homes[work.tenant].refused(work, refusal)


class Run:
    """Set up and execute a run."""

    def __init__(self, spec: RunSpec) -> None:
        self.spec = spec
        self.deployment: Deployment = DEPLOYMENTS[spec.deployment]()
        self.plan = shorten(self.deployment.plan, spec)
        self.contender: Contender = CONTENDERS.get(spec.contender)
        self.clock = Clock()
        self.network = Network(self.clock)
        self.training = self._create_service(self.deployment.training, TRAINING_ENGINE)
        self.desk_service = self._create_service(self.deployment.desk, DESK_ENGINE)
        self.submitters: list[SampleSubmitter] = []
        self.trainers = self._create_trainers()
        self.desk_clients = DeskClients(
            self.desk_service, self.deployment, spec.seed, spec.desk_s
        )
        self._schedule_faults()

    def execute(self) -> RunResult:
        """Run until all steps and requests have ended."""
        began = time.perf_counter()
        self.clock.run(
            MAX_VIRTUAL_TIME_S,
            lambda: self.desk_clients.done and self._all_trainers_done(),
        )
        return self._build_result(time.perf_counter() - began)

    def _all_trainers_done(self) -> bool:
        return all(trainer.done for trainer in self.trainers)

    def _create_service(
        self, document: ServiceDocument, profile: EngineProfile
    ) -> Service:
        region = self.deployment.home_region
        dispatcher = self.contender.dispatcher(document, region, self.spec.seed)
        service = Service(
            self.clock, self.network, document, profile, dispatcher, region
        )
        models = {trainer.model or document.model for trainer in document.trainers}
        for upstream, engine in service.engines.items():
            for model in sorted(models or {document.model}):
                engine.versions[ModelName(model)] = Version(0)
            service.report_versions(upstream)
        return service

    def _create_trainers(self) -> list[Trainer]:
        document = self.deployment.training
        result_handler = TrainingResultHandler()
        self.training.result_handler = result_handler
        rng = RandomStream("offset", self.spec.seed)
        trainers = []
        for number, entry in enumerate(document.trainers):
            bound = entry.staleness_bound
            trainer_spec = TrainerSpec(
                TrainerId(entry.id),
                ModelName(entry.model or document.model),
                document.staleness_bound if bound is None else bound,
            )
            submitter = SampleSubmitter(
                self.training, trainer_spec, self.plan, self.spec.seed
            )
            self.submitters.append(submitter)
            home = self.contender.home(submitter)
            result_handler.homes[TenantId(entry.id)] = home
            trainer = Trainer(self.training, trainer_spec, self.plan, home)
            trainers.append(trainer)
            offset = number * rng.uniform() * self.plan.train_s
            self.clock.after(1.0 + offset, trainer.start)
            self.training.handle(VersionAnnounced(trainer_spec.model, Version(0)))
        return trainers

    def _schedule_faults(self) -> None:
        rng = RandomStream("faults", self.deployment.name, self.spec.seed)
        length = self.plan.steps * (self.plan.train_s + 60.0)
        crashed = self._pick_upstream(self.training, rng)
        delay_s = length * (0.3 + 0.3 * rng.uniform())
        self.clock.after(
            delay_s, lambda: self.training.crash(crashed, CRASH_DOWNTIME_S)
        )
        failed = self._pick_upstream(self.training, rng)
        delay_s = length * (0.1 + 0.6 * rng.uniform())
        self.clock.after(delay_s, lambda: self.training.swaps.fail_next(failed))
        crashed_desk = self._pick_upstream(self.desk_service, rng)
        delay_s = self.spec.desk_s * (0.3 + 0.3 * rng.uniform())
        self.clock.after(
            delay_s, lambda: self.desk_service.crash(crashed_desk, CRASH_DOWNTIME_S)
        )

    def _pick_upstream(self, service: Service, rng: RandomStream) -> UpstreamId:
        names = list(service.engines)
        return names[int(rng.uniform() * len(names))]

    def _build_result(self, wall_s: float) -> RunResult:
        training, desk, now = self.training, self.desk_clients, self.clock.now
        full = len(training.engines) * TRAINING_ENGINE.full_rate()
        desk_full = len(self.desk_service.engines) * DESK_ENGINE.full_rate()
        ended = max(
            trainer.records[-1].completed_at or now for trainer in self.trainers
        )
        generated = sum(engine.generated for engine in training.engines.values())
        return RunResult(
            spec=self.spec,
            trainers=[
                self._build_trainer_result(trainer, submitter)
                for trainer, submitter in zip(
                    self.trainers, self.submitters, strict=True
                )
            ],
            desk_p50_s=quantile(desk.latencies, 0.5),
            desk_p99_s=quantile(desk.latencies, 0.99),
            desk_sent=desk.sent,
            desk_answered=len(desk.latencies),
            desk_refused=desk.refusals,
            region_bytes=self.network.region_bytes,
            region_mean_bps=8.0 * self.network.region_bytes / now,
            wasted_tokens=training.wasted_tokens(),
            generated_tokens=generated,
            load=training.useful_tokens / full / max(ended, 1.0),
            offered_load=self._offered_load(full),
            desk_load=desk.work_tokens / desk_full / self.spec.desk_s,
            orders=training.swaps.ordered,
            hedges=training.hedges,
            resumes=training.resumes,
            virtual_s=now,
            wall_s=wall_s,
        )

    def _offered_load(self, full: float) -> float:
        """Return the load if trainers were idle only as long as their plan implies."""
        plan, tokens = self.plan, 0
        for submitter in self.submitters:
            for step in range(1, plan.steps + 1):
                slots = range(plan.groups * plan.samples_per_group)
                tokens += sum(submitter.length(step, slot) for slot in slots)
        min_busy_s = tokens / full
        period = plan.steps * plan.train_s
        return min_busy_s / (period if plan.lookahead else period + min_busy_s)

    def _build_trainer_result(
        self, trainer: Trainer, submitter: SampleSubmitter
    ) -> TrainerResult:
        records = trainer.records[1:]
        staleness = [value for record in records for value in record.staleness]
        engines = len(self.training.engines)
        now = self.clock.now
        idle = [(record.completed_at or now) - record.needed_at for record in records]
        return TrainerResult(
            trainer=trainer.spec.trainer_id,
            idle_s=sum(idle),
            least_idle_s=least_idle(submitter, self.plan, TRAINING_ENGINE, engines),
            staleness_mean=sum(staleness) / max(1, len(staleness)),
            staleness_p95=int(quantile([float(value) for value in staleness], 0.95)),
            delivered=sum(len(record.staleness) for record in trainer.records),
            duplicates=sum(record.duplicates for record in trainer.records),
            past_bound=sum(record.past_bound for record in trainer.records),
            done=trainer.done,
            idle_by_step=idle,
        )


def run(spec: RunSpec) -> RunResult:
    """Run one contender on one deployment with one seed."""
    return Run(spec).execute()


def shorten(plan: TrainingPlan, spec: RunSpec) -> TrainingPlan:
    """Apply the overrides of a run to a plan."""
    changes = {
        name: value
        for name in ("steps", "groups", "lookahead", "train_s")
        if (value := getattr(spec, name)) is not None
    }
    return msgspec.structs.replace(plan, **changes)


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of the values for a share; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
