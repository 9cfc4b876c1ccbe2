import math
from unittest import TestCase

import msgspec
from member_world import start, update, world

from fulmarpulley_core.ids import NodeId, Offset
from fulmarpulley_core.member_view import FORGET_S
from fulmarpulley_core.members import Member, UpdateQueue, overrides
from fulmarpulley_core.membership import Membership
from fulmarpulley_schema.generated.peer import MemberState, MessageKind, Probe
from fulmarpulley_schema.generated.settings import MembershipSettings

DEAD = {MemberState.DEAD}
ALIVE = {MemberState.ALIVE}
VICTIM = NodeId("node-3")


class FailureDetectionTest(TestCase):
    def test_killed_member_is_declared_dead_within_a_bound(self) -> None:
        """Guards against work that is placed on a dead home for long."""
        for members in (9, 90):
            made = world(members, loss=0.05)
            made.run(20)
            del made.nodes[VICTIM]
            killed = made.now
            while made.states(VICTIM) != DEAD and made.now - killed < 60:
                made.run(0.5)
            # A few periods until the first probe, the suspicion, and the gossip.
            digits = max(1.0, math.log10(members))
            self.assertLessEqual(made.now - killed, 5 + 3 * digits + 4 * digits)
            self.assertEqual(made.dead_views(), [])
            print(f"{members} members: dead on all after {made.now - killed:.1f} s")

    def test_live_members_stay_alive_under_loss(self) -> None:
        """Guards against homes that move because a few packets were lost."""
        made = world(30, loss=0.05)
        for _ in range(300):
            made.run(1)
            self.assertEqual(made.dead_views(), [])

    def test_silent_link_between_two_members_kills_nobody(self) -> None:
        """Guards against a death by one broken connection."""
        made = world(9)
        pair = {NodeId("node-1"), VICTIM}
        made.cut = lambda sender, target: {sender, target} == pair
        for _ in range(120):
            made.run(1)
            self.assertEqual(made.states(VICTIM), ALIVE)

    def test_paused_member_does_not_declare_others_dead(self) -> None:
        """Guards against a node that blames its own pause on its peers."""
        made = world(9)
        made.run(10)
        made.paused = {VICTIM}
        made.run(30)
        self.assertEqual(made.states(VICTIM), DEAD)
        made.paused = set()
        made.nodes[VICTIM].tick(made.now)
        views = [view for view in made.dead_views() if view[0] == VICTIM]
        self.assertEqual(views, [])
        made.run(30)
        self.assertEqual(made.dead_views(), [])

    def test_pause_of_a_node_proves_nothing(self) -> None:
        """Guards against deaths because answers were unread during a pause."""
        node = start(0, 3)
        node.tick(0.0)
        node.tick(100.0)
        self.assertEqual({member.state for member in node.members()}, ALIVE)
        suspect = node.members()[1]
        node.view.suspect(suspect, 100.0)
        node.tick(200.0)
        self.assertEqual(suspect.state, MemberState.SUSPECT)

    def test_false_suspicions_are_refuted_in_time(self) -> None:
        """Guards against a suspicion that ends before its refutation arrives."""
        made = world(90)
        made.run(5)
        for place in range(4, 24):
            accuser = made.nodes[NodeId(f"node-{place}")]
            victim = accuser.member(VICTIM)
            assert victim is not None
            accuser.view.suspect(victim, made.now)
            made.run(5)
            self.assertEqual(made.dead_views(), [])

    def test_suspected_member_is_told_in_the_next_period(self) -> None:
        """Guards against a suspicion that its member hears of by gossip only."""
        node = start(0, 90)
        node.tick(0.0)
        victim = node.member(VICTIM)
        assert victim is not None
        node.view.suspect(victim, 0.5)
        found = [item for item in node.tick(1.0) if item.target == VICTIM]
        self.assertEqual([item.kind for item in found], [MessageKind.PROBE])
        said = {u.node_id: u.state for u in found[0].message.updates}
        self.assertEqual(said[VICTIM], MemberState.SUSPECT)

    def test_healed_partition_joins_again(self) -> None:
        """Guards against two halves that hold each other dead for ever."""
        made = world(9)
        made.run(5)
        half = {NodeId(f"node-{place}") for place in range(4)}
        made.cut = lambda sender, target: (sender in half) != (target in half)
        made.run(60)
        self.assertEqual(len(made.dead_views()), 2 * 4 * 5)
        made.cut = lambda sender, target: False
        made.run(60)
        self.assertEqual(made.dead_views(), [])

    def test_cost_of_a_node_does_not_grow_with_the_members(self) -> None:
        """Guards against control traffic that grows with the system."""
        costs = {}
        for members, seconds in ((9, 60), (90, 60), (360, 30)):
            made = world(members, loss=0.05)
            made.run(30)
            made.messages = made.bytes = 0
            made.run(seconds)
            count = made.messages / members / seconds
            costs[members] = made.bytes / members / seconds
            print(f"{members} members: {count:.2f} messages/s, ", end="")
            print(f"{costs[members]:.0f} bytes/s sent per node")
            self.assertLess(count, 4)
        self.assertLess(costs[90], 1.3 * costs[9])
        self.assertLess(costs[360], 1.3 * costs[9])


