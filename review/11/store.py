"""Stand in for the platform's store: a log with keyed topics and groups."""

import argparse
import asyncio
import base64
import json
import time
from collections import defaultdict

from aiohttp import web

APPEND_S = 0.004
APPEND_BYTES_PER_S = 20e6
READ_BYTES_PER_S = 80e6
CALL_BYTES = 2097152
RECORD_BYTES = 262144
MAX_WAITING_S = 2.0
PING_S = 1.2
SERVERS = "keyed.servers"


class Store:
    """Keep the partitions of all topics and the owners of the groups' partitions."""

    def __init__(self, partitions: int) -> None:
        self.count = partitions
        self.records: dict[tuple[str, int], list[bytes]] = defaultdict(list)
        self.busy_until: dict[tuple[str, int], float] = defaultdict(float)
        self.changed: dict[tuple[str, int], asyncio.Event] = defaultdict(asyncio.Event)
        self.groups: dict[str, dict] = {}
        self.pinged: dict[str, float] = {}

    def add(self, topic: str, part: int, records: list[bytes]) -> int:
        """Append records and wake the readers that wait for them."""
        key = topic, part
        offset = len(self.records[key])
        self.records[key] += records
        self.changed[key].set()
        self.changed[key] = asyncio.Event()
        return offset

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the value of a key; an empty one deletes the key."""
        name = key.encode()
        self.add(topic, 0, [bytes([len(name)]) + name + value])

    async def append(self, request: web.Request) -> web.Response:
        """Append the records of a body, all or nothing."""
        data = await request.read()
        records, at = [], 0
        while at < len(data):
            size = int.from_bytes(data[at : at + 4], "big")
            records.append(data[at + 4 : at + 4 + size])
            at += 4 + size
        if len(data) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            return web.Response(status=413)
        key = request.query["Topic"], int(request.query["part"])
        now = time.monotonic()
        if self.busy_until[key] - now > MAX_WAITING_S:
            return web.Response(status=503)
        cost = APPEND_S + len(data) / APPEND_BYTES_PER_S
        done = self.busy_until[key] = max(now, self.busy_until[key]) + cost
        await asyncio.sleep(done - now)
        offset = self.add(*key, records)
        return web.json_response({"Offset": offset, "End": len(self.records[key])})

    async def read(self, request: web.Request) -> web.Response:
        """Return the records from an offset on, and wait for the first one."""
        key = request.query["Topic"], int(request.query["part"])
        start = int(request.query["From"])
        deadline = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000
        while len(self.records[key]) <= start and time.monotonic() < deadline:
            event = self.changed[key]
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await event.wait()
            except TimeoutError:
                break
        most = int(request.query.get("MaxKb", "1024")) * 1024
        stored = self.records[key]
        parts, size = [], 0
        for record in stored[start:]:
            if parts and size + len(record) > most:
                break
            parts.append(len(record).to_bytes(4, "big") + record)
            size += len(record) + 4
        await asyncio.sleep(size / READ_BYTES_PER_S)
        head = len(stored).to_bytes(8, "big") + (0).to_bytes(8, "big")
        return web.Response(body=head + b"".join(parts))

    async def newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key."""
        stored = self.records[request.query["Topic"], int(request.query["part"])]
        after = request.query.get("After", "")
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(stored):
            end = 1 + record[0]
            found[record[1:end].decode()] = offset, record[end:]
        rows = [
            {"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
            for k, (o, v) in sorted(found.items())
            if v and k > after
        ]
        body = {"Items": rows[:500], "HasMore": len(rows) > 500, "End": len(stored)}
        return web.json_response(body)

    async def join(self, request: web.Request) -> web.Response:
        """Join a group or renew a membership."""
        body = json.loads(await request.read())
        group = self.groups.setdefault(
            body["Group"],
            {"topic": "", "generation": 0, "members": {}, "owners": {}},
        )
        group["topic"] = body["Topics"][0]
        group["members"][body["Member"]] = time.monotonic() + body["TtlMs"] / 1000
        self.assign(group)
        rows = [
            [group["topic"], part, 0]
            for part, owner in group["owners"].items()
            if owner == body["Member"]
        ]
        return web.json_response({"Generation": group["generation"], "parts": rows})

    async def leave(self, request: web.Request) -> web.Response:
        """Leave a group."""
        body = json.loads(await request.read())
        group = self.groups.get(body["Group"])
        if group is not None:
            group["members"].pop(body["Member"], None)
            self.assign(group)
        return web.json_response({})

    async def owners(self, request: web.Request) -> web.Response:
        """List the owners of a group's partitions."""
        group = self.groups.get(request.query["Group"])
        if group is None:
            return web.json_response({"parts": []})
        self.assign(group)
        rows = [[group["topic"], p, m, 0] for p, m in group["owners"].items()]
        return web.json_response({"parts": rows})

    def assign(self, group: dict) -> None:
        """Spread the partitions evenly; one stays where it is if that is even."""
        now = time.monotonic()
        alive = sorted(m for m, until in group["members"].items() if until > now)
        group["members"] = {m: group["members"][m] for m in alive}
        owners = {p: m for p, m in group["owners"].items() if m in alive}
        if alive:
            most = -(-self.count // len(alive))
            for member in alive:
                for part in [p for p, m in owners.items() if m == member][most:]:
                    del owners[part]
            for part in range(self.count):
                if part not in owners:
                    held = list(owners.values())
                    owners[part] = min(alive, key=held.count)
        if owners != group["owners"]:
            group["owners"] = owners
            group["generation"] += 1

    async def control_put(self, request: web.Request) -> web.Response:
        """Write what an operator, a trainer or a worker publishes."""
        topic, key = request.query["topic"], request.query["key"]
        self.put(topic, key, await request.read())
        if topic == SERVERS:
            self.pinged[key] = time.monotonic()
        return web.Response()

    async def expire(self, _app: web.Application) -> None:
        """Remove the entries of workers that have been silent for three pings."""

        async def run() -> None:
            while True:
                await asyncio.sleep(0.2)
                for key, at in list(self.pinged.items()):
                    if time.monotonic() > at + 3 * PING_S:
                        del self.pinged[key]
                        self.put(SERVERS, key, b"")

        self.task = asyncio.create_task(run())


def main() -> None:
    """Serve the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--partitions", type=int, default=8)
    options = parser.parse_args()
    store = Store(options.partitions)
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/-/log-append", store.append)
    app.router.add_get("/-/log-read", store.read)
    app.router.add_get("/-/log-newest", store.newest)
    app.router.add_post("/-/log-join", store.join)
    app.router.add_post("/-/log-leave", store.leave)
    app.router.add_get("/-/log-owners", store.owners)
    app.router.add_post("/control/put", store.control_put)
    app.on_startup.append(store.expire)
    web.run_app(
        app,
        host="127.0.0.1",
        port=options.port,
        access_log=None,
        print=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    main()
