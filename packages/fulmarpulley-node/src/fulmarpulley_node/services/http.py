"""Call the platform's services over HTTP."""

from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from fulmarpulley_schema.codec import from_json, to_json
from fulmarpulley_schema.generated.document import Scoring
from fulmarpulley_schema.generated.settings import PlatformService
from fulmarpulley_schema.generated.upstream import (
    Instance,
    InstanceList,
    LogAppend,
    LogAppended,
    LogPage,
    ScoreRequest,
    ScoreResult,
)

from .dialects import (
    PlatformFailure,
    instance_list_dialects,
    log_dialects,
    scoring_dialects,
    weight_store_dialects,
)

T = TypeVar("T", bound=msgspec.Struct)


class HttpClient:
    """Call one service; a call that times out closes its connection."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        path: str,
        reply_type: type[T],
        body: msgspec.Struct | None = None,
        wait_s: float = 0.0,
    ) -> Result[T, PlatformFailure]:
        """Make one call; the time limit is the timeout plus the requested wait."""
        timeout = aiohttp.ClientTimeout(total=self.timeout_s + wait_s)
        data = to_json(body) if body is not None else None
        headers = {"Content-Type": "application/json"} if data is not None else {}
        try:
            async with self.session().request(
                method,
                self.address + path,
                data=data,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return _decode(response.status, await response.read(), reply_type)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(PlatformFailure.UNAVAILABLE)
        except TimeoutError:
            return Err(PlatformFailure.TIMED_OUT)
        except (aiohttp.ClientError, OSError):
            return Err(PlatformFailure.LOST)

    def session(self) -> aiohttp.ClientSession:
        """Return the session; the first call opens it."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


@log_dialects.register("http")
class HttpLog:
    """Implement the log's HTTP protocol."""

    def __init__(self, settings: PlatformService) -> None:
        self.client = HttpClient(settings.address, settings.timeout_s)

    async def append(
        self, stream: str, record_id: str, data: str
    ) -> Result[int, PlatformFailure]:
        """Append one record and return its offset; a failed call may have appended."""
        body = LogAppend(id=record_id, data=data)
        path = f"/streams/{stream}/records"
        result = await self.client.call("POST", path, LogAppended, body)
        return result.map(lambda reply: reply.offset)

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> Result[LogPage, PlatformFailure]:
        """Read a page from an offset on, waiting up to `wait_s` for a record."""
        query = f"from={start}&max={limit}&wait_s={wait_s}"
        path = f"/streams/{stream}/records?{query}"
        return await self.client.call("GET", path, LogPage, wait_s=wait_s)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()


@instance_list_dialects.register("http")
class HttpInstanceList:
    """Implement the instance list's HTTP protocol."""

    def __init__(self, settings: PlatformService) -> None:
        self.client = HttpClient(settings.address, settings.timeout_s)

    async def read(self) -> Result[list[Instance], PlatformFailure]:
        """Return all instances."""
        result = await self.client.call("GET", "/instances", InstanceList)
        return result.map(lambda reply: reply.instances)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()


@scoring_dialects.register("http")
class HttpScoring:
    """Implement the scoring service's HTTP protocol."""

    def __init__(self, settings: Scoring) -> None:
        self.client = HttpClient(settings.address, settings.timeout_s)

    async def score(self, prompt: str, text: str) -> Result[float, PlatformFailure]:
        """Return the score of one sample."""
        body = ScoreRequest(input=prompt, text=text)
        result = await self.client.call("POST", "/v1/score", ScoreResult, body)
        return result.map(lambda reply: reply.score)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()


@weight_store_dialects.register("http")
class HttpWeightStore:
    """Send no address to upstreams; they are configured with the store's."""

    def __init__(self, settings: PlatformService) -> None:
        self.address = settings.address

    def source(self, model: str, version: int) -> str:
        """Return an empty source, which stands for the configured store."""
        return ""


def _decode(
    status: int, body: bytes, reply_type: type[T]
) -> Result[T, PlatformFailure]:
    if status == 429:
        return Err(PlatformFailure.RATE_LIMITED)
    if status == 503:
        return Err(PlatformFailure.UNAVAILABLE)
    # The HTTP library also passes on statuses below 100, such as 000.
    if not 200 <= status < 300:
        return Err(PlatformFailure.LOST)
    try:
        return Ok(from_json(body, reply_type))
    except (msgspec.DecodeError, UnicodeError):
        return Err(PlatformFailure.MALFORMED)
