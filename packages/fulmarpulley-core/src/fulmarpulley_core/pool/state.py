"""Hold the state of work items, attempts and upstreams of a pool."""

import msgspec

from fulmarpulley_schema.generated.document import AttachState, UpstreamEntry
from fulmarpulley_schema.generated.http import Ran

from ..ids import AttemptId, ModelName, UpstreamId, Version
from .messages import Availability, Work


class Item(msgspec.Struct, eq=False, kw_only=True):
    """Hold a work item from its submission to its end."""

    work: Work
    sequence: int
    submitted: float
    deadline: float | None = None
    received: int = 0
    failures: int = 0
    may_have_run: bool = False
    queued: bool = False
    avoid: UpstreamId | None = None
    attempts: list["Attempt"] = []

    def cost(self) -> int:
        """Return the tokens that an upstream holds while it runs this item."""
        return self.work.prompt_tokens + self.work.max_tokens

    def ran(self) -> Ran:
        """Return what is known about runs of this item, its attempts included."""
        if self.may_have_run or self.attempts:
            return Ran.MAY_HAVE_RUN
        return Ran.NOT_RUN


class Attempt(msgspec.Struct, eq=False, kw_only=True):
    """Hold an attempt that was started and has not ended."""

    attempt_id: AttemptId
    item: Item
    upstream: "Upstream"
    started: float
    cost: int
    hedge: bool = False


class Upstream(msgspec.Struct, eq=False, kw_only=True):
    """Hold what a pool knows about an upstream."""

    entry: UpstreamEntry
    listed: bool = True
    reported: Availability = Availability.AVAILABLE
    tokens_in_flight: int = 0
    attempts: dict[AttemptId, Attempt] = {}
    versions: dict[ModelName, Version] = {}

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the id of the upstream."""
        return UpstreamId(self.entry.id)

    def availability(self) -> Availability:
        """Combine the document, the instance list and the upstream's own signal."""
        if not self.listed:
            return Availability.LEAVING
        if self.entry.state is AttachState.DRAINING:
            return Availability.DRAINING
        return self.reported

    def has_room(self, cost: int, token_limit: int) -> bool:
        """Tell whether an attempt of that cost fits; an idle upstream takes any."""
        if not self.attempts:
            return True
        if len(self.attempts) >= self.entry.capacity:
            return False
        return self.tokens_in_flight + cost <= token_limit
