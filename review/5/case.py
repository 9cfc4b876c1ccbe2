"""A node is stopped as planned while requests wait in it for a free worker."""

import asyncio
import os
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
from harness import (
    BOUNDS,
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
SLOTS = 6
WORKERS = 2
WORK_S = 2.0
TIMEOUT_MS = 10000
CLIENTS = 54
# Clients begin one after the other, so that their requests don't end together.
BEGIN_WITHIN_S = 8.0
TRAFFIC_S = 26.0
SIGTERM_AT_S = 14.0
GRACE_S = float(BOUNDS["grace_s"])
LOSS_SLACK_S = 0.2


class Sent:
    """Record a request and how it ended."""

    def __init__(self, request_id: str, at: float) -> None:
        self.request_id = request_id
        self.at = at
        self.ended = 0.0
        self.outcome = ""


async def send_requests(
    name: str, node: NodeProcess, record: Record, until: float, sent: list[Sent]
) -> None:
    """Send requests one after the other on a kept channel, until it ends."""
    async with aiohttp.ClientSession() as session:
        number = 0
        while time.monotonic() < until:
            number += 1
            each = Sent(f"{name}-{number:03d}", time.monotonic())
            sent.append(each)
            headers = {
                "Host": HOST,
                "Request-Id": each.request_id,
                "Deadline-Ms": str(TIMEOUT_MS),
            }
            url = f"http://{LOOPBACK}:{node.port}{PREFIX}{each.request_id}"
            record(f"sent {each.request_id} to {node.name}")
            try:
                async with (
                    asyncio.timeout(TIMEOUT_MS / 1000 + 0.5),
                    session.post(url, data=b"trial", headers=headers) as response,
                ):
                    await response.read()
                    each.outcome = str(response.status)
            except aiohttp.ClientConnectorError:
                # No new channel: the balancer has taken the node out.
                each.outcome = "not connected"
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                each.outcome = f"closed: {error!r}"
            each.ended = time.monotonic()
            record(f"answered {each.request_id}: {each.outcome}")
            if not each.outcome.isdecimal():
                return


async def case(deployment: Deployment, record: Record) -> list[str]:
    workers = [
        PlainWorker(f"i-desk-{n}", SLOTS, WORK_S, seed=n) for n in range(WORKERS)
    ]
    route: dict[str, Any] = {
        "Name": "desk-intake",
        "Host": HOST,
        "PathPrefix": PREFIX,
        "RouteKind": "unsafe",
        "Service": SERVICE,
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": 5000,
        "Priority": 2,
        "MaxAttempts": 2,
    }
    await deployment.configure([route], [{"Name": SERVICE, "HealthPath": "/health"}])
    for worker in workers:
        port = await worker.start()
        await deployment.list_worker(worker.name, entry(worker, SERVICE, port))
    await deployment.start_nodes(2)
    await asyncio.sleep(3.0)
    node = deployment.nodes[0]
    began = time.monotonic()
    sent: list[Sent] = []

    async def client(number: int) -> None:
        await asyncio.sleep(BEGIN_WITHIN_S * number / CLIENTS)
        until = began + TRAFFIC_S
        await send_requests(f"c{number:02d}", node, record, until, sent)

    clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(SIGTERM_AT_S)
    stopped_at = time.monotonic()
    if TROUBLE:
        node.signal(signal.SIGTERM)
        record(f"SIGTERM to {node.name}")
        # The platform sends SIGKILL after GraceS.
        loop = asyncio.get_running_loop()
        loop.call_later(GRACE_S, node.signal, signal.SIGKILL)
    await asyncio.gather(*clients)
    if node.process is not None:
        record(f"exit code of {node.name}: {node.process.poll()}")
    passed_on = {run.request_id for worker in workers for run in worker.runs}
    for worker in workers:
        for run in worker.runs:
            record(f"ran {run.request_id} at {run.worker}, {run.at - stopped_at:.3f} s")
        await worker.close()
    breaks = []
    for each in sent:
        lasted = each.ended - each.at
        if (
            each.outcome.startswith("closed")
            and each.request_id not in passed_on
            and LOSS_SLACK_S < lasted < TIMEOUT_MS / 1000
        ):
            breaks.append(
                f"LOST: {each.request_id}, sent {each.at - stopped_at:.3f} s after the"
                f" SIGTERM, got {each.outcome} after {lasted:.3f} s and was at no worker"
            )
    record(f"{len(sent)} requests: {dict(Counter(each.outcome for each in sent))}")
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, TROUBLE, case)
