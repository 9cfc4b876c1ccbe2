"""Delay version announcements until the upstreams have been polled once."""

from collections.abc import Callable

from fulmarpulley_core.pool.messages import Event, VersionAnnounced

from .upstream_monitors import UpstreamMonitors

FIRST_POLL_TIMEOUT_S = 1.0


class AnnouncementQueue:
    """Queue announcements for a pool that has just started.

    Without the versions that the upstreams already serve, the pool would order them
    to load those versions again.
    """

    def __init__(
        self, monitors: UpstreamMonitors, post: Callable[[Event], None]
    ) -> None:
        self.monitors = monitors
        self.post = post
        self.pending: list[VersionAnnounced] | None = []

    def add(self, event: VersionAnnounced) -> None:
        """Pass an announcement on, or queue it until `release` has run."""
        if self.pending is None:
            self.post(event)
        else:
            self.pending.append(event)

    async def release(self) -> None:
        """Pass on queued announcements after the first poll or its timeout."""
        await self.monitors.wait_for_first_poll(FIRST_POLL_TIMEOUT_S)
        pending, self.pending = self.pending or [], None
        for event in pending:
            self.post(event)
