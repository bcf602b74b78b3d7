"""What must still hold right before the first byte of a call, whatever was decided before."""

from __future__ import annotations

import threading
from datetime import datetime, timedelta

from willownotch.interface import Idempotency
from willownotch.net.attempts import Relay
from willownotch.net.clock import Clock
from willownotch.net.journal import Journal
from willownotch.net.registry import Host

# After SIGTERM, the longest time from the decision on a relay to its start: the kill comes this much later
# than the module assumes.
MAX_START_DELAY = timedelta(milliseconds=200)
DEDUP_WINDOW_MARGIN = timedelta(milliseconds=20)  # kept of the window, for the call to reach its host


class StartConditions:
    """Whether a relay may still be started. Any thread may ask."""

    def __init__(self, clock: Clock, journal: Journal, hosts: dict[int, Host]) -> None:
        self.clock, self.journal, self.hosts = clock, journal, hosts
        self.waits: dict[int, datetime] = {}  # by destination: end of its Retry-After
        self.stopping = False  # SIGTERM was received
        self._lock = threading.Lock()

    def wait(self, destination: int, wait: timedelta) -> None:
        """Start no relays to a destination for this time. Expired entries are purged."""
        now = self.clock.now()
        with self._lock:
            for number in [n for n, until in self.waits.items() if until <= now]:
                del self.waits[number]
            self.waits[destination] = max(now + wait, self.waits.get(destination, now))

    def forbid(self, relay: Relay) -> bool:
        """Whether a relay must not be started any more: the list, waits, time and a stop may have changed
        since it was decided on.

        Checked before the record is written, to save it, and again before the first byte.
        """
        host, now = self.hosts.get(relay.host.number), self.clock.now()
        if self._is_past_dedup_window(relay, now):
            return True
        with self._lock:
            waits = self.waits.get(relay.host.destination)
        return (
            relay.cancelled
            or host is None
            or not host.serving
            or (host.address, host.since_ms) != (relay.host.address, relay.host.since_ms)
            or (waits is not None and now < waits)
            or now >= relay.ends_at
            # The module assumes that its decisions are carried out at once. A relay that is started later, or
            # was decided on before the stop was known, could still be in progress at the kill and be lost.
            or (
                self.stopping
                and not relay.repeatable
                and (not relay.stopping or now - relay.begun_at > MAX_START_DELAY)
            )
        )

    def _is_past_dedup_window(self, relay: Relay, now: datetime) -> bool:
        """Whether the window in which the destination drops repeats may have ended.

        It starts with the first attempt that may have been executed. The module checked it when it decided,
        but setting up a connection can take longer than a short window.
        """
        rules, entry = relay.message.rules, self.journal.live.get(relay.message.ref)
        if rules is None or rules.idempotency is not Idempotency.KEYED or entry is None:
            return False
        others = [
            started.at
            for number, started in list(entry.started.items())
            if number != relay.number and entry.may_have_run(number)
        ]
        return bool(others) and (
            now > min(others) + timedelta(seconds=rules.dedup_window_s) - DEDUP_WINDOW_MARGIN
        )
