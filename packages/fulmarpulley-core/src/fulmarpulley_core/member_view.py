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

    def __init__(self, settings: MembershipSettings, me: Member) -> None:
        self.settings = settings
        self.me = me
        self.members: dict[NodeId, Member] = {me.node_id: me}
        self.queue = UpdateQueue()
        self.queue.add(me.node_id)
        self.dead: set[NodeId] = set()
        self.suspects: dict[NodeId, float] = {}
        self.added: list[NodeId] = []
        self.changes = 0
        self._alive: list[Member] | None = None

    def alive(self) -> list[Member]:
        """List the members that take work: alive or suspected."""
        if self._alive is None:
            members = self.members.values()
            self._alive = [m for m in members if m.state in _WORK_STATES]
        return self._alive

    def merge(self, update: MemberUpdate, now: float) -> None:
        """Merge an update from gossip."""
        node_id = NodeId(update.node_id)
        if node_id == self.me.node_id:
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

    def seed(self, listed: list[MemberUpdate], now: float) -> None:
        """Apply the instance list; members dropped from it are suspected."""
        names = {NodeId(update.node_id) for update in listed}
        for update in listed:
            member = self.members.get(NodeId(update.node_id))
            if member is None:
                # Not gossiped, because the other nodes read the same list.
                member = self._add(update, now)
                self.queue.discard(member.node_id)
            self._note_listed(member, update.state is MemberState.LEAVING, now)
        for member in self.members.values():
            if member.listed and member.node_id not in names:
                member.listed = False
                self.suspect(member, now)

    def _note_listed(self, member: Member, leaving: bool, now: float) -> None:
        # The list lags, so a member that restarted may still be listed as leaving.
        # The flag counts only when it appears for the first time, and for this node
        # itself only if it appears after the start.
        newly_leaving = leaving and not member.listed_leaving
        if member is self.me and not member.listed:
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
        self.me.incarnation += 1
        self._set_state(self.me, MemberState.LEAVING, now)

    def suspicion_s(self) -> float:
        """Return the time in seconds in which a suspicion can be refuted."""
        digits = max(1.0, math.log10(len(self.members)))
        return self.settings.suspicion_periods * digits * self.settings.period_s

    def end_suspicions(self, now: float) -> None:
        """Declare members dead whose suspicion was not refuted in time."""
        due = [n for n, deadline in self.suspects.items() if now >= deadline]
        for node_id in due:
            self._set_state(self.members[node_id], MemberState.DEAD, now)

    def restart_suspicions(self, now: float) -> None:
        """Restart the timeout of every suspicion."""
        for node_id in self.suspects:
            self.suspects[node_id] = now + self.suspicion_s()

    def forget(self, now: float) -> None:
        """Remove members that died long ago and are not in the instance list."""
        for node_id in list(self.dead):
            member = self.members[node_id]
            if not member.listed and now - member.since >= DEAD_RETENTION_S:
                del self.members[node_id]
                self.dead.discard(node_id)
                self.queue.discard(node_id)

    def _refute(self, update: MemberUpdate) -> None:
        if overrides(update, self.me):
            self.me.incarnation = update.incarnation + 1
            self.queue.add(self.me.node_id)

    def _add(self, update: MemberUpdate, now: float) -> Member:
        member = Member.from_update(update, now)
        self.members[member.node_id] = member
        self.added.append(member.node_id)
        self._state_changed(member, now)
        return member

    def _set_state(self, member: Member, state: MemberState, now: float) -> None:
        if member is self.me and state is not MemberState.LEAVING:
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
        self._alive = None
        self.changes += 1
