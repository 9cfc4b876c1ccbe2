from typing import Any
from unittest import IsolatedAsyncioTestCase

from result import Err

from fulmarpulley_core.claim_messages import AppendClaim, ServiceKey
from fulmarpulley_core.ids import NodeId, Offset, Partition, RequestKey, ServiceName
from fulmarpulley_node.homes.claim_runner import ClaimRunner
from fulmarpulley_node.homes.claim_stream import ClaimStream
from fulmarpulley_node.homes.keyed_request import KeyedRequest
from fulmarpulley_node.services.dialects import PlatformFailure
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.peer import KeyedSubmit
from fulmarpulley_schema.generated.upstream import LogPage

KEY = RequestKey("k0-1-abc")


class UnavailableLog:
    """Rejects every append as unavailable."""

    async def append_claim(self, stream: str, entry: Any) -> Err[PlatformFailure]:
        return Err(PlatformFailure.UNAVAILABLE)


class LogOutageTest(IsolatedAsyncioTestCase):
    """Guards against `not_run` for a request that an earlier home may have run.

    A home that has not read its stream does not know the claims of earlier homes.
    """

    async def refuse(self, read: bool) -> str:
        log: Any = UnavailableLog()
        nothing: Any = None
        stream = ClaimStream(log, Partition(0), NodeId("n1"), "start")
        if read:
            stream._apply_page(LogPage(first=1, next=1, records=[]))
        else:
            stream.table.set_first_offset(Offset(1))
        key = ServiceKey(ServiceName("desk"), KEY)
        message = KeyedSubmit(
            service="desk",
            key=KEY,
            input="x",
            max_tokens=1,
            priority=5,
            deadline_s=9.0,
            repeatable=False,
            region="r",
        )
        request = KeyedRequest(key, message)
        decision = stream.table.request(key, request.fingerprint)
        assert isinstance(decision, AppendClaim), decision
        await ClaimRunner(stream, nothing, nothing).claim(request, decision)
        assert request.progress.refusal is not None
        self.assertEqual(request.progress.refusal.code, "log_unavailable")
        return request.progress.refusal.ran

    async def test_refusal_after_stream_is_read_says_not_run(self) -> None:
        self.assertEqual(await self.refuse(read=True), Ran.NOT_RUN)

    async def test_refusal_before_stream_is_read_says_may_have_run(self) -> None:
        self.assertEqual(await self.refuse(read=False), Ran.MAY_HAVE_RUN)
