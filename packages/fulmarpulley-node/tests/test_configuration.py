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
    """Forward pulls to the configuration of one other node."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.source: FakePeers | None = None
        self.pulls: list[ConfigPull] = []

    def register_handler(self, kind: str, payload: type, handler: Any) -> None:
        self.handlers[kind] = handler

    async def call(
        self,
        node: str,
        kind: str,
        payload: ConfigPull,
        reply_type: type,
        deadline_s: float,
    ) -> Ok[ConfigPush]:
        self.pulls.append(payload)
        assert self.source is not None
        return Ok(await self.source.handlers[kind](payload))


class FakeMembers:
    """Report one peer whose `config` offset is ahead."""

    def __init__(self) -> None:
        self.membership = self
        self.newest_config_member = NodeId("n2")
        self.newest_config_offset = Offset(0)

    def set_config_offset(self, offset: int) -> None:
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


class ConfigurationCase(IsolatedAsyncioTestCase):
    """Connects a node to a peer that knows two documents."""

    def node(self) -> tuple[Configuration, FakePeers, FakeMembers]:
        peers, members = FakePeers(), FakeMembers()
        log: Any = None
        links: Any = peers
        view: Any = members
        return Configuration(log, links, view, Metrics()), peers, members

    async def asyncSetUp(self) -> None:
        self.server, server_peers, _ = self.node()
        self.server._apply_page(page(desk=DOCUMENT, tutor=TUTOR))
        self.client, self.peers, self.members = self.node()
        self.peers.source = server_peers


class PullTest(ConfigurationCase):
    """Check that a pull from a peer never loses documents."""

    async def test_pull_adopts_all_documents_at_equal_offset(self) -> None:
        self.client.fold.start_at(Offset(3))
        await self.client._pull_once(NodeId("n2"))
        names = [document.name for document in self.client.documents()]
        self.assertEqual(names, ["desk", "tutor"])
        self.assertTrue(self.client.complete)

    async def test_pull_peer_is_none_after_adopting_its_state(self) -> None:
        self.client._apply_page(page(desk=DOCUMENT))
        self.members.newest_config_offset = Offset(2)
        self.assertEqual(self.client._select_pull_peer(), NodeId("n2"))
        await self.client._pull_once(NodeId("n2"))
        self.assertIsNotNone(self.client.document("tutor"))
        self.assertIsNone(self.client._select_pull_peer())

    async def test_unreadable_document_is_served_and_reported(self) -> None:
        unreadable = ["a document of a later release"]
        self.server._apply_page(page(desk=DOCUMENT, tutor=TUTOR, later=unreadable))
        await self.client._pull_once(NodeId("n2"))
        self.assertEqual(self.client.fold.services(), ["desk", "later", "tutor"])
        self.assertIn("$", self.client.problems["later"])


class OddRecordTest(ConfigurationCase):
    """Guards against one record that keeps later documents from being in force."""

    async def test_documents_after_a_listener_that_raises_are_in_force(self) -> None:
        def fail(service: str) -> None:
            raise OverflowError(service)

        self.client.listeners.append(fail)
        self.client._apply_page(page(desk=DOCUMENT, tutor=TUTOR))
        self.assertIsNotNone(self.client.document("tutor"))

    async def test_documents_after_a_deeply_nested_record_are_in_force(self) -> None:
        records = page(desk=DOCUMENT, tutor=TUTOR).records
        records[0].data = '{"body":' + "[" * 100_000
        nested = '{"body":' + "[" * 100_000 + "]" * 100_000 + "}"
        records.insert(1, LogRecord(offset=2, id="r", data=nested))
        records[2].offset = 3
        self.client._apply_page(LogPage(first=1, next=4, records=records))
        self.assertIsNotNone(self.client.document("tutor"))
