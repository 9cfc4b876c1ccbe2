"""Decode what the platform publishes about scaling."""

import math

import msgspec

from fulmarpulley_core.ids import DataCentre
from fulmarpulley_core.rollout.topology import ScalingLimits
from fulmarpulley_schema.codec import from_json

from ..observe.events import log_event
from .wire import ScalingEntry, ServerEntry, ServiceEntry

MAX_LOGGED_ERROR_LENGTH = 200
# Longer start times and higher numbers are taken for errors.
MAX_BOOT_S = 3600.0
MAX_UPSTREAMS = 100_000


def to_scaling(entry: ServiceEntry) -> ScalingLimits | None:
    """Convert the scaling of a service; None if it has none or it is invalid."""
    try:
        scaling = from_json(bytes(entry.scaling), ScalingEntry | None)  # type: ignore[arg-type]
        return None if scaling is None else _to_limits(scaling)
    except (msgspec.DecodeError, ValueError) as error:
        text = repr(error)[:MAX_LOGGED_ERROR_LENGTH]
        log_event("scaling_unreadable", service=entry.name, error=text)
        return None


def _to_limits(entry: ScalingEntry) -> ScalingLimits:
    if not 0 <= entry.minimum <= entry.maximum <= MAX_UPSTREAMS:
        raise ValueError(f"bounds {entry.minimum} to {entry.maximum} are invalid")
    if not 0 <= entry.boot_s <= MAX_BOOT_S:
        raise ValueError(f"start time {entry.boot_s} is invalid")
    prices = (entry.spot_price, *entry.zone_prices.values())
    if not all(math.isfinite(price) and price >= 0 for price in prices):
        raise ValueError("a price is invalid")
    return ScalingLimits(
        minimum=entry.minimum,
        maximum=entry.maximum,
        boot_s=entry.boot_s,
        spot_price=entry.spot_price,
        prices={DataCentre(k): v for k, v in entry.zone_prices.items()},
    )


def is_spot(entry: ServerEntry) -> bool:
    """Return whether a worker may be reclaimed; an odd value counts as false."""
    return bytes(entry.spot).strip() == b"true"


def leaves_ms(entry: ServerEntry) -> float | None:
    """Return the remaining time of a worker that is being reclaimed."""
    try:
        value = from_json(bytes(entry.leaves_ms), float | None)  # type: ignore[arg-type]
    except msgspec.DecodeError:
        return None
    return value if value is not None and math.isfinite(value) else None
