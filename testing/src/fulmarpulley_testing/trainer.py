"""Run a simulated trainer."""

import asyncio
import sys
import time

import aiohttp
import defopt
import uvloop

from fulmarpulley_schema.generated.http import VersionAnnouncement

from .history import History, TrainerIdle, VersionPublished
from .node_client import NodeClient
from .trainer_step import Step, TrainerSettings

STORE_RETRY_INTERVAL_S = 0.2


class Trainer:
    """Run training steps and announce a new version after each."""

    def __init__(
        self, settings: TrainerSettings, client: NodeClient, history: History
    ) -> None:
        self.settings = settings
        self.client = client
        self.history = history
        # Each step produces one version, including the steps of an earlier process.
        self.version = settings.first_step
        self.idle_s = 0.0

    async def run(self) -> bool:
        """Run all steps and return whether each was complete."""
        complete = True
        first = self.settings.first_step
        end = first + self.settings.steps
        step = await self.open(first)
        for number in range(first, end):
            started = time.monotonic()
            complete &= await step.collect(self.version)
            self.idle_s += time.monotonic() - started
            await step.close()
            last = number + 1 == end
            # Open the next step before training on this one, to keep the engines busy.
            next_step = step if last else await self.open(number + 1)
            await self.train(next_step)
            step = next_step
        idle = TrainerIdle(
            service=self.settings.service,
            trainer=self.settings.trainer,
            idle_s=self.idle_s,
        )
        self.history.add(idle)
        return complete

    async def open(self, number: int) -> Step:
        """Open a step with the current version."""
        step = Step(self.client, self.history, self.settings, number)
        await step.open(self.version)
        return step

    async def train(self, step: Step) -> None:
        """Simulate training, store the weights and announce the new version."""
        await asyncio.sleep(self.settings.train_s)
        await self.store_weights(self.version + 1)
        self.version += 1
        path = step.path.rpartition("/steps/")[0] + "/versions"
        body = VersionAnnouncement(version=self.version)
        await step.send_until_accepted("POST", path, body, self.settings.patience_s)
        published = VersionPublished(
            service=self.settings.service,
            trainer=self.settings.trainer,
            version=self.version,
        )
        self.history.add(published)

    async def store_weights(self, version: int) -> None:
        """Upload the weights, retrying until the store accepts them."""
        if not self.settings.weight_store:
            return
        path = f"/weights/{self.settings.model}/{version}"
        url = self.settings.weight_store + path
        data = bytes(self.settings.weight_bytes)
        while True:
            try:
                async with self.client.session.put(url, data=data) as answer:
                    if answer.status < 300:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)


async def train(
    settings: TrainerSettings, nodes: list[str], history: History
) -> Trainer | None:
    """Run a trainer; return None if a step did not complete."""
    client = NodeClient(nodes, settings.seed, settings.read_timeout_s)
    trainer = Trainer(settings, client, history)
    try:
        return trainer if await trainer.run() else None
    finally:
        await client.close()


def main(
    *,
    nodes: list[str],
    service: str,
    trainer: str,
    model: str = "model",
    first_step: int = 0,
    steps: int = 3,
    groups: int = 4,
    samples_per_group: int = 4,
    max_tokens: int = 64,
    bound: int = 2,
    train_s: float = 0.5,
    abandon_ratio: float = 0.1,
    patience_s: float = 60.0,
    read_timeout_s: float = 10.0,
    seed: int = 1,
    weight_store: str = "",
    weight_bytes: int = 1024,
    history: str = "",
) -> None:
    """Run training steps; exit with 1 if a step did not complete."""
    settings = TrainerSettings(
        service=service,
        trainer=trainer,
        model=model,
        first_step=first_step,
        steps=steps,
        groups=groups,
        samples_per_group=samples_per_group,
        max_tokens=max_tokens,
        bound=bound,
        train_s=train_s,
        abandon_ratio=abandon_ratio,
        patience_s=patience_s,
        read_timeout_s=read_timeout_s,
        seed=seed,
        weight_store=weight_store,
        weight_bytes=weight_bytes,
    )
    finished = uvloop.run(train(settings, nodes, History(history)))
    if finished is None:
        sys.exit("at least one step did not complete within patience_s")
    print(f"trainer steps={steps} idle_s={finished.idle_s:.3f}")


if __name__ == "__main__":
    defopt.run(main)
