"""Keep one node's view of the members and merge gossip updates into it."""

import math

from fulmarpulley_schema.generated.peer import MemberState, MemberUpdate
from fulmarpulley_schema.generated.settings import MembershipSettings

from .ids import NodeId
from .members import Member, UpdateQueue, overrides

# A dead member that is not in the instance list is removed after this time; gossip
# about it has ended long before.
DEAD_RETENTION_S = 300.0
# A suspected member still gets work, because most suspicions are refuted.
_WORK_STATES = {MemberState.ALIVE, MemberState.SUSPECT}


class MemberView:
    """Keep the members by id; `changes` counts the state changes of members."""

    def __init__(self, settings: MembershipSettings, own_member: Member) -> None:
        self.settings = settings
        self.own_member = own_member
        self.members: dict[NodeId, Member] = {own_member.node_id: own_member}
        self.queue = UpdateQueue()
        self.queue.add(own_member.node_id)
        self.dead: set[NodeId] = set()
        self.suspects: dict[NodeId, float] = {}
        self.added: list[NodeId] = []
        self.changes = 0
        self._available_members: list[Member] | None = None

    def available_members(self) -> list[Member]:
        """List the members that take work: alive or suspected."""
        if self._available_members is None:
            members = self.members.values()
            self._available_members = [m for m in members if m.state in _WORK_STATES]
        return self._available_members

    def merge(self, update: MemberUpdate, now: float) -> None:
        """Merge an update from gossip."""
        node_id = NodeId(update.node_id)
        if node_id == self.own_member.node_id:
            self._refute(update)
            return
        member = self.members.get(node_id)
        if member is None:
            # A member that is unknown here and already dead needs no entry.
            if update.state is not MemberState.DEAD:
                self._add(update, now)
        elif overrides(update, member):
            member.apply_update(update, now)
            self._state_changed(member, now)

    def apply_instance_list(self, listed: list[MemberUpdate], now: float) -> None:
        """Apply the instance list; members dropped from it are suspected."""
        names = {NodeId(update.node_id) for update in listed}
        for update in listed:
            member = self.members.get(NodeId(update.node_id))
            if member is None:
                # Not gossiped, because the other nodes read the same list.
                member = self._add(update, now)
                self.queue.discard(member.node_id)
            self._apply_list_entry(member, update.state is MemberState.LEAVING, now)
        for member in self.members.values():
            if member.listed and member.node_id not in names:
                member.listed = False
                self.suspect(member, now)

    def _apply_list_entry(self, member: Member, leaving: bool, now: float) -> None:
        # The list lags, so a member that restarted may still be listed as leaving.
        # The flag counts only when it appears for the first time, and for this node
        # itself only if it appears after the start.
        newly_leaving = leaving and not member.listed_leaving
        if member is self.own_member and not member.listed:
            newly_leaving = False
        if newly_leaving and member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.LEAVING, now)
        member.listed = True
        member.listed_leaving = leaving

    def suspect(self, member: Member, now: float) -> None:
        """Mark a member as suspected."""
        if member.state in {MemberState.ALIVE, MemberState.LEAVING}:
            self._set_state(member, MemberState.SUSPECT, now)

    def leave(self, now: float) -> None:
        """Mark this node as leaving and gossip it."""
        self.own_member.incarnation += 1
        self._set_state(self.own_member, MemberState.LEAVING, now)

    def suspicion_s(self) -> float:
        """Return the time in seconds in which a suspicion can be refuted."""
        digits = max(1.0, math.log10(len(self.members)))
        return self.settings.suspicion_periods * digits * self.settings.period_s

    def end_suspicions(self, now: float) -> None:
        """Declare members dead whose suspicion was not refuted in time."""
        due = [n for n, deadline in self.suspects.items() if now >= deadline]
        for node_id in due:
            self._set_state(self.members[node_id], MemberState.DEAD, now)

    def extend_suspicions(self, pause_s: float, earliest: float) -> None:
        """Extend every suspicion by a pause of this node.

        :param earliest: time before which no suspicion ends
        """
        for node_id, deadline in self.suspects.items():
            self.suspects[node_id] = max(deadline + pause_s, earliest)

    def forget(self, now: float) -> None:
        """Remove members that died long ago and are not in the instance list."""
        for node_id in list(self.dead):
            member = self.members[node_id]
            if not member.listed and now - member.since >= DEAD_RETENTION_S:
                del self.members[node_id]
                self.dead.discard(node_id)
                self.queue.discard(node_id)

    def _refute(self, update: MemberUpdate) -> None:
        if overrides(update, self.own_member):
            self.own_member.incarnation = update.incarnation + 1
            self.queue.add(self.own_member.node_id)

    def _add(self, update: MemberUpdate, now: float) -> Member:
        member = Member.from_update(update, now)
        self.members[member.node_id] = member
        self.added.append(member.node_id)
        self._state_changed(member, now)
        return member

    def _set_state(self, member: Member, state: MemberState, now: float) -> None:
        if member is self.own_member and state is not MemberState.LEAVING:
            return
        member.state = state
        member.since = now
        self._state_changed(member, now)

    def _state_changed(self, member: Member, now: float) -> None:
        self.queue.add(member.node_id)
        self.suspects.pop(member.node_id, None)
        self.dead.discard(member.node_id)
        if member.state is MemberState.SUSPECT:
            self.suspects[member.node_id] = now + self.suspicion_s()
        elif member.state is MemberState.DEAD:
            self.dead.add(member.node_id)
        self._available_members = None
        self.changes += 1
