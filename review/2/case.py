"""A batch submission is sent again after its route has moved to another service."""

import asyncio
import base64
import json
import os
import random
from pathlib import Path
from typing import Any

from fulmarpulley_testing.platform_worker import PlatformWorker
from harness import (
    CONFIG_APPLY_S,
    HOST,
    LOOPBACK,
    SETTLE_S,
    Deployment,
    NodeProcess,
    Record,
    new_session,
    run_case,
)

# With TROUBLE=0 the same happens without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "daka510000"
OLD_SERVICE = "comfort-llm"
NEW_SERVICE = "comfort-llm-west"
PREFIX = "/pufi791/"
LOT = "7c41e09b52d6a3f8"
ITEMS = 24
EVENT_S = 0.1


def route(service: str) -> dict[str, Any]:
    return {
        "Name": "firmness-lot",
        "Host": HOST,
        "PathPrefix": PREFIX,
        "RouteKind": "rollout",
        "Service": service,
        "TimeoutMs": 10000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "MaxAttempts": 3,
        "RetentionS": 40.0,
        "ResultDeadlineMs": 12000,
        "StickySessions": True,
        "Resumable": True,
    }


SERVICES = [
    {
        "Name": name,
        "HealthPath": "/health",
        "ConnectionLimit": 150,
        "Engine": {
            "Slots": 4,
            "KvCacheTokens": 34744,
            "Stride": 1,
            "Models": [{"Name": MODEL}],
        },
    }
    for name in (OLD_SERVICE, NEW_SERVICE)
]


def submission() -> bytes:
    items = [
        {
            "Id": f"e5b2907c14da{number:04x}",
            "Path": f"{PREFIX}{number}",
            "Headers": {"Model": MODEL, "Token-Counts": "16,100"},
            "Body": base64.b64encode(f"body {number}".encode()).decode(),
            "Tokens": 116,
            "Group": f"g{number // 4}",
        }
        for number in range(ITEMS)
    ]
    return json.dumps(
        {
            "Step": 0,
            "Model": MODEL,
            "MinVersion": 1,
            "TargetGroups": ITEMS // 4,
            "Items": items,
        }
    ).encode()


async def submit(node: NodeProcess, record: Record) -> int:
    headers = {"Host": HOST, "Request-Id": LOT, "Content-Type": "application/json"}
    url = f"http://{LOOPBACK}:{node.port}{PREFIX}{LOT}"
    async with (
        new_session() as session,
        session.post(url, data=submission(), headers=headers) as response,
    ):
        record(f"sent the submission to {node.name}: {response.status}")
        return response.status


async def read(node: NodeProcess, after: int) -> tuple[int, Any]:
    url = f"http://{LOOPBACK}:{node.port}/-/lots/{LOT}?After={after}"
    async with (
        new_session() as session,
        session.get(url, headers={"Host": HOST}) as response,
    ):
        return response.status, await response.json() if response.status == 200 else {}


class Reader:
    """Read the results at all nodes and compare each position with what was read."""

    def __init__(self, nodes: list[NodeProcess], record: Record) -> None:
        self.nodes = nodes
        self.record = record
        self.seen: dict[int, tuple[float, str, Any]] = {}
        self.breaks: list[str] = []

    async def read_all(self) -> None:
        for node in self.nodes:
            # Twice a second, from the start, as other clients do.
            began = self.record.now()
            status, page = await read(node, 0)
            results = page.get("Results", [])
            self.record(f"read at {node.name}: {status}, {len(results)} results")
            if status != 200:
                continue
            for position, result in enumerate(results):
                text = json.dumps(result, sort_keys=True)
                known = self.seen.setdefault(
                    position, (self.record.now(), text, node.name)
                )
                if known[1] != text:
                    self.breaks.append(
                        f"TWICE: position {position} held {result['Id']} at"
                        f" {node.name}, before {json.loads(known[1])['Id']} at"
                        f" {known[2]}"
                    )
            ids = [result["Id"] for result in results]
            if len(set(ids)) < len(ids):
                self.breaks.append(f"TWICE: an item stands twice at {node.name}")
            old = [p for p, k in self.seen.items() if k[0] < began - SETTLE_S]
            missing = [p for p in old if p >= len(results)]
            if missing and len(results) < ITEMS:
                self.breaks.append(
                    f"LOST: {node.name} has nothing at positions {missing}, which had"
                    f" been read over {SETTLE_S} s before"
                )


async def case(deployment: Deployment, record: Record) -> list[str]:
    workers: list[PlatformWorker] = []
    await deployment.configure([route(OLD_SERVICE)], SERVICES)
    for service in (OLD_SERVICE, NEW_SERVICE):
        for number in range(3):
            worker = PlatformWorker(f"i-{service}-{number}", [MODEL])
            # Workers of one service differ in speed.
            worker.event_s = EVENT_S * (1 + 0.3 * number) * random.uniform(0.9, 1.1)
            worker.events_per_item = 12
            worker.slots = 4
            port = await deployment.serve(worker.app())
            entry = worker.entry(service, f"{LOOPBACK}:{port}", "chipre", 4)
            await deployment.list_worker(worker.name, entry)
            workers.append(worker)
    await deployment.start_nodes(5)
    # Ownership of the partitions settles before the traffic, as on the sheets.
    await asyncio.sleep(5.0)
    first, second, third, fourth, _ = everyone = deployment.nodes
    if await submit(first, record) != 202:
        raise RuntimeError("the submission was not accepted")
    reader = Reader([first, second], record)
    await asyncio.sleep(1.0)
    await reader.read_all()
    if TROUBLE:
        await deployment.configure([route(NEW_SERVICE)], SERVICES)
    for _ in range(int(CONFIG_APPLY_S / 0.5) + 1):
        await asyncio.sleep(0.5)
        await reader.read_all()
    # Two other clients send the submission, whose 202 is seconds old, once more. One
    # of these nodes at least does not own the partition of the old service.
    await submit(third, record)
    await submit(fourth, record)
    reader.nodes = everyone
    for _ in range(16):
        await asyncio.sleep(0.5)
        await reader.read_all()
    ran: dict[str, int] = {}
    for worker in workers:
        for run in worker.runs:
            record(
                f"ran {run.request_id} at {run.worker} after event {run.resume_after},"
                f" {run.events} events"
            )
            ran[run.request_id] = ran.get(run.request_id, 0) + 1
    record(f"{len(ran)} items ran, {sum(n > 1 for n in ran.values())} more than once")
    for node in deployment.nodes:
        for line in node.log_lines("event=step_submitted"):
            record(f"log of {node.name}: {line[:230]}")
    return reader.breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, TROUBLE, case)
