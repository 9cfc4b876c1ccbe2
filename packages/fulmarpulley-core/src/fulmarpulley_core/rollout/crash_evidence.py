"""Decide which requests crash the upstreams that run them.

When an upstream crashes, each of its requests is suspected. The one that did it shares
all of its crashes and never completes; other requests share one by chance, or because
callers send the same request often.
"""

from collections.abc import Iterable

import msgspec

from ..ids import RequestDigest
from .stated_limits import Incarnation

# Crashes after which a request is blocked: the first number if no other suspect is as
# likely to have caused them, the second one in any case.
MIN_CLEAR_CRASHES = 2
MIN_CRASHES = 3
# A request that has completed this recently is not suspected beside one that has not.
COMPLETION_VALIDITY_S = 60.0
# Crashes of a completed request within this time count as one: several upstreams may
# crash at once while callers send the same request often.
EPISODE_S = 1.0
CRASH_LIFETIME_S = 600.0
# These bound the memory, also against callers that crash upstreams on purpose.
MAX_CRASHES = 512
MAX_REQUESTS_PER_CRASH = 64
MAX_COMPLETIONS = 4096


class Crash(msgspec.Struct):
    """Hold the requests at one start of an upstream when it crashed.

    :param suspects: requests that had not completed before, as far as is known
    :param completed: requests that had completed shortly before
    """

    at_s: float
    suspects: set[RequestDigest]
    completed: set[RequestDigest]


