"""The blocks of a settings file, each declared by the subsystem that owns it."""
from __future__ import annotations

from typing import Annotated

import msgspec

from willownotch.bodies.settings import BodiesSettings
from willownotch.settings.types import Inner


class Blocks(msgspec.Struct, frozen=True):
    """All that a settings file may hold."""

    bodies: Annotated[BodiesSettings, Inner(BodiesSettings)] = BodiesSettings()
