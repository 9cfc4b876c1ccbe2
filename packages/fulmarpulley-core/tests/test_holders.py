from typing import Any
from unittest import TestCase

from fulmarpulley_core.configuration import ConfigFold
from fulmarpulley_core.holders import holders
from fulmarpulley_core.ids import Offset, RecordId, ServiceName
from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.records import Record, RecordKind

Edit = tuple[str, int, list[str]]

SHARED = "http://10.0.0.7:80"
OTHER = "http://10.0.0.8:80"


def change(service: str, base: int, addresses: list[str]) -> Record:
    upstreams = [{"id": address, "address": address} for address in addresses]
    body: dict[str, Any] = {"service": service, "base_revision": base, "author": "a"}
    body["document"] = {"name": service, "upstreams": upstreams}
    return Record(
        record_id=f"{service}-{base}-{len(addresses)}",
        kind=RecordKind.CHANGE,
        body=body,
    )


def folded(*edits: Edit) -> ConfigFold:
    fold = ConfigFold()
    fold.start_at(Offset(1))
    for offset, edit in enumerate(edits, 1):
        fold.apply(Offset(offset), change(*edit))
    return fold


class HoldersTest(TestCase):
    """Guards against an upstream that two services use at the same time."""

    def holder(self, fold: ConfigFold, address: str = SHARED) -> str | None:
        return holders(fold.documents()).get(address)

    def test_first_accepted_change_that_names_it_holds_it(self) -> None:
        fold = folded(("south", 0, [SHARED]), ("north", 0, [SHARED]))
        self.assertEqual(self.holder(fold), "south")

    def test_unrelated_edit_of_the_holder_keeps_it(self) -> None:
        edits: list[Edit] = [("south", 0, [SHARED]), ("north", 0, [SHARED])]
        fold = folded(*edits, ("south", 1, [SHARED, OTHER]))
        self.assertEqual(self.holder(fold), "south")
        self.assertEqual(self.holder(fold, OTHER), "south")

    def test_dropped_upstream_goes_to_the_other_and_stays_there(self) -> None:
        edits: list[Edit] = [("south", 0, [SHARED]), ("north", 0, [SHARED])]
        fold = folded(*edits, ("south", 1, []), ("south", 3, [SHARED]))
        self.assertEqual(self.holder(fold), "north")

    def test_reader_that_starts_at_a_snapshot_agrees(self) -> None:
        edits: list[Edit] = [("south", 0, [SHARED]), ("north", 0, [SHARED])]
        fold = folded(*edits, ("south", 1, [SHARED, OTHER]))
        late = ConfigFold()
        late.start_at(Offset(4))
        for offset, snapshot in enumerate(fold.snapshots(), 4):
            body = to_builtins(snapshot)
            record = Record(
                record_id=RecordId(f"s{offset}"), kind=RecordKind.SNAPSHOT, body=body
            )
            late.apply(Offset(offset), record)
        self.assertTrue(late.complete)
        self.assertEqual(holders(late.documents()), holders(fold.documents()))

    def test_document_without_a_list_of_upstreams_holds_nothing(self) -> None:
        fold = folded(("south", 0, [SHARED]))
        accepted = fold.accepted(ServiceName("south"))
        assert accepted is not None
        for document in (
            [],
            None,
            {"upstreams": 7},
            {"upstreams": [1, {"address": 2}]},
        ):
            strange = type(accepted)(
                service=ServiceName("x"),
                revision=accepted.revision,
                author="a",
                document=document,
            )
            self.assertEqual(holders([strange]), {})