class CrashEvidence:
    """Hold recent crashes and completions, and derive the requests to block."""

    def __init__(self) -> None:
        self.crashes: dict[Incarnation, Crash] = {}
        self._crashes_of: dict[RequestDigest, set[Incarnation]] = {}
        self._completed_at_s: dict[RequestDigest, float] = {}

    def record_crash(
        self, upstream: Incarnation, requests: Iterable[RequestDigest], at_s: float
    ) -> set[RequestDigest]:
        """Record that an upstream crashed while it had these requests.

        Return all requests whose state this may change.
        """
        crash = self.crashes.get(upstream)
        if crash is None:
            crash = self.crashes[upstream] = Crash(at_s, set(), set())
            if len(self.crashes) > MAX_CRASHES:
                self._remove(next(iter(self.crashes)))
        for request in requests:
            if len(crash.suspects) + len(crash.completed) >= MAX_REQUESTS_PER_CRASH:
                break
            if upstream in self._crashes_of.get(request, ()):
                continue
            self._crashes_of.setdefault(request, set()).add(upstream)
            recent = self._has_completed(request, crash.at_s)
            (crash.completed if recent else crash.suspects).add(request)
        return self._affected_by(crash.suspects | crash.completed)

    def record_completion(
        self, request: RequestDigest, at_s: float
    ) -> set[RequestDigest]:
        """Record that an upstream answered a request, which caused no crash before.

        Return all requests whose state this may change; none if it was not suspected.
        """
        at_s = max(at_s, self._completed_at_s.pop(request, at_s))
        self._completed_at_s[request] = at_s
        if len(self._completed_at_s) > MAX_COMPLETIONS:
            del self._completed_at_s[next(iter(self._completed_at_s))]
        shared = self._crashes_of.get(request)
        if not shared:
            return set()
        affected = self._affected_by({request})
        for upstream in list(shared):
            crash = self.crashes[upstream]
            crash.suspects.discard(request)
            crash.completed.discard(request)
            if crash.at_s <= at_s:
                shared.discard(upstream)
            else:
                recent = self._has_completed(request, crash.at_s)
                (crash.completed if recent else crash.suspects).add(request)
        if not shared:
            del self._crashes_of[request]
        return affected

    def completed_at_s(self, request: RequestDigest) -> float | None:
        """Return when a request last completed, or None if that is not known."""
        return self._completed_at_s.get(request)

    def is_suspected(self, request: RequestDigest) -> bool:
        """Tell whether a request has shared a crash since it last completed."""
        return request in self._crashes_of

    def is_blocked(self, request: RequestDigest) -> bool:
        """Tell whether a request crashes upstreams and must not be sent."""
        shared = self._crashes_of.get(request)
        if shared is None:
            return False
        crashes = [self.crashes[upstream] for upstream in shared]
        suspected = [crash for crash in crashes if request in crash.suspects]
        if len(suspected) >= MIN_CRASHES:
            return True
        clear = sum(not self._has_rival(request, crash) for crash in suspected)
        if clear >= MIN_CLEAR_CRASHES:
            return True
        # A crash that another request explains says nothing about a completed one.
        unexplained = [
            crash.at_s
            for crash in crashes
            if request in crash.completed and not crash.suspects
        ]
        return _count_episodes(unexplained) >= MIN_CRASHES

    def crashed_upstreams(self, request: RequestDigest) -> list[Incarnation]:
        """Return the upstreams that crashed while they had a request."""
        return sorted(self._crashes_of.get(request, ()))

    def last_crash_at_s(self, request: RequestDigest) -> float:
        """Return when the last crash happened that suspects a request."""
        shared = self._crashes_of.get(request, ())
        crashes = [self.crashes[upstream] for upstream in shared]
        times = [crash.at_s for crash in crashes if request in crash.suspects]
        return max(times, default=float("-inf"))

    def blocked_until_s(self, request: RequestDigest) -> float:
        """Return when the first crash under a request is forgotten."""
        shared = self._crashes_of.get(request, ())
        times = [self.crashes[upstream].at_s for upstream in shared]
        return min(times, default=0.0) + CRASH_LIFETIME_S

    def expire(self, now_s: float) -> None:
        """Forget old crashes and completions."""
        expired = [
            upstream
            for upstream, crash in self.crashes.items()
            if crash.at_s + CRASH_LIFETIME_S <= now_s
        ]
        for upstream in expired:
            self._remove(upstream)
        oldest_s = now_s - COMPLETION_VALIDITY_S
        self._completed_at_s = {
            request: at_s
            for request, at_s in self._completed_at_s.items()
            if at_s > oldest_s
        }

    def _has_rival(self, request: RequestDigest, crash: Crash) -> bool:
        """Tell whether another suspect of a crash is as likely to have caused it."""
        suspicion = self._suspicion(request)
        return any(
            other != request and self._suspicion(other) >= suspicion
            for other in crash.suspects
        )

    def _suspicion(self, request: RequestDigest) -> tuple[int, int]:
        """Return how many crashes suspect a request, and how many only this one."""
        shared = [self.crashes[u] for u in self._crashes_of.get(request, ())]
        suspected = [crash for crash in shared if request in crash.suspects]
        return len(suspected), sum(len(crash.suspects) == 1 for crash in suspected)

    def _affected_by(self, requests: set[RequestDigest]) -> set[RequestDigest]:
        """Return the requests that shared a crash with any of these."""
        affected = set(requests)
        for request in requests:
            for upstream in self._crashes_of.get(request, ()):
                crash = self.crashes[upstream]
                affected |= crash.suspects | crash.completed
        return affected

    def _has_completed(self, request: RequestDigest, before_s: float) -> bool:
        at_s = self._completed_at_s.get(request)
        return at_s is not None and at_s > before_s - COMPLETION_VALIDITY_S

    def _remove(self, upstream: Incarnation) -> None:
        crash = self.crashes.pop(upstream)
        for request in crash.suspects | crash.completed:
            shared = self._crashes_of[request]
            shared.discard(upstream)
            if not shared:
                del self._crashes_of[request]


def _count_episodes(times: list[float]) -> int:
    """Count groups of times that lie close together."""
    episodes = 0
    episode_began = float("-inf")
    for at_s in sorted(times):
        if at_s > episode_began + EPISODE_S:
            episodes += 1
            episode_began = at_s
    return episodes
