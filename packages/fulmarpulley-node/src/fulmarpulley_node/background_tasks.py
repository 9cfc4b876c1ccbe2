"""Run background tasks of a service and log their failures."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from .observe.events import log_event

# The delay doubles with each failure, so that work which fails at once does not keep
# the node and the services that it calls busy.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 3.2
# Work that has run for this long before it fails is restarted after the shortest delay.
SOUND_RUN_S = 10.0
MAX_LOGGED_ERROR_LENGTH = 300


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

    def supervise(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[None]:
        """Run work that must not end before its owner; restart it after an exception.

        An unexpected exception, for example from one odd record, would otherwise end
        the work for as long as the process lives.
        """
        return self.spawn(_run_supervised(work))

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
            log_failure("task_failed", coroutine, exception)


async def _run_supervised(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    loop = asyncio.get_running_loop()
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_at = loop.time()
        try:
            await work()
            return
        except Exception as error:
            log_failure("task_restarted", work, error)
        if loop.time() > started_at + SOUND_RUN_S:
            delay_s = MIN_RESTART_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)


def notify_all(listeners: Iterable[Callable[..., None]], *change: Any) -> None:
    """Call all listeners; log the exception of one and call the others."""
    for listener in list(listeners):
        try:
            listener(*change)
        except Exception as error:
            log_failure("listener_failed", listener, error)


def log_failure(event: str, work: Any, error: BaseException, **fields: Any) -> None:
    """Log an unexpected exception of a function or coroutine."""
    name = str(getattr(work, "__qualname__", work))
    text = repr(error)[:MAX_LOGGED_ERROR_LENGTH]
    log_event(event, task=name, error=text, **fields)
