"""One member: the membership protocol and the layers on top of it, driven as one state machine. It does no
I/O and reads no clock.

The same node runs on sockets (`transport`) and in simulated time (`lossy`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from willownotch.peers import wire
from willownotch.peers.core import Action, Membership, MembershipEvent, Send
from willownotch.peers.wire import Address, State


class Layer(Protocol):
    """A protocol with messages of its own between the members. Times are those of the membership's clock."""

    messages: tuple[type, ...]

    def due(self) -> float | None:
        """The time by which `tick` has to be called."""

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Runs what is due, and returns the messages to send."""

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Send]:
        """Handles a message of another member, and returns the messages to send."""


def decoder(layers: Iterable[Layer]) -> Callable[[bytes], msgspec.Struct]:
    """A decoder for the messages of the membership and of these layers, distinguished by their tags."""
    kinds = wire.Message
    for layer in layers:
        for kind in layer.messages:
            kinds |= kind
    return msgspec.msgpack.Decoder(kinds).decode


class Node:
    """A membership and its layers, driven as one. Actions are returned in the order in which they arose."""

    def __init__(self, membership: Membership, layers: tuple[Layer, ...] = ()) -> None:
        self.membership, self.layers = membership, layers
        self.decode = decoder(layers)
        self._layers_by_message = {kind: layer for layer in layers for kind in layer.messages}

    def start(self, now: float, seeds: Iterable[Address] = ()) -> list[Action]:
        """Joins through the seeds."""
        return self.membership.start(now, seeds)

    def due(self) -> float | None:
        """The time by which `tick` has to be called."""
        times = [due for part in (self.membership, *self.layers) if (due := part.due()) is not None]
        return min(times, default=None)

    def tick(self, now: float) -> list[Action]:
        """Runs the membership's timers and the layers that are due."""
        actions = self.membership.tick(now)
        for layer in self.layers:
            due = layer.due()
            if due is not None and due <= now:
                actions += layer.tick(now, self.membership)
        return actions

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Action]:
        """Handles an authenticated message by the layer that it belongs to, or by the membership."""
        layer = self._layers_by_message.get(type(message))
        if layer is None:
            return self.membership.receive(now, address, message)
        return list(layer.receive(now, address, message))

    def leave(self, now: float) -> list[Action]:
        """Announces that this member leaves."""
        return self.membership.leave(now)


def alive_members(membership: Membership) -> list[tuple[str, Address]]:
    """Names and addresses of the other members that are alive or suspected."""
    return [(member.name, member.address) for member in membership.alive()]


def recently_dead(membership: Membership, now: float, max_age_s: float) -> list[str]:
    """Names of members that died without leaving, at most `max_age_s` ago."""
    return [
        m.name for m in membership.members.values() if m.state is State.DEAD and now - m.since <= max_age_s
    ]


__all__ = ["Layer", "MembershipEvent", "Node", "Send", "decoder", "recently_dead", "alive_members"]
