"""Decide from the reports of engines whether another node has replaced an owner.

An owner that cannot reach the store does not know whether all nodes are cut off from it
or whether only this one is and another node has taken its partition over. Engines tell:
one that runs an item of the partition which this owner is not running there runs it for
the new owner.

Load that it answers: two owners that run 200 items each on the same engines, so that
half of the slots do work that nobody can list.
"""

from collections.abc import Sequence, Set
from itertools import islice

import msgspec

from ..ids import ItemId, UpstreamId

# Reports are some hundred milliseconds old, so they may list a run that has just ended.
COMPLETED_SHIELD_S = 1.0
# An engine may go on with an aborted run for as long as it is frozen or cut off, and
# reports it when it is back.
ABORTED_SHIELD_S = 30.0
# An earlier owner that is cut off itself may run its items for 15 s beside this one.
PREDECESSOR_TIMEOUT_S = 20.0
# A node has some dozen attempts a second, most of which complete.
MAX_ENDED_RUNS = 4096
ENGINES_PER_CHECK = 2


class EngineRun(msgspec.Struct, frozen=True):
    """Name an item and the engine that runs it."""

    engine: UpstreamId
    item_id: ItemId


class RunReport(msgspec.Struct, frozen=True):
    """Hold the items that an engine reports to run, and when it was asked."""

    engine: UpstreamId
    items: Sequence[ItemId]
    asked_at: float


class EndedRuns:
    """Remember which runs of this owner reports may still list."""

    def __init__(self) -> None:
        self._shielded_until: dict[EngineRun, float] = {}

    def record(self, run: EngineRun, aborted: bool, now: float) -> None:
        """Record the end of a run.

        :param aborted: whether the engine may not have noticed the end yet
        """
        shield_s = ABORTED_SHIELD_S if aborted else COMPLETED_SHIELD_S
        until = max(now + shield_s, self._shielded_until.pop(run, 0.0))
        self._shielded_until[run] = until
        if len(self._shielded_until) > MAX_ENDED_RUNS:
            self._drop_expired(now)

    def may_be_listed(self, run: EngineRun, asked_at: float) -> bool:
        """Return whether a report may list a run although it has ended."""
        return self._shielded_until.get(run, float("-inf")) >= asked_at

    def _drop_expired(self, now: float) -> None:
        kept = {run: at for run, at in self._shielded_until.items() if at >= now}
        # The oldest half goes if all are current, so that this is seldom done.
        excess = len(kept) - MAX_ENDED_RUNS // 2
        self._shielded_until = dict(islice(kept.items(), max(0, excess), None))


class OwnerRuns(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an owner knows of its items.

    :param items: items of its open steps
    :param running: its current runs
    :param inherited: items that an earlier owner knew
    :param owned_since: time at which its tenure began
    """

    items: Set[ItemId]
    running: Set[EngineRun]
    ended: EndedRuns
    inherited: Set[ItemId]
    owned_since: float


def find_replacement(report: RunReport, owner: OwnerRuns) -> ItemId | None:
    """Return an item that only another owner can be running, or None."""
    predecessor_runs = report.asked_at < owner.owned_since + PREDECESSOR_TIMEOUT_S
    for item_id in report.items:
        if item_id not in owner.items:
            continue
        if predecessor_runs and item_id in owner.inherited:
            continue
        run = EngineRun(report.engine, item_id)
        if run not in owner.running and not owner.ended.may_be_listed(
            run, report.asked_at
        ):
            return item_id
    return None


def choose_engines(engines: Sequence[UpstreamId], last: UpstreamId) -> list[UpstreamId]:
    """Return the engines to ask next, in turn.

    :param last: the engine that was asked last
    """
    ordered = sorted(engines)
    later = [engine for engine in ordered if engine > last]
    return (later + ordered[: len(ordered) - len(later)])[:ENGINES_PER_CHECK]
