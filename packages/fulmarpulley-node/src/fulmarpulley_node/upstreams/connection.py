"""Send requests that must not be repeated and classify their failures."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from msgspec import Struct

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_schema.codec import to_json

from .dialects import AttemptEnd

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 5.0
# The HTTP library also passes on other numbers of three digits, such as 000.
FINAL_STATUSES = range(200, 600)


class AttemptFailure(Exception):
    """Propagate the failure of an attempt through nested calls."""

    def __init__(self, end: AttemptEnd) -> None:
        super().__init__(end.reason)
        self.end = end


class Connection:
    """Own the connections to one upstream."""

    def __init__(self, address: str, keep_alive: bool = True) -> None:
        self.address = address
        self.keep_alive = keep_alive
        self._session: aiohttp.ClientSession | None = None

    @asynccontextmanager
    async def post(
        self, path: str, body: Struct, timeout_s: float
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send one POST and yield its successful response, or raise AttemptFailure.

        A connection is kept alive only if the whole response was read without errors.
        `timeout_s` limits the time between two reads.
        """
        response = await self.send(path, body, timeout_s)
        try:
            check_status(response)
            yield response
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _broken_attempt(error) from error
        except AttemptFailure:
            raise
        else:
            if response.content.at_eof():
                response.release()
                return
        finally:
            if not response.content.at_eof():
                response.close()

    async def send(
        self, path: str, body: Struct, timeout_s: float
    ) -> aiohttp.ClientResponse:
        """Send one POST and return the response head, or raise AttemptFailure."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=timeout_s
        )
        try:
            return await self.session().post(
                self.address + path,
                data=to_json(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise AttemptFailure(_attempt_end(Failure.NOT_SENT, error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _broken_attempt(error) from error

    async def get(self, path: str) -> bytes:
        """Return the body of a GET; raise aiohttp.ClientError or TimeoutError."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with self.session().get(
            self.address + path, timeout=timeout, allow_redirects=False
        ) as response:
            response.raise_for_status()
            if response.status not in FINAL_STATUSES:
                raise aiohttp.ClientPayloadError(_status_reason(response))
            return await response.read()

    def session(self) -> aiohttp.ClientSession:
        """Return the session; the first call opens it."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=not self.keep_alive)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


def check_status(response: aiohttp.ClientResponse) -> None:
    """Raise AttemptFailure unless the response has status 200.

    In the upstream protocol, 429 and 503 mean that the request was not run.
    """
    if response.status == 200:
        return
    reason = _status_reason(response)
    if response.status not in FINAL_STATUSES:
        raise AttemptFailure(AttemptEnd(Failure.BROKEN, reason))
    refused = response.status in {429, 503}
    failure = Failure.REFUSED if refused else Failure.ERRORED
    raise AttemptFailure(AttemptEnd(failure, reason, _retry_after(response)))


def _status_reason(response: aiohttp.ClientResponse) -> str:
    return f"upstream responded with status {response.status:03}"


def _retry_after(response: aiohttp.ClientResponse) -> float | None:
    text = response.headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else None


def _broken_attempt(error: BaseException) -> AttemptFailure:
    return AttemptFailure(_attempt_end(Failure.BROKEN, error))


def _attempt_end(failure: Failure, error: BaseException) -> AttemptEnd:
    return AttemptEnd(failure, f"{type(error).__name__}: {error}")
