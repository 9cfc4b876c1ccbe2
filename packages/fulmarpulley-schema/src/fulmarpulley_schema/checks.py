"""Check what the schema of a service document cannot express."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from .generated.document import ServiceDocument, ServiceKind
from .generated.http import Finding

Check = Callable[[ServiceDocument], Iterator[Finding]]

_CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check of service documents."""
    _CHECKS.append(function)
    return function


def check_document(document: ServiceDocument) -> list[Finding]:
    """Run all checks and return their findings together."""
    return [finding for run in _CHECKS for finding in run(document)]


@check
def unique_upstreams(document: ServiceDocument) -> Iterator[Finding]:
    """Find upstream ids that are used twice."""
    names = [upstream.id for upstream in document.upstreams]
    yield from _find_duplicates("$.upstreams", "id", names)


@check
def unique_trainers(document: ServiceDocument) -> Iterator[Finding]:
    """Find trainer ids that are used twice."""
    names = [trainer.id for trainer in document.trainers]
    yield from _find_duplicates("$.trainers", "id", names)


@check
def unique_classes(document: ServiceDocument) -> Iterator[Finding]:
    """Find class names that are used twice."""
    names = [entry.name for entry in document.classes]
    yield from _find_duplicates("$.classes", "name", names)


@check
def trainers_match_kind(document: ServiceDocument) -> Iterator[Finding]:
    """Find a training service without trainers and a desk with trainers."""
    if document.kind is ServiceKind.TRAINING and not document.trainers:
        yield Finding(
            path="$.trainers", message="a training service needs at least one trainer"
        )
    if document.kind is ServiceKind.DESK and document.trainers:
        yield Finding(path="$.trainers", message="a desk has no trainers; remove them")


@check
def training_uses_engines(document: ServiceDocument) -> Iterator[Finding]:
    """Find plain upstreams in a training service; they report no versions."""
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
