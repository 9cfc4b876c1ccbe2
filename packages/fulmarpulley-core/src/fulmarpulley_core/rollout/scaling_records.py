"""Keep the state of scaling decisions on the log, for the next holder of the duty."""

from fulmarpulley_schema.generated.steps import PendingUpstreams, UpstreamsWanted

from ..ids import DataCentre, ServiceName
from .scaling_orders import PlacedOrder, Subject, UpstreamOrder
from .scaling_state import ScalingState


class ScalingHistory:
    """Keep the newest record of each service and the time at which it was read."""

    def __init__(self) -> None:
        self.newest: dict[ServiceName, tuple[UpstreamsWanted, float]] = {}

    def apply(self, record: UpstreamsWanted, read_at_s: float) -> None:
        """Replace the record of a service."""
        self.newest[ServiceName(record.service)] = (record, read_at_s)

    def state(self, service: ServiceName) -> ScalingState | None:
        """Return what a new holder continues with; None if no record is known."""
        found = self.newest.get(service)
        if found is None:
            return None
        record, read_at_s = found
        orders = {
            Subject(DataCentre(order.data_centre), order.spot): PlacedOrder(
                count=order.count,
                expected=order.expected,
                placed_s=read_at_s - order.age_ms / 1000,
                confirmed=order.confirmed,
                known=frozenset(),
            )
            for order in record.orders
        }
        return ScalingState(wanted=record.wanted, fixed=record.fixed, orders=orders)


def to_record(
    state: ScalingState,
    service: ServiceName,
    tenure: str,
    now_s: float,
    intended: UpstreamOrder | None = None,
) -> UpstreamsWanted:
    """Return the record of a state.

    :param intended: order that is about to be made
    """
    orders = dict(state.orders)
    if intended is not None and intended.count > intended.before:
        known = orders.get(intended.subject)
        if known is None or known.count != intended.count:
            pending = 0 if known is None else known.pending()
            orders[intended.subject] = PlacedOrder(
                count=intended.count,
                expected=intended.count - intended.before + pending,
                placed_s=now_s,
                confirmed=False,
                known=frozenset(),
            )
    return UpstreamsWanted(
        tenure=tenure,
        service=service,
        wanted=max(0, state.wanted if intended is None else intended.wanted),
        fixed=state.fixed or intended is not None,
        orders=[
            PendingUpstreams(
                data_centre=subject.data_centre,
                spot=subject.spot,
                count=order.count,
                expected=order.pending(),
                confirmed=order.confirmed,
                age_ms=max(0, round((now_s - order.placed_s) * 1000)),
            )
            for subject, order in orders.items()
        ],
    )
