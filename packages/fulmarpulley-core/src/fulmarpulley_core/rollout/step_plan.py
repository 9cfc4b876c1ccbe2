"""Order the items of a step so that its trainer can continue as early as possible.

A trainer waits for a number of complete groups. The groups that are predicted to end
last start last, since the trainer does not wait for them. Among the items of the other
groups the longest start first, because the last one to end determines the duration.
"""

from collections.abc import Collection, Mapping, Sequence

from fulmarpulley_schema.generated.steps import ItemSpec

from ..ids import ItemId


def rank_items(
    items: Sequence[ItemSpec], target_groups: int, carried_groups: Collection[str]
) -> Mapping[ItemId, int]:
    """Return the rank of each item; the lowest starts first.

    :param carried_groups: groups of an earlier step, for which the trainer always waits
    """
    groups: dict[str, list[ItemSpec]] = {}
    for item in items:
        groups.setdefault(item.group, []).append(item)
    by_length = sorted(
        groups,
        key=lambda name: (name not in carried_groups, _group_length(groups[name])),
    )
    awaited_count = (
        max(target_groups, len(carried_groups)) if target_groups else len(groups)
    )
    first = [item for name in by_length[:awaited_count] for item in groups[name]]
    rest = [item for name in by_length[awaited_count:] for item in groups[name]]
    first.sort(key=lambda item: -predicted_length(item))
    return {ItemId(item.item_id): rank for rank, item in enumerate(first + rest)}


def predicted_length(item: ItemSpec) -> int:
    """Return the number of tokens that an item is expected to generate."""
    return min(item.length_hint or item.max_tokens, item.max_tokens)


def _group_length(items: Sequence[ItemSpec]) -> int:
    return max(predicted_length(item) for item in items)
