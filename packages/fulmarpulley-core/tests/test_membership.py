import math
from unittest import TestCase

import msgspec
from member_simulation import start, start_members, update

from fulmarpulley_core.ids import NodeId, Offset
from fulmarpulley_core.member_view import DEAD_RETENTION_S
from fulmarpulley_core.members import Member, UpdateQueue, overrides
from fulmarpulley_core.membership import Membership
from fulmarpulley_schema.generated.peer import MemberState, MessageKind, Probe
from fulmarpulley_schema.generated.settings import MembershipSettings

DEAD = {MemberState.DEAD}
ALIVE = {MemberState.ALIVE}
VICTIM = NodeId("node-3")
# Ticks within which a node that is always late must have found two dead members.
MAX_LATE_TICKS = 60


class FailureDetectionTest(TestCase):
    def test_killed_member_is_declared_dead_within_a_bound(self) -> None:
        """Guards against work that is placed on a dead home for a long time."""
        for members in (9, 90):
            simulation = start_members(members, loss=0.05)
            simulation.run(20)
            del simulation.nodes[VICTIM]
            killed = simulation.now
            while simulation.states(VICTIM) != DEAD and simulation.now - killed < 60:
                simulation.run(0.5)
            # Some periods until the first probe, then the suspicion and the gossip.
            digits = max(1.0, math.log10(members))
            self.assertLessEqual(simulation.now - killed, 5 + 3 * digits + 4 * digits)
            self.assertEqual(simulation.false_deaths(), [])
            print(
                f"{members} members: dead on all after {simulation.now - killed:.1f} s"
            )

    def test_live_members_stay_alive_under_loss(self) -> None:
        """Guards against homes that move because a few packets were lost."""
        simulation = start_members(30, loss=0.05)
        for _ in range(300):
            simulation.run(1)
            self.assertEqual(simulation.false_deaths(), [])

    def test_members_stay_alive_if_one_link_is_silent(self) -> None:
        """Guards against a member declared dead because of one broken connection."""
        simulation = start_members(9)
        pair = {NodeId("node-1"), VICTIM}
        simulation.cut = lambda sender, target: {sender, target} == pair
        for _ in range(120):
            simulation.run(1)
            self.assertEqual(simulation.states(VICTIM), ALIVE)

    def test_paused_member_does_not_declare_others_dead(self) -> None:
        """Guards against a node that declares its peers dead after its own pause."""
        simulation = start_members(9)
        simulation.run(10)
        simulation.paused = {VICTIM}
        simulation.run(30)
        self.assertEqual(simulation.states(VICTIM), DEAD)
        simulation.paused = set()
        simulation.nodes[VICTIM].tick(simulation.now)
        views = [view for view in simulation.false_deaths() if view[0] == VICTIM]
        self.assertEqual(views, [])
        simulation.run(30)
        self.assertEqual(simulation.false_deaths(), [])

    def test_tick_after_a_pause_keeps_the_states(self) -> None:
        """Guards against false deaths because answers were unread during a pause."""
        node = start(0, 3)
        node.tick(0.0)
        node.tick(100.0)
        self.assertEqual({member.state for member in node.members()}, ALIVE)
        suspect = node.members()[1]
        node.view.suspect(suspect, 100.0)
        node.tick(200.0)
        self.assertEqual(suspect.state, MemberState.SUSPECT)

    def test_node_whose_ticks_are_late_again_and_again_detects_deaths(self) -> None:
        """Guards against a busy node that never declares a dead member dead."""
        period_s = MembershipSettings().period_s
        for delays in ([1.5], [1.5, 0.0], [4.0, 0.0, 1.1], [1.5, 0.0, 0.0, 0.0]):
            node = start(0, 3)
            node.tick(0.0)
            for number in range(MAX_LATE_TICKS):
                wakeup = node.next_wakeup()
                assert wakeup is not None
                node.tick(wakeup + delays[number % len(delays)] * period_s)
            states = {member.state for member in node.members()[1:]}
            self.assertEqual(states, DEAD, delays)

    def test_false_suspicions_are_refuted_in_time(self) -> None:
        """Guards against a suspicion that ends before its refutation arrives."""
        simulation = start_members(90)
        simulation.run(5)
        for index in range(4, 24):
            accuser = simulation.nodes[NodeId(f"node-{index}")]
            victim = accuser.member(VICTIM)
            assert victim is not None
            accuser.view.suspect(victim, simulation.now)
            simulation.run(5)
            self.assertEqual(simulation.false_deaths(), [])

    def test_suspected_member_is_probed_in_the_next_period(self) -> None:
        """Guards against a suspicion that reaches its member by gossip only."""
        node = start(0, 90)
        node.tick(0.0)
        victim = node.member(VICTIM)
        assert victim is not None
        node.view.suspect(victim, 0.5)
        found = [item for item in node.tick(1.0) if item.target == VICTIM]
        self.assertEqual([item.kind for item in found], [MessageKind.PROBE])
        reported = {u.node_id: u.state for u in found[0].message.updates}
        self.assertEqual(reported[VICTIM], MemberState.SUSPECT)

    def test_members_rejoin_after_a_partition_heals(self) -> None:
        """Guards against two halves that consider each other dead for ever."""
        simulation = start_members(9)
        simulation.run(5)
        half = {NodeId(f"node-{index}") for index in range(4)}
        simulation.cut = lambda sender, target: (sender in half) != (target in half)
        simulation.run(60)
        self.assertEqual(len(simulation.false_deaths()), 2 * 4 * 5)
        simulation.cut = lambda sender, target: False
        simulation.run(60)
        self.assertEqual(simulation.false_deaths(), [])

    def test_cost_of_a_node_does_not_grow_with_the_members(self) -> None:
        """Guards against control traffic per node that grows with the system."""
        costs = {}
        for members, seconds in ((9, 60), (90, 60), (360, 30)):
            simulation = start_members(members, loss=0.05)
            simulation.run(30)
            simulation.messages = simulation.bytes = 0
            simulation.run(seconds)
            count = simulation.messages / members / seconds
            costs[members] = simulation.bytes / members / seconds
            print(f"{members} members: {count:.2f} messages/s, ", end="")
            print(f"{costs[members]:.0f} bytes/s sent per node")
            self.assertLess(count, 4)
        self.assertLess(costs[90], 1.3 * costs[9])
        self.assertLess(costs[360], 1.3 * costs[9])


