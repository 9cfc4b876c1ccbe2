"""Detect failed members with probes and gossip, at a constant cost per node.

The protocol follows SWIM. A member that answers neither a direct nor an indirect probe
within a period is suspected, and declared dead unless the suspicion is refuted in time.
A member refutes it by raising its incarnation. The instance list adds members; a member
dropped from it is only suspected, so that a lagging list removes no member that still
answers.
"""

import msgspec

from fulmarpulley_schema.generated.peer import (
    MemberState,
    MemberUpdate,
    MessageKind,
    Probe,
)
from fulmarpulley_schema.generated.settings import MembershipSettings

from .ids import NodeId, Offset
from .member_view import MemberView
from .members import Member
from .seeded_random import SeededRandom

# One dead member of the instance list is probed each time this many periods have
# passed, so that the two sides of a network partition find each other once it heals.
DEAD_PROBE_PERIODS = 5
# Probing suspected members informs them of the suspicion, so that they can refute it
# early. At 20% loss among 30 members, 3 probes lower the time for which live members
# count as dead from 83 to 20 member-seconds in 200 s.
SUSPECT_PROBES_PER_PERIOD = 3
# After more consecutive periods that start late, a missing answer counts again: a busy
# process reads answers between its ticks, and it must detect failures too.
MAX_EXCUSED_PERIODS = 3
# Limit of unanswered probes made on behalf of other members.
MAX_RELAYED_PROBES = 64


class Outbound(msgspec.Struct, frozen=True):
    """Address a message to a member."""

    target: NodeId
    address: str
    kind: MessageKind
    message: Probe


class _PendingProbe(msgspec.Struct):
    target: NodeId
    sequence: int
    indirect_at: float
    indirect_sent: bool = False


class _RelayedProbe(msgspec.Struct, frozen=True):
    sender: NodeId
    sequence: int


