"""Stand in for a worker: an engine that streams events, or a plain service."""

import argparse
import asyncio
import json
import time

import aiohttp
from aiohttp import web

PING_S = 1.2


class Worker:
    """Run requests and write a line for each run."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.name = options.name
        self.models = {m: 1 for m in options.models.split(",") if m}
        self.born = int(time.time() * 1000)
        self.orders = 0
        self.pings = 0
        self.fence = 0
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(options.slots)
        self.log = open(options.log, "a", buffering=1)

    def write(self, what: str, **fields: object) -> None:
        """Write a line of the history."""
        line = {"t": round(time.time(), 3), "worker": self.name, "what": what}
        self.log.write(json.dumps(line | fields) + "\n")

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run a request if there is room for it."""
        headers = request.headers
        echo = {"Request-Id": headers.get("Request-Id", "")}
        expected = headers.get("Expected-Instance", self.name)
        if expected != self.name:
            return web.Response(status=421, headers={"Not-Executed": "1", **echo})
        prompt, _, output = headers.get("Token-Counts", "0,0").partition(",")
        tokens = int(prompt) + int(output)
        # A request that is larger than the memory is rejected as if the worker were full.
        is_larger = self.options.kv_tokens and tokens > self.options.kv_tokens
        if is_larger or self.waiting >= self.options.queue:
            self.write("rejected", id=echo["Request-Id"], tokens=tokens)
            return web.Response(status=503, headers={"Not-Executed": "1", **echo})
        body = await request.read()
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self.run(request, body, echo)
        finally:
            self.slots.release()

    async def run(
        self, request: web.Request, body: bytes, echo: dict[str, str]
    ) -> web.StreamResponse:
        """Run a request."""
        name = echo["Request-Id"]
        resume = int(request.headers.get("Last-Event-Id", "0"))
        path = request.raw_path
        self.write(
            "run", id=name, path=path, resume=resume, method=request.method,
            body=len(body),
        )
        echo["Server-Stamp"] = f"{self.name}.{name}"
        if request.headers.get("Model") is None:
            await asyncio.sleep(self.options.work_ms / 1000)
            self.write("done", id=name)
            text = b"answer " + body
            if self.options.answer_bytes:
                text = text.ljust(self.options.answer_bytes, b".")
            return web.Response(body=text, headers=echo)
        version = self.models.get(request.headers["Model"], 1)
        echo["Weight-Versions"] = str(version)
        response = web.StreamResponse(headers=echo)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        events = self.options.events
        if self.options.stride:
            # The run goes on to the most tokens that the request allows.
            output = request.headers["Token-Counts"].partition(",")[2]
            events = int(output) // self.options.stride
        for number in range(resume + 1, events + 1):
            await asyncio.sleep(self.options.work_ms / 1000)
            text = f"{name}:{number}".ljust(self.options.event_bytes, ".")
            data = f"id: {number}\ndata: {text}\n\n".encode()
            await response.write(data)
        await response.write_eof()
        self.write("done", id=name)
        return response

    async def report(self, request: web.Request) -> web.Response:
        """Report the state."""
        models = [
            {"Name": m, "Version": v, "Adapters": []} for m, v in self.models.items()
        ]
        return web.json_response(
            {
                "Stage": "both",
                "Models": models,
                "Busy": False,
                "Sequence": self.orders,
                "QueuedRequests": self.waiting,
                "RunningRequests": self.running,
                "KvCacheUsed": 0,
                "KvCacheTotal": 34744,
                "Handles": 0,
                "Runs": [],
            }
        )

    async def order(self, request: web.Request) -> web.Response:
        """Load a version."""
        if request.headers.get("Expected-Instance", self.name) != self.name:
            return web.Response(status=421)
        body = json.loads(await request.read())
        self.write("order", **body)
        if body["FencingToken"] < self.fence:
            return web.Response(status=412)
        self.fence = body["FencingToken"]
        if body.get("Precondition", self.orders) != self.orders:
            return web.Response(status=409)
        self.orders += 1
        self.models[body["Model"]] = body["Version"]
        return web.Response(status=202)

    async def health(self, request: web.Request) -> web.Response:
        """Answer a status check."""
        return web.Response(headers={"Instance-Id": self.name})

    async def ping(self, _app: web.Application) -> None:
        """Write the entry of this worker to the store from time to time."""

        async def run() -> None:
            url = f"http://127.0.0.1:{self.options.store}/control/put"
            query = {"topic": "keyed.servers", "key": self.name}
            async with aiohttp.ClientSession() as session:
                while True:
                    self.pings += 1
                    entry = {
                        "Service": self.options.service,
                        "Address": f"127.0.0.1:{self.options.port}",
                        "Zone": "chipre",
                        "Version": "v1",
                        "Slots": self.options.slots,
                        "State": "ready",
                        "ColdRemainingMs": 0,
                        "Sequence": self.pings,
                        "born": self.born,
                        "Stage": "both",
                        "Models": [
                            {"Name": m, "Version": v, "Adapters": []}
                            for m, v in self.models.items()
                        ],
                    }
                    try:
                        await session.post(url, params=query, json=entry)
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(PING_S)

        self.task = asyncio.create_task(run())


def main() -> None:
    """Serve a worker."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--models", default="")
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--queue", type=int, default=36)
    parser.add_argument("--events", type=int, default=11)
    parser.add_argument("--answer-bytes", type=int, default=0)
    parser.add_argument("--stride", type=int, default=0)
    parser.add_argument("--kv-tokens", type=int, default=0)
    parser.add_argument("--event-bytes", type=int, default=0)
    parser.add_argument("--work-ms", type=float, default=25)
    parser.add_argument("--log", required=True)
    options = parser.parse_args()

    async def create() -> web.Application:
        worker = Worker(options)
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/-/report", worker.report)
        app.router.add_post("/-/order", worker.order)
        app.router.add_get("/health", worker.health)
        app.router.add_route("*", "/{path:.*}", worker.serve)
        app.on_startup.append(worker.ping)
        return app

    web.run_app(
        create(),
        host="127.0.0.1",
        port=options.port,
        access_log=None,
        print=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    main()
