"""A route for batch submissions is added while the node that runs them is frozen."""

import asyncio
import base64
import json
import os
import random
import signal
from pathlib import Path
from typing import Any

from fulmarpulley_testing.platform_worker import PlatformWorker
from harness import (
    HOST,
    LOOPBACK,
    Deployment,
    NodeProcess,
    Record,
    new_session,
    run_case,
)

# With TROUBLE=0 the same happens without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "daka510000"
SERVICE = "comfort-llm"
ROUNDS = 50
ITEMS = 8
EVENTS = 5
EVENT_S = 0.04
# `node_freeze` of the sheet lasts 4 s.
FREEZE_S = 0.6
# The configuration changes at some time within the freeze.
CONFIG_AFTER_S = (0.1, 0.3)
# The client waits for this time after the acknowledgement of the configuration.
SUBMIT_AFTER_S = 0.2
READ_FOR_S = 4.0
READ_EACH_S = 0.2


def route(number: int) -> dict[str, Any]:
    return {
        "Name": f"lot-{number}",
        "Host": HOST,
        "PathPrefix": f"/pufi{number:03d}/",
        "RouteKind": "rollout",
        "Service": SERVICE,
        "TimeoutMs": 10000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "MaxAttempts": 3,
        "RetentionS": 40.0,
        "ResultDeadlineMs": 7500,
        "StickySessions": True,
        "Resumable": True,
    }


SERVICES = [
    {
        "Name": SERVICE,
        "HealthPath": "/health",
        "ConnectionLimit": 150,
        "Engine": {
            "Slots": 12,
            "KvCacheTokens": 34744,
            "Stride": 1,
            "Models": [{"Name": MODEL}],
        },
    }
]


def submission(number: int) -> bytes:
    items = [
        {
            "Id": f"e5b2{number:04d}{item:04d}",
            "Path": f"/pufi{number:03d}/{item}",
            "Headers": {"Model": MODEL, "Token-Counts": "16,100"},
            "Body": base64.b64encode(f"body {item}".encode()).decode(),
            "Tokens": 116,
            "Group": f"g{number}-{item // 4}",
        }
        for item in range(ITEMS)
    ]
    content = {"Step": number, "Model": MODEL, "MinVersion": 1, "TargetGroups": 2}
    return json.dumps({**content, "Items": items}).encode()


async def submit(node: NodeProcess, number: int) -> int:
    headers = {
        "Host": HOST,
        "Request-Id": f"7c41{number:04d}",
        "Content-Type": "application/json",
    }
    url = f"http://{LOOPBACK}:{node.port}/pufi{number:03d}/7c41{number:04d}"
    async with (
        new_session() as session,
        session.post(url, data=submission(number), headers=headers) as response,
    ):
        return response.status


async def read(node: NodeProcess, number: int) -> list[Any]:
    url = f"http://{LOOPBACK}:{node.port}/-/lots/7c41{number:04d}?After=0"
    async with (
        new_session() as session,
        session.get(url, headers={"Host": HOST}) as response,
    ):
        if response.status != 200:
            return []
        found: list[Any] = (await response.json())["Results"]
        return found


def owner(deployment: Deployment) -> NodeProcess:
    """Return the node that runs the items of the service and gives its orders."""
    from fulmarpulley_core.ids import ServiceName
    from fulmarpulley_node.rollout.partitions import partition_of
    from harness import PARTITIONS

    partition = partition_of(ServiceName(SERVICE), PARTITIONS)
    member = deployment.store.owner("homes", partition) or ""
    return next(n for n in deployment.nodes if member.startswith(n.name + "/"))


async def case(deployment: Deployment, record: Record) -> list[str]:
    await deployment.configure([route(0)], SERVICES)
    workers: list[PlatformWorker] = []
    for number in range(3):
        worker = PlatformWorker(f"i-llm-{number}", [MODEL])
        worker.event_s = EVENT_S
        worker.events_per_item = EVENTS
        worker.slots = 12
        port = await deployment.serve(worker.app())
        entry = worker.entry(SERVICE, f"{LOOPBACK}:{port}", "chipre", 12)
        await deployment.list_worker(worker.name, entry)
        workers.append(worker)
    await deployment.start_nodes(3)
    await asyncio.sleep(4.0)
    breaks: list[str] = []
    for number in range(1, ROUNDS + 1):
        frozen = owner(deployment)
        entry_node = next(n for n in deployment.nodes if n is not frozen)
        thaw = None
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
            record(f"froze {frozen.name} for {FREEZE_S} s")
            loop = asyncio.get_running_loop()
            thaw = loop.call_later(FREEZE_S, frozen.signal, signal.SIGCONT)
        await asyncio.sleep(random.uniform(*CONFIG_AFTER_S))
        # The route of the round before stays, that of an ended submission goes.
        await deployment.configure(
            [route(n) for n in sorted({0, number - 1, number})], SERVICES
        )
        await asyncio.sleep(SUBMIT_AFTER_S)
        status = await submit(entry_node, number)
        record(f"sent submission {number} to {entry_node.name}: {status}")
        if thaw is not None:
            await asyncio.sleep(FREEZE_S - CONFIG_AFTER_S[0])
        results: list[Any] = []
        for _ in range(int(READ_FOR_S / READ_EACH_S)):
            results = await read(entry_node, number)
            if len(results) == ITEMS:
                break
            await asyncio.sleep(READ_EACH_S)
        states = [result["State"] for result in results]
        record(f"read submission {number}: {len(states)} results, {states}")
        if "dead" in states:
            breaks.append(
                f"MIXED: {states.count('dead')} of {ITEMS} items of submission {number}"
                " are dead, although no worker answered 500 or 422, its route is in"
                f" force and it is not {READ_FOR_S + 2} s old"
            )
        await asyncio.sleep(random.uniform(0.1, 0.6))
    for worker in workers:
        for run in worker.runs:
            record(f"ran {run.request_id} at {run.worker}, {run.events} events")
    for node in deployment.nodes:
        for line in node.log_lines("event=item_given_up"):
            record(f"log of {node.name}: {line[:230]}")
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, TROUBLE, case)
