"""Provide the test case of nodes on the platform with its assertions."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_schema.generated.steps import ItemSpec, StepAccepted
from fulmarpulley_testing.platform_documents import DESK, HOST, MODEL
from fulmarpulley_testing.platform_system import NodeProcess, PlatformSystem
from fulmarpulley_testing.processes import wait_for


def expected_text(item_id: str, events: int) -> str:
    return "\n".join(f"{item_id}:{number}" for number in range(1, events + 1))


def accepted_step(step: str, items: int, prefix: str) -> StepAccepted:
    """Return the record of a step that an older build accepted."""
    specs = [
        ItemSpec(
            item_id=f"{step}-{number}",
            path=f"{prefix}{number}",
            headers={"Model": MODEL},
            body=b"",
            prompt_tokens=1,
            max_tokens=100,
        )
        for number in range(items)
    ]
    return StepAccepted(
        step_id=step,
        host=HOST,
        path=prefix,
        # Far in the future, so that no retention time ends.
        submitted_ms=2**50,
        model=MODEL,
        items=specs,
    )


class PlatformCase(unittest.TestCase):
    lease_ms = 100.0

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.system = self.enterContext(PlatformSystem(Path(folder)))
        self.engines = [self.system.add_worker(f"e{n}") for n in range(2)]
        self.desks = [self.system.add_worker(f"d{n}", DESK) for n in range(2)]
        self.system.configure()
        self.nodes = self.start_nodes()
        wait_for(lambda: self.system.owner() is not None, "an owner")

    def start_nodes(self) -> list[NodeProcess]:
        return [self.system.add_node(f"n{n}", lease_ms=self.lease_ms) for n in range(2)]

    def owner(self) -> NodeProcess:
        owner = self.system.owner()
        assert owner is not None
        return owner

    def non_owner(self) -> NodeProcess:
        owner = self.owner()
        return next(node for node in self.nodes if node is not owner)

    def assert_complete(self, found: list[Any], events: int) -> None:
        for result in found:
            self.assertEqual(result["State"], "completed")
            self.assertEqual(result["Text"], expected_text(result["Id"], events))

    def assert_resumed_within_progress(self, item_id: str) -> None:
        """Assert that no run resumed after an event that no run has produced."""
        for run in self.system.all_runs(item_id):
            longest = max(
                other.resume_after + other.events
                for other in self.system.all_runs(item_id)
            )
            self.assertLessEqual(run.resume_after, longest)