class ChangeOfMembersTest(TestCase):
    def test_restarted_node_refutes_its_death(self) -> None:
        """Guards against a node with a known id that stays dead after a restart."""
        made = world(9)
        made.run(5)
        del made.nodes[VICTIM]
        made.run(30)
        self.assertEqual(made.states(VICTIM), DEAD)
        made.nodes[VICTIM] = start(3, 9)
        made.run(15)
        self.assertEqual(made.states(VICTIM), ALIVE)
        self.assertGreater(made.nodes[VICTIM].me.incarnation, 0)

    def test_suspicion_is_refuted_by_a_higher_incarnation(self) -> None:
        """Guards against a live member that cannot answer a false suspicion."""
        node = start(0, 3)
        rumour = msgspec.structs.replace(update(0), state=MemberState.SUSPECT)
        message = Probe(sender="node-1", sequence=1, config_offset=0, updates=[rumour])
        (answer,) = node.handle(MessageKind.PROBE, message, 1.0)
        own = [u for u in answer.message.updates if u.node_id == "node-0"]
        states = [(u.state, u.incarnation) for u in own]
        self.assertEqual(states, [(MemberState.ALIVE, 1)])

    def test_leaving_is_known_everywhere_soon(self) -> None:
        """Guards against new work for a node that is about to stop."""
        made = world(90)
        made.run(10)
        node = made.nodes[VICTIM]
        made.send(node, node.leave(made.now))
        made.run(6)
        self.assertEqual(made.states(VICTIM), {MemberState.LEAVING})
        for other in made.nodes.values():
            self.assertNotIn(VICTIM, [member.node_id for member in other.alive()])
            self.assertIn(VICTIM, [member.node_id for member in other.present()])

    def test_leaving_overrides_a_suspicion(self) -> None:
        """Guards against work for a leaving node that is suspected at the time."""
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
        made = world(9)
        made.run(5)
        joined = start(9, 10)
        made.nodes[joined.me.node_id] = joined
        made.run(5)
        self.assertEqual(made.states(joined.me.node_id), ALIVE)

    def test_member_that_the_list_drops_lives_if_it_answers(self) -> None:
        """Guards against an empty instance list that removes every node."""
        made = world(9)
        made.run(5)
        for node in made.nodes.values():
            node.seed([], made.now)
        made.run(30)
        self.assertEqual(made.dead_views(), [])

    def test_dead_member_is_forgotten_when_the_list_drops_it(self) -> None:
        """Guards against memory that grows with 3,800 replacements a day."""
        made = world(3)
        made.run(5)
        del made.nodes[NodeId("node-2")]
        made.run(20)
        for node in made.nodes.values():
            node.seed([update(0), update(1)], made.now)
        made.run(FORGET_S + 10)
        self.assertEqual(made.states(NodeId("node-2")), {None})

    def test_list_marks_members_as_leaving(self) -> None:
        """Guards against work for an instance that the platform takes away."""
        node = start(0, 3)
        listed = [update(0), update(1, MemberState.LEAVING), update(2)]
        node.seed(listed, 1.0)
        alive = {member.node_id for member in node.alive()}
        self.assertEqual(alive, {"node-0", "node-2"})

    def test_restarted_member_takes_work_although_listed_as_leaving(self) -> None:
        """Guards against a replaced node without work while the list lags."""
        made = world(4)
        made.run(5)
        listed = [update(0), update(1), update(2), update(3, MemberState.LEAVING)]
        for node in made.nodes.values():
            node.seed(listed, made.now)
        made.run(3)
        self.assertEqual(made.states(VICTIM), {MemberState.LEAVING})
        made.nodes[VICTIM] = Membership(MembershipSettings(), update(3), seed=9)
        for _ in range(10):
            for node in made.nodes.values():
                node.seed(listed, made.now)
            made.run(1)
        self.assertEqual(made.states(VICTIM), ALIVE)
        alive = {member.node_id for member in made.nodes[VICTIM].alive()}
        self.assertIn(VICTIM, alive)

    def test_offsets_name_a_peer_that_is_ahead(self) -> None:
        """Guards against a node that does not notice missing configuration."""
        made = world(3)
        made.nodes[NodeId("node-1")].config_offset = Offset(40)
        made.run(5)
        node = made.nodes[NodeId("node-0")]
        self.assertEqual(
            (node.newest_config_member, node.newest_config_offset), ("node-1", 40)
        )
        del made.nodes[NodeId("node-1")]
        made.run(30)
        self.assertNotEqual(node.newest_config_member, "node-1")


