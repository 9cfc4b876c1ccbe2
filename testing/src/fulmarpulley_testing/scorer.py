"""Run a simulated service that scores samples."""

import defopt
import msgspec
import xxhash
from aiohttp import web

from fulmarpulley_schema.generated.upstream import ScoreRequest, ScoreResult

from .history import History
from .serving import add_control, decode_body, json_response, serve, sleep_if_positive


class ScorerFaults(msgspec.Struct):
    """Hold the faults of a scorer; errors apply to the next requests."""

    delay_s: float = 0.0
    errors: int = 0


class Scorer:
    """Score samples by a hash of their text."""

    def __init__(self) -> None:
        self.faults = ScorerFaults()

    async def score(self, request: web.Request) -> web.Response:
        """Return a deterministic score from 0 to 1."""
        sample = await decode_body(request, ScoreRequest)
        await sleep_if_positive(self.faults.delay_s)
        if self.faults.errors > 0:
            self.faults.errors -= 1
            return web.Response(status=500)
        digest = xxhash.xxh32_intdigest(f"{sample.input}\n{sample.text}".encode())
        return json_response(ScoreResult(score=digest / 0xFFFFFFFF))


def application(delay_s: float) -> web.Application:
    """Build the application of a scorer."""
    scorer = Scorer()
    scorer.faults.delay_s = delay_s
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.router.add_post("/v1/score", scorer.score)
    add_control(app, scorer, History())
    return app


def main(*, port: int, delay_s: float = 0.01) -> None:
    """Run a scorer."""
    serve(application(delay_s), port)


if __name__ == "__main__":
    defopt.run(main)
