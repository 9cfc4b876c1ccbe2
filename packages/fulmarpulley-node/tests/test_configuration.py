from typing import Any
from unittest import IsolatedAsyncioTestCase

from result import Ok

from fulmarpulley_core.ids import NodeId, Offset
from fulmarpulley_node.configuration import Configuration
from fulmarpulley_node.observe.metrics import Metrics
from fulmarpulley_schema.codec import to_json
from fulmarpulley_schema.generated.peer import ConfigPull, ConfigPush
from fulmarpulley_schema.generated.records import Record, RecordKind
from fulmarpulley_schema.generated.upstream import LogPage, LogRecord

DOCUMENT = {"name": "desk", "kind": "desk", "model": "m", "upstreams": []}
TUTOR = {**DOCUMENT, "name": "tutor"}


class FakePeers:
    """Answers pulls from the configuration of one other node."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.source: FakePeers | None = None
        self.pulls: list[ConfigPull] = []

    def handle(self, kind: str, body: type, handler: Any) -> None:
        self.handlers[kind] = handler

    async def call(
        self, node: str, kind: str, body: ConfigPull, answer: type, deadline_s: float
    ) -> Ok[ConfigPush]:
        self.pulls.append(body)
        assert self.source is not None
        return Ok(await self.source.handlers[kind](body))


class FakeMembers:
    """Names one peer that is ahead."""

    def __init__(self) -> None:
        self.core = self
        self.newest_config_member = NodeId("n2")
        self.newest_config_offset = Offset(0)

    def note_config_offset(self, offset: int) -> None:
        pass

    def others(self) -> list[Any]:
        return []


def page(**documents: Any) -> LogPage:
    records = []
    for offset, (service, document) in enumerate(documents.items(), 1):
        body = {"service": service, "base_revision": 0, "author": "a"}
        body["document"] = document
        record = Record(record_id=f"r{offset}", kind=RecordKind.CHANGE, body=body)
        data = to_json(record).decode()
        records.append(LogRecord(offset=offset, id=record.record_id, data=data))
    return LogPage(first=1, next=len(records) + 1, records=records)


class PullTest(IsolatedAsyncioTestCase):
    """Guards against nodes that lose documents by a pull from a peer."""

    def node(self) -> tuple[Configuration, FakePeers, FakeMembers]:
        peers, members = FakePeers(), FakeMembers()
        log: Any = None
        links: Any = peers
        view: Any = members
        return Configuration(log, links, view, Metrics()), peers, members

    async def asyncSetUp(self) -> None:
        self.server, server_peers, _ = self.node()
        self.server._take_page(page(desk=DOCUMENT, tutor=TUTOR))
        self.client, self.peers, self.members = self.node()
        self.peers.source = server_peers

    async def test_node_that_starts_at_the_offset_of_its_peer_gets_all(self) -> None:
        self.client.fold.start_at(Offset(3))
        await self.client._pull_once(NodeId("n2"))
        names = [document.name for document in self.client.documents()]
        self.assertEqual(names, ["desk", "tutor"])
        self.assertTrue(self.client.complete)

    async def test_adopted_state_is_not_pulled_again(self) -> None:
        self.client._take_page(page(desk=DOCUMENT))
        self.members.newest_config_offset = Offset(2)
        self.assertEqual(self.client._pull_from(), NodeId("n2"))
        await self.client._pull_once(NodeId("n2"))
        self.assertIsNotNone(self.client.document("tutor"))
        self.assertIsNone(self.client._pull_from())

    async def test_unreadable_document_is_passed_on_and_reported(self) -> None:
        later = ["a document of a later release"]
        self.server._take_page(page(desk=DOCUMENT, tutor=TUTOR, later=later))
        await self.client._pull_once(NodeId("n2"))
        self.assertEqual(self.client.fold.services(), ["desk", "later", "tutor"])
        self.assertIn("$", self.client.problems["later"])