class UpdateTest(TestCase):
    def test_overrides_orders_by_incarnation_then_state(self) -> None:
        """Guards against old gossip that undoes newer statements."""
        states = [MemberState.ALIVE, MemberState.LEAVING, MemberState.SUSPECT]
        states.append(MemberState.DEAD)
        rank = [(incarnation, state) for incarnation in (0, 1) for state in states]
        for place, (incarnation, state) in enumerate(rank):
            known = Member.from_update(update(1, state))
            known.incarnation = incarnation
            for other, (number, said) in enumerate(rank):
                statement = update(1, said)
                statement.incarnation = number
                self.assertEqual(overrides(statement, known), other > place)

    def test_queue_prefers_updates_sent_least(self) -> None:
        """Guards against new updates that wait behind old ones in a burst."""
        queue = UpdateQueue()
        for place in range(20):
            queue.add(NodeId(f"n{place}"))
        first = queue.choose(100, 16)
        second = queue.choose(100, 16)
        self.assertEqual(len(set(first) | set(second)), 20)
        for _ in range(20):
            queue.choose(100, 16)
        self.assertEqual(len(queue), 0)

    def test_message_carries_at_most_the_set_number_of_updates(self) -> None:
        """Guards against messages that grow in a burst of changes."""
        node = start(0, 2)
        news = [update(place) for place in range(2, 200)]
        message = Probe(sender="node-1", sequence=1, config_offset=0, updates=news)
        limit = MembershipSettings().updates_per_message
        (answer,) = node.handle(MessageKind.PROBE, message, 0.0)
        (probe,) = node.tick(0.0)
        self.assertEqual(len(answer.message.updates), limit)
        self.assertIn(len(probe.message.updates), {limit - 1, limit})

    def test_same_seed_gives_the_same_order(self) -> None:
        """Guards against runs that cannot be repeated."""

        def targets(seed: int) -> list[str]:
            node = Membership(MembershipSettings(), update(0), seed)
            node.seed([update(place) for place in range(20)], 0.0)
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
