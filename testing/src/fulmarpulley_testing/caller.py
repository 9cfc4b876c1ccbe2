"""Generate the load of a caller and record its requests and answers."""

import asyncio
import random
import time
from collections import Counter

import defopt
import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from .caller_client import Invocation, Outcome
from .history import History, Invoked
from .node_client import NodeClient

MAX_LATENCY_US = 3_600_000_000
PERCENTILES = (50, 90, 99, 99.9)


class LoadSettings(msgspec.Struct, kw_only=True):
    """Configure the load on one service."""

    service: str
    dialect: str
    name: str
    count: int
    rate: float
    seed: int
    stream_ratio: float
    keyed_ratio: float
    not_repeatable_ratio: float
    max_tokens: int
    patience_s: float
    read_timeout_s: float


class Caller:
    """Send requests at exponentially distributed intervals from a seed."""

    def __init__(
        self, settings: LoadSettings, client: NodeClient, history: History
    ) -> None:
        self.settings = settings
        self.client = client
        self.history = history
        self.random = random.Random(settings.seed)
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.outcomes: Counter[Outcome] = Counter()

    async def run(self) -> None:
        """Send all requests and wait until each has ended."""
        async with asyncio.TaskGroup() as group:
            for number in range(self.settings.count):
                await asyncio.sleep(self.random.expovariate(self.settings.rate))
                group.create_task(self.measure(self.build_invocation(number)))

    def build_invocation(self, number: int) -> Invocation:
        """Build one request with random properties."""
        settings = self.settings
        random_values = [self.random.random() for _ in range(3)]
        name = f"{settings.name}/{settings.seed}/{number}"
        invoked = Invoked(
            caller=settings.name,
            invocation=name,
            service=settings.service,
            dialect=settings.dialect,
            input=f"request {name}",
            max_tokens=settings.max_tokens,
            repeatable=random_values[0] >= settings.not_repeatable_ratio,
        )
        invocation = Invocation(self.client, self.history, invoked, settings.patience_s)
        invocation.request.stream = random_values[1] < settings.stream_ratio
        if invoked.repeatable and random_values[2] < settings.keyed_ratio:
            invocation.request.key = f"key-{name}"
        return invocation

    async def measure(self, invocation: Invocation) -> None:
        """Run one request and record its latency and outcome."""
        started = time.monotonic()
        outcome = await invocation.run()
        self.outcomes[outcome] += 1
        self.latencies.record_value(int((time.monotonic() - started) * 1e6) + 1)

    def summary(self) -> str:
        """Return one line with outcome counts and latency percentiles in ms."""
        parts = [f"{name}={count}" for name, count in sorted(self.outcomes.items())]
        for percentile in PERCENTILES:
            value = self.latencies.get_value_at_percentile(percentile) / 1000
            parts.append(f"p{percentile:g}_ms={value:.1f}")
        return " ".join(["caller", *parts])


async def load(settings: LoadSettings, nodes: list[str], history: History) -> str:
    """Generate a load and return its summary."""
    client = NodeClient(nodes, settings.seed, settings.read_timeout_s)
    caller = Caller(settings, client, history)
    try:
        await caller.run()
    finally:
        await client.close()
    return caller.summary()


def main(
    *,
    nodes: list[str],
    service: str,
    dialect: str = "engine",
    name: str = "caller",
    count: int = 100,
    rate: float = 20.0,
    seed: int = 1,
    stream_ratio: float = 0.5,
    keyed_ratio: float = 0.3,
    not_repeatable_ratio: float = 0.0,
    max_tokens: int = 64,
    patience_s: float = 60.0,
    read_timeout_s: float = 10.0,
    history: str = "",
) -> None:
    """Send requests to a service and print outcomes and latency percentiles."""
    settings = LoadSettings(
        service=service,
        dialect=dialect,
        name=name,
        count=count,
        rate=rate,
        seed=seed,
        stream_ratio=stream_ratio,
        keyed_ratio=keyed_ratio,
        not_repeatable_ratio=not_repeatable_ratio,
        max_tokens=max_tokens,
        patience_s=patience_s,
        read_timeout_s=read_timeout_s,
    )
    print(uvloop.run(load(settings, nodes, History(history))))


if __name__ == "__main__":
    defopt.run(main)
