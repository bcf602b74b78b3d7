"""The list of endpoints that the platform has: the hosts on it, and the watch that keeps it current."""

from __future__ import annotations

import random
import re
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from itertools import takewhile

from willownotch import interface as api
from willownotch.net import sockets
from willownotch.net.clock import Clock, seconds
from willownotch.net.config import ListedEndpoint, ListUpdate, read_address
from willownotch.net.log import Log
from willownotch.net.watch_decoder import PartialUpdate

# A sender that can reach discovery must know a change of the list 6 s later: soon after that nothing more may
# be sent to an endpoint that is gone. Within that time a silent watch has to be detected and replaced.
LIST_CHANGE_GRACE = timedelta(seconds=6)
CONNECT_TIMEOUT = timedelta(milliseconds=500)
# A socket, a port or a route may be missing for a moment.
MAX_CONNECT_TRIES, SHORTAGE_RETRY_DELAY = 3, timedelta(milliseconds=10)
SERVICE_FIRST_DATA_TIMEOUT = timedelta(seconds=2)  # of a service that all senders share
# A delay is drawn from a span that doubles with each try, within these bounds.
MIN_RETRY_SPAN, MAX_RETRY_SPAN = timedelta(milliseconds=100), timedelta(seconds=1)
SERVICE_TIME_PER_SENDER = timedelta(milliseconds=200)  # in which a busy service answers one sender
MIN_SERVICE_TIME = timedelta(milliseconds=5)  # however fast the last answer was
# These hold if the service can answer all senders in time. After a silence less of the grace is left.
MAX_RETRY_DELAY_SERVICE = LIST_CHANGE_GRACE - CONNECT_TIMEOUT - SERVICE_FIRST_DATA_TIMEOUT
MAX_RETRY_DELAY_BUSY = timedelta(seconds=30)  # an overloaded service answers late: its clients spread out
GONE_RETENTION = timedelta(seconds=60)  # for which a host that left the list keeps its number
MAX_RATE_PER_S, MAX_DESTINATION = 1e9, 10**9  # of an entry; clients name destinations by up to nine digits
MAX_NAME_CHARS, MAX_SINCE_MS = 256, 10**15
NAME_PATTERN = re.compile(r"[^\x00-\x1f\x7f\ud800-\udfff]+")
READINESS_BY_STATUS = {
    "Ready": api.Readiness.SERVING,
    "Terminating": api.Readiness.DRAINING,
    "Gone": api.Readiness.GONE,
}


@dataclass(frozen=True, slots=True)
class Host:
    """The host of an endpoint, as listed. `since_ms` is when it appeared, as discovery tells it."""

    number: int
    name: str
    address: tuple[str, int]
    destination: int
    serving: bool
    kind: int = 0
    zone: int = 0
    since_ms: int = 0


