"""Decode what workers report to run."""

import msgspec

from fulmarpulley_core.ids import ItemId
from fulmarpulley_schema.codec import from_json

from .wire import RunEntry

# A worker has some dozen slots. Other writers may list any number of runs.
MAX_RUNS = 4096


def decode_runs(data: msgspec.Raw) -> list[ItemId]:
    """Return the ids of the first listed runs, without odd ones.

    :raises msgspec.DecodeError: if there is no list of runs
    """
    items: list[ItemId] = []
    for row in from_json(bytes(data), list[msgspec.Raw])[:MAX_RUNS]:
        try:
            items.append(ItemId(from_json(bytes(row), RunEntry).request_id))
        except msgspec.DecodeError:
            continue
    return items
