"""What the fleet's drivers share: a network in simulated time that tells apart what each part of it costs.

The members are the real cores. Processor time is the process' CPU clock over the time that the network ran,
with the garbage collector off, as many members share one heap here and none does in a fleet; its parts go by
the time spent in each. What is not in it: sockets, sealing, the thread's wake-ups, the module.
"""

from __future__ import annotations

import gc
import time
import types
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from willownotch.peers.core import Membership, Send
from willownotch.peers.lossy import Network
from willownotch.peers.node import Layer, Node
from willownotch.peers.wire import Address, Message

OVERHEAD = 60  # bytes of a datagram beside its message: 32 of the seal, 28 of UDP and IP
APART = (type, types.FunctionType, types.BuiltinFunctionType, types.MethodType, types.ModuleType)


@dataclass(slots=True)
class Cost:
    """What a part has sent, and how long it ran: datagrams, bytes on the wire, seconds."""

    datagrams: int = 0
    bytes: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class Costs:
    """Of the layers, of the membership, and of all (`seconds` of all: processor time)."""

    layers: Cost = field(default_factory=Cost)
    membership: Cost = field(default_factory=Cost)
    whole: Cost = field(default_factory=Cost)
    by_name: dict[str, int] = field(default_factory=dict)  # bytes of layers that each member has sent


class Timed:
    """A layer with a clock around it."""

    def __init__(self, layer: Layer, cost: Cost) -> None:
        self.layer, self.cost, self.messages = layer, cost, layer.messages
        self.due = layer.due

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Let time pass."""
        began = time.perf_counter()
        sent = self.layer.tick(now, membership)
        self.cost.seconds += time.perf_counter() - began
        return sent

    def receive(self, now: float, address: Address, message: msgspec.Struct) -> list[Send]:
        """A message of another member."""
        began = time.perf_counter()
        sent = self.layer.receive(now, address, message)
        self.cost.seconds += time.perf_counter() - began
        return sent


class Counted(Network):
    """A network that tells layers and membership apart."""

    def __init__(self, *args, **named) -> None:
        super().__init__(*args, **named)
        self.costs = Costs()
        self.wall = 0.0

    def add(self, *args, layers: tuple[Layer, ...] = (), **named) -> Membership:
        """Start a member."""
        return super().add(*args, layers=tuple(Timed(layer, self.costs.layers) for layer in layers), **named)

    def put(self, name: str, node: Node, seeds: list[Address]) -> None:
        """Start any node."""
        decode, costs = node.decode, self.costs

        def timed(data: bytes) -> msgspec.Struct:
            began = time.perf_counter()
            message = decode(data)
            cost = costs.membership if isinstance(message, Message) else costs.layers
            cost.seconds += time.perf_counter() - began
            return message

        node.decode = timed
        super().put(name, node, seeds)

    def _post(self, name: str, address: Address, message: msgspec.Struct) -> None:
        own, began = isinstance(message, Message), time.perf_counter()
        cost, traffic = (self.costs.membership if own else self.costs.layers), self.traffic[name]
        before = traffic.bytes
        super()._post(name, address, message)
        cost.datagrams += 1
        cost.bytes += traffic.bytes - before + OVERHEAD
        if not own:
            by_name = self.costs.by_name
            by_name[name] = by_name.get(name, 0) + traffic.bytes - before + OVERHEAD
        cost.seconds += time.perf_counter() - began

    def begin(self) -> None:
        """Count anew from here on."""
        for cost in (self.costs.layers, self.costs.membership, self.costs.whole):
            cost.datagrams = cost.bytes = 0
            cost.seconds = 0.0
        self.costs.by_name.clear()
        self.wall = 0.0
        gc.collect()
        gc.disable()

    def run(self, until: float) -> None:
        """Let the true time pass."""
        cpu, wall = time.process_time(), time.perf_counter()
        super().run(until)
        self.wall += time.perf_counter() - wall
        self.costs.whole.seconds += time.process_time() - cpu

    def measured(self, span: float) -> dict[str, float]:
        """A member and second over `span` simulated seconds since `begin`."""
        gc.enable()
        number, costs = len(self.running_members()), self.costs
        each = number * span
        share = costs.layers.seconds / self.wall if self.wall else 0.0
        whole = costs.whole.seconds / each
        return {
            "messages": costs.layers.datagrams / each,
            "bytes": costs.layers.bytes / each,
            "busiest bytes": max(costs.by_name.values(), default=0) / span,
            "cpu s": whole * share,
            "membership messages": costs.membership.datagrams / each,
            "membership bytes": costs.membership.bytes / each,
            "membership cpu s": whole * (1 - share),
        }


def state_bytes(*things: object) -> int:
    """Bytes of all objects that these hold, each counted once: what a process of its own would have."""
    seen, left, total = set(), list(things), 0
    while left:
        one = left.pop()
        if id(one) in seen or isinstance(one, APART):
            continue
        seen.add(id(one))
        total += one.__sizeof__()
        left += gc.get_referents(one)
    return total


def rss_bytes() -> int:
    """Resident memory of this process."""
    return int(Path("/proc/self/statm").read_text(encoding="utf-8").split()[1]) * 4096


def within(net: Network, condition: Callable[[], bool], most: float, step: float) -> float | None:
    """How long it takes, or None: longer than `most` seconds."""
    try:
        return net.until(condition, most, step)
    except AssertionError:
        return None
