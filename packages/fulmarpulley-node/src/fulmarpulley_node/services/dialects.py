"""Define the interfaces of the services that the node calls."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from result import Result

from fulmarpulley_core.registry import Registry
from fulmarpulley_schema.generated.document import Scoring
from fulmarpulley_schema.generated.settings import PlatformService
from fulmarpulley_schema.generated.upstream import Instance, LogPage


class PlatformFailure(StrEnum):
    """Name why a call to the platform failed.

    The call may have taken effect only after `LOST`, `TIMED_OUT` or `MALFORMED`.
    """

    UNAVAILABLE = "unavailable"
    LOST = "lost"
    RATE_LIMITED = "rate_limited"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"


class LogDialect(Protocol):
    """Append to and read from the log."""

    async def append(
        self, stream: str, record_id: str, data: str
    ) -> Result[int, PlatformFailure]:
        """Append one record and return its offset; a failed call may have appended."""

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> Result[LogPage, PlatformFailure]:
        """Read a page from an offset on, waiting up to `wait_s` for a record."""

    async def close(self) -> None:
        """Close all connections."""


class InstanceListDialect(Protocol):
    """Read the instance list."""

    async def read(self) -> Result[list[Instance], PlatformFailure]:
        """Return all instances."""

    async def close(self) -> None:
        """Close all connections."""


class ScoringDialect(Protocol):
    """Call the scoring service."""

    async def score(self, prompt: str, text: str) -> Result[float, PlatformFailure]:
        """Return the score of one sample."""

    async def close(self) -> None:
        """Close all connections."""


class WeightStoreDialect(Protocol):
    """Tell upstreams where to read weights."""

    def source(self, model: str, version: int) -> str:
        """Return the address from which an upstream reads a version."""


log_dialects: Registry[Callable[[PlatformService], LogDialect]] = Registry(
    "log dialect"
)
instance_list_dialects: Registry[Callable[[PlatformService], InstanceListDialect]] = (
    Registry("instance list dialect")
)
scoring_dialects: Registry[Callable[[Scoring], ScoringDialect]] = Registry(
    "scoring dialect"
)
weight_store_dialects: Registry[Callable[[PlatformService], WeightStoreDialect]] = (
    Registry("weight store dialect")
)