class Hosts:
    """The listed hosts, and the numbers by which the decision module knows them.

    Only the decision loop writes; other threads read, so an entry is replaced and never changed. A name that
    left the list keeps its number for a limited time, so that nothing grows without bound, and no number is
    used twice. Applying a difference costs time by the hosts that it names, not by all that are listed.
    """

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], clock: Clock, log: Log) -> None:
        self.kinds, self.zones, self.clock, self.log = kinds, zones, clock, log
        self.by_number: dict[int, Host] = {}
        self._number_by_name: dict[str, int] = {}
        self._last_number = 0
        self._unlisted_since: dict[str, datetime] = {}  # by name, oldest first
        self._number_by_address: dict[tuple[str, int], int] = {}
        self._listed_hosts: dict[int, int] = {}  # by destination: how many are listed

    def state(self) -> dict:
        """The state for the process that takes over, which has to keep these numbers."""
        return {
            "by_number": self.by_number,
            "numbers": self._number_by_name,
            "last": self._last_number,
            "gone": self._unlisted_since,
        }

    def adopt(self, state: dict) -> None:
        """Continue with the hosts and numbers of another process."""
        self.by_number.update(state["by_number"])
        self._number_by_name, self._last_number, self._unlisted_since = (
            state["numbers"],
            state["last"],
            state["gone"],
        )
        self._number_by_address, self._listed_hosts = {}, {}
        self._displace(dict.fromkeys(self.by_number))
        self._update_counts(dict.fromkeys(self.by_number))

    def number(self, name: str) -> int:
        """The number of a host; the same one until it has been unlisted for longer than a minute."""
        if name not in self._number_by_name:
            self._last_number += 1
            self._number_by_name[name] = self._last_number
            self._unlisted_since[name] = self.clock.now()  # counts as unlisted until a list names it
        return self._number_by_name[name]

    def name(self, number: int) -> str | None:
        """The name of a listed host; None for any other number."""
        host = self.by_number.get(number)
        return host.name if host is not None else None

    def number_listed(self, name: str) -> int | None:
        """The number of a listed host; None for any other name."""
        number = self._number_by_name.get(name)
        return number if number in self.by_number else None

    def read(self, update: ListUpdate) -> tuple[api.EndpointList, list[int]]:
        """Apply an update of the list.

        Returns the module's event, and the numbers of hosts that have left or changed. An entry that is
        invalid is logged and leaves its host as it was, also in a whole list.
        """
        entries, before = [], {}
        ignored = list(update.unread) if isinstance(update, PartialUpdate) else []
        for listed in update.endpoints:
            try:
                entries.append(self._apply_entry(listed, before))
            except ValueError as fault:
                ignored.append(listed.name)
                self.log.say("list", f"entry {listed.name[:MAX_NAME_CHARS]!r} ignored: {fault}")
        if update.snapshot:
            entries += self._entries_kept(ignored, {entry.number for entry in entries})
            named = {entry.number for entry in entries}
            for number in [n for n in self.by_number if n not in named]:
                before.setdefault(number, self.by_number.pop(number))
        entries += self._displace(before)
        self._update_counts(before)
        self._forget_names(before)
        changed = [number for number, host in before.items() if host and self.by_number.get(number) != host]
        return api.EndpointList(tuple(entries), update.snapshot), changed

    def _entries_kept(self, names: list[str], named: set[int]) -> list[api.Endpoint]:
        """The present entries of hosts with these names, but for those numbered in `named`.

        They tell no rate: the module keeps the limit that it knows.
        """
        hosts = [self.by_number.get(self._number_by_name.get(name, 0)) for name in dict.fromkeys(names)]
        return [
            api.Endpoint(
                host.number,
                host.destination,
                host.kind,
                host.zone,
                api.Readiness.SERVING if host.serving else api.Readiness.DRAINING,
                life=host.since_ms,
            )
            for host in hosts
            if host is not None and host.number not in named
        ]

    def _displace(self, before: dict[int, Host | None]) -> list[api.Endpoint]:
        """Remove hosts whose address a newer host has taken over, and return them as gone.

        Calls meant for the old host must not reach the new one. `before` maps each number that may have
        changed to its previous host; displaced hosts are added to it.
        """
        for number, host in before.items():
            if host is not None and self._number_by_address.get(host.address) == number:
                del self._number_by_address[host.address]
        rivals: dict[tuple[str, int], list[Host]] = {}
        for number in before:
            if (host := self.by_number.get(number)) is not None:
                rivals.setdefault(host.address, []).append(host)
        older = []
        for address, hosts in rivals.items():
            if address in self._number_by_address:
                hosts.append(self.by_number[self._number_by_address[address]])
            newest = max(hosts, key=lambda host: (host.serving, host.since_ms, host.number))
            self._number_by_address[address] = newest.number
            older += [host for host in hosts if host is not newest]
        for host in older:
            before.setdefault(host.number, self.by_number.pop(host.number))
        return [api.Endpoint(h.number, h.destination, h.kind, h.zone, api.Readiness.GONE) for h in older]

    def _update_counts(self, before: dict[int, Host | None]) -> None:
        """Update the number of hosts of each destination. Additions come first, since other threads may read
        the counts meanwhile and must not see a destination vanish."""
        for number in before:
            if (host := self.by_number.get(number)) is not None:
                self._listed_hosts[host.destination] = self._listed_hosts.get(host.destination, 0) + 1
        for host in before.values():
            if host is not None:
                self._listed_hosts[host.destination] -= 1
                if not self._listed_hosts[host.destination]:
                    del self._listed_hosts[host.destination]

    def _forget_names(self, before: dict[int, Host | None]) -> None:
        """Forget names that have been unlisted for longer than any relay, wait or slow start may last."""
        now = self.clock.now()
        for number, host in before.items():
            if number in self.by_number:
                self._unlisted_since.pop(self.by_number[number].name, None)
            elif host is not None:
                self._unlisted_since.setdefault(host.name, now)
        for name, _ in list(
            takewhile(lambda item: now - item[1] > GONE_RETENTION, self._unlisted_since.items())
        ):
            del self._unlisted_since[name], self._number_by_name[name]

    def _apply_entry(self, listed: ListedEndpoint, before: dict[int, Host | None]) -> api.Endpoint:
        """Apply one entry of an update, and add its previous host to `before`. `ValueError` if invalid."""
        address = self._check_entry(listed)
        readiness, number = READINESS_BY_STATUS[listed.status], self.number(listed.name)
        zone = self.zones.index(listed.zone) if listed.zone in self.zones else 0
        before.setdefault(number, self.by_number.get(number))
        if readiness is api.Readiness.GONE:
            self.by_number.pop(number, None)
            return api.Endpoint(number, listed.group, self.kinds.index(listed.type), zone, readiness)
        self.by_number[number] = Host(
            number,
            listed.name,
            address,
            listed.group,
            readiness is api.Readiness.SERVING,
            self.kinds.index(listed.type),
            zone,
            listed.since_ms,
        )
        return api.Endpoint(
            number,
            listed.group,
            self.kinds.index(listed.type),
            zone,
            readiness,
            listed.weight,
            listed.since_ms,
        )

    def _check_entry(self, listed: ListedEndpoint) -> tuple[str, int]:
        """The address of a valid entry. Raises `ValueError` with what is wrong, and changes nothing."""
        if len(listed.name) > MAX_NAME_CHARS or not NAME_PATTERN.fullmatch(listed.name):
            raise ValueError(f"a name has 1 to {MAX_NAME_CHARS} characters, none of them a control character")
        if listed.type not in self.kinds:
            raise ValueError(f"unknown type {listed.type!r}")
        if listed.status not in READINESS_BY_STATUS:
            raise ValueError(f"unknown status {listed.status!r}")
        if not 0 <= listed.group < MAX_DESTINATION:
            raise ValueError(f"group {listed.group} is out of range")
        if not 0.0 <= listed.weight < MAX_RATE_PER_S:
            raise ValueError(f"weight {listed.weight} is out of range")
        if not 0 <= listed.since_ms < MAX_SINCE_MS:
            raise ValueError(f"since_ms {listed.since_ms} is out of range")
        return read_address(listed.address, "its address")

    def listed(self, destination: int) -> bool:
        """Whether any host is listed for a destination."""
        return destination in self._listed_hosts


