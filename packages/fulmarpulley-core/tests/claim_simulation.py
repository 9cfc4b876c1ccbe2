"""Simulate claim tables on an unreliable log, and check their decisions."""

from typing import Any

import msgspec

from fulmarpulley_core.claim_messages import (
    AppendClaim,
    AppendOutcome,
    ClaimEnd,
    ClaimEvent,
    ClaimWon,
    RefuseKey,
    ReturnAnswer,
    ServiceKey,
)
from fulmarpulley_core.claims import ClaimTable
from fulmarpulley_core.ids import NodeId, Offset, Partition, RequestKey, ServiceName
from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.records import OutcomeKind, Record, RecordKind

PARTITION = Partition(3)
SERVICE = ServiceName("desk")


class Node(msgspec.Struct):
    """Hold the state of a node process: its table and its pending actions."""

    table: ClaimTable
    claims: list[AppendClaim] = []
    won: list[str] = []
    begun: list[str] = []


class ClaimSimulation:
    """Hold the log, the nodes and the requests that actually ran."""

    def __init__(self, nodes: int) -> None:
        self.records: list[Record] = []
        self.first = 1
        self.in_flight: list[Record] = []
        self.keys: list[ServiceKey] = []
        self.runs: dict[ServiceKey, list[str]] = {}
        self.claim_keys: dict[str, ServiceKey] = {}
        self.not_run: set[str] = set()
        self.count = 0
        self.nodes = [self.start_node(f"n{index}") for index in range(nodes)]

    def start_node(self, node_id: str) -> Node:
        self.count += 1
        node = Node(ClaimTable(PARTITION, NodeId(node_id), f"s{self.count}"))
        node.table.set_first_offset(Offset(self.first))
        return node

    def issue(self, node: Node) -> None:
        self.count += 1
        key = node.table.issue_key(f"x{self.count}")
        assert key is not None
        self.keys.append(ServiceKey(SERVICE, key))

    def request(self, node: Node, key: ServiceKey, fingerprint: str) -> None:
        decision = node.table.request(key, fingerprint)
        if isinstance(decision, AppendClaim):
            assert not decision.run_immediately
            self.claim_keys[decision.entry.claim_id] = key
            node.claims.append(decision)
            self.send("claims", [decision.entry])
        elif isinstance(decision, ReturnAnswer):
            assert decision.answer["by"] in self.runs[key]
        elif isinstance(decision, RefuseKey) and decision.ran is Ran.NOT_RUN:
            # A refusal without a claim may be `not_run` only if the body never ran.
            assert decision.code == "key_reused"
            assert f"{fingerprint}-body" not in self.runs.get(key, [])

    def send(self, kind: str, entries: list[Any]) -> None:
        """Send a record to the log; it may arrive never, once or several times."""
        self.count += 1
        body = {"entries": [to_builtins(entry) for entry in entries]}
        kind_of = RecordKind(kind)
        record = Record(record_id=f"r{self.count}", kind=kind_of, body=body)
        self.in_flight.append(record)

    def read(self, node: Node, count: int) -> None:
        self.react(node, node.table.set_first_offset(Offset(self.first)))
        for index in range(node.table.offset, node.table.offset + count):
            if index < len(self.records):
                events = node.table.apply(Offset(index + 1), self.records[index])
                self.react(node, events)

    def react(self, node: Node, events: list[ClaimEvent]) -> None:
        for event in events:
            if isinstance(event, ClaimWon):
                node.won.append(event.claim_id)
            elif isinstance(event, AppendOutcome):
                self.send("outcomes", [event.entry])

    def begin(self, node: Node, claim_id: str) -> None:
        if node.table.begin(claim_id):
            assert claim_id not in self.not_run
            node.begun.append(claim_id)

    def run(self, claim_id: str) -> None:
        """Run the request of a claim on the upstream."""
        key = self.claim_keys[claim_id]
        self.runs.setdefault(key, []).append(claim_id)
        assert claim_id not in self.not_run, "ran although reported as not run"
        assert len(self.runs[key]) == 1, "ran twice"

    def ended(self, claim_id: str, ended: ClaimEnd) -> None:
        """Deliver the report of a holder to its caller."""
        if ended.ran is Ran.NOT_RUN:
            self.not_run.add(claim_id)
            assert claim_id not in self.runs.get(self.claim_keys[claim_id], [])
        if ended.record is not None:
            self.send("outcomes", [ended.record])

    def current(self, offset: int, key: ServiceKey) -> str | None:
        """Compute the current claim of a key from the records, without a table."""
        current: str | None = None
        seen: set[str] = set()
        final = False
        for record in self.records[:offset]:
            for entry in record.body["entries"]:
                if entry["key"] != key.key:
                    continue
                claim_id = entry["claim_id"]
                if record.kind is RecordKind.CLAIMS:
                    if claim_id not in seen and current is None:
                        current, final = claim_id, False
                    seen.add(claim_id)
                elif entry["outcome"] == OutcomeKind.NOT_RUN:
                    seen.add(claim_id)
                    if claim_id == current and not final:
                        current = None
                elif claim_id == current and entry["outcome"] != "may_have_run":
                    final = True
        return current


def chosen(text: str) -> ServiceKey:
    """Return a key chosen by a caller."""
    return ServiceKey(SERVICE, RequestKey(text))
