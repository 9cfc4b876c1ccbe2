"""Check rules of service documents that JSON Schema cannot express."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from .generated.document import ServiceDocument, ServiceKind
from .generated.http import Finding

Check = Callable[[ServiceDocument], Iterator[Finding]]

_CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check that `check_document` runs."""
    _CHECKS.append(function)
    return function


def check_document(document: ServiceDocument) -> list[Finding]:
    """Run all registered checks and return all their findings."""
    return [finding for run in _CHECKS for finding in run(document)]


@check
def unique_upstreams(document: ServiceDocument) -> Iterator[Finding]:
    """Report duplicate upstream ids."""
    names = [upstream.id for upstream in document.upstreams]
    yield from _find_duplicates("$.upstreams", "id", names)


@check
def unique_trainers(document: ServiceDocument) -> Iterator[Finding]:
    """Report duplicate trainer ids."""
    names = [trainer.id for trainer in document.trainers]
    yield from _find_duplicates("$.trainers", "id", names)


@check
def unique_classes(document: ServiceDocument) -> Iterator[Finding]:
    """Report duplicate class names."""
    names = [entry.name for entry in document.classes]
    yield from _find_duplicates("$.classes", "name", names)


@check
def trainers_match_kind(document: ServiceDocument) -> Iterator[Finding]:
    """Report a training service without trainers and a desk with trainers."""
    if document.kind is ServiceKind.TRAINING and not document.trainers:
        yield Finding(
            path="$.trainers", message="a training service needs at least one trainer"
        )
    if document.kind is ServiceKind.DESK and document.trainers:
        yield Finding(path="$.trainers", message="a desk must not have trainers")


@check
def training_uses_engines(document: ServiceDocument) -> Iterator[Finding]:
    """Report upstreams of a training service that report no weight versions."""
    if document.kind is not ServiceKind.TRAINING:
        return
    for index, upstream in enumerate(document.upstreams):
        if upstream.dialect == "plain":
            yield Finding(
                path=f"$.upstreams[{index}].dialect",
                message="a training service needs upstreams that report versions",
            )


def _find_duplicates(path: str, field: str, names: Iterable[str]) -> Iterator[Finding]:
    listed = list(names)
    counts = Counter(listed)
    for index, name in enumerate(listed):
        if counts[name] > 1:
            yield Finding(
                path=f"{path}[{index}].{field}",
                message=f"{name!r} is used {counts[name]} times",
            )
