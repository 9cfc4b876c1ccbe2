"""Define the state of a member, and the queue of updates to gossip."""

import math

import msgspec

from fulmarpulley_schema.generated.peer import MemberState, MemberUpdate

from .ids import NodeId, Offset, Region

# Among updates with the same incarnation the state with the higher rank wins.
_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}
# Transmissions of each update per decimal digit of the number of members.
RETRANSMIT_MULTIPLIER = 4


class Member(msgspec.Struct, kw_only=True):
    """Describe a member; `since` is the time in seconds at which its state was set."""

    node_id: NodeId
    region: Region
    data_centre: str
    peer_address: str
    http_address: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    config_offset: Offset = Offset(0)
    since: float = 0.0
    listed: bool = False
    listed_leaving: bool = False

    @classmethod
    def from_update(cls, update: MemberUpdate, now: float = 0.0) -> "Member":
        """Create a member from an update."""
        return cls(
            node_id=NodeId(update.node_id),
            region=Region(update.region),
            data_centre=update.data_centre,
            peer_address=update.peer_address,
            http_address=update.http_address,
            state=update.state,
            incarnation=update.incarnation,
            since=now,
        )

    def update(self) -> MemberUpdate:
        """Return the known state as an update."""
        return MemberUpdate(
            node_id=self.node_id,
            state=self.state,
            incarnation=self.incarnation,
            peer_address=self.peer_address,
            http_address=self.http_address,
            data_centre=self.data_centre,
            region=self.region,
        )

    def apply_update(self, update: MemberUpdate, now: float) -> None:
        """Replace the known state by that of an update."""
        self.region = Region(update.region)
        self.data_centre = update.data_centre
        self.peer_address = update.peer_address
        self.http_address = update.http_address
        self.incarnation = update.incarnation
        if self.state is not update.state:
            self.state = update.state
            self.since = now


def overrides(update: MemberUpdate, known: Member) -> bool:
    """Return whether an update supersedes the known state of a member."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _PRECEDENCE[update.state] > _PRECEDENCE[known.state]


class UpdateQueue:
    """Choose the updates to piggyback on a message, least often sent first."""

    def __init__(self) -> None:
        self._sent: dict[NodeId, int] = {}

    def add(self, node_id: NodeId) -> None:
        """Start to gossip the state of a member."""
        self._sent[node_id] = 0

    def discard(self, node_id: NodeId) -> None:
        """Stop gossiping the state of a member."""
        self._sent.pop(node_id, None)

    def choose(self, members: int, max_updates: int) -> list[NodeId]:
        """Return up to `max_updates` members to piggyback on the next message."""
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))
        chosen = list(self._sent)
        if len(chosen) > max_updates:
            chosen.sort(key=self._sent.__getitem__)
            del chosen[max_updates:]
        for node_id in chosen:
            self._sent[node_id] += 1
            if self._sent[node_id] >= limit:
                del self._sent[node_id]
        return chosen

    def __len__(self) -> int:
        return len(self._sent)