class ChangeOfMembersTest(TestCase):
    def test_restarted_node_refutes_its_death(self) -> None:
        """Guards against a node with a known id that stays dead after a restart."""
        simulation = start_members(9)
        simulation.run(5)
        del simulation.nodes[VICTIM]
        simulation.run(30)
        self.assertEqual(simulation.states(VICTIM), DEAD)
        simulation.nodes[VICTIM] = start(3, 9)
        simulation.run(15)
        self.assertEqual(simulation.states(VICTIM), ALIVE)
        self.assertGreater(simulation.nodes[VICTIM].own_member.incarnation, 0)

    def test_suspicion_is_refuted_by_a_higher_incarnation(self) -> None:
        """Guards against a live member that cannot refute a false suspicion."""
        node = start(0, 3)
        suspicion = msgspec.structs.replace(update(0), state=MemberState.SUSPECT)
        message = Probe(
            sender="node-1", sequence=1, config_offset=0, updates=[suspicion]
        )
        (answer,) = node.handle(MessageKind.PROBE, message, 1.0)
        own = [u for u in answer.message.updates if u.node_id == "node-0"]
        states = [(u.state, u.incarnation) for u in own]
        self.assertEqual(states, [(MemberState.ALIVE, 1)])

    def test_leaving_member_is_known_everywhere_soon(self) -> None:
        """Guards against new work for a node that is about to stop."""
        simulation = start_members(90)
        simulation.run(10)
        node = simulation.nodes[VICTIM]
        simulation.send(node, node.leave(simulation.now))
        simulation.run(6)
        self.assertEqual(simulation.states(VICTIM), {MemberState.LEAVING})
        for other in simulation.nodes.values():
            self.assertNotIn(
                VICTIM, [member.node_id for member in other.available_members()]
            )
            self.assertIn(VICTIM, [member.node_id for member in other.live_members()])

    def test_leaving_overrides_a_suspicion(self) -> None:
        """Guards against work for a leaving node that is suspected at that time."""
        node, victim = start(0, 4), start(3, 4)
        known = node.member(VICTIM)
        assert known is not None
        node.view.suspect(known, 1.0)
        for outbound in victim.leave(1.0):
            node.handle(outbound.kind, outbound.message, 1.0)
        self.assertEqual(known.state, MemberState.LEAVING)

    def test_probe_of_an_unknown_member_is_answered(self) -> None:
        """Guards against members that suspect each new node that does not know them."""
        old, new = start(9, 10), start(0, 2)
        for second in range(30):
            found = old.tick(float(second))
        probe = next(o.message for o in found if o.kind is MessageKind.PROBE)
        (answer,) = new.handle(MessageKind.PROBE, probe, 1.0)
        self.assertEqual(answer.target, "node-9")

    def test_new_node_is_known_although_lists_lag(self) -> None:
        """Guards against a node without work until every list names it."""
        simulation = start_members(9)
        simulation.run(5)
        joined = start(9, 10)
        simulation.nodes[joined.own_member.node_id] = joined
        simulation.run(5)
        self.assertEqual(simulation.states(joined.own_member.node_id), ALIVE)

    def test_member_dropped_from_the_list_stays_alive_if_it_answers(self) -> None:
        """Guards against an empty instance list that removes every node."""
        simulation = start_members(9)
        simulation.run(5)
        for node in simulation.nodes.values():
            node.apply_instance_list([], simulation.now)
        simulation.run(30)
        self.assertEqual(simulation.false_deaths(), [])

    def test_dead_member_is_forgotten_when_the_list_drops_it(self) -> None:
        """Guards against memory that grows with 3,800 replacements a day."""
        simulation = start_members(3)
        simulation.run(5)
        del simulation.nodes[NodeId("node-2")]
        simulation.run(20)
        for node in simulation.nodes.values():
            node.apply_instance_list([update(0), update(1)], simulation.now)
        simulation.run(DEAD_RETENTION_S + 10)
        self.assertEqual(simulation.states(NodeId("node-2")), {None})

    def test_list_marks_members_as_leaving(self) -> None:
        """Guards against work for an instance that the platform removes."""
        node = start(0, 3)
        listed = [update(0), update(1, MemberState.LEAVING), update(2)]
        node.apply_instance_list(listed, 1.0)
        available = {member.node_id for member in node.available_members()}
        self.assertEqual(available, {"node-0", "node-2"})

    def test_restarted_member_takes_work_although_listed_as_leaving(self) -> None:
        """Guards against a replaced node without work while the list lags."""
        simulation = start_members(4)
        simulation.run(5)
        listed = [update(0), update(1), update(2), update(3, MemberState.LEAVING)]
        for node in simulation.nodes.values():
            node.apply_instance_list(listed, simulation.now)
        simulation.run(3)
        self.assertEqual(simulation.states(VICTIM), {MemberState.LEAVING})
        simulation.nodes[VICTIM] = Membership(MembershipSettings(), update(3), seed=9)
        for _ in range(10):
            for node in simulation.nodes.values():
                node.apply_instance_list(listed, simulation.now)
            simulation.run(1)
        self.assertEqual(simulation.states(VICTIM), ALIVE)
        available = {
            member.node_id for member in simulation.nodes[VICTIM].available_members()
        }
        self.assertIn(VICTIM, available)

    def test_newest_config_member_is_a_peer_that_is_ahead(self) -> None:
        """Guards against a node that does not notice missing configuration."""
        simulation = start_members(3)
        simulation.nodes[NodeId("node-1")].config_offset = Offset(40)
        simulation.run(5)
        node = simulation.nodes[NodeId("node-0")]
        self.assertEqual(
            (node.newest_config_member, node.newest_config_offset), ("node-1", 40)
        )
        del simulation.nodes[NodeId("node-1")]
        simulation.run(30)
        self.assertNotEqual(node.newest_config_member, "node-1")


