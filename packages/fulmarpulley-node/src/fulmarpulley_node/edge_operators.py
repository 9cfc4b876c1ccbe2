"""Serve the HTTP API for operators."""

import asyncio

from aiohttp import web
from result import Err

from fulmarpulley_core.ids import NodeId, ServiceName
from fulmarpulley_schema.generated.http import (
    DocumentEdit,
    History,
    NodeStatus,
    SystemStatus,
)
from fulmarpulley_schema.generated.peer import MessageKind, StatusCall

from .configuration import Configuration
from .documents import read_document
from .edit_publisher import EditPublisher
from .errors import ErrorCode, RequestError, request_error
from .gate import Gate
from .members import Members
from .observe.events import EventFeed
from .peers import PeerLinks
from .status import StatusReport
from .web import EventStream, json_response, read_body

STATUS_DEADLINE_S = 1.5


class OperatorApi:
    """Handle document edits and status queries of operators."""

    def __init__(
        self,
        gate: Gate,
        configuration: Configuration,
        edit_publisher: EditPublisher,
        members: Members,
        peers: PeerLinks,
        status_report: StatusReport,
        feed: EventFeed,
    ) -> None:
        self.gate = gate
        self.configuration = configuration
        self.edit_publisher = edit_publisher
        self.members = members
        self.peers = peers
        self.status_report = status_report
        self.feed = feed
        peers.register_handler(MessageKind.STATUS, StatusCall, self._serve_status)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the operator routes."""
        router.add_post("/v1/documents/{service}", self.edit)
        router.add_get("/v1/documents/{service}", self.document)
        router.add_get("/v1/documents/{service}/history", self.history)
        router.add_get("/v1/status", self.status)
        router.add_get("/v1/events", self.events)

    async def edit(self, request: web.Request) -> web.Response:
        """Publish an edit and return its outcome."""
        self.gate.require_accepting()
        service = request.match_info["service"]
        edit = await read_body(request, DocumentEdit)
        checked = read_document(service, edit.document)
        if isinstance(checked, Err):
            message = "the document has errors; see findings"
            findings = checked.err_value
            raise request_error(ErrorCode.BAD_REQUEST, message, findings=findings)
        published = await self.edit_publisher.publish(service, edit)
        if isinstance(published, Err):
            raise RequestError(published.err_value)
        return json_response(published.ok_value)

    async def document(self, request: web.Request) -> web.Response:
        """Return the accepted document of a service."""
        service = request.match_info["service"]
        state = self.edit_publisher.accepted_state(service)
        if state is None:
            message = f"unknown service {service!r}"
            raise request_error(ErrorCode.UNKNOWN_SERVICE, message)
        return json_response(state)

    async def history(self, request: web.Request) -> web.Response:
        """Return the edits of a service, oldest first."""
        service = ServiceName(request.match_info["service"])
        entries = self.configuration.fold.history(service)
        if not entries and self.edit_publisher.accepted_state(service) is None:
            message = f"unknown service {service!r}"
            raise request_error(ErrorCode.UNKNOWN_SERVICE, message)
        return json_response(History(entries=entries))

    async def status(self, request: web.Request) -> web.Response:
        """Return the state of all nodes, or of this one only with `?node=self`."""
        if request.query.get("node") == "self":
            return json_response(SystemStatus(nodes=[self.status_report.read()]))
        others = [member.node_id for member in self.members.others()]
        peer_statuses = await asyncio.gather(
            *(self._fetch_status(node) for node in others)
        )
        nodes = sorted(
            [self.status_report.read(), *peer_statuses], key=lambda node: node.node_id
        )
        return json_response(SystemStatus(nodes=nodes))

    async def events(self, request: web.Request) -> web.StreamResponse:
        """Stream the log events of this node, beginning with the recent ones."""
        stream = EventStream(request)
        await stream.open()
        queue = self.feed.subscribe()
        try:
            for event in list(self.feed.recent):
                await stream.send("event", _to_json_values(event))
            while not self.gate.closed:
                await self._send_next(stream, queue)
        except ConnectionError:
            pass
        finally:
            self.feed.unsubscribe(queue)
        return stream.response

    async def _send_next(
        self, stream: EventStream, queue: "asyncio.Queue[dict[str, object]]"
    ) -> None:
        try:
            async with asyncio.timeout(1.0):
                event = await queue.get()
        except TimeoutError:
            return
        await stream.send("event", _to_json_values(event))

    async def _serve_status(self, _call: StatusCall) -> NodeStatus:
        return self.status_report.read()

    async def _fetch_status(self, node: NodeId) -> NodeStatus:
        call = StatusCall(sender=self.members.node_id)
        response = await self.peers.call(
            node, MessageKind.STATUS, call, NodeStatus, STATUS_DEADLINE_S
        )
        if not isinstance(response, Err):
            return response.ok_value
        return self.status_report.unreachable(node, response.err_value.value)


def _to_json_values(event: dict[str, object]) -> dict[str, object]:
    json_types = (str, int, float, bool)
    return {k: v if isinstance(v, json_types) else str(v) for k, v in event.items()}
