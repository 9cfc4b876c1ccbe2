"""An extra response with `Not-Executed` arrives late, in place of the next response."""

import asyncio
import os
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
from harness import (
    HOST,
    LOOPBACK,
    Deployment,
    NodeProcess,
    Record,
    run_case,
)
from plain_worker import PlainWorker, entry

# With TROUBLE=0 the same happens without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "trial-desk"
PREFIX = "/lohu930/"
WORK_S = 0.0375
SLOTS = 6
TRAFFIC_S = 50.0
CLIENTS = 32
PAUSE_S = 0.1
DEADLINE_MS = 1000
# `garble` of the sheet: share 0.6 of the servers, x 0.03 of their answers at most.
EXTRA_SHARE = 0.025
# It lasts 5 s there, and may come more than once.
EXTRA_FOR_S = 5.0
CALM_S = 1.0


def route() -> dict[str, Any]:
    return {
        "Name": "desk-order",
        "Host": HOST,
        "PathPrefix": PREFIX,
        "RouteKind": "unsafe",
        "Service": SERVICE,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 192,
        "Priority": 2,
        "MaxAttempts": 2,
    }


class Client:
    """Send unsafe requests one after the other on a kept channel; never repeat one."""

    def __init__(self, name: str, node: NodeProcess, record: Record) -> None:
        self.name = name
        self.node = node
        self.record = record
        self.statuses: dict[str, int] = {}

    async def run(self, until: float) -> None:
        connector = aiohttp.TCPConnector(keepalive_timeout=12.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            number = 0
            while time.monotonic() < until:
                number += 1
                request_id = f"{self.name}-{number:05d}"
                self.statuses[request_id] = await self._send(session, request_id)
                await asyncio.sleep(PAUSE_S)

    async def _send(self, session: aiohttp.ClientSession, request_id: str) -> int:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://{LOOPBACK}:{self.node.port}{PREFIX}{request_id}"
        self.record(f"sent {request_id} to {self.node.name}")
        try:
            async with (
                asyncio.timeout(DEADLINE_MS / 1000 + 0.5),
                session.post(url, data=b"trial", headers=headers) as response,
            ):
                await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError):
            status = 0
        self.record(f"answered {request_id}: {status}")
        return status


async def take_slots(worker: PlainWorker, rng: random.Random) -> None:
    """Fill and free a worker's slots, as the requests of other callers do."""
    while True:
        worker.taken = SLOTS if rng.random() < 0.3 else 0
        await asyncio.sleep(0.3)


async def send_extras(workers: list[PlainWorker]) -> None:
    """Let the workers send extra answers in spells of the length that is allowed."""
    while True:
        for worker in workers:
            worker.extra_late_share = EXTRA_SHARE
        await asyncio.sleep(EXTRA_FOR_S)
        for worker in workers:
            worker.extra_late_share = 0.0
        await asyncio.sleep(CALM_S)


async def case(deployment: Deployment, record: Record) -> list[str]:
    rng = random.Random(1)
    workers = [PlainWorker(f"i-desk-{n}", SLOTS, WORK_S, seed=n) for n in range(5)]
    await deployment.configure(
        [route()],
        [{"Name": SERVICE, "HealthPath": "/health", "ConnectionLimit": 96}],
    )
    for worker in workers:
        port = await worker.start()
        await deployment.list_worker(worker.name, entry(worker, SERVICE, port))
    await deployment.start_nodes(2)
    await asyncio.sleep(3.0)
    # Share 0.6 of five servers.
    faulty = workers[:3]
    spells = None
    if TROUBLE:
        spells = asyncio.create_task(send_extras(faulty))
        record(
            f"of {len(faulty)} of 5 workers, {EXTRA_SHARE} of the answers come twice"
        )
    fillers = [asyncio.create_task(take_slots(w, rng)) for w in workers]
    clients = [
        Client(f"c{n:02d}", deployment.nodes[n % 2], record) for n in range(CLIENTS)
    ]
    until = time.monotonic() + TRAFFIC_S
    await asyncio.gather(*(client.run(until) for client in clients))
    await asyncio.sleep(1.5)
    for task in [*fillers, *([spells] if spells else [])]:
        task.cancel()
    runs = [run for worker in workers for run in worker.runs]
    for run in sorted(runs, key=lambda run: run.at):
        record(f"ran {run.request_id} at {run.worker}")
    statuses = {k: v for client in clients for k, v in client.statuses.items()}
    counts = Counter(run.request_id for run in runs)
    breaks = []
    for request_id, count in counts.items():
        status = statuses.get(request_id)
        where = [run.worker for run in runs if run.request_id == request_id]
        if count > 1:
            breaks.append(f"TWICE: {request_id} ran at {where}, answered {status}")
        if status in (408, 421, 429, 503):
            breaks.append(f"REFUSED: {request_id} ran at {where}, answered {status}")
    answers = sum(worker.answers for worker in faulty)
    extras = sum(worker.extras for worker in faulty)
    record(f"{len(statuses)} requests; answers {dict(Counter(statuses.values()))}")
    record(
        f"{sum(len(w.rejected) for w in workers)} rejections by workers; the faulty ones"
        f" sent {answers} answers and {extras} extra ones"
    )
    for worker in workers:
        await worker.close()
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, TROUBLE, case)
