"""Test that work which must last as long as its owner is restarted."""

import asyncio
import unittest

from fulmarpulley_node.background_tasks import BackgroundTasks, notify_all

TIMEOUT_S = 30.0


class SuperviseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one exception that ends work for the life of the process."""

    async def test_supervised_work_runs_again_after_an_exception(self) -> None:
        starts = 0
        recovered = asyncio.Event()

        async def work() -> None:
            nonlocal starts
            starts += 1
            if starts <= 2:
                raise RecursionError("nested too deeply")
            recovered.set()
            await asyncio.Event().wait()

        tasks = BackgroundTasks()
        tasks.supervise(work)
        async with asyncio.timeout(TIMEOUT_S):
            await recovered.wait()
        await tasks.stop()
        self.assertEqual(tasks.tasks, set())

    async def test_supervised_work_that_returns_is_not_run_again(self) -> None:
        starts = 0

        async def work() -> None:
            nonlocal starts
            starts += 1

        async with asyncio.timeout(TIMEOUT_S):
            await BackgroundTasks().supervise(work)
        self.assertEqual(starts, 1)


class NotifyTest(unittest.TestCase):
    def test_listeners_after_one_that_raises_are_called(self) -> None:
        calls: list[str] = []

        def fail() -> None:
            calls.append("first")
            raise OverflowError("int too large to convert to float")

        notify_all([fail, lambda: calls.append("second")])
        self.assertEqual(calls, ["first", "second"])
