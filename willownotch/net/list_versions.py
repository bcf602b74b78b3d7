"""Which updates of the endpoint list are news, by their versions. No sockets, no clocks."""

from __future__ import annotations

from willownotch.net.config import ListUpdate


class StaleListError(ValueError):
    """An update is older than what is known, and is not to be applied."""


class UnconfirmedListError(StaleListError):
    """A new watch began with an older whole list; that holds if the next watch begins with one, too."""


class ListVersions:
    """The version that is known, and what an update with a lower one means.

    Within a watch versions only grow: a lower one is a second copy of an earlier line. At its beginning a
    lower one may be a copy as well, or the platform has lost its history and counts anew. It then has to send
    the whole list, each time that it is asked.
    """

    def __init__(self, index: int) -> None:
        self.index = index
        self._watch_has_begun = False
        self._lower_seen = False  # at the beginning of the watch before

    def begin_watch(self) -> None:
        """A new watch is being made: its first update is still to come."""
        self._watch_has_begun = False

    def forget(self) -> None:
        """Another platform is asked from now on, whose versions are its own."""
        self.index, self._lower_seen = 0, False

    def take(self, update: ListUpdate) -> None:
        """Note an update that is to be applied. `StaleListError` for one that is not."""
        first, self._watch_has_begun = not self._watch_has_begun, True
        if update.index >= self.index:
            self._lower_seen = False
        elif not first:
            raise StaleListError(f"version {update.index} came behind version {self.index}")
        elif not update.snapshot:
            raise StaleListError(f"changes up to version {update.index} are older than {self.index}")
        elif not self._lower_seen:
            self._lower_seen = True
            raise UnconfirmedListError(f"a list of version {update.index} in place of {self.index}")
        self.index = update.index
