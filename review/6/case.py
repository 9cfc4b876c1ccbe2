"""A late second copy of a worker's refusal makes an unsafe request run twice."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from standins_2 import (
    Channel,
    Client,
    Deployment,
    Head,
    Worker,
    answer_headers,
    is_meant_for,
    refusal_headers,
    response,
    route,
    run_case,
)

SECONDS = 75.0
NODES = 9
CLIENTS_PER_NODE = 1
SLOTS = 4
QUEUE = 2
WORK_S = 0.12
# Mean pause of a client between an answer and its next request.
PAUSE_S = 0.06
# `garble`, how extra: for 5 s, more than once, share (.5) of the workers give x (.02)
# of their answers twice.
EXTRA_SHARE = 0.02
GARBLE_S = 5.0
GARBLE_PAUSE_S = 2.5
SEED = 6


class Desk:
    """Answer requests as a worker with slots and a short queue does."""

    def __init__(self, deployment: Deployment, extra_share: float) -> None:
        self.deployment = deployment
        self.extra_share = extra_share
        self.random = random.Random(SEED)
        self.slots = asyncio.Semaphore(SLOTS)
        self.held = 0
        self.answers = self.answers_in_trouble = self.extras = 0
        self.runs: Counter[str] = Counter()
        self.worker: Worker | None = None

    async def handle(self, channel: Channel, request: Head) -> None:
        """Handle one request."""
        assert self.worker is not None
        record, request_id = self.deployment.record, request.headers["request-id"]
        record.add("worker gets", id=request_id, channel=channel.number)
        if channel.stale:
            # The second copy of an earlier answer comes where the next is expected.
            await channel.send(channel.stale)
            record.add("worker sends late copy", channel=channel.number)
            channel.stale = b""
        if not is_meant_for(self.worker, request):
            await self._answer(channel, 421, response(421, refusal_headers(request)))
            return
        if self.held >= SLOTS + QUEUE:
            await self._answer(channel, 503, response(503, refusal_headers(request)))
            return
        self.held += 1
        try:
            async with self.slots:
                self.runs[request_id] += 1
                record.add("worker runs", id=request_id, channel=channel.number)
                await asyncio.sleep(WORK_S)
            body = b"done " + request_id.encode()
            headers = answer_headers(self.worker, request)
            await self._answer(channel, 200, response(200, headers, body))
        finally:
            self.held -= 1

    async def _answer(self, channel: Channel, status: int, data: bytes) -> None:
        self.answers += 1
        await channel.send(data)
        if self.deployment.record.now() % (GARBLE_S + GARBLE_PAUSE_S) > GARBLE_S:
            return
        self.answers_in_trouble += 1
        may_spoil = self.extras + 1 <= self.extra_share * self.answers_in_trouble
        # Twice the share, of which the cap lets pass no more than the share.
        if may_spoil and self.random.random() < 2 * self.extra_share:
            self.extras += 1
            channel.stale = data


async def main(trouble: bool) -> bool:
    """Send unsafe requests to a full worker and count how often each ran."""
    statuses: dict[str, int] = {}
    async with Deployment(Path(__file__).parent) as deployment:
        record = deployment.record
        desk = Desk(deployment, EXTRA_SHARE if trouble else 0.0)
        desk.worker = await deployment.add_worker("i-desk", "desk", desk.handle)
        desk.worker.slots = SLOTS
        await desk.worker.put()
        other = Desk(deployment, 0.0)
        other.worker = await deployment.add_worker("i-other", "other", other.handle)
        await deployment.configure(
            [
                route("r-desk", "/desk/", "unsafe", "desk", TimeoutMs=5000),
                route("r-other", "/other/", "safe", "other"),
            ],
            [{"Name": "desk", "HealthPath": "/h"}, {"Name": "other", "HealthPath": "/h"}],
        )
        nodes = await deployment.add_nodes(NODES)
        end = time.monotonic() + SECONDS

        async def keep_sending(name: str, client: Client) -> None:
            number = 0
            pauses = random.Random(name)
            while time.monotonic() < end:
                number += 1
                request_id = f"{name}.{number}"
                record.add("client sends", id=request_id)
                await client.send("POST", "/desk/book", request_id, b"x" * 100, 5000)
                answer = await client.receive()
                statuses[request_id] = answer.status if answer else 0
                record.add("client gets", id=request_id, status=statuses[request_id])
                await asyncio.sleep(pauses.expovariate(1 / PAUSE_S))

        await asyncio.gather(
            *(
                keep_sending(f"{node.name}.{number}", Client(node))
                for node in nodes
                for number in range(CLIENTS_PER_NODE)
            )
        )
        await asyncio.sleep(1.0)
        twice = [name for name, count in desk.runs.items() if count > 1]
        refused = [n for n in desk.runs if statuses.get(n) in (429, 503, 408, 421)]
        record.add(
            "result",
            requests=len(statuses),
            answers_of_worker=desk.answers,
            answers_in_trouble=desk.answers_in_trouble,
            second_copies=desk.extras,
            ran_twice=twice,
            refused_and_ran=refused,
            statuses=Counter(statuses.values()),
        )
        print(
            f"{len(statuses)} unsafe requests, {desk.answers} answers of the worker, "
            f"{desk.answers_in_trouble} of them in trouble, {desk.extras} given twice; {len(twice)} requests ran more than once, "
            f"{len(refused)} were refused and ran; statuses {Counter(statuses.values())}"
        )
        return bool(twice or refused)


run_case(main)
