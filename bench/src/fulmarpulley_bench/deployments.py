"""Describe the two deployments of section 1.1 of the design page."""

import msgspec

from fulmarpulley_schema.generated.document import (
    ClassEntry,
    Limits,
    ServiceDocument,
    ServiceKind,
    TrainerEntry,
    UpstreamEntry,
    Weights,
)

from .engine import EngineProfile
from .random_lengths import SampleLengthDistribution

# 153 MB take 5.4 s over the link between the regions: one copy for each region fits
# the 9 s of section 1.5 of the design page, two concurrent copies don't.
WEIGHT_BYTES = 153_000_000

TRAINING_ENGINE = EngineProfile(capacity=16, peak_rate=80.0, half_rate_streams=24.0)
DESK_ENGINE = EngineProfile(capacity=8, peak_rate=40.0, half_rate_streams=16.0)


class TrainingPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the steps of each trainer of a training service."""

    steps: int
    groups: int
    samples_per_group: int
    train_s: float
    # Number of steps opened ahead while the trainer trains on an earlier one.
    lookahead: int
    prompt_tokens: int = 400
    max_tokens: int = 5000
    sample_lengths: SampleLengthDistribution = SampleLengthDistribution()


class DeskPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the request load of a desk."""

    requests_per_s: float
    # The request rate follows a sine around its mean: relative amplitude and period.
    rate_amplitude: float = 0.15
    period_s: float = 600.0
    # Share of the requests that come from the region of the weight store.
    near_share: float = 0.7
    repeatable_share: float = 0.7
    deadline_s: float = 40.0
    prompt_tokens: int = 250
    median_tokens: float = 130.0
    sigma: float = 0.6
    max_tokens: int = 800
    client_latency_s: float = 0.001


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a deployment and its load."""

    name: str
    home_region: str
    remote_region: str
    training: ServiceDocument
    desk: ServiceDocument
    plan: TrainingPlan
    desk_plan: DeskPlan


def manizales() -> Deployment:
    """Return the deployment with two trainers that generate ahead while they train.

    Each trainer opens a step while it trains on the one before, since low idle time
    is its first priority: at 80% load the engines finish the steps of both trainers
    in time unless work is lost.
    """
    locations = [("chipre", "caldas"), ("palermo", "caldas"), ("cuba", "risaralda")]
    trainers = [
        TrainerEntry(id="comfort-a", model="comfort-a", staleness_bound=1),
        TrainerEntry(id="comfort-b", model="comfort-b", staleness_bound=1),
    ]
    return Deployment(
        name="manizales",
        home_region="caldas",
        remote_region="risaralda",
        training=_training("comfort-llm", locations, trainers),
        desk=_desk("trial-desk", locations, ["complaints", "sign-ups"]),
        plan=TrainingPlan(
            steps=12, groups=48, samples_per_group=8, train_s=160.0, lookahead=1
        ),
        desk_plan=DeskPlan(requests_per_s=3.0),
    )


def zlatna() -> Deployment:
    """Return the deployment with one trainer that trains only on fresh samples.

    It opens a step after it has published the weights of the one before, since low
    staleness is its first priority; the engines are idle while it trains.
    """
    locations = [
        ("sofia-lozenets", "sofia"),
        ("sofia-mladost", "sofia"),
        ("plovdiv-kapana", "plovdiv"),
    ]
    trainers = [TrainerEntry(id="notes", model="drafter", staleness_bound=1)]
    return Deployment(
        name="zlatna",
        home_region="sofia",
        remote_region="plovdiv",
        training=_training("note-drafters", locations, trainers),
        desk=_desk("ticket-desk", locations, ["counter", "office"]),
        plan=TrainingPlan(
            steps=12, groups=96, samples_per_group=8, train_s=45.0, lookahead=0
        ),
        desk_plan=DeskPlan(requests_per_s=3.0, client_latency_s=0.003),
    )


def _training(
    name: str, locations: list[tuple[str, str]], trainers: list[TrainerEntry]
) -> ServiceDocument:
    upstream_locations = [
        locations[0],
        locations[1],
        locations[2],
        locations[0],
        locations[2],
    ]
    return ServiceDocument(
        name=name,
        kind=ServiceKind.TRAINING,
        model=trainers[0].model or name,
        upstreams=_upstreams(name, upstream_locations, TRAINING_ENGINE.capacity),
        trainers=trainers,
        staleness_bound=1,
        deadline_s=1800.0,
        # Enough for as many samples of maximum length as an engine runs at a time.
        limits=Limits(tokens_in_flight=90_000),
        weights=Weights(
            swaps_at_once=2, swap_s=TRAINING_ENGINE.swap_s, bytes=WEIGHT_BYTES
        ),
    )


def _desk(
    name: str, locations: list[tuple[str, str]], classes: list[str]
) -> ServiceDocument:
    return ServiceDocument(
        name=name,
        kind=ServiceKind.DESK,
        model=name,
        upstreams=_upstreams(name, locations, DESK_ENGINE.capacity),
        classes=[ClassEntry(name=class_name) for class_name in classes],
        deadline_s=40.0,
        limits=Limits(queue=512),
    )


def _upstreams(
    name: str, locations: list[tuple[str, str]], capacity: int
) -> list[UpstreamEntry]:
    return [
        UpstreamEntry(
            id=f"{name}-{number}",
            address=f"http://127.0.0.1:{9000 + number}",
            data_centre=data_centre,
            region=region,
            capacity=capacity,
        )
        for number, (data_centre, region) in enumerate(locations)
    ]
