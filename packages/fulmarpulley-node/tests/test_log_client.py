"""Check the log client during outages, lost responses and overload of the log."""

import asyncio
import unittest

from result import Err, Ok, Result
from test_peers import settings

from fulmarpulley_node.log_client import LogClient, new_record, read_record
from fulmarpulley_node.observe.metrics import Metrics
from fulmarpulley_node.services.dialects import PlatformFailure
from fulmarpulley_schema.generated.records import ClaimEntry, RecordKind
from fulmarpulley_schema.generated.settings import LogBudget
from fulmarpulley_schema.generated.upstream import LogPage


class FakeLog:
    """Store appended records and return the configured failures first."""

    def __init__(self) -> None:
        self.failures: list[PlatformFailure] = []
        self.data: list[str] = []

    async def append(
        self, stream: str, record_id: str, data: str
    ) -> Result[int, PlatformFailure]:
        if self.failures:
            return Err(self.failures.pop(0))
        self.data.append(data)
        return Ok(len(self.data))

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> Result[LogPage, PlatformFailure]:
        return Ok(LogPage(first=1, next=1, records=[]))

    async def close(self) -> None:
        return


def claim(key: str) -> ClaimEntry:
    return ClaimEntry(service="s", key=key, fingerprint="f", holder="n", claim_id=key)


class LogClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        node = settings("n", 1)
        node.log_budget = LogBudget(appends_per_s=1000.0)
        self.client = LogClient(node, Metrics())
        self.fake = FakeLog()
        self.client.dialect = self.fake

    async def test_concurrent_claims_share_one_record(self) -> None:
        # The log accepts only a few hundred appends a second, so an append for each
        # claim would exhaust the budget.
        calls = [self.client.append_claim("claims-1", claim(str(n))) for n in range(20)]
        results = await asyncio.gather(*calls)
        self.assertEqual({result.unwrap() for result in results}, {1})
        record = read_record(self.fake.data[0]).unwrap()
        self.assertEqual(len(record.body["entries"]), 20)

    async def test_append_is_retried_when_rate_limited(self) -> None:
        self.fake.failures = [PlatformFailure.RATE_LIMITED]
        record = new_record(RecordKind.VERSION, {})
        self.assertEqual(await self.client.append("versions", record), Ok(1))

    async def test_append_is_not_retried_when_response_is_lost(self) -> None:
        # The append may have taken effect; only reading the log can tell.
        self.fake.failures = [PlatformFailure.LOST]
        record = new_record(RecordKind.VERSION, {})
        result = await self.client.append("versions", record)
        self.assertEqual(result, Err(PlatformFailure.LOST))
        self.assertEqual(self.fake.data, [])
