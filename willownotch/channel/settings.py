"""The `control` block of the settings file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from willownotch.settings.types import TextType


class ChannelSettings(msgspec.Struct, frozen=True):
    """Where a running sender can be asked."""

    socket: Annotated[str, TextType("the path of a Unix socket, up to 100 bytes")] | None = None

    def faults(self) -> list[tuple[str, str]]:
        """A path that no Unix socket can have."""
        if self.socket is not None and len(self.socket.encode()) > 100:
            return [("socket", "the path of 'socket' is too long, allowed: up to 100 bytes")]
        return []
