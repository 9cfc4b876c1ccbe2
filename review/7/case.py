"""After three resets of channels, items of an accepted step wait beside idle workers."""

import asyncio
import base64
import json
import random
import time
from pathlib import Path

from standins_2 import (
    HOST,
    Channel,
    Client,
    Deployment,
    Head,
    Worker,
    is_meant_for,
    refusal_headers,
    response,
    route,
    run_case,
)

NODES = 9
ENGINES = 5
SLOTS = 12
GROUPS = 14
GROUP_SIZE = 4
WANTED_SHARE = 0.9
EVENT_S = 0.05
MEAN_EVENTS = 30
STRIDE = 52
MODEL = "m0"
STEP = "step-1"
# `reset_conns`: share (.1) of the machines, here the one that runs the step's items,
# have x (.5) of their connections reset.
RESET_SHARE = 0.5
RESETS_AT_S = (0.7, 1.4, 2.1)
STABILITY_S = 3.0
NO_WORKER_S = 5.0
# The trainer's deadline on the sheet.
DEADLINE_S = 12.0
SEED = 9


class Run:
    """Hold one run of an item."""

    def __init__(self, item: str, channel: Channel, began: float) -> None:
        self.item = item
        self.channel = channel
        self.began = began
        self.ended = float("inf")
        self.complete = False


