"""The usage counts as a layer of the peers: decides when to exchange counts, and with which members."""

from __future__ import annotations

from willownotch.peers.core import Membership, Send
from willownotch.peers.node import alive_members, recently_dead
from willownotch.peers.wire import Address
from willownotch.usage.core import Usage
from willownotch.usage.wire import DeltaReply, DeltaRequest, Message

JITTER_SHARE = 0.1  # of the interval; keeps instances from exchanging in lockstep


class UsageLayer:
    """Schedules the exchanges of one instance's counts."""

    messages = (DeltaRequest, DeltaReply)

    def __init__(self, usage: Usage, now: float) -> None:
        self.usage, self._due = usage, now

    def due(self) -> float:
        """Returns the time of the next exchange."""
        return self._due

    def tick(self, now: float, membership: Membership) -> list[Send]:
        """Starts an exchange and sets the time of the next one. A member that is leaving starts none."""
        settings = self.usage.settings
        interval_s = settings.exchange.total_seconds()
        self._due = now + interval_s * self.usage.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        if membership.leaving:
            return []
        return self.usage.start_exchange(
            now, alive_members(membership), recently_dead(membership, now, settings.gone.total_seconds())
        )

    def receive(self, now: float, address: Address, message: Message) -> list[Send]:
        """Handles a request or a reply."""
        return self.usage.receive(now, address, message)
