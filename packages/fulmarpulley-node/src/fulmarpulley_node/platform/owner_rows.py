"""Decode the list of a group's partitions and their owners."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from fulmarpulley_schema.codec import from_json

from ..observe.events import log_event
from ..rollout.interfaces import PartitionOwner, StoreFailure

ROWS_FIELD = "parts"


class OwnerRow(msgspec.Struct, array_like=True):
    """Hold an owned partition; further columns are ignored."""

    topic: str
    partition: int
    member: str


def decode_owners(
    body: bytes, topic: str
) -> Result[list[PartitionOwner], StoreFailure]:
    """Return the owners of a topic's partitions.

    Rows are also taken from another field if it holds the only list. An answer with
    rows of which none can be decoded is a failure, since no owner would be seen.
    """
    try:
        rows = _find_rows(from_json(body, dict[str, Any]))
    except msgspec.DecodeError as error:
        log_event("store_answer_unreadable", kind="owners", error=str(error))
        return Err(StoreFailure.UNKNOWN)
    if rows is None:
        log_event("store_answer_unreadable", kind="owners", error="no list of rows")
        return Err(StoreFailure.UNKNOWN)
    decoded = [row for row in map(_decode_row, rows) if row is not None]
    if rows and not decoded:
        return Err(StoreFailure.UNKNOWN)
    return Ok(
        [
            PartitionOwner(row.partition, row.member)
            for row in decoded
            if row.topic == topic and row.member
        ]
    )


def _find_rows(reply: dict[str, Any]) -> list[Any] | None:
    named = reply.get(ROWS_FIELD)
    if isinstance(named, list):
        return named
    lists = [value for value in reply.values() if isinstance(value, list)]
    return lists[0] if len(lists) == 1 else None


def _decode_row(row: Any) -> OwnerRow | None:
    try:
        return msgspec.convert(row, OwnerRow)
    except msgspec.ValidationError as error:
        log_event("store_item_unreadable", error=str(error))
        return None
