"""Decide which upstreams of a service are there, and which are lost."""

import math
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import msgspec

from ..ids import DataCentre, UpstreamId
from .scaling_orders import Subject

# An upstream that crashes is usually listed again within a second.
RESTART_S = 2.0
# A planned restart first drains, for up to 2.5 s, and then starts again.
PLANNED_RESTART_S = 5.0
# Health checks take an upstream out of use and back several times before it is sure
# that a listed one does not answer.
UNREACHABLE_S = 6.0
# Lost upstreams are remembered for this time, to order others in their data centre.
LOSS_RETENTION_S = 60.0


class Presence(StrEnum):
    """Name the state of a listed upstream.

    DRAINING ones may come back after a restart, LEAVING ones are being reclaimed.
    """

    SERVING = "serving"
    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    LEAVING = "leaving"


GRACE_S = {
    Presence.UNREACHABLE: UNREACHABLE_S,
    Presence.DRAINING: PLANNED_RESTART_S,
    Presence.LEAVING: 0.0,
}


class SeenUpstream(NamedTuple):
    """Hold a listed upstream and its state."""

    upstream_id: UpstreamId
    subject: Subject
    presence: Presence


class KnownUpstream(msgspec.Struct):
    """Hold an upstream that was listed in this tenure.

    :param served: whether it served at some time in this tenure
    :param absent_s: time since which it does not serve
    :param lost_s: time at which it counts as lost
    """

    subject: Subject
    presence: Presence
    listed: bool = True
    served: bool = False
    absent_s: float = math.inf
    lost_s: float = math.inf


class UpstreamCensus:
    """Count the upstreams that serve, are expected back, or are lost."""

    def __init__(self) -> None:
        self.known: dict[UpstreamId, KnownUpstream] = {}
        self.now_s = -math.inf

    def update(self, upstreams: Iterable[SeenUpstream], now_s: float) -> bool:
        """Record the listed upstreams; return whether any does not serve."""
        self.now_s = now_s
        seen = {upstream.upstream_id: upstream for upstream in upstreams}
        cut_off = _cut_off(seen.values())
        for upstream_id, upstream in seen.items():
            self._record(upstream_id, upstream, upstream.subject[0] in cut_off)
        for upstream_id, known in list(self.known.items()):
            if upstream_id not in seen:
                self._record_unlisted(known)
                if now_s >= known.absent_s + LOSS_RETENTION_S:
                    del self.known[upstream_id]
        return any(known.absent_s < math.inf for known in self.known.values())

    def _record(
        self, upstream_id: UpstreamId, upstream: SeenUpstream, cut_off: bool
    ) -> None:
        known = self.known.get(upstream_id)
        if known is None or known.subject != upstream.subject:
            known = KnownUpstream(upstream.subject, upstream.presence)
            self.known[upstream_id] = known
        known.listed = True
        known.presence = upstream.presence
        if upstream.presence is Presence.SERVING:
            known.served = True
            known.absent_s = known.lost_s = math.inf
            return
        known.absent_s = min(known.absent_s, self.now_s)
        known.lost_s = known.absent_s + GRACE_S[upstream.presence]
        if upstream.presence is Presence.UNREACHABLE and cut_off:
            known.lost_s = math.inf

    def _record_unlisted(self, known: KnownUpstream) -> None:
        if not known.listed:
            return
        known.listed = False
        if known.presence is Presence.DRAINING or known.presence is Presence.LEAVING:
            return
        known.absent_s = min(known.absent_s, self.now_s)
        known.lost_s = min(known.lost_s, self.now_s + RESTART_S)

    def _is_lost(self, known: KnownUpstream) -> bool:
        return known.lost_s <= self.now_s

    def serving(self) -> dict[Subject, set[UpstreamId]]:
        """Return the upstreams that serve, by subject."""
        found: dict[Subject, set[UpstreamId]] = {}
        for upstream_id, known in self.known.items():
            if known.absent_s == math.inf:
                found.setdefault(known.subject, set()).add(upstream_id)
        return found

    def present(self) -> int:
        """Return the number of upstreams that serve or are expected back soon."""
        return sum(not self._is_lost(known) for known in self.known.values())

    def at_start(self) -> int:
        """Return the number that serve or leave without having served here before."""
        return sum(
            known.absent_s == math.inf
            or (known.presence is Presence.LEAVING and not known.served)
            for known in self.known.values()
        )

    def leaving(self) -> int:
        """Return the number of upstreams that have announced that they leave."""
        return sum(known.presence is Presence.LEAVING for known in self.known.values())

    def counted(self, subject: Subject) -> int:
        """Return the upstreams of a subject that its number must include.

        Unreachable ones are counted as long as they are listed: a smaller number could
        end others in their place.
        """
        return sum(
            known.subject == subject
            and (
                not self._is_lost(known)
                or (known.listed and known.presence is Presence.UNREACHABLE)
            )
            for known in self.known.values()
        )

    def lost(self) -> Counter[DataCentre]:
        """Return the number of lost upstreams by data centre."""
        return Counter(
            known.subject.data_centre
            for known in self.known.values()
            if self._is_lost(known)
        )

    def troubled(self) -> set[DataCentre]:
        """Return the data centres with upstreams that do not serve."""
        return {
            known.subject.data_centre
            for known in self.known.values()
            if known.absent_s < math.inf
        }

    def data_centres(self) -> set[DataCentre]:
        """Return the data centres of known upstreams."""
        return {known.subject.data_centre for known in self.known.values()}


def _cut_off(upstreams: Iterable[SeenUpstream]) -> set[DataCentre]:
    """Return data centres of which no upstream can be reached, though some are listed.

    Their entries are renewed, so the link is impaired rather than the upstreams.
    """
    reached: set[DataCentre] = set()
    unreached: Counter[DataCentre] = Counter()
    for upstream in upstreams:
        if upstream.presence is Presence.UNREACHABLE:
            unreached[upstream.subject.data_centre] += 1
        elif upstream.presence is Presence.SERVING:
            reached.add(upstream.subject.data_centre)
    return {name for name, count in unreached.items() if count > 1} - reached
