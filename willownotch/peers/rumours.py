"""What is still to be passed on: each rumour so often, the newest and least told first, as much as fits a
datagram.

After SWIM's infection-style dissemination: a rumour that rides on a multiple of log(n) messages reaches all
members with high probability, and the load of a member does not grow with their number.
"""

from __future__ import annotations

from math import ceil, log10

from willownotch.peers.wire import Rumour, encode

SMALLEST = 20  # bytes of a rumour


def max_transmissions(members: int, retransmit: int) -> int:
    """How often a rumour is passed on among so many members."""
    return max(1, retransmit * ceil(log10(members + 1)))


class Rumours:
    """One rumour for each member: a newer one of the same member takes the older one's place.

    They stand by how often they were told, the latest last, so that a message looks only at as many as it can
    carry, however many there are.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, tuple[int, Rumour]]] = []  # told so often: size and rumour by member
        self._told: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._told)

    def add(self, rumour: Rumour) -> None:
        """From now on it is passed on."""
        self._put(0, len(encode(rumour)), rumour)

    def _put(self, told: int, size: int, rumour: Rumour) -> None:
        known = self._told.get(rumour.name)
        if known is not None:
            del self._levels[known][rumour.name]
        while len(self._levels) <= told:
            self._levels.append({})
        self._told[rumour.name] = told
        self._levels[told][rumour.name] = size, rumour

    def take(self, room: int, most: int, first: Rumour | None = None) -> tuple[Rumour, ...]:
        """Those that ride on the next message: `room` bytes of them. `first` rides in any case."""
        chosen: list[tuple[int, int, Rumour]] = []
        if first is not None:
            room -= len(encode(first))
        for told, level in enumerate(self._levels):
            for size, rumour in reversed(level.values()):
                if room < SMALLEST:
                    break
                if size <= room and (first is None or rumour.name != first.name):
                    room -= size
                    chosen.append((told, size, rumour))
        for told, size, rumour in chosen:
            if told + 1 >= most:
                del self._levels[told][rumour.name], self._told[rumour.name]
            else:
                self._put(told + 1, size, rumour)
        return (*([first] if first is not None else []), *(rumour for _, _, rumour in chosen))
