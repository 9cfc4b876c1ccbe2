"""Score samples, retrying while the scoring service fails."""

import asyncio

from result import Ok

from fulmarpulley_schema.generated.document import Scoring

from ..observe.events import log_event
from ..services import scoring_dialects
from ..services.dialects import ScoringDialect

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Scorer:
    """Manage the connections to scoring services."""

    def __init__(self) -> None:
        self.dialects: dict[str, ScoringDialect] = {}

    async def score(self, scoring: Scoring, prompt: str, text: str) -> float:
        """Return the score of a sample, retrying with backoff without a limit.

        The caller cancels the call when the sample is no longer needed.
        """
        backoff_s = INITIAL_BACKOFF_S
        while True:
            result = await self._dialect(scoring).score(prompt, text)
            if isinstance(result, Ok):
                return result.ok_value
            log_event(
                "scoring_failed", address=scoring.address, reason=result.err_value
            )
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def close(self) -> None:
        """Close all connections."""
        for dialect in self.dialects.values():
            await dialect.close()

    def _dialect(self, scoring: Scoring) -> ScoringDialect:
        known = self.dialects.get(scoring.address)
        if known is None:
            known = scoring_dialects.get("http")(scoring)
            self.dialects[scoring.address] = known
        return known
