"""Register the contenders of the benchmark."""

from collections.abc import Callable

import msgspec

from fulmarpulley_core.ids import Region
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_core.pool.messages import PoolSettings
from fulmarpulley_core.registry import Registry
from fulmarpulley_schema.generated.document import ServiceDocument

from .attempts import Dispatcher
from .naive import NaivePool
from .step_homes import NaiveHome, SampleSubmitter, StepHome, TrainerStepsHome


class Contender(msgspec.Struct, frozen=True):
    """Create the dispatcher of a pool and the step home of a trainer."""

    dispatcher: Callable[[ServiceDocument, str, int], Dispatcher]
    home: Callable[[SampleSubmitter], StepHome]


CONTENDERS: Registry[Contender] = Registry("contender")


def _pool(routing: str) -> Callable[[ServiceDocument, str, int], Dispatcher]:
    def create(document: ServiceDocument, region: str, seed: int) -> Dispatcher:
        settings = PoolSettings(routing=routing, store_region=Region(region))
        return Pool(document, settings, seed)

    return create


def _naive(document: ServiceDocument, region: str, seed: int) -> Dispatcher:
    return NaivePool(document)


CONTENDERS.register("ours")(Contender(_pool("least_tokens"), TrainerStepsHome))
CONTENDERS.register("ours_round_robin")(
    Contender(_pool("round_robin"), TrainerStepsHome)
)
CONTENDERS.register("naive")(Contender(_naive, NaiveHome))
