"""Submit steps and send requests to nodes as clients of the platform do."""

import asyncio
import itertools
import random
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

import aiohttp

from .platform_documents import (
    DESK_PREFIX,
    HOST,
    ROLLOUT_PREFIX,
    UNSAFE_PREFIX,
    submission,
)
from .platform_history import RequestSeen, StepSeen
from .platform_system import NodeProcess
from .serving import LOOPBACK

if TYPE_CHECKING:
    from .platform_soak import SoakSystem

CONNECT_TIMEOUT_S = 1.0
SUBMIT_TIMEOUT_S = 4.0
SUBMIT_ATTEMPTS = 4
READ_INTERVAL_S = 0.3
READ_TIMEOUT_S = 2.5
END_TIMEOUT_S = 4.0
STEP_DEADLINE_S = 7.5
TRAINING_S = 0.3
END_PROBABILITY = 0.7
REWARD_PROBABILITY = 0.5
DEADLINE_MS = 3000
REQUEST_PAUSE_S = 0.15
ADDED_ROUTE_PROBABILITY = 0.5
REQUESTS_PER_CONNECTION = 12
REMOVED_KEY_PROBABILITY = 0.2
# Trainers read incomplete steps again at the end of a soak up to this age.
MAX_REREAD_AGE_S = 60.0
FINAL_READ_TIMEOUT_S = 35.0


