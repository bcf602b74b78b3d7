"""The counts as a layer of the peers: when to exchange, and with whom."""

from __future__ import annotations

from willownotch.peers.core import Membership, Send
from willownotch.peers.node import alive_members, recently_dead
from willownotch.peers.wire import Address
from willownotch.usage.core import Usage
from willownotch.usage.wire import Ask, Message, Tell

JITTER = 0.1  # share by which exchanges are early or late: instances must not fall into step


class Exchanges:
    """Exchanges of one instance's counts."""

    messages = (Ask, Tell)

    def __init__(self, usage: Usage, now: float) -> None:
        self.usage, self._due = usage, now

    def due(self) -> float:
        """When the next exchange is."""
        return self._due

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """An exchange, if it is time."""
        settings = self.usage.settings
        span = settings.exchange.total_seconds()
        self._due = now + span * self.usage.random.uniform(1 - JITTER, 1 + JITTER)
        if membership.leaving:
            return []
        return self.usage.exchange(
            now, alive_members(membership), recently_dead(membership, now, settings.gone.total_seconds())
        )

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """An ask or an answer."""
        return self.usage.receive(now, address, message)
