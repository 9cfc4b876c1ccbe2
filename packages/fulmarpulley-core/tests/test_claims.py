from typing import Any
from unittest import TestCase

import msgspec
from claim_simulation import PARTITION, ClaimSimulation, Node, chosen
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarpulley_core.claim_messages import (
    AppendClaim,
    AppendOutcome,
    ClaimRefused,
    ClaimWon,
    KeyChanged,
    RefuseKey,
    ReturnAnswer,
    ServiceKey,
    WaitForOutcome,
)
from fulmarpulley_core.claims import ClaimTable
from fulmarpulley_core.ids import NodeId, Offset, RequestKey
from fulmarpulley_core.own_claims import FINISHED_CLAIMS_BYTES, MAX_LOGGED_ANSWER_BYTES
from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.records import OutcomeKind, Record, RecordKind

picks = st.integers(0, 1 << 16)


class ClaimMachine(RuleBasedStateMachine):
    """Guards against a key that runs twice, and against a false `not_run`."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = ClaimSimulation(3)
        self.simulation.issue(self.simulation.nodes[0])

    def node(self, pick: int) -> Node:
        return self.simulation.nodes[pick % len(self.simulation.nodes)]

    @precondition(lambda self: len(self.simulation.keys) < 3)
    @rule(pick=picks)
    def issue(self, pick: int) -> None:
        self.simulation.issue(self.node(pick))

    @rule(pick=picks, which=picks, body=st.integers(0, 7), delivered=st.booleans())
    def request(self, pick: int, which: int, body: int, delivered: bool) -> None:
        key = self.simulation.keys[which % len(self.simulation.keys)]
        self.simulation.request(self.node(pick), key, "f" if body else "g")
        if delivered:
            self.log_delivers_all(pick)

    @rule(pick=picks)
    def log_delivers_all(self, pick: int) -> None:
        self.simulation.records += self.simulation.in_flight
        self.simulation.in_flight.clear()
        self.simulation.read(self.node(pick), len(self.simulation.records))

    @precondition(lambda self: self.simulation.in_flight)
    @rule(which=picks, again=st.booleans())
    def append_arrives(self, which: int, again: bool) -> None:
        index = which % len(self.simulation.in_flight)
        record = self.simulation.in_flight[index]
        if not again:
            del self.simulation.in_flight[index]
        self.simulation.records.append(record)

    @precondition(lambda self: self.simulation.in_flight)
    @rule(which=picks)
    def append_is_lost(self, which: int) -> None:
        del self.simulation.in_flight[which % len(self.simulation.in_flight)]

    @rule(pick=picks, count=st.integers(1, 8))
    def read(self, pick: int, count: int) -> None:
        self.simulation.read(self.node(pick), count)

    @precondition(lambda self: any(node.won for node in self.simulation.nodes))
    @rule(pick=picks, which=picks)
    def begin(self, pick: int, which: int) -> None:
        holders = [node for node in self.simulation.nodes if node.won]
        node = holders[pick % len(holders)]
        self.simulation.begin(node, node.won[which % len(node.won)])

    @precondition(lambda self: any(node.begun for node in self.simulation.nodes))
    @rule(pick=picks, case=st.sampled_from(["ran", "lost", "refused", "broken"]))
    def pool_home_acts(self, pick: int, case: str) -> None:
        holders = [node for node in self.simulation.nodes if node.begun]
        node = holders[pick % len(holders)]
        claim_id = node.begun.pop()
        if case != "refused":
            self.simulation.run(claim_id)
        if case == "lost":
            return
        outcome, answer = OutcomeKind.NOT_RUN, None
        if case != "refused":
            answered = case == "ran"
            outcome = OutcomeKind.ANSWERED if answered else OutcomeKind.MAY_HAVE_RUN
            answer = {"by": claim_id} if answered else None
        self.simulation.ended(claim_id, node.table.finish(claim_id, outcome, answer))

    @precondition(lambda self: any(node.claims for node in self.simulation.nodes))
    @rule(pick=picks, which=picks)
    def abandon(self, pick: int, which: int) -> None:
        holders = [node for node in self.simulation.nodes if node.claims]
        node = holders[pick % len(holders)]
        claim_id = node.claims[which % len(node.claims)].entry.claim_id
        self.simulation.ended(claim_id, node.table.abandon(claim_id))

    @rule(pick=picks, gone=picks)
    def remove_member(self, pick: int, gone: int) -> None:
        node, suspect = self.node(pick), self.node(gone)
        others = [n.table.node_id for n in self.simulation.nodes if n is not suspect]
        self.simulation.react(node, node.table.members_changed(others))

    @rule(pick=picks, same_id=st.booleans())
    def replace_node(self, pick: int, same_id: bool) -> None:
        index = pick % len(self.simulation.nodes)
        old = self.simulation.nodes[index].table.node_id
        self.simulation.count += 1
        new = old if same_id else f"n{self.simulation.count}"
        self.simulation.nodes[index] = self.simulation.start_node(new)

    @rule(pick=picks)
    def truncate(self, pick: int) -> None:
        simulation = self.simulation
        if pick % 4 == 0:
            simulation.first += (
                pick // 4 % (len(simulation.records) + 2 - simulation.first)
            )

    @invariant()
    def tables_agree_with_the_replay(self) -> None:
        for node in self.simulation.nodes:
            log = node.table.log
            for key in self.simulation.keys:
                if not log.expired(key.key):
                    key_state = log.keys.get(key)
                    current = key_state.current if key_state else None
                    expected = self.simulation.current(log.offset, key)
                    assert (current.claim_id if current else None) == expected


ClaimMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
ClaimMachineTest = ClaimMachine.TestCase


class ClaimTableTest(TestCase):
    def setUp(self) -> None:
        self.simulation = ClaimSimulation(2)
        self.a, self.b = self.simulation.nodes
        self.simulation.issue(self.a)
        self.key = self.simulation.keys[0]

    def append(self, kind: str, entry: Any) -> None:
        body = {"entries": [to_builtins(entry)]}
        index = len(self.simulation.records)
        record = Record(record_id=f"u{index}", kind=RecordKind(kind), body=body)
        self.simulation.records.append(record)

    def claim(
        self, node: Node, key: ServiceKey, repeatable: bool = False
    ) -> AppendClaim:
        decision = node.table.request(key, "f", repeatable)
        assert isinstance(decision, AppendClaim)
        self.simulation.claim_keys[decision.entry.claim_id] = key
        return decision

    def win(self, node: Node) -> str:
        entry = self.claim(node, self.key).entry
        self.append("claims", entry)
        self.simulation.read(self.a, 9)
        self.simulation.read(self.b, 9)
        self.assertEqual(node.won[-1:], [entry.claim_id])
        return entry.claim_id

    def test_request_waits_until_its_claim_is_read_back(self) -> None:
        """Guards against a run before the log has decided which claim is current."""
        entry = self.claim(self.a, self.key).entry
        self.assertFalse(self.a.table.begin(entry.claim_id))
        again = self.a.table.request(self.key, "f")
        self.assertEqual(again, WaitForOutcome(NodeId("n0"), entry.claim_id))

    def test_answer_is_returned_by_every_node(self) -> None:
        """Guards against a lost answer, and against one key with two request bodies."""
        claim_id = self.win(self.a)
        self.assertTrue(self.a.table.begin(claim_id))
        ended = self.a.table.finish(claim_id, OutcomeKind.ANSWERED, {"text": "ok"})
        self.append("outcomes", ended.record)
        self.simulation.read(self.b, 9)
        expected = ReturnAnswer({"text": "ok"})
        self.assertEqual(self.b.table.request(self.key, "f"), expected)
        self.assertEqual(self.a.table.fetch(self.key), expected)
        reused = RefuseKey("key_reused", Ran.NOT_RUN)
        self.assertEqual(self.b.table.request(self.key, "g"), reused)

    def test_fetch_says_not_run_only_if_no_claim_can_follow(self) -> None:
        """Guards against `not_run` for a request whose claim is still on its way."""
        entry = self.claim(self.a, self.key).entry
        self.b.table.set_first_offset(Offset(1))
        told = self.b.table.fetch(self.key)
        self.append("claims", entry)
        self.simulation.read(self.a, 9)
        runs = self.a.table.begin(entry.claim_id)
        says_not_run = isinstance(told, RefuseKey) and told.ran is Ran.NOT_RUN
        self.assertFalse(runs and says_not_run, told)

    def test_dead_holder_is_reported_permanently(self) -> None:
        """Guards against `not_run` or a wait after a caller was told `may_have_run`."""
        claim_id = self.win(self.a)
        waiting = WaitForOutcome(NodeId("n0"), claim_id)
        self.assertEqual(self.b.table.request(self.key, "f"), waiting)
        events = self.b.table.members_changed([NodeId("n1")])
        self.assertEqual(events, [KeyChanged(self.key)])
        refused = RefuseKey("upstream_broken", Ran.MAY_HAVE_RUN)
        self.assertEqual(self.b.table.request(self.key, "f"), refused)
        self.b.table.members_changed([NodeId("n0"), NodeId("n1")])
        self.assertEqual(self.b.table.request(self.key, "f"), refused)
        self.assertTrue(self.a.table.begin(claim_id))

    def test_claim_of_an_earlier_start_may_have_run(self) -> None:
        """Guards against a restarted node that waits for its own earlier process."""
        self.win(self.a)
        restarted = self.simulation.start_node("n0")
        self.simulation.read(restarted, 9)
        refused = RefuseKey("upstream_broken", Ran.MAY_HAVE_RUN)
        self.assertEqual(restarted.table.request(self.key, "f"), refused)

    def test_key_is_free_again_after_not_run(self) -> None:
        """Guards against a key that stays blocked by an abandoned claim."""
        claim_id = self.win(self.a)
        ended = self.a.table.abandon(claim_id)
        self.assertEqual(ended.ran, Ran.NOT_RUN)
        self.assertFalse(self.a.table.begin(claim_id))
        self.append("outcomes", ended.record)
        self.simulation.read(self.b, 9)
        self.win(self.b)

    def test_outcome_before_its_claim_frees_the_key(self) -> None:
        """Guards against a late append that blocks the key with an abandoned claim."""
        entry = self.claim(self.a, self.key).entry
        self.append("outcomes", self.a.table.abandon(entry.claim_id).record)
        self.append("claims", entry)
        self.win(self.b)

    def test_outcome_of_a_lost_append_is_recorded_again(self) -> None:
        """Guards against an outcome that the log lost or received before the claim."""
        decision = self.claim(self.a, chosen("mine"), repeatable=True)
        claim_id = decision.entry.claim_id
        self.assertTrue(decision.run_immediately)
        ended = self.a.table.finish(claim_id, OutcomeKind.ANSWERED, {"text": "ok"})
        self.append("outcomes", ended.record)
        self.append("claims", decision.entry)
        self.simulation.read(self.a, 1)
        events = self.a.table.apply(Offset(2), self.simulation.records[1])
        assert ended.record is not None
        self.assertEqual(events, [AppendOutcome(ended.record)])

    def test_old_key_is_expired_and_never_runs(self) -> None:
        """Guards against a run of a key whose first claim was truncated."""
        entry = self.claim(self.a, self.key).entry
        self.simulation.records += [Record(record_id="x", kind="claims", body=None)] * 4
        self.simulation.first = 4
        refused = RefuseKey("key_expired", Ran.MAY_HAVE_RUN)
        events = self.a.table.set_first_offset(Offset(4))
        self.assertEqual(events, [ClaimRefused(self.key, entry.claim_id, refused)])
        self.append("claims", entry)
        self.simulation.read(self.a, 9)
        self.assertEqual(self.a.won, [])
        self.assertEqual(self.a.table.request(self.key, "f"), refused)
        self.assertEqual(self.a.table.fetch(self.key), refused)

    def test_key_that_names_a_later_offset_is_refused(self) -> None:
        """Guards against a forged key that outlives the claims for it."""
        key = chosen(f"k{PARTITION}-900-x")
        entry = self.claim(self.a, key).entry
        self.append("claims", entry)
        events = self.a.table.apply(Offset(1), self.simulation.records[0])
        refused = RefuseKey("bad_request", Ran.NOT_RUN)
        self.assertEqual(events, [ClaimRefused(key, entry.claim_id, refused)])

    def test_chosen_key_needs_a_repeatable_request(self) -> None:
        """Guards against a request for which `not_run` can never be established."""
        refused = RefuseKey("bad_request", Ran.NOT_RUN)
        self.assertEqual(self.a.table.request(chosen("mine"), "f"), refused)
        other = ServiceKey(self.key.service, RequestKey("k1-1-x"))
        self.assertEqual(self.a.table.request(other, "f"), refused)

    def test_repeatable_claim_of_a_gone_holder_is_replaced(self) -> None:
        """Guards against a dead holder that blocks a repeatable key."""
        self.append("claims", self.claim(self.a, chosen("mine"), True).entry)
        self.simulation.read(self.b, 9)
        self.b.table.members_changed([NodeId("n1")])
        second = self.claim(self.b, chosen("mine"), True).entry
        self.append("claims", second)
        ended = self.b.table.finish(second.claim_id, OutcomeKind.ANSWERED, {"t": 1})
        self.append("outcomes", ended.record)
        reader = self.simulation.start_node("n7")
        self.simulation.read(reader, 9)
        found = reader.table.request(chosen("mine"), "f", True)
        self.assertEqual(found, ReturnAnswer({"t": 1}))

    def test_large_answer_stays_with_its_holder(self) -> None:
        """Guards against records above the log's limit, and a second run after them."""
        claim_id = self.win(self.a)
        self.a.table.begin(claim_id)
        answer = {"text": "y" * MAX_LOGGED_ANSWER_BYTES}
        ended = self.a.table.finish(claim_id, OutcomeKind.ANSWERED, answer)
        assert ended.record is not None
        self.assertIsNone(ended.record.answer)
        self.append("outcomes", ended.record)
        self.simulation.read(self.a, 9)
        self.simulation.read(self.b, 9)
        self.assertEqual(self.a.table.fetch(self.key), ReturnAnswer(answer))
        asked = WaitForOutcome(NodeId("n0"), claim_id)
        self.assertEqual(self.b.table.fetch(self.key), asked)
        self.b.table.mark_holder_gone(self.key, claim_id)
        refused = RefuseKey("upstream_error", Ran.RAN)
        self.assertEqual(self.b.table.fetch(self.key), refused)

    def test_kept_answers_are_bounded(self) -> None:
        """Guards against memory that grows with every large answer."""
        for number in range(100):
            entry = self.claim(self.a, chosen(f"c{number}"), True).entry
            answer = {"text": "y" * 30_000}
            self.a.table.finish(entry.claim_id, OutcomeKind.ANSWERED, answer)
        kept = self.a.table.own.claims
        self.assertLess(len(kept) * 30_000, FINISHED_CLAIMS_BYTES)
        self.assertIn(entry.claim_id, kept)

    def test_expired_keys_leave_no_state(self) -> None:
        """Guards against state that is kept longer than the log's retention."""
        for _ in range(20):
            self.simulation.issue(self.a)
            self.key = self.simulation.keys[-1]
            claim_id = self.win(self.a)
            self.a.table.begin(claim_id)
            done = self.a.table.finish(claim_id, OutcomeKind.RAN)
            self.append("outcomes", done.record)
            self.simulation.read(self.a, 9)
        self.a.table.set_first_offset(Offset(len(self.simulation.records) + 1))
        self.assertEqual(
            (self.a.table.log.keys, self.a.table.log.open_claims), ({}, {})
        )
        self.assertEqual(self.a.table.own.claims, {})

    def test_reader_with_a_gap_refuses_older_keys(self) -> None:
        """Guards against a claim that becomes current over one the reader missed."""
        late = self.simulation.start_node("n8")
        self.win(self.a)
        late.table.set_first_offset(Offset(4))
        refused = RefuseKey("key_expired", Ran.MAY_HAVE_RUN)
        self.assertEqual(late.table.request(self.key, "f"), refused)
        self.assertEqual((late.table.log.start, late.table.offset), (4, 3))

    def test_won_claim_of_an_expired_key_does_not_begin(self) -> None:
        """Guards against a run after other nodes reported the key as expired."""
        claim_id = self.win(self.a)
        self.a.table.set_first_offset(Offset(2))
        self.assertFalse(self.a.table.begin(claim_id))

    def test_restarted_node_makes_new_claim_ids(self) -> None:
        """Guards against a new claim that counts as a copy of an abandoned one."""
        restarted = self.simulation.start_node("n0")
        first = self.claim(self.a, self.key).entry.claim_id
        self.assertNotEqual(self.claim(restarted, self.key).entry.claim_id, first)

    def test_second_table_of_a_process_makes_new_claim_ids(self) -> None:
        """Guards against an old claim that a new table mistakes for its own."""
        tables = [ClaimTable(PARTITION, NodeId("n0"), "s") for _ in range(2)]
        ids = set()
        for table in tables:
            decision = table.request(self.key, "f")
            assert isinstance(decision, AppendClaim)
            ids.add(decision.entry.claim_id)
        self.assertEqual(len(ids), 2)

    def test_answer_is_final(self) -> None:
        """Guards against a contradicting record that makes the key free again."""
        claim_id = self.win(self.a)
        self.a.table.begin(claim_id)
        record = self.a.table.finish(claim_id, OutcomeKind.ANSWERED, {"t": 1}).record
        assert record is not None
        self.append("outcomes", record)
        contradiction = msgspec.structs.replace(record, outcome=OutcomeKind.NOT_RUN)
        self.append("outcomes", contradiction)
        self.simulation.read(self.b, 9)
        self.assertEqual(self.b.table.fetch(self.key), ReturnAnswer({"t": 1}))
        reused = RefuseKey("key_reused", Ran.NOT_RUN)
        self.assertEqual(self.b.table.request(self.key, "g"), reused)

    def test_own_claim_won_is_reported_once(self) -> None:
        """Guards against a second start after a duplicate append."""
        entry = self.claim(self.a, self.key).entry
        self.append("claims", entry)
        self.append("claims", entry)
        table: ClaimTable = self.a.table
        events = table.apply(Offset(1), self.simulation.records[0])
        self.assertEqual(events, [ClaimWon(self.key, entry.claim_id)])
        self.assertEqual(table.apply(Offset(2), self.simulation.records[1]), [])
