"""Keep the list of live upstreams during outages of the store that contains it."""

from enum import StrEnum

import msgspec

from ..ids import DataCentre, ModelName, ServiceName, UpstreamId, Version

# Entries that expired during an outage of the store are back within two seconds after
# it. Until then a missing entry does not mean that its upstream is gone.
REMOVAL_GRACE_S = 2.0
# Bounds the memory for upstreams that have left.
MAX_LEAVING = 4096


class ListedState(StrEnum):
    """Enumerate the states that an upstream reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


class ListedUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the entry of an upstream; `started_ms` differs between its starts.

    A spot upstream may be reclaimed, together with all others of its data centre.

    :param leaves_ms: remaining time of an upstream that is being reclaimed
    """

    upstream_id: UpstreamId
    service: ServiceName
    address: str
    data_centre: DataCentre
    state: ListedState = ListedState.READY
    slots: int = 1
    started_ms: int = 0
    versions: dict[ModelName, Version] = {}
    spot: bool = False
    leaves_ms: float | None = None


class UpstreamDirectory:
    """Keep the entries of the upstreams to use.

    An upstream that says in its responses that it leaves counts as draining, whatever
    its entry says, until it is started again.
    """

    def __init__(self) -> None:
        self.listed: dict[UpstreamId, ListedUpstream] = {}
        # The ids and starts of upstreams that leave, as an ordered set.
        self._leaving: dict[tuple[UpstreamId, int], None] = {}
        self._removal_due: dict[UpstreamId, float] = {}
        self._recovered_at = float("-inf")

    def record_store_recovery(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self._recovered_at = now

    def put(self, entry: ListedUpstream) -> bool:
        """Add or replace an entry; return whether it changes anything."""
        self._removal_due.pop(entry.upstream_id, None)
        entry = self._with_known_state(entry)
        known = self.listed.get(entry.upstream_id)
        if known and None not in (known.leaves_ms, entry.leaves_ms):
            # The remaining time differs in each entry of an upstream that leaves. A
            # change would update all pools although nothing depends on it.
            entry = msgspec.structs.replace(entry, leaves_ms=known.leaves_ms)
        if known == entry:
            return False
        self.listed[entry.upstream_id] = entry
        return True

    def mark_leaving(self, upstream: ListedUpstream) -> bool:
        """Record that an upstream says that it leaves; return whether that is new.

        :param upstream: entry by which the request was sent
        """
        listed = self.listed.get(upstream.upstream_id, upstream)
        # If it was started again meanwhile, the new process gave the response.
        changed = [self._mark_start(upstream), self._mark_start(listed)]
        if upstream.upstream_id in self.listed:
            self.listed[upstream.upstream_id] = self._with_known_state(listed)
        return any(changed)

    def _mark_start(self, upstream: ListedUpstream) -> bool:
        key = (upstream.upstream_id, upstream.started_ms)
        if key in self._leaving:
            return False
        self._leaving[key] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def _with_known_state(self, entry: ListedUpstream) -> ListedUpstream:
        if (entry.upstream_id, entry.started_ms) in self._leaving:
            return msgspec.structs.replace(entry, state=ListedState.DRAINING)
        return entry

    def remove(self, upstream_id: UpstreamId, now: float) -> bool:
        """Remove an entry, after a grace period if the store has just recovered.

        Return whether it was removed at once.
        """
        if upstream_id not in self.listed:
            return False
        if now < self._recovered_at + REMOVAL_GRACE_S:
            due = self._recovered_at + REMOVAL_GRACE_S
            self._removal_due.setdefault(upstream_id, due)
            return False
        del self.listed[upstream_id]
        self._removal_due.pop(upstream_id, None)
        return True

    def replace(self, entries: list[ListedUpstream], now: float) -> bool:
        """Replace the whole list; return whether that changes anything."""
        changed = [self.put(entry) for entry in entries]
        names = {entry.upstream_id for entry in entries}
        missing = [name for name in self.listed if name not in names]
        changed += [self.remove(name, now) for name in missing]
        return any(changed)

    def expire(self, now: float) -> bool:
        """Remove entries whose grace period is over; return whether there were any."""
        due = [name for name, at in self._removal_due.items() if at <= now]
        for name in due:
            del self._removal_due[name]
            self.listed.pop(name, None)
        return bool(due)

    def upstreams_for_service(self, service: ServiceName) -> list[ListedUpstream]:
        """Return the upstreams of a service, sorted by id."""
        found = [u for u in self.listed.values() if u.service == service]
        return sorted(found, key=lambda entry: entry.upstream_id)
