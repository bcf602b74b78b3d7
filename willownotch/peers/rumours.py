"""The rumours that are still to be passed on, each a limited number of times. A message takes the least sent
and newest ones first, as many as fit into a datagram.

This is SWIM's infection-style dissemination: a rumour that is piggybacked on a multiple of log(n) messages
reaches all members with high probability, and the load of a member does not grow with their number.
"""

from __future__ import annotations

from math import ceil, log10

from willownotch.peers.wire import Rumour, encode

MIN_RUMOUR_BYTES = 20


def max_transmissions(members: int, retransmit: int) -> int:
    """How many times a member passes a rumour on in a group of this many members."""
    return max(1, retransmit * ceil(log10(members + 1)))


class Rumours:
    """At most one rumour for each member: a newer one replaces the older one about the same member.

    Rumours are grouped by how often they have been sent, and within a group the latest stands last. So the
    cost of filling a message depends on what it can carry and not on the number of rumours.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, tuple[int, Rumour]]] = []  # by times sent: size and rumour by member
        self._times_sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._times_sent)

    def add(self, rumour: Rumour) -> None:
        """Queues a rumour as not sent yet."""
        self._put(0, len(encode(rumour)), rumour)

    def _put(self, times_sent: int, size: int, rumour: Rumour) -> None:
        known = self._times_sent.get(rumour.name)
        if known is not None:
            del self._levels[known][rumour.name]
        while len(self._levels) <= times_sent:
            self._levels.append({})
        self._times_sent[rumour.name] = times_sent
        self._levels[times_sent][rumour.name] = size, rumour

    def take(self, room: int, max_times: int, first: Rumour | None = None) -> tuple[Rumour, ...]:
        """The rumours for the next message, up to `room` bytes; `first` is included in any case.

        Each is counted as sent once more, and dropped after `max_times`.
        """
        chosen: list[tuple[int, int, Rumour]] = []
        if first is not None:
            room -= len(encode(first))
        for times_sent, level in enumerate(self._levels):
            for size, rumour in reversed(level.values()):
                if room < MIN_RUMOUR_BYTES:
                    break
                if size <= room and (first is None or rumour.name != first.name):
                    room -= size
                    chosen.append((times_sent, size, rumour))
        for times_sent, size, rumour in chosen:
            if times_sent + 1 >= max_times:
                del self._levels[times_sent][rumour.name], self._times_sent[rumour.name]
            else:
                self._put(times_sent + 1, size, rumour)
        return (*([first] if first is not None else []), *(rumour for _, _, rumour in chosen))