class Engine:
    """Generate the events of items as a model worker does."""

    def __init__(self, deployment: Deployment, events: dict[str, int]) -> None:
        self.deployment = deployment
        self.events = events
        self.runs: list[Run] = []
        self.worker: Worker | None = None

    def running(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [run for run in self.runs if run.ended == float("inf")]

    async def handle(self, channel: Channel, request: Head) -> None:
        """Handle one request."""
        worker = self.worker
        assert worker is not None
        if not is_meant_for(worker, request):
            await channel.send(response(421, refusal_headers(request)))
        elif request.first.startswith("GET /-/report "):
            await channel.send(response(200, {}, self._report()))
        elif len(self.running()) >= SLOTS:
            await channel.send(response(503, refusal_headers(request)))
        else:
            await self._generate(worker, channel, request)

    def _report(self) -> bytes:
        report = {
            "Stage": "both",
            "Models": [{"Name": MODEL, "Version": 1, "Adapters": []}],
            "Busy": False,
            "Sequence": 0,
            "QueuedRequests": 0,
            "RunningRequests": len(self.running()),
            "KvCacheUsed": 0,
            "KvCacheTotal": 34744,
            "Handles": 0,
            "Runs": [[run.item, 0, 0, 5] for run in self.running()],
        }
        return json.dumps(report).encode()

    async def _generate(self, worker: Worker, channel: Channel, request: Head) -> None:
        record, item = self.deployment.record, request.headers["request-id"]
        after = int(request.headers.get("last-event-id", "0"))
        run = Run(item, channel, record.now())
        self.runs.append(run)
        record.add("worker runs", id=item, worker=worker.name, after=after)
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {item}",
            f"Server-Stamp: {worker.name}.{item}",
            "Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        try:
            await channel.send("\r\n".join(lines).encode() + b"\r\n\r\n")
            for number in range(after + 1, self.events[item] + 1):
                await asyncio.sleep(EVENT_S)
                event = f"id: {number}\ndata: {item}:{number}\n\n".encode()
                await channel.send(b"%x\r\n%s\r\n" % (len(event), event))
                if channel.writer.transport.is_closing():
                    raise ConnectionResetError
            await channel.send(b"0\r\n\r\n")
            run.complete = True
        finally:
            run.ended = record.now()
            what = "worker finished" if run.complete else "worker dropped"
            record.add(what, id=item, worker=worker.name)


def submission(items: list[str], events: dict[str, int]) -> bytes:
    """Return the body of a batch submission."""
    entries = [
        {
            "Id": item,
            "Path": f"/lot/{index}",
            "Headers": {
                "Model": MODEL,
                "Token-Counts": f"271,{events[item] * STRIDE}",
                "Length-Hint": str(events[item] * STRIDE),
            },
            "Body": base64.b64encode(b"prompt").decode(),
            "Tokens": 271 + events[item] * STRIDE,
            "Group": f"g{index // GROUP_SIZE}",
        }
        for index, item in enumerate(items)
    ]
    wanted = int(GROUPS * WANTED_SHARE)
    return json.dumps(
        {
            "Step": 0,
            "Model": MODEL,
            "MinVersion": 1,
            "TargetGroups": wanted,
            "Items": entries,
        }
    ).encode()


async def main(trouble: bool) -> bool:
    """Submit a step, reset channels three times, and look for items at no worker."""
    items = [f"item-{index}" for index in range(GROUPS * GROUP_SIZE)]
    lengths = random.Random(SEED)
    events = {i: max(10, int(lengths.gauss(MEAN_EVENTS, 8))) for i in items}
    async with Deployment(Path(__file__).parent) as deployment:
        record = deployment.record
        engines = []
        for number in range(ENGINES):
            engine = Engine(deployment, events)
            engines.append(engine)
            engine.worker = Worker(
                deployment, f"i-{number}", "comfort-llm", engine.handle
            )
            engine.worker.slots = SLOTS
            engine.worker.models = [{"Name": MODEL, "Version": 1, "Adapters": []}]
            deployment.workers.append(engine.worker)
            await engine.worker.start()
        await deployment.configure(
            [
                route(
                    "r-lot",
                    "/lot/",
                    "rollout",
                    "comfort-llm",
                    MaxAttempts=3,
                    RetentionS=40.0,
                    ResultDeadlineMs=7500,
                    StickySessions=True,
                    Resumable=True,
                )
            ],
            [
                {
                    "Name": "comfort-llm",
                    "HealthPath": "/h",
                    "ConnectionLimit": 150,
                    "Engine": {
                        "Slots": SLOTS,
                        "KvCacheTokens": 34744,
                        "Stride": STRIDE,
                        "Models": [{"Name": MODEL}],
                    },
                }
            ],
        )
        nodes = await deployment.add_nodes(NODES)
        await asyncio.sleep(8.0)
        body = submission(items, events)
        trainer = Client(nodes[0])
        await trainer.send("POST", "/lot/step", STEP, body)
        answer = await trainer.receive()
        accepted_at = record.now()
        record.add("trainer gets", step=STEP, status=answer.status if answer else 0)
        if answer is None or answer.status != 202:
            raise RuntimeError("the step was not accepted")

        async def disturb() -> None:
            choice = random.Random(SEED)
            for at_s in RESETS_AT_S:
                await asyncio.sleep(accepted_at + at_s - record.now())
                channels = [r.channel for e in engines for r in e.running()]
                chosen = choice.sample(channels, int(len(channels) * RESET_SHARE))
                for channel in chosen:
                    channel.writer.transport.abort()
                record.add("channels reset", count=len(chosen), of=len(channels))

        disturbing = asyncio.create_task(disturb()) if trouble else None
        steady_from = accepted_at
        if trouble:
            steady_from += RESETS_AT_S[-1] + STABILITY_S
        listed: list[str] = []
        load: list[tuple[float, int]] = []
        groups_done = 0
        polls = 0
        while record.now() < accepted_at + DEADLINE_S:
            load.append((record.now(), sum(len(e.running()) for e in engines)))
            polls += 1
            if polls % 5 == 0:
                reader = Client(nodes[polls % len(nodes)])
                await reader.send("GET", f"/-/lots/{STEP}?After={len(listed)}", "")
                page = await reader.receive()
                reader.close()
                if page is not None and page.status == 200:
                    listed += [r["Id"] for r in json.loads(page.body)["Results"]]
                done = set(listed)
                groups_done = sum(
                    all(i in done for i in items[g : g + GROUP_SIZE])
                    for g in range(0, len(items), GROUP_SIZE)
                )
                if groups_done >= int(GROUPS * WANTED_SHARE):
                    break
            await asyncio.sleep(0.1)
        out_of_time = groups_done < int(GROUPS * WANTED_SHARE)
        end = record.now()
        if disturbing is not None:
            await disturbing
        # Items that no worker has finished and that were at no worker at the end.
        idle: dict[str, float] = {}
        runs = [run for engine in engines for run in engine.runs]
        for item in items:
            own = [run for run in runs if run.item == item]
            if any(run.complete for run in own) or any(r.ended > end for r in own):
                continue
            since = max([run.ended for run in own if run.ended <= end] or [accepted_at])
            idle[item] = round(end - max(since, steady_from), 2)
        long_idle = {i: s for i, s in idle.items() if s >= NO_WORKER_S}
        busiest = max((n for at, n in load if at > end - NO_WORKER_S), default=0)
        under_half = busiest < ENGINES * SLOTS / 2
        broken = out_of_time and bool(long_idle) and under_half
        record.add(
            "result",
            step_out_of_time=out_of_time,
            groups_complete=groups_done,
            listed=len(listed),
            seconds=round(end - accepted_at, 2),
            at_no_worker_s=long_idle,
            running_at_most_in_last_5_s=busiest,
        )
        await trainer.send("DELETE", f"/-/lots/{STEP}", "")
        await trainer.receive()
        print(
            f"{groups_done} of {GROUPS} groups after {end - accepted_at:.1f} s; "
            f"{len(long_idle)} items were at no worker for {NO_WORKER_S} s of steady "
            f"state; at most {busiest} of {ENGINES * SLOTS} slots busy meanwhile"
        )
        return broken


run_case(main)
