"""Index the tokens that engines generated and the requests that upstreams ran."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from fulmarpulley_schema.generated.http import Span

from .findings import Fault
from .history import CallExecuted, Entry, RunEnded, RunStarted, SpanStarted
from .tokens import Token, generation_length, parse, prompt_hash


class Generation(msgspec.Struct, kw_only=True):
    """Hold a generated text with its version spans, as a client received it."""

    prompt: str
    max_tokens: int
    text: str
    count: int
    spans: list[Span]
    must_be_labelled: bool


class ExecutionIndex:
    """Look up which version generated a token, and when an input was executed."""

    def __init__(self, entries: Iterable[Entry]) -> None:
        self.times_by_input: defaultdict[str, list[float]] = defaultdict(list)
        self.spans_by_generation: defaultdict[tuple[str, int], list[list[SpanStarted]]]
        self.spans_by_generation = defaultdict(list)
        self.token_counts: dict[tuple[str, int], int] = {}
        runs: defaultdict[tuple[str, int], list[SpanStarted]] = defaultdict(list)
        for entry in entries:
            if isinstance(entry, CallExecuted):
                self.times_by_input[entry.body].append(entry.at)
            elif isinstance(entry, RunStarted):
                self.times_by_input[entry.prompt].append(entry.at)
            elif isinstance(entry, SpanStarted):
                runs[entry.upstream, entry.run].append(entry)
            elif isinstance(entry, RunEnded):
                self.token_counts[entry.upstream, entry.run] = entry.count
        for spans in runs.values():
            self.spans_by_generation[
                prompt_hash(spans[0].prompt), spans[0].seed
            ].append(spans)

    def has_token(self, token: Token) -> bool:
        """Return whether an engine generated a token with the version that it names."""
        runs = self.spans_by_generation.get((token.prompt_hash, token.seed), [])
        return any(self._version_at(spans, token) == token.version for spans in runs)

    def _version_at(self, spans: list[SpanStarted], token: Token) -> int | None:
        end = self.token_counts.get((spans[0].upstream, spans[0].run))
        if end is not None and token.position >= end:
            return None
        started = [span.version for span in spans if span.index <= token.position]
        return started[-1] if started else None


def find_fault(
    generation: Generation, executed: ExecutionIndex
) -> tuple[Fault, str] | None:
    """Return the first fault of a text, as a sample fault with its details, or None."""
    tokens = parse(generation.text)
    if not tokens:
        return (
            Fault.CUT_SAMPLE,
            f"truncated or malformed token: {generation.text[-80:]!r}",
        )
    first = tokens[0]
    if any(token.prompt_hash != prompt_hash(generation.prompt) for token in tokens):
        return Fault.FOREIGN_SAMPLE, "contains tokens of another prompt"
    if any(token.seed != first.seed for token in tokens):
        return Fault.FOREIGN_SAMPLE, "contains tokens of several seeds"
    positions = [token.position for token in tokens]
    length = generation_length(generation.prompt, first.seed, generation.max_tokens)
    if positions != list(range(length)) or generation.count != length:
        detail = f"{len(tokens)} tokens, count {generation.count}, expected {length}"
        return Fault.CUT_SAMPLE, detail
    return _find_label_fault(generation, tokens, executed)


def _find_label_fault(
    generation: Generation, tokens: list[Token], executed: ExecutionIndex
) -> tuple[Fault, str] | None:
    invented = [token for token in tokens if not executed.has_token(token)]
    if invented:
        return Fault.FOREIGN_SAMPLE, f"no engine generated {invented[0]}"
    if not generation.spans and not generation.must_be_labelled:
        return None
    labels = [span.version for span in generation.spans for _ in range(span.tokens)]
    actual = [token.version for token in tokens]
    if labels != actual:
        return (
            Fault.MISLABELLED,
            f"spans {generation.spans} do not match token versions {actual}",
        )
    return None
