"""Run background tasks of a service and log their failures."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from .observe.events import log_event


class BackgroundTasks:
    """Own background tasks that run independently and are cancelled together."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task; an exception that ends it is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def stop(self) -> None:
        """Cancel all tasks but the current one and wait until they have ended."""
        tasks = [task for task in self.tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        exception = task.exception()
        if exception is not None:
            coroutine = task.get_coro()
            log_event(
                "task_failed", task=_qualified_name(coroutine), error=repr(exception)
            )


def _qualified_name(coroutine: Any) -> str:
    return str(getattr(coroutine, "__qualname__", coroutine))