class UpdateTest(TestCase):
    def test_overrides_orders_by_incarnation_then_state(self) -> None:
        """Guards against old gossip that reverts newer updates."""
        states = [MemberState.ALIVE, MemberState.LEAVING, MemberState.SUSPECT]
        states.append(MemberState.DEAD)
        rank = [(incarnation, state) for incarnation in (0, 1) for state in states]
        for index, (incarnation, state) in enumerate(rank):
            known = Member.from_update(update(1, state))
            known.incarnation = incarnation
            for other, (number, reported) in enumerate(rank):
                received = update(1, reported)
                received.incarnation = number
                self.assertEqual(overrides(received, known), other > index)

    def test_queue_prefers_updates_sent_least(self) -> None:
        """Guards against new updates that queue behind old ones in a burst."""
        queue = UpdateQueue()
        for index in range(20):
            queue.add(NodeId(f"n{index}"))
        first = queue.choose(100, 16)
        second = queue.choose(100, 16)
        self.assertEqual(len(set(first) | set(second)), 20)
        for _ in range(20):
            queue.choose(100, 16)
        self.assertEqual(len(queue), 0)

    def test_message_carries_at_most_the_set_number_of_updates(self) -> None:
        """Guards against messages that grow in a burst of changes."""
        node = start(0, 2)
        updates = [update(index) for index in range(2, 200)]
        message = Probe(sender="node-1", sequence=1, config_offset=0, updates=updates)
        limit = MembershipSettings().updates_per_message
        (answer,) = node.handle(MessageKind.PROBE, message, 0.0)
        (probe,) = node.tick(0.0)
        self.assertEqual(len(answer.message.updates), limit)
        self.assertIn(len(probe.message.updates), {limit - 1, limit})

    def test_same_seed_gives_the_same_order(self) -> None:
        """Guards against simulations that cannot be reproduced."""

        def targets(seed: int) -> list[str]:
            node = Membership(MembershipSettings(), update(0), seed)
            node.apply_instance_list([update(index) for index in range(20)], 0.0)
            found: list[str] = []
            for second in range(19):
                (probe,) = node.tick(float(second))
                found.append(probe.target)
                answer = msgspec.structs.replace(probe.message, sender=probe.target)
                node.handle(MessageKind.PROBE_ACK, answer, float(second))
            return found

        self.assertEqual(targets(5), targets(5))
        self.assertNotEqual(targets(5), targets(6))
        self.assertEqual(len(set(targets(5))), 19)