class Membership:
    """Run the failure detector of one node; `own_update` describes that node.

    `newest_config_member` is a member with the highest known config offset.
    """

    def __init__(
        self, settings: MembershipSettings, own_update: MemberUpdate, seed: int
    ) -> None:
        self.settings = settings
        self.own_member = Member.from_update(own_update)
        self.config_offset = Offset(0)
        self.newest_config_member: NodeId | None = None
        self.newest_config_offset = Offset(0)
        self.view = MemberView(settings, self.own_member)
        self._random = SeededRandom(seed)
        self._probe_order: list[NodeId] = []
        self._pending_probe: _PendingProbe | None = None
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._sequence = 0
        self._period = 0
        self._next_period: float | None = None
        self._late_periods = 0

    @property
    def changes(self) -> int:
        """Return a counter that increases whenever a member changes its state."""
        return self.view.changes

    def members(self) -> list[Member]:
        """List all known members, including dead ones."""
        return list(self.view.members.values())

    def member(self, node_id: NodeId) -> Member | None:
        """Return a member by its id."""
        return self.view.members.get(node_id)

    def available_members(self) -> list[Member]:
        """List the members that take work, including this node."""
        return self.view.available_members()

    def live_members(self) -> list[Member]:
        """List the members that are not dead; leaving ones still finish their work."""
        members = self.view.members.values()
        return [m for m in members if m.state is not MemberState.DEAD]

    def next_wakeup(self) -> float | None:
        """Return when `tick` is due next, or None before the first tick."""
        times = [] if self._next_period is None else [self._next_period]
        if self._pending_probe is not None and not self._pending_probe.indirect_sent:
            times.append(self._pending_probe.indirect_at)
        times += self.view.suspects.values()
        return min(times, default=None)

    def apply_instance_list(self, listed: list[MemberUpdate], now: float) -> None:
        """Apply the instance list."""
        self.view.apply_instance_list(listed, now)

    def leave(self, now: float) -> list[Outbound]:
        """Tell some members directly that this node leaves; gossip reaches the rest."""
        self.view.leave(now)
        others = [
            member
            for member in self.available_members()
            if member is not self.own_member
        ]
        chosen = self._random.choose_up_to(others, self.settings.indirect_probes)
        return [self._send(m, MessageKind.PROBE, self._next_sequence()) for m in chosen]

    def handle(self, kind: MessageKind, message: Probe, now: float) -> list[Outbound]:
        """Handle a probe, its answer, or a request to probe another member."""
        for update in message.updates:
            self.view.merge(update, now)
        sender = self.member(NodeId(message.sender))
        if sender is None:
            return []
        self._record_config_offset(sender, Offset(message.config_offset))
        if kind is MessageKind.PROBE:
            return [self._send(sender, MessageKind.PROBE_ACK, message.sequence)]
        if kind is MessageKind.PROBE_REQUEST:
            return self._relay_probe(sender, message)
        if kind is MessageKind.PROBE_ACK:
            return self._acknowledge(sender, message)
        return []

    def tick(self, now: float) -> list[Outbound]:
        """Start a period, request indirect probes and end suspicions that are due."""
        due = now if self._next_period is None else self._next_period
        if now >= due:
            self._excuse_pause(now, now - due)
        outbound = self._request_indirect_probes(now)
        self.view.end_suspicions(now)
        if now >= due:
            self._next_period = now + self.settings.period_s
            outbound += self._start_period(now)
        return outbound

    def _excuse_pause(self, now: float, delay_s: float) -> None:
        """Excuse missing answers if a period starts late.

        After a pause of this process received answers may still be unread, so a missing
        answer is no sign of failure.
        """
        period_s = self.settings.period_s
        if delay_s <= period_s:
            self._late_periods = 0
            return
        self._late_periods += 1
        if self._late_periods <= MAX_EXCUSED_PERIODS:
            self._pending_probe = None
            self.view.extend_suspicions(delay_s, now + period_s)

    def _start_period(self, now: float) -> list[Outbound]:
        if self._pending_probe is not None:
            silent = self.member(self._pending_probe.target)
            self._pending_probe = None
            if silent is not None:
                self.view.suspect(silent, now)
        self._period += 1
        self.view.forget(now)
        extra = self._probe_suspects() + self._probe_dead()
        target = self._next_target()
        if target is None:
            return extra
        sequence = self._next_sequence()
        timeout = now + self.settings.probe_timeout_s
        self._pending_probe = _PendingProbe(target.node_id, sequence, timeout)
        return [self._send(target, MessageKind.PROBE, sequence), *extra]

    def _next_target(self) -> Member | None:
        for node_id in self.view.added:
            index = self._random.randrange(len(self._probe_order) + 1)
            self._probe_order.insert(index, node_id)
        self.view.added.clear()
        for _ in range(2):
            while self._probe_order:
                member = self.member(self._probe_order.pop())
                if member is not None and member.state is not MemberState.DEAD:
                    return member
            self._probe_order = [
                n for n in self.view.members if n != self.own_member.node_id
            ]
            self._random.shuffle(self._probe_order)
        return None

    def _probe_suspects(self) -> list[Outbound]:
        suspects = [self.view.members[node_id] for node_id in self.view.suspects]
        chosen = self._random.choose_up_to(suspects, SUSPECT_PROBES_PER_PERIOD)
        return [self._send(m, MessageKind.PROBE, self._next_sequence()) for m in chosen]

    def _probe_dead(self) -> list[Outbound]:
        if self._period % DEAD_PROBE_PERIODS:
            return []
        dead = sorted(self.view.dead)
        listed = [m for node_id in dead if (m := self.view.members[node_id]).listed]
        chosen = self._random.choose_up_to(listed, 1)
        return [self._send(m, MessageKind.PROBE, self._next_sequence()) for m in chosen]

    def _request_indirect_probes(self, now: float) -> list[Outbound]:
        pending = self._pending_probe
        if pending is None or pending.indirect_sent or now < pending.indirect_at:
            return []
        pending.indirect_sent = True
        helpers = [
            member
            for member in self.view.members.values()
            if member.state is MemberState.ALIVE
            and member.node_id not in {self.own_member.node_id, pending.target}
        ]
        chosen = self._random.choose_up_to(helpers, self.settings.indirect_probes)
        kind, sequence = MessageKind.PROBE_REQUEST, pending.sequence
        asked = [self._send(m, kind, sequence, pending.target) for m in chosen]
        target = self.member(pending.target)
        if target is None:
            return asked
        # A second direct probe reduces false suspicions tenfold at 5% loss. Each of
        # them costs gossip to all members.
        return [self._send(target, MessageKind.PROBE, sequence), *asked]

    def _relay_probe(self, sender: Member, message: Probe) -> list[Outbound]:
        target = self.member(NodeId(message.target))
        if target is None:
            return []
        sequence = self._next_sequence()
        self._relayed_probes[sequence] = _RelayedProbe(sender.node_id, message.sequence)
        if len(self._relayed_probes) > MAX_RELAYED_PROBES:
            del self._relayed_probes[next(iter(self._relayed_probes))]
        return [self._send(target, MessageKind.PROBE, sequence)]

    def _acknowledge(self, sender: Member, message: Probe) -> list[Outbound]:
        relayed = self._relayed_probes.pop(message.sequence, None)
        if relayed is not None:
            requester = self.member(relayed.sender)
            kind = MessageKind.PROBE_ACK
            if requester is None:
                return []
            return [self._send(requester, kind, relayed.sequence, sender.node_id)]
        pending = self._pending_probe
        if pending is not None and pending.sequence == message.sequence:
            self._pending_probe = None
        return []

    def _record_config_offset(self, sender: Member, offset: Offset) -> None:
        sender.config_offset = max(sender.config_offset, offset)
        known = (
            self.member(self.newest_config_member)
            if self.newest_config_member is not None
            else None
        )
        lost = known is None or known.state is MemberState.DEAD
        if lost or offset > self.newest_config_offset:
            self.newest_config_member, self.newest_config_offset = (
                sender.node_id,
                offset,
            )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _send(
        self, member: Member, kind: MessageKind, sequence: int, target: str = ""
    ) -> Outbound:
        chosen: list[NodeId] = []
        if kind is not MessageKind.PROBE_ACK:
            # Lets a receiver that does not know this node yet answer it.
            chosen.append(self.own_member.node_id)
        if member.state is not MemberState.ALIVE:
            # Lets the receiver refute the state that is known of it.
            chosen.append(member.node_id)
        max_updates = self.settings.updates_per_message - len(chosen)
        queued = self.view.queue.choose(len(self.view.members), max_updates)
        chosen += [node_id for node_id in queued if node_id not in chosen]
        message = Probe(
            sender=self.own_member.node_id,
            sequence=sequence,
            target=target,
            config_offset=self.config_offset,
            updates=[self.view.members[node_id].update() for node_id in chosen],
        )
        return Outbound(member.node_id, member.peer_address, kind, message)
