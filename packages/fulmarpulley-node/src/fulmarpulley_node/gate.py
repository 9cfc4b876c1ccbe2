"""Decide whether the node accepts a request."""

from msgspec.structs import replace

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran

from .configuration import Configuration
from .errors import HTTP_STATUS, ErrorCode, RequestError, error
from .members import Members


class Gate:
    """Track whether the node is ready, leaving or closed to requests."""

    def __init__(self, configuration: Configuration, members: Members) -> None:
        self.configuration = configuration
        self.members = members
        self.leaving = False
        self.closed = False

    @property
    def ready(self) -> bool:
        """Tell whether the load balancer should send requests to this node."""
        return self.configuration.complete and not self.leaving

    def require_accepting(self) -> None:
        """Raise RequestError if the node does not accept requests."""
        if self.closed:
            message = "the node is shutting down; use another node"
            raise error(ErrorCode.SHUTTING_DOWN, message)
        if not self.configuration.complete:
            message = "the node has not loaded all documents yet; use another node"
            raise error(ErrorCode.NOT_READY, message)

    def document_for_existing_request(self, service: str) -> ServiceDocument:
        """Return the document for a call about an earlier request.

        A node that rejects the call cannot know whether the earlier request ran, so
        the error says that it may have run.
        """
        try:
            return self.document(service)
        except RequestError as failure:
            if failure.status == HTTP_STATUS[ErrorCode.NOT_READY]:
                ran = Ran.MAY_HAVE_RUN.value
                failure.refusal = replace(failure.refusal, ran=ran)
            raise

    def document(self, service: str) -> ServiceDocument:
        """Return the document of a service, or raise RequestError."""
        self.require_accepting()
        document = self.configuration.document(service)
        if document is None:
            message = f"unknown service {service!r}"
            raise error(ErrorCode.UNKNOWN_SERVICE, message)
        return document
