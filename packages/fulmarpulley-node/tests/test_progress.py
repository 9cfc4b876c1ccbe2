"""Check the order and completeness of tokens passed between nodes."""

import asyncio
import unittest

from fulmarpulley_node.progress import Progress, spans_of
from fulmarpulley_schema.generated.http import Span
from fulmarpulley_schema.generated.peer import WorkTokens


def work_tokens(start: int, *tokens: str) -> WorkTokens:
    return WorkTokens(start=start, tokens=list(tokens), versions=[1] * len(tokens))


class ProgressTest(unittest.IsolatedAsyncioTestCase):
    async def test_apply_with_repeated_tokens_adds_them_once(self) -> None:
        # Guards against duplicate tokens when a reply is received twice.
        progress = Progress()
        progress.apply(work_tokens(0, "a", "b"))
        progress.apply(work_tokens(0, "a", "b"))
        progress.apply(work_tokens(1, "b", "c"))
        self.assertEqual(progress.tokens, ["a", "b", "c"])
        self.assertIsNone(progress.replaced_from)

    async def test_replace_with_tokens_of_winning_attempt_drops_rest(self) -> None:
        # Guards against an answer that mixes the tokens of two attempts.
        progress = Progress()
        progress.apply(work_tokens(0, "a", "b", "c"))
        progress.replace(1, ["x"], [2])
        progress.finish("e1")
        self.assertEqual(progress.tokens, ["a", "x"])
        state = progress.state(3)
        assert state.tokens is not None
        self.assertEqual((state.tokens.start, state.tokens.tokens), (1, ["x"]))

    async def test_apply_state_after_replacement_replaces_tokens(self) -> None:
        source, reader = Progress(), Progress()
        source.apply(work_tokens(0, "a", "b"))
        reader.apply_state(source.state(0))
        source.replace(1, ["x", "y"], [2, 2])
        source.finish("e1")
        reader.apply_state(source.state(len(reader.tokens)))
        self.assertEqual(reader.tokens, ["a", "x", "y"])
        self.assertTrue(reader.done)

    async def test_wait_returns_at_end_without_lingering(self) -> None:
        # Guards against a finished answer that waits for further tokens.
        progress = Progress()
        waiting = asyncio.create_task(progress.wait(0, 60.0, 60.0))
        await asyncio.sleep(0)
        progress.append("a", 1)
        await asyncio.sleep(0)
        progress.finish("e1")
        state = await asyncio.wait_for(waiting, 30.0)
        self.assertTrue(state.done)

    async def test_wait_without_tokens_times_out(self) -> None:
        state = await Progress().wait(0, 0.01, 0.01)
        self.assertFalse(state.done)

    async def test_spans_of_versions_are_runs_of_equal_versions(self) -> None:
        spans = spans_of([1, 1, 2])
        expected = [Span(version=1, tokens=2), Span(version=2, tokens=1)]
        self.assertEqual(spans, expected)
        # A token of unknown version must not get the version of its neighbour.
        self.assertEqual(spans_of([1, None]), [])
