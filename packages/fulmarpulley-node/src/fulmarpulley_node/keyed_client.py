"""Submit, poll and cancel requests with idempotency keys at partition homes."""

import asyncio
import random

from msgspec.structs import replace
from result import Err

from fulmarpulley_core.ids import NodeId
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.peer import (
    KeyedPoll,
    KeyedSubmit,
    KeysIssue,
    KeysIssued,
    MessageKind,
    WorkState,
)
from fulmarpulley_schema.generated.settings import NodeSettings

from .errors import ErrorCode, build_refusal, request_error
from .homes.partitions import PartitionHomeManager
from .locator import Locator
from .peers import PeerError, PeerLinks
from .progress import Progress

POLL_WAIT_S = 1.0
CALL_DEADLINE_S = 2.5
RETRY_PAUSE_S = 0.1
DEADLINE_GRACE_S = 2.0
# Cancelling takes several peer messages, which can take more than a second on busy
# instances.
CANCEL_TIMEOUT_S = 10.0
# A starting partition home reads its first page of the log within this time.
ISSUE_TIMEOUT_S = 5.0
_DECLINED_CODES = frozenset({"shutting_down", "not_ready"})


class KeyedClient:
    """Call partition homes on behalf of callers."""

    def __init__(
        self,
        settings: NodeSettings,
        peers: PeerLinks,
        partitions: PartitionHomeManager,
        locator: Locator,
        seed: int,
    ) -> None:
        self.settings = settings
        self.peers = peers
        self.partitions = partitions
        self.locator = locator
        self.random = random.Random(seed)

    async def issue(self, service: str, count: int) -> list[str]:
        """Return new keys; raise RequestError if none are issued in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + ISSUE_TIMEOUT_S
        while True:
            keys = await self._issue_once(service, count)
            if keys:
                return keys
            if loop.time() >= until:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        message_text = "no keys can be issued before the log has been read; try again"
        raise request_error(ErrorCode.LOG_UNAVAILABLE, message_text)

    async def _issue_once(self, service: str, count: int) -> list[str]:
        partition = self.random.randrange(self.settings.partitions)
        home = self.locator.partition_home(partition)
        if home is None:
            return []
        message = KeysIssue(service=service, partition=partition, count=count)
        result = await self.peers.call(
            home, MessageKind.KEYS, message, KeysIssued, CALL_DEADLINE_S
        )
        return [] if isinstance(result, Err) else result.ok_value.keys

    async def run(self, submit: KeyedSubmit, progress: Progress) -> None:
        """Submit a request and poll it until it ends.

        Resubmitting after a lost reply is safe: the claim decides which one runs.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + submit.deadline_s
        sent = False
        while not progress.done:
            left = deadline - loop.time()
            if left + (DEADLINE_GRACE_S if sent else 0.0) <= 0:
                ran = Ran.MAY_HAVE_RUN if sent else Ran.NOT_RUN
                text = "the deadline has passed"
                progress.refuse(build_refusal(ErrorCode.DEADLINE_PASSED, text, ran))
                return
            home = self._home(submit.service, submit.key)
            if home is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            message = replace(submit, deadline_s=max(left, 0.0))
            result = await self.peers.call(
                home, MessageKind.CLAIM, message, WorkState, CALL_DEADLINE_S
            )
            if isinstance(result, Err):
                sent = sent or result.err_value is not PeerError.NOT_SENT
                await asyncio.sleep(RETRY_PAUSE_S)
            elif _declined(result.ok_value):
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                sent = True
                progress.apply_state(result.ok_value)
                until = deadline + DEADLINE_GRACE_S
                await self._follow(home, submit.service, submit.key, progress, until)

    async def fetch(
        self, service: str, key: str, progress: Progress, wait_s: float
    ) -> None:
        """Poll a request for up to `wait_s` seconds, in which it may not end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not progress.done:
            home = self._home(service, key)
            if home is not None:
                await self._follow(home, service, key, progress, until)
            if loop.time() >= until:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def cancel(self, service: str, key: str) -> WorkState | None:
        """Cancel a request and return its state once it has ended.

        If the request does not end in time, return the state of the last reply, or None
        without a reply. The message is repeated, since the resulting withdrawal of the
        work can be lost.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + CANCEL_TIMEOUT_S
        state: WorkState | None = None
        while True:
            reply = await self._cancel_once(service, key)
            state = reply or state
            if (reply is not None and reply.done) or loop.time() >= until:
                return state
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _cancel_once(self, service: str, key: str) -> WorkState | None:
        home = self._home(service, key)
        if home is None:
            return None
        message = KeyedPoll(
            service=service, key=key, wait_s=POLL_WAIT_S, linger_s=POLL_WAIT_S
        )
        cancelling = replace(message, cancel=True)
        result = await self.peers.call(
            home, MessageKind.FETCH, cancelling, WorkState, CALL_DEADLINE_S
        )
        return None if isinstance(result, Err) else result.ok_value

    async def _follow(
        self, home: NodeId, service: str, key: str, progress: Progress, until: float
    ) -> None:
        """Poll one home until the request ends, a call fails or the time `until`."""
        loop = asyncio.get_running_loop()
        first = True
        while not progress.done and (first or loop.time() < until):
            first = False
            message = KeyedPoll(
                service=service,
                key=key,
                have=len(progress.tokens),
                wait_s=max(0.0, min(POLL_WAIT_S, until - loop.time())),
            )
            result = await self.peers.call(
                home, MessageKind.FETCH, message, WorkState, CALL_DEADLINE_S
            )
            if isinstance(result, Err):
                return
            progress.apply_state(result.ok_value)

    def _home(self, service: str, key: str) -> NodeId | None:
        partition = self.partitions.partition(service, key)
        # Any node refuses a key of an invalid partition.
        own = self.partitions.members.node_id
        return own if partition is None else self.locator.partition_home(partition)


def _declined(state: WorkState) -> bool:
    refused = state.refusal
    return refused is not None and refused.code in _DECLINED_CODES
