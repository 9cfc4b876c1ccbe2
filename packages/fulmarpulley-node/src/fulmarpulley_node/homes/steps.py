"""Manage the step homes of this node and serve their peer messages."""

import asyncio

import msgspec
from aiomisc import Service

from fulmarpulley_core.bitmaps import BitmapError
from fulmarpulley_core.handover import HandoverMessage, decode_open_step, plan_handover
from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import StepOpen, StepTake
from fulmarpulley_schema.generated.peer import (
    Handover,
    MessageKind,
    Refusal,
    StepCall,
    StepReply,
    VersionNotice,
)

from ..background_tasks import BackgroundTasks
from ..configuration import Configuration
from ..errors import ErrorCode, build_refusal
from ..locator import Locator, pool_region, work_shard
from ..members import Members
from ..observe.events import log_event
from ..observe.metrics import Metrics
from ..peers import PeerLinks
from ..versions import EmptyReply, Versions
from ..work_client import WorkClient
from .scorer import Scorer
from .step_home import StepHome

# Takes are answered within this time, so that a link with open calls carries traffic.
MAX_TAKE_WAIT_S = 1.0
HANDOVER_DEADLINE_S = 5.0
# Steps are handed over when two consecutive checks find their home on another node.
MOVE_CHECK_PERIOD_S = 1.0
TrainerKey = tuple[str, str]


class StepHomeManager(Service):
    """Open step homes, hand them over and dispatch peer messages to them."""

    def __init__(
        self,
        peers: PeerLinks,
        members: Members,
        configuration: Configuration,
        versions: Versions,
        locator: Locator,
        work_client: WorkClient,
        metrics: Metrics,
        run_id: str,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.members = members
        self.configuration = configuration
        self.versions = versions
        self.locator = locator
        self.work_client = work_client
        self.metrics = metrics
        self.scorer = Scorer()
        self.home_id = f"{members.node_id}-{run_id}"
        self.homes: dict[TrainerKey, StepHome] = {}
        self.leaving = False
        self.tasks = BackgroundTasks()
        versions.listeners.append(self._version_announced)
        peers.register_handler(MessageKind.STEP_OPEN, StepCall, self._open)
        peers.register_handler(MessageKind.STEP_TAKE, StepCall, self._take)
        peers.register_handler(MessageKind.STEP_CLOSE, StepCall, self._close)
        peers.register_handler(MessageKind.HANDOVER, Handover, self._receive_handover)

    async def start(self) -> None:
        """Start handing over steps whose home has moved to another node."""
        self.tasks.supervise(self._reconcile)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all step homes."""
        await self.tasks.stop()
        for home in self.homes.values():
            await home.stop()
        await self.scorer.close()

    async def hand_over(self) -> None:
        """Hand over all open steps and finished samples to their new homes."""
        self.leaving = True
        for key in list(self.homes):
            await self._hand_over(key)

    async def _hand_over(self, key: TrainerKey) -> None:
        home = self.homes.pop(key)
        document = self.document(home.service)
        region = None if document is None else pool_region(document)
        own_id = self.members.node_id
        candidates = self.members.home_candidates()
        for outbound in plan_handover(own_id, candidates, [home.trainer_steps], region):
            await self._send_handover(outbound)
        await home.stop()

    async def _reconcile(self) -> None:
        misplaced_before: set[TrainerKey] = set()
        while True:
            await asyncio.sleep(MOVE_CHECK_PERIOD_S)
            misplaced = {key for key in self.homes if self._has_moved(key)}
            for key in misplaced & misplaced_before:
                if key in self.homes:
                    await self._hand_over(key)
            misplaced_before = misplaced

    def _has_moved(self, key: TrainerKey) -> bool:
        document = self.document(key[0])
        if document is None or not self.members.instance_list_read:
            return False
        home = self.locator.step_home(document, key[1])
        return home is not None and home != self.members.node_id

    async def _send_handover(self, outbound: HandoverMessage) -> None:
        # If the message is lost, its samples are too; the trainer opens the step again.
        result = await self.peers.call(
            outbound.target,
            MessageKind.HANDOVER,
            outbound.message,
            EmptyReply,
            HANDOVER_DEADLINE_S,
        )
        log_event(
            "step_handed_over",
            service=outbound.message.service,
            trainer=outbound.message.trainer,
            step=outbound.message.step,
            samples=len(outbound.message.samples),
            to=outbound.target,
            outcome="ok" if result.is_ok() else result.unwrap_err().value,
        )

    async def _receive_handover(self, message: Handover) -> EmptyReply:
        call = StepCall(
            service=message.service,
            trainer=message.trainer,
            step=message.step,
            body={},
        )
        self._get_or_open_home(call).restore(decode_open_step(message))
        return EmptyReply()

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force."""
        return self.configuration.document(service)

    def shard(self, service: str, prefix: str) -> int:
        """Return the pool shard of a prompt."""
        document = self.document(service)
        return 0 if document is None else work_shard(document, prefix)

    async def _open(self, call: StepCall) -> StepReply:
        document = self.document(call.service)
        if document is None or self.leaving:
            return _refused(
                ErrorCode.NOT_READY,
                "the node has no document of the service yet or is shutting down",
            )
        body = msgspec.convert(call.body, StepOpen)
        home = self._get_or_open_home(call)
        try:
            batch = home.open(call.step, body)
        except BitmapError as error:
            return _refused(ErrorCode.BAD_REQUEST, str(error))
        self._announce_version(document, call, body.version)
        return StepReply(batch=to_builtins(batch))

    async def _take(self, call: StepCall) -> StepReply:
        body = msgspec.convert(call.body, StepTake)
        home = self.homes.get((call.service, call.trainer))
        if self.leaving:
            return _refused(ErrorCode.NOT_READY, "the step home is shutting down")
        if home is None:
            return _unknown_step(call)
        document = self.document(call.service)
        if document is not None:
            self._announce_version(document, call, body.version)
        try:
            taken = await home.take(call.step, body, min(body.wait_s, MAX_TAKE_WAIT_S))
        except BitmapError as error:
            return _refused(ErrorCode.BAD_REQUEST, str(error))
        if taken is None:
            return _unknown_step(call)
        return StepReply(batch=to_builtins(taken.batch))

    async def _close(self, call: StepCall) -> StepReply:
        home = self.homes.get((call.service, call.trainer))
        if home is not None:
            home.close(call.step)
        return StepReply(batch={})

    def _get_or_open_home(self, call: StepCall) -> StepHome:
        key = (call.service, call.trainer)
        home = self.homes.get(key)
        if home is None:
            home = StepHome(call.service, call.trainer, self.home_id, self)
            self.homes[key] = home
        return home

    def _announce_version(
        self, document: ServiceDocument, call: StepCall, version: int
    ) -> None:
        self.tasks.spawn(self.versions.announce(document, call.trainer, version))

    def _version_announced(self, notice: VersionNotice) -> None:
        home = self.homes.get((notice.service, notice.trainer))
        if home is not None:
            home.announce(notice.version)


def _unknown_step(call: StepCall) -> StepReply:
    text = f"step {call.step} is not open; open it with the bitmap of the slots held"
    return _refused(ErrorCode.UNKNOWN_STEP, text)


def _refused(code: ErrorCode, message: str) -> StepReply:
    refused: Refusal = build_refusal(code, message)
    return StepReply(refusal=refused)
