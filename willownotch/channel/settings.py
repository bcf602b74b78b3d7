"""The `control` block of the settings file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from willownotch.settings.types import TextType


class ChannelSettings(msgspec.Struct, frozen=True):
    """Where a running sender listens for control requests."""

    socket: Annotated[str, TextType("the path of a Unix socket, up to 100 bytes")] | None = None

    def faults(self) -> list[tuple[str, str]]:
        """Returns an error for a path that is too long for a Unix socket, as field and text."""
        if self.socket is not None and len(self.socket.encode()) > 100:
            return [("socket", "the path of 'socket' is too long, allowed: up to 100 bytes")]
        return []
