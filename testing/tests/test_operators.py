"""Test that concurrent edits are not lost, reverted or different between nodes."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from typing import Any
from urllib.error import HTTPError

import msgspec
from cluster_case import ClusterCase

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.document import Limits, ServiceDocument
from fulmarpulley_schema.generated.http import DocumentEdit
from fulmarpulley_testing.layout import DESK, ClusterSettings, Member
from fulmarpulley_testing.processes import call, set_faults

ROUNDS = 5
CONFLICT = 409


class RacingOperatorsTest(ClusterCase):
    settings = ClusterSettings(seed=31)

    def edit(self, node: Member, author: str, number: int, base: int) -> int:
        """Send an edit until it is answered; return its revision, or 0 on conflict."""
        limits = Limits(queue=1000 + number)
        document = msgspec.structs.replace(self.document(), limits=limits)
        edit = DocumentEdit(
            record_id=f"{author}-{number}",
            base_revision=base,
            author=author,
            document=codec.to_builtins(document),
        )
        answers: list[int] = []

        def answered() -> bool:
            try:
                url = f"{node.address()}/v1/documents/{DESK}"
                state = call(url, "POST", codec.to_builtins(edit))
                answers.append(int(state["revision"]))
            except HTTPError as error:
                if error.code == CONFLICT:
                    answers.append(0)
            except (OSError, HTTPException):
                return False
            return bool(answers)

        self.cluster.wait_until(answered, f"answer to {edit.record_id}")
        return answers[0]

    def document(self) -> ServiceDocument:
        return self.cluster.layout.desk_document()

    def race(self, number: int) -> tuple[str, int]:
        """Send two concurrent edits of one base; return the winner and its revision."""
        base = self.cluster.revision(DESK)
        first, second = self.cluster.layout.nodes[:2]
        with ThreadPoolExecutor(2) as pool:
            ana = pool.submit(self.edit, first, "ana", number, base)
            boris = pool.submit(self.edit, second, "boris", number, base)
            revisions = {"ana": ana.result(), "boris": boris.result()}
        winners = [author for author, revision in revisions.items() if revision]
        self.assertEqual(len(winners), 1, revisions)
        return winners[0], revisions[winners[0]]

    def states(self) -> list[Any]:
        return [
            self.cluster.document_state(node, DESK)
            for node in self.cluster.layout.nodes
        ]

    def test_one_of_two_racing_edits_wins_on_all_nodes(self) -> None:
        self.check_races()

    def test_one_of_two_racing_edits_wins_with_lost_append_answers(self) -> None:
        set_faults(self.cluster.layout.log, lose_answers=6, double_appends=6)
        self.check_races()

    def check_races(self) -> None:
        revision = self.cluster.revision(DESK)
        for number in range(ROUNDS):
            winner, accepted = self.race(number)
            self.assertGreater(accepted, revision)
            revision = accepted
            self.cluster.wait_in_force(DESK, revision)
            for state in self.states():
                self.assertEqual((state.revision, state.author), (revision, winner))
                self.assertEqual(state.document["limits"]["queue"], 1000 + number)
