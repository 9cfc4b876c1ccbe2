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
from .desk import Desk
from .engine import EngineProfile
from .homes import Samples, StepHome, TrainerKey
from .lengths import Dice
from .network import Network
from .service import Service
from .trainer import Trainer

DEPLOYMENTS = {"manizales": manizales, "zlatna": zlatna}
CRASH_DOWN_S = 60.0
DESK_S = 1800.0
# A run that takes longer than this has lost samples.
LIMIT_S = 6_000.0


class RunSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Name one run; `steps` and `groups` shorten it for tests."""

    deployment: str
    contender: str
    seed: int
    steps: int | None = None
    groups: int | None = None
    lookahead: int | None = None
    train_s: float | None = None
    desk_s: float = DESK_S


class TrainerResult(msgspec.Struct, kw_only=True):
    """Hold the result of one trainer, without its first step."""

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
    """Hold the result of one run."""

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


class TrainingOwner:
    """Pass the results of work to the step home of its trainer."""

    def __init__(self) -> None:
        self.homes: dict[TenantId, StepHome] = {}

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Pass a complete sample on."""
        self.homes[work.tenant].finished(work, tokens, spans)

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Pass a refusal on."""
        self.homes[work.tenant].refused(work, refusal)


class Run:
    """Hold the parts of one run."""

    def __init__(self, spec: RunSpec) -> None:
        self.spec = spec
        self.deployment: Deployment = DEPLOYMENTS[spec.deployment]()
        self.plan = shorten(self.deployment.plan, spec)
        self.contender: Contender = CONTENDERS.get(spec.contender)
        self.clock = Clock()
        self.network = Network(self.clock)
        self.training = self._service(self.deployment.training, TRAINING_ENGINE)
        self.desk_service = self._service(self.deployment.desk, DESK_ENGINE)
        self.samples: list[Samples] = []
        self.trainers = self._trainers()
        self.desk = Desk(self.desk_service, self.deployment, spec.seed, spec.desk_s)
        self._plan_faults()

    def execute(self) -> RunResult:
        """Run to the end of all steps and requests."""
        began = time.perf_counter()
        self.clock.run(LIMIT_S, lambda: self.desk.done and self._trained())
        return self._result(time.perf_counter() - began)

    def _trained(self) -> bool:
        return all(trainer.done for trainer in self.trainers)

    def _service(self, document: ServiceDocument, profile: EngineProfile) -> Service:
        region = self.deployment.near
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

    def _trainers(self) -> list[Trainer]:
        document = self.deployment.training
        owner = TrainingOwner()
        self.training.owner = owner
        dice = Dice("offset", self.spec.seed)
        trainers = []
        for number, entry in enumerate(document.trainers):
            bound = entry.staleness_bound
            key = TrainerKey(
                TrainerId(entry.id),
                ModelName(entry.model or document.model),
                document.staleness_bound if bound is None else bound,
            )
            samples = Samples(self.training, key, self.plan, self.spec.seed)
            self.samples.append(samples)
            home = self.contender.home(samples)
            owner.homes[TenantId(entry.id)] = home
            trainer = Trainer(self.training, key, self.plan, home)
            trainers.append(trainer)
            offset = number * dice.uniform() * self.plan.train_s
            self.clock.after(1.0 + offset, trainer.start)
            self.training.handle(VersionAnnounced(key.model, Version(0)))
        return trainers

    def _plan_faults(self) -> None:
        dice = Dice("faults", self.deployment.name, self.spec.seed)
        length = self.plan.steps * (self.plan.train_s + 60.0)
        crashed = self._pick(self.training, dice)
        when = length * (0.3 + 0.3 * dice.uniform())
        self.clock.after(when, lambda: self.training.crash(crashed, CRASH_DOWN_S))
        failed = self._pick(self.training, dice)
        when = length * (0.1 + 0.6 * dice.uniform())
        self.clock.after(when, lambda: self.training.swaps.fail_next(failed))
        desk = self._pick(self.desk_service, dice)
        when = self.spec.desk_s * (0.3 + 0.3 * dice.uniform())
        self.clock.after(when, lambda: self.desk_service.crash(desk, CRASH_DOWN_S))

    def _pick(self, service: Service, dice: Dice) -> UpstreamId:
        names = list(service.engines)
        return names[int(dice.uniform() * len(names))]

    def _result(self, wall_s: float) -> RunResult:
        training, desk, now = self.training, self.desk, self.clock.now
        full = len(training.engines) * TRAINING_ENGINE.full_rate()
        desk_full = len(self.desk_service.engines) * DESK_ENGINE.full_rate()
        ended = max(trainer.records[-1].complete or now for trainer in self.trainers)
        generated = sum(engine.generated for engine in training.engines.values())
        return RunResult(
            spec=self.spec,
            trainers=[
                self._trainer(trainer, samples)
                for trainer, samples in zip(self.trainers, self.samples, strict=True)
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
        """Return the load if trainers never idled beyond what they plan for."""
        plan, tokens = self.plan, 0
        for samples in self.samples:
            for step in range(1, plan.steps + 1):
                slots = range(plan.groups * plan.samples)
                tokens += sum(samples.length(step, slot) for slot in slots)
        least = tokens / full
        period = plan.steps * plan.train_s
        return least / (period if plan.lookahead else period + least)

    def _trainer(self, trainer: Trainer, samples: Samples) -> TrainerResult:
        records = trainer.records[1:]
        staleness = [value for record in records for value in record.staleness]
        engines = len(self.training.engines)
        now = self.clock.now
        idle = [(record.complete or now) - record.needed for record in records]
        return TrainerResult(
            trainer=trainer.key.trainer,
            idle_s=sum(idle),
            least_idle_s=least_idle(samples, self.plan, TRAINING_ENGINE, engines),
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
    """Return the value below which a share of the values lies."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
