"""Hold announced versions back until the versions of the upstreams are known."""

from collections.abc import Callable

from fulmarpulley_core.pool.messages import Event, VersionAnnounced

from .watches import UpstreamMonitors

FIRST_POLL_TIMEOUT_S = 1.0


class AnnouncementQueue:
    """Pass announcements to a pool that has just started.

    An upstream whose version is unknown would be ordered to load what it serves.
    """

    def __init__(
        self, monitors: UpstreamMonitors, post: Callable[[Event], None]
    ) -> None:
        self.monitors = monitors
        self.post = post
        self.pending: list[VersionAnnounced] | None = []

    def add(self, event: VersionAnnounced) -> None:
        """Pass an announcement on, or keep it for the first reports."""
        if self.pending is None:
            self.post(event)
        else:
            self.pending.append(event)

    async def release(self) -> None:
        """Pass on what was kept once each upstream was asked, or after a while."""
        await self.monitors.wait_for_first_poll(FIRST_POLL_TIMEOUT_S)
        pending, self.pending = self.pending or [], None
        for event in pending:
            self.post(event)