class Backoff:
    """Random delays between tries, whose span doubles up to a bound and is reset after a success.

    The span is wide enough for all senders to be answered one after the other: their watches end together,
    and calls that arrive together are answered with 503 and only keep the platform busy.
    """

    def __init__(self, senders: int = 1, draw: Callable[[], float] = random.random) -> None:
        self.other_senders, self.draw, self.service_time, self.tries = (
            senders - 1,
            draw,
            SERVICE_TIME_PER_SENDER,
            0,
        )

    def next(self, limit: timedelta = MAX_RETRY_DELAY_SERVICE) -> timedelta:
        """The next delay, at most `limit`.

        If the service cannot answer all senders in time, the limit for a busy service applies instead, since
        asking more often would only delay the answers further.
        """
        all_served = self.other_senders * self.service_time
        span = min(max(MAX_RETRY_SPAN, 2 * all_served), 2**self.tries * max(MIN_RETRY_SPAN, all_served))
        self.tries = min(10, self.tries + 1)
        return min(span, limit if all_served <= 2 * MAX_RETRY_DELAY_SERVICE else MAX_RETRY_DELAY_BUSY) * (
            1.0 - self.draw()
        )

    def reset(self, took: timedelta = SERVICE_TIME_PER_SENDER) -> None:
        """Reset after a success. The less time it `took`, the more senders may ask at the same time."""
        self.tries, self.service_time = 0, min(SERVICE_TIME_PER_SENDER, max(MIN_SERVICE_TIME, took))


class Platform:
    """The platform's address, and the open connections to it.

    A new configuration can change the address at any time. Threads that wait on a connection to the old
    address or for their next try are then woken at once: the old agent may keep running with nothing new.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.moves = address, 0
        self._changed = threading.Condition()
        self._connections: set[socket.socket] = set()

    def move(self, address: tuple[str, int]) -> bool:
        """Use another address from now on. False if it is the current one."""
        with self._changed:
            if address == self.address:
                return False
            self.address, self.moves = address, self.moves + 1
            for sock in self._connections:
                try:
                    sock.shutdown(socket.SHUT_RDWR)  # wakes a blocked call; its own thread closes it
                except OSError:
                    pass  # not connected yet, or already closed
            self._changed.notify_all()
        return True

    def connect(self) -> tuple[socket.socket, str, int]:
        """Open a connection to the current address; what this machine lacks for a moment is waited for.

        Returns the socket, the value of its Host header, and the number of moves so far.
        """
        for _ in range(MAX_CONNECT_TRIES - 1):
            try:
                return self._connect_once()
            except OSError as fault:
                if fault.errno not in sockets.LOCAL_SHORTAGES | sockets.ROUTE_ERRORS:
                    raise
                self.pause(SHORTAGE_RETRY_DELAY, self.moves)
        return self._connect_once()

    def _connect_once(self) -> tuple[socket.socket, str, int]:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with self._changed:
            self._connections.add(sock)
            address, moves = self.address, self.moves
        try:
            sock.settimeout(seconds(CONNECT_TIMEOUT))
            sockets.disable_nagle(sock)
            sock.connect(address)
            with self._changed:  # a move during the connect could not shut it down
                if self.moves != moves:
                    raise ConnectionAbortedError("the platform's address has changed")
        except OSError:
            self.close(sock)
            raise
        return sock, f"{address[0]}:{address[1]}", moves

    def close(self, sock: socket.socket) -> None:
        """Close a connection that `connect` returned."""
        with self._changed:  # not during a move, or its descriptor could be reused
            self._connections.discard(sock)
            sock.close()

    def pause(self, span: timedelta, moves: int) -> None:
        """Wait before the next try, but return at once if the address has moved since `moves` was read."""
        with self._changed:
            self._changed.wait_for(lambda: self.moves != moves, seconds(span))
