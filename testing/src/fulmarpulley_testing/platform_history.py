"""Record what trainers and callers observed on the platform and when faults ran."""

from enum import StrEnum
from typing import Any

import msgspec


class WindowKind(StrEnum):
    """Name what a fault affects; STOP is the graceful stop of a node."""

    STOP = "stop"
    PROCESS = "process"
    STORE = "store"
    UPSTREAM = "upstream"


class FaultWindow(msgspec.Struct, kw_only=True):
    """Hold the period in which a fault was active, in monotonic seconds."""

    kind: WindowKind
    subject: str
    begin: float
    end: float = float("inf")

    def overlaps(self, begin: float, end: float) -> bool:
        """Tell whether the fault was active at any time between two times."""
        return self.begin <= end and begin <= self.end


class RemovedKey(msgspec.Struct, kw_only=True):
    """Hold when the removal of a key was accepted, and when the key was to return."""

    account: str
    key: str
    removed_at: float
    restored_at: float = float("inf")


class StepSeen(msgspec.Struct, kw_only=True):
    """Hold what a trainer observed of a step."""

    step_id: str
    items: int
    min_version: int
    rewards: bool = False
    account: str | None = None
    statuses: list[int] = []
    accepted_at: float | None = None
    ended_at: float | None = None
    results: dict[int, Any] = {}
    changed: list[int] = []
    missing_at: list[float] = []

    @property
    def refused(self) -> bool:
        """Tell whether every submission was refused, so that no item may run."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}

    @property
    def complete(self) -> bool:
        """Tell whether the results of all items were read."""
        return len(self.results) == self.items


class RequestSeen(msgspec.Struct, kw_only=True):
    """Hold what a caller observed of a request; status 0 means it got no answer."""

    request_id: str
    node: str
    path: str
    body: bytes
    repeatable: bool
    began: float
    account: str | None = None
    key: str | None = None
    ended: float = 0.0
    status: int = 0
    answer: bytes = b""
    answer_id: str = ""
    signature: str = ""
    # Whether the answer says that its worker leaves.
    leaving: bool = False


class PlatformHistory:
    """Hold what all clients of a soak observed, and its faults."""

    def __init__(self) -> None:
        self.stopping = False
        self.steps: dict[str, StepSeen] = {}
        self.requests: dict[str, RequestSeen] = {}
        self.windows: list[FaultWindow] = []
        # By worker, the monotonic time when the store accepted its draining entry.
        self.draining: dict[str, float] = {}
        # By prefix, the monotonic time when the store accepted an added route.
        self.added_routes: dict[str, float] = {}
        # By key, the monotonic time when the store last accepted it as added.
        self.added_keys: dict[str, float] = {}
        self.removed_keys: list[RemovedKey] = []
        self.nonzero_exits: list[str] = []

    def answers(self) -> int:
        """Return the number of requests answered with status 200."""
        return sum(request.status == 200 for request in self.requests.values())

    def route_added_at(self, path: str) -> float:
        """Return when the route of a path was added, or infinity."""
        prefixes = [prefix for prefix in self.added_routes if path.startswith(prefix)]
        return min((self.added_routes[p] for p in prefixes), default=float("inf"))

    def fault_active(self, begin: float, end: float, *kinds: WindowKind) -> bool:
        """Tell whether a fault of these kinds was active between two times."""
        return any(w.kind in kinds and w.overlaps(begin, end) for w in self.windows)
