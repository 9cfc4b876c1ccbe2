"""Hold announced versions back until the versions of the upstreams are known."""

from collections.abc import Callable

from fulmarpulley_core.pool.messages import Event, VersionAnnounced

from .watches import Watches

FIRST_REPORTS_S = 1.0


class Announcements:
    """Pass announcements to a pool that has just started.

    An upstream whose version is unknown would be ordered to load what it serves.
    """

    def __init__(self, watches: Watches, post: Callable[[Event], None]) -> None:
        self.watches = watches
        self.post = post
        self.held_back: list[VersionAnnounced] | None = []

    def add(self, event: VersionAnnounced) -> None:
        """Pass an announcement on, or keep it for the first reports."""
        if self.held_back is None:
            self.post(event)
        else:
            self.held_back.append(event)

    async def release(self) -> None:
        """Pass on what was kept once each upstream was asked, or after a while."""
        await self.watches.first_reports(FIRST_REPORTS_S)
        held_back, self.held_back = self.held_back or [], None
        for event in held_back:
            self.post(event)
