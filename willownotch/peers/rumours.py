"""What is still to be passed on: each rumour so often, the newest and least told first, as much as fits a
datagram.

After SWIM's infection-style dissemination: a rumour that rides on a multiple of log(n) messages reaches all
members with high probability, and the load of a member does not grow with their number.
"""
from __future__ import annotations

from math import ceil, log10

from willownotch.peers.wire import Rumour, encode


def times(members: int, retransmit: int) -> int:
    """How often a rumour is passed on among so many members."""
    return max(1, retransmit * ceil(log10(members + 1)))


class Rumours:
    """One rumour for each member: a newer one of the same member takes the older one's place."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, int, Rumour]] = {}  # by member: times told, order, rumour
        self._order = 0

    def __len__(self) -> int:
        return len(self._told)

    def add(self, rumour: Rumour) -> None:
        """From now on it is passed on."""
        self._order += 1
        self._told[rumour.name] = (0, -self._order, rumour)

    def take(self, room: int, most: int, first: Rumour | None = None) -> tuple[Rumour, ...]:
        """Those that ride on the next message: `room` bytes of them. `first` rides in any case."""
        chosen = [first] if first is not None else []
        room -= sum(len(encode(r)) for r in chosen)
        for told, order, rumour in sorted(self._told.values(), key=lambda entry: entry[:2]):
            if first is not None and rumour.name == first.name:
                continue
            size = len(encode(rumour))
            if size > room:
                continue
            room -= size
            chosen.append(rumour)
            if told + 1 >= most:
                del self._told[rumour.name]
            else:
                self._told[rumour.name] = (told + 1, order, rumour)
        return tuple(chosen)
