"""Stand in for the platform's store with the calls that its protocol defines."""

import asyncio
import time
from base64 import b64encode
from collections import defaultdict
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import msgspec
from aiohttp import web

from .serving import abort_connection, json_response, sleep_if_positive

LENGTH_BYTES = 4
DEFAULT_MAX_KB = 1024
# In the mode LATE_WRITES an append takes effect this long after its connection closed.
LATE_WRITE_DELAY_S = 1.5
APPEND_PATH = "/-/log-append"
OPERATOR_TOPIC = "keyed.op"
SERVER_TOPIC = "keyed.servers"


class StoreMode(StrEnum):
    """Name how the store handles calls."""

    UP = "up"
    BUSY = "busy"
    RESET = "reset"
    LOSE_ANSWERS = "lose_answers"
    LATE_WRITES = "late_writes"


class Group(msgspec.Struct):
    """Hold the expiry times of a group's members and the owners of partitions."""

    generation: int = 0
    topic: str = ""
    members: dict[str, float] = {}
    owners: dict[int, str] = {}


class PlatformStore:
    """Keep partitions of records and the groups whose members own them."""

    def __init__(self, partitions: int) -> None:
        self.partition_count = partitions
        self.mode = StoreMode.UP
        self.delay_s = 0.0
        # Topics whose reads get no answer, for callers of an app that may lag.
        self.held_topics: set[str] = set()
        self.rejected_members: set[str] = set()
        self.partitions: dict[tuple[str, int], list[bytes]] = defaultdict(list)
        self.first_offset: dict[tuple[str, int], int] = defaultdict(int)
        self.groups: dict[str, Group] = defaultdict(Group)
        self.changed = asyncio.Condition()
        self.late_writes: set[asyncio.Task[None]] = set()

    def app(self, may_lag: bool = False) -> web.Application:
        """Return the application that serves the store, for some or all nodes.

        :param may_lag: whether answers on held topics wait until these are released
        """
        faults = [self._hold_answers] if may_lag else []
        app = web.Application(
            middlewares=[*faults, self._inject_fault],
            client_max_size=64 * 1024 * 1024,
        )
        app.router.add_post(APPEND_PATH, self.append)
        app.router.add_get("/-/log-read", self.read)
        app.router.add_get("/-/log-newest", self.newest)
        app.router.add_post("/-/log-join", self.join)
        app.router.add_post("/-/log-leave", self.leave)
        app.router.add_get("/-/log-owners", self.list_owners)
        return app

    async def put(self, topic: str, key: str, value: Any) -> None:
        """Write a value of a key; None deletes the key."""
        await self.put_bytes(
            topic, key, b"" if value is None else msgspec.json.encode(value)
        )

    async def put_bytes(self, topic: str, key: str, data: bytes) -> None:
        """Write a value that need not be valid, as another writer may do."""
        name = key.encode()
        await self.add(topic, 0, [bytes([len(name)]) + name + data])

    async def add(self, topic: str, partition: int, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        stored = self.partitions[topic, partition]
        offset = self.first_offset[topic, partition] + len(stored)
        stored += records
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def release_topics(self) -> None:
        """Send the answers on held topics."""
        self.held_topics.clear()
        async with self.changed:
            self.changed.notify_all()

    def expire_records(self, topic: str, partition: int) -> None:
        """Delete all records of a partition, as the end of their retention does."""
        stored = self.partitions[topic, partition]
        self.first_offset[topic, partition] += len(stored)
        stored.clear()

    def reassign_partitions(self) -> None:
        """Assign the partitions of all groups to other members."""
        for group in self.groups.values():
            alive = sorted(group.members)
            if alive:
                group.generation += 1
                group.owners = {
                    partition: alive[(partition + group.generation) % len(alive)]
                    for partition in range(self.partition_count)
                }

    def owner(self, group: str, partition: int) -> str | None:
        """Return the member of a group that owns a partition."""
        return self.groups[group].owners.get(partition)

    @web.middleware
    async def _inject_fault(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if self.mode is StoreMode.BUSY:
            return web.Response(status=503)
        if self.mode is StoreMode.RESET:
            return abort_connection(request)
        await sleep_if_positive(self.delay_s)
        if self.mode is StoreMode.LATE_WRITES and request.path == APPEND_PATH:
            self._write_later(request.query, await request.read())
            return abort_connection(request)
        answer: web.StreamResponse = await handler(request)
        if self.mode is StoreMode.LOSE_ANSWERS and request.method == "POST":
            return abort_connection(request)
        return answer

    @web.middleware
    async def _hold_answers(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        answer: web.StreamResponse = await handler(request)
        topic = request.query.get("Topic")
        async with self.changed:
            await self.changed.wait_for(lambda: topic not in self.held_topics)
        return answer

    async def append(self, request: web.Request) -> web.Response:
        """Append the records of a request body."""
        partition = int(request.query["part"])
        records = split_records(await request.read())
        offset = await self.add(request.query["Topic"], partition, records)
        return json_response({"Offset": offset, "End": offset + len(records)})

    def _write_later(self, query: Mapping[str, str], body: bytes) -> None:
        partition_key = query["Topic"], int(query["part"])

        async def write() -> None:
            await asyncio.sleep(LATE_WRITE_DELAY_S)
            await self.add(*partition_key, split_records(body))

        task = asyncio.create_task(write())
        self.late_writes.add(task)
        task.add_done_callback(self.late_writes.discard)

    async def read(self, request: web.Request) -> web.Response:
        """Return the records from an offset, waiting for the first one."""
        partition_key = (request.query["Topic"], int(request.query["part"]))
        start = int(request.query["From"])
        wait_s = int(request.query.get("WaitMs", "0")) / 1000
        await self._wait_for_records(partition_key, start, wait_s)
        first, stored = self.first_offset[partition_key], self.partitions[partition_key]
        if start < first:
            return json_response({"First": first}, status=410)
        end = first + len(stored)
        header = end.to_bytes(8, "big") + first.to_bytes(8, "big")
        max_bytes = int(request.query.get("MaxKb", DEFAULT_MAX_KB)) * 1024
        body = b""
        for record in stored[start - first :]:
            if body and len(body) + len(record) > max_bytes:
                break
            body += len(record).to_bytes(LENGTH_BYTES, "big") + record
        return web.Response(body=header + body)

    async def newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key."""
        partition_key = (request.query["Topic"], int(request.query["part"]))
        found: dict[str, dict[str, Any]] = {}
        for offset, record in enumerate(
            self.partitions[partition_key], self.first_offset[partition_key]
        ):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            found.pop(key, None)
            if value:
                text = b64encode(value).decode()
                found[key] = {"Key": key, "Value": text, "Offset": offset}
        end = self.first_offset[partition_key] + len(self.partitions[partition_key])
        return json_response(
            {"Items": list(found.values()), "HasMore": False, "End": end}
        )

    async def join(self, request: web.Request) -> web.Response:
        """Join a group or renew a membership; return the member's partitions."""
        body = msgspec.json.decode(await request.read())
        group = self.groups[body["Group"]]
        if body["Member"] in self.rejected_members:
            return web.Response(status=503)
        expiry = time.monotonic() + body["TtlMs"] / 1000
        group.topic = body["Topics"][0]
        group.members[body["Member"]] = expiry
        self._assign_partitions(group)
        rows = [
            [body["Topics"][0], partition, 0]
            for partition, owner in group.owners.items()
            if owner == body["Member"]
        ]
        return json_response({"Generation": group.generation, "parts": rows})

    async def leave(self, request: web.Request) -> web.Response:
        """Leave a group."""
        body = msgspec.json.decode(await request.read())
        group = self.groups[body["Group"]]
        group.members.pop(body["Member"], None)
        self._assign_partitions(group)
        return json_response({})

    async def list_owners(self, request: web.Request) -> web.Response:
        """Return topic, partition, owner and offset of a group's partitions."""
        group = self.groups[request.query["Group"]]
        self._assign_partitions(group)
        rows = [[group.topic, p, owner, 0] for p, owner in group.owners.items()]
        return json_response({"parts": rows})

    def _assign_partitions(self, group: Group) -> None:
        now = time.monotonic()
        alive = sorted(name for name, expiry in group.members.items() if expiry > now)
        group.members = {name: group.members[name] for name in alive}
        if not alive and not group.owners:
            return
        if (
            set(group.owners.values()) == set(alive)
            and len(group.owners) == self.partition_count
        ):
            return
        group.generation += 1
        # A partition stays with its owner as long as that member is alive.
        owners = {p: o for p, o in group.owners.items() if o in alive}
        for partition in range(self.partition_count):
            if partition not in owners and alive:
                owned = list(owners.values())
                owners[partition] = min(alive, key=owned.count)
        group.owners = owners

    async def _wait_for_records(
        self, partition_key: tuple[str, int], start: int, wait_s: float
    ) -> None:
        def has_more() -> bool:
            return (
                self.first_offset[partition_key] + len(self.partitions[partition_key])
                > start
            )

        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(has_more)
        except TimeoutError:
            return


def split_records(data: bytes) -> list[bytes]:
    """Split the body of an append into its length-prefixed records."""
    records = []
    position = 0
    while position < len(data):
        begin = position + LENGTH_BYTES
        position = begin + int.from_bytes(data[position:begin], "big")
        records.append(data[begin:position])
    return records
