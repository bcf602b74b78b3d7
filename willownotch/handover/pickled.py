"""The handed-over state as a pickle, read with restrictions. Imported only when a state is handed over."""

from __future__ import annotations

import io
import pickle

from willownotch.handover.state import HandoverState

# The classes that a state consists of, besides those of this package. A pickle that names others is refused.
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
OWN_PREFIX = "willownotch."


class _Reader(pickle.Unpickler):
    def find_class(self, module: str, name: str) -> type:
        if (module, name) not in ALLOWED and not module.startswith(OWN_PREFIX):
            raise pickle.UnpicklingError(f"{module}.{name} is not allowed in a state")
        found = super().find_class(module, name)
        if module.startswith(OWN_PREFIX) and not isinstance(found, type):
            raise pickle.UnpicklingError(f"{module}.{name} is not a class")
        return found


def write(state: HandoverState) -> bytes:
    """Encode a state."""
    return pickle.dumps(state, protocol=5)


def read(data: bytes) -> HandoverState:
    """Decode a state; `ValueError` if the bytes are not one."""
    try:
        found = _Reader(io.BytesIO(data)).load()
    except Exception as fault:  # a malformed pickle can raise anything
        raise ValueError(f"the state cannot be read: {fault}") from None
    if not isinstance(found, HandoverState):
        raise ValueError("the data is not a state")
    return found
