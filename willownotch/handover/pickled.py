"""An state as bytes, read back with care. Loaded only when one is handed over."""

from __future__ import annotations

import io
import pickle

from willownotch.handover.state import HandoverState

# Whatever else a pickle names is refused: these and our own classes are all that an state is made of.
ALLOWED = {
    ("builtins", "set"),
    ("builtins", "frozenset"),
    ("builtins", "bytearray"),
    ("collections", "deque"),
    ("datetime", "datetime"),
    ("datetime", "timedelta"),
    ("datetime", "timezone"),
    ("random", "Random"),
    ("pathlib", "PosixPath"),
    ("pathlib._local", "PosixPath"),
    ("copyreg", "_reconstructor"),
    ("builtins", "object"),
}
OURS = "willownotch."


class _Reader(pickle.Unpickler):
    def find_class(self, module: str, name: str) -> type:
        if (module, name) not in ALLOWED and not module.startswith(OURS):
            raise pickle.UnpicklingError(f"{module}.{name} is no part of an state")
        found = super().find_class(module, name)
        if module.startswith(OURS) and not isinstance(found, type):
            raise pickle.UnpicklingError(f"{module}.{name} is no class")
        return found


def write(state: HandoverState) -> bytes:
    """As bytes."""
    return pickle.dumps(state, protocol=5)


def read(data: bytes) -> HandoverState:
    """Read back; `ValueError` if it is none."""
    try:
        found = _Reader(io.BytesIO(data)).load()
    except Exception as fault:  # a pickle that is off can raise anything
        raise ValueError(f"the state cannot be read: {fault}") from None
    if not isinstance(found, HandoverState):
        raise ValueError("the state is none")
    return found
