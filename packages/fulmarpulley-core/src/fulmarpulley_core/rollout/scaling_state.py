"""Hold the state of a scaling decision that outlasts its holder."""

import msgspec

from .scaling_orders import PlacedOrder, Subject


class ScalingState(msgspec.Struct, kw_only=True):
    """Hold what a new holder continues with.

    :param wanted: number of upstreams that the service is to have
    :param fixed: whether orders have been made, so that further upstreams that appear
        may be returned ones
    """

    wanted: int = 0
    fixed: bool = False
    orders: dict[Subject, PlacedOrder] = msgspec.field(default_factory=dict)
