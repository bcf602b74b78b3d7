"""One member with all that travels between members: membership below, layers on top. No I/O, no clock.

The same node runs on sockets (`edge`) and in simulated time (`lossy`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from willownotch.peers import wire
from willownotch.peers.core import Action, Membership, MembershipEvent, Send
from willownotch.peers.wire import Address, State


class Layer(Protocol):
    """What talks to the other members by messages of its own. Times are those of the membership's clock."""

    messages: tuple[type, ...]

    def due(self) -> float | None:
        """When the next tick is wanted."""

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Let time pass."""

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Send]:
        """A message of another member."""


def decoder(layers: Iterable[Layer]) -> Callable[[bytes], msgspec.Struct]:
    """Reads messages of the membership and of these layers, told apart by their tags."""
    kinds = wire.Message
    for layer in layers:
        for kind in layer.messages:
            kinds |= kind
    return msgspec.msgpack.Decoder(kinds).decode


class Node:
    """A membership and its layers, fed as one. Send and news come out in the order they were made."""

    def __init__(self, membership: Membership, layers: tuple[Layer, ...] = ()) -> None:
        self.membership, self.layers = membership, layers
        self.decode = decoder(layers)
        self._by_kind = {kind: layer for layer in layers for kind in layer.messages}

    def start(self, now: float, seeds: Iterable[Address] = ()) -> list[Action]:
        """Join by the seeds."""
        return self.membership.start(now, seeds)

    def due(self) -> float | None:
        """When the next tick is wanted."""
        times = [due for part in (self.membership, *self.layers) if (due := part.due()) is not None]
        return min(times, default=None)

    def tick(self, now: float) -> list[Action]:
        """Let time pass."""
        actions = self.membership.tick(now)
        for layer in self.layers:
            due = layer.due()
            if due is not None and due <= now:
                actions += layer.tick(now, self.membership)
        return actions

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Action]:
        """A message of another member, found authentic."""
        layer = self._by_kind.get(type(message))
        if layer is None:
            return self.membership.receive(now, address, message)
        return list(layer.receive(now, address, message))

    def leave(self, now: float) -> list[Action]:
        """Say that this member goes."""
        return self.membership.leave(now)


def alive_members(membership: Membership) -> list[tuple[str, Address]]:
    """The others that answer, by name, suspects among them."""
    return [(member.name, member.address) for member in membership.alive()]


def recently_dead(membership: Membership, now: float, most_s: float) -> list[str]:
    """Those that went without a word, not longer than so many seconds ago."""
    return [m.name for m in membership.members.values() if m.state is State.DEAD and now - m.since <= most_s]


__all__ = ["Layer", "MembershipEvent", "Node", "Send", "decoder", "recently_dead", "alive_members"]