class Client(ABC):
    """Provide what trainers and callers share."""

    def __init__(self, system: "SoakSystem", name: str, rng: random.Random) -> None:
        self.system = system
        self.history = system.history
        self.name = name
        self.random = rng
        keys = system.platform.account_keys or {}
        names = list(keys)
        # The last character of a client's name is its number.
        self.account = names[int(name[-1]) % len(names)] if names else None

    def choose_key(self, removed_probability: float = 0.0) -> str | None:
        """Choose a key of the client's account, perhaps one that was removed."""
        if self.account is None:
            return None
        removed = [
            each.key
            for each in self.history.removed_keys
            if each.account == self.account
        ]
        if removed and self.random.random() < removed_probability:
            return self.random.choice(removed)
        return self.random.choice(
            (self.system.platform.account_keys or {})[self.account]
        )

    @abstractmethod
    async def run(self) -> None:
        """Send traffic until the soak stops."""

    def node(self) -> NodeProcess:
        """Choose a random node."""
        return self.random.choice(self.system.nodes)

    def session(self, **options: Any) -> aiohttp.ClientSession:
        """Return a client session with a timeout for connecting only."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        return aiohttp.ClientSession(timeout=timeout, **options)

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
        **headers: str,
    ) -> tuple[int, Any]:
        """Call a random node on a new connection; status 0 stands for no answer."""
        url = f"http://{LOOPBACK}:{self.node().caller_port}{path}"
        header_fields = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        header_fields |= key_headers(self.choose_key())
        connector = aiohttp.TCPConnector(force_close=True)
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.session(connector=connector) as session,
                session.request(
                    method, url, data=body, headers={"Host": HOST, **header_fields}
                ) as response,
            ):
                if response.content_type == "application/json":
                    return response.status, await response.json()
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            return 0, None


class Trainer(Client):
    """Submit steps in sequence and read their results."""

    async def run(self) -> None:
        """Run steps until the soak stops, then wait for those still incomplete."""
        for number in itertools.count():
            if self.history.stopping:
                break
            await self._run_step(number)
        own_steps = [
            s for k, s in self.history.steps.items() if k.startswith(self.name)
        ]
        deadline = time.monotonic() + FINAL_READ_TIMEOUT_S
        for step in own_steps:
            while self._is_pending(step) and time.monotonic() < deadline:
                await self._read(step)

    def _is_pending(self, step: StepSeen) -> bool:
        return (
            step.accepted_at is not None
            and step.ended_at is None
            and not step.complete
            and time.monotonic() < step.accepted_at + MAX_REREAD_AGE_S
        )

    async def _run_step(self, number: int) -> None:
        step = StepSeen(
            step_id=f"{self.name}s{number}",
            items=2 * self.random.randint(2, 6),
            min_version=max(1, self.system.version - 1),
            rewards=self.random.random() < REWARD_PROBABILITY,
            account=self.account,
        )
        self.history.steps[step.step_id] = step
        await self._submit(step, number)
        if step.accepted_at is None:
            return
        deadline = time.monotonic() + STEP_DEADLINE_S
        while not step.complete and time.monotonic() < deadline:
            await self._read(step)
            await asyncio.sleep(READ_INTERVAL_S)
        if not step.complete and self.random.random() < END_PROBABILITY:
            await self._end(step)
        await asyncio.sleep(TRAINING_S)
        await self.system.set_target_version(self.system.version + 1)

    async def _submit(self, step: StepSeen, number: int) -> None:
        body = submission(
            step.step_id, step.items, step.min_version, number, step.rewards
        )
        path = f"{ROLLOUT_PREFIX}{step.step_id}"
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = await self.call(
                "POST", path, SUBMIT_TIMEOUT_S, body, Request_Id=step.step_id
            )
            step.statuses.append(status)
            if status == 202:
                step.accepted_at = time.monotonic()
                return
            await asyncio.sleep(1.0)

    async def _read(self, step: StepSeen) -> None:
        after = self.random.choice([len(step.results), 0])
        path = f"/-/lots/{step.step_id}?After={after}"
        status, page = await self.call("GET", path, READ_TIMEOUT_S, Wait_Ms="500")
        if status in (404, 410):
            step.missing_at.append(time.monotonic())
        if status != 200:
            return
        for position, result in enumerate(page["Results"], after):
            if step.results.setdefault(position, result) != result:
                step.changed.append(position)

    async def _end(self, step: StepSeen) -> None:
        path = f"/-/lots/{step.step_id}"
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = await self.call("DELETE", path, END_TIMEOUT_S)
            if status == 200:
                step.ended_at = time.monotonic()
                return
        # A DELETE without an answer may still end the step, so no results are expected.
        step.ended_at = float("inf")


class CallerClient(Client):
    """Send requests on keep-alive connections, several on each."""

    async def run(self) -> None:
        """Send requests until the soak stops."""
        numbers = itertools.count()
        while not self.history.stopping:
            node = self.node()
            if not node.running:
                await asyncio.sleep(REQUEST_PAUSE_S)
                continue
            async with self.session() as session:
                for _ in range(REQUESTS_PER_CONNECTION):
                    request = self._next_request(node, next(numbers))
                    await self._send(session, node, request)
                    await asyncio.sleep(REQUEST_PAUSE_S)
                    if request.status == 0 or self.history.stopping:
                        break

    def _next_request(self, node: NodeProcess, number: int) -> RequestSeen:
        repeatable = self.random.random() < 0.5
        prefix = DESK_PREFIX if repeatable else UNSAFE_PREFIX
        added = list(self.history.added_routes)
        if repeatable and added and self.random.random() < ADDED_ROUTE_PROBABILITY:
            prefix = added[-1]
        request_id = f"{self.name}r{number}"
        request = RequestSeen(
            request_id=request_id,
            node=node.name,
            path=f"{prefix}{number}",
            body=f"body of {request_id}".encode(),
            repeatable=repeatable,
            began=time.monotonic(),
            account=self.account,
            key=self.choose_key(REMOVED_KEY_PROBABILITY),
        )
        self.history.requests[request_id] = request
        return request

    async def _send(
        self, session: aiohttp.ClientSession, node: NodeProcess, request: RequestSeen
    ) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": request.request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            **key_headers(request.key),
        }
        url = f"http://{LOOPBACK}:{node.caller_port}{request.path}"
        try:
            async with (
                asyncio.timeout(DEADLINE_MS / 1000 + 0.5),
                session.post(url, data=request.body, headers=headers) as response,
            ):
                request.answer = await response.read()
                request.answer_id = response.headers.get("Request-Id", "")
                request.signature = response.headers.get("Server-Stamp", "")
                request.leaving = response.headers.get("Server-Leaving") == "1"
                request.status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError):
            request.status = 0
        request.ended = time.monotonic()


def key_headers(key: str | None) -> dict[str, str]:
    """Return the headers of a client with a key.

    Workers must see the account of the key, not the one that clients name.
    """
    return {"Authorization": f"Bearer {key}", "Tenant": "another"} if key else {}
