"""The watch on the platform's list of endpoints, replaced whenever it breaks or falls silent."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from willownotch.net import http, sockets
from willownotch.net.clock import ZERO, Clock, millis, seconds
from willownotch.net.config import Config, ListUpdate
from willownotch.net.list_versions import ListVersions, StaleListError, UnconfirmedListError
from willownotch.net.log import Log
from willownotch.net.registry import (
    CONNECT_TIMEOUT,
    LIST_CHANGE_GRACE,
    MAX_RETRY_DELAY_BUSY,
    MAX_RETRY_DELAY_SERVICE,
    SERVICE_FIRST_DATA_TIMEOUT,
    Backoff,
    Platform,
)
from willownotch.net.watch_decoder import MAX_WATCH_LIST_BYTES, WatchDecoder

SILENCE_TIMEOUT = timedelta(seconds=3)  # a watch sends a line every 2 s; 50% more is allowed
# An agent on this machine answers at once and at no cost, and senders are expected to know what it knows, so
# it is asked often. A service shared by all senders answers them one by one, and with 503 after a long wait.
AGENT_FIRST_DATA_TIMEOUT = timedelta(milliseconds=500)
# A watch without data by then is kept open beside the next ones for so long: a platform that is steadily
# slower than the first time-out would never be heard.
LATE_DATA_TIMEOUT = LIST_CHANGE_GRACE - CONNECT_TIMEOUT
MAX_RETRY_DELAY_AGENT = timedelta(milliseconds=300)
MAX_RETRY_DELAY_AFTER_SILENCE = MAX_RETRY_DELAY_SERVICE - SILENCE_TIMEOUT
BUSY_RESPONSE_TIME = timedelta(milliseconds=300)  # a service that is down refuses sooner
LIST_MEMORY_SHARE = 1 / 32  # of the process's memory, for the text of one list
BYTES_PER_MB = 1_000_000
READ_BYTES = 65_536


class SilentError(TimeoutError):
    """A watch that had delivered data has fallen silent."""


class NoDataError(TimeoutError):
    """A watch has delivered nothing in its first time-out. It is kept for late data, if no other is."""


class BusyError(OSError):
    """A watch was rejected by an overloaded service."""


@dataclass(eq=False, slots=True)
class Watch:
    """One watch: its connection, and what was read of its answer."""

    sock: socket.socket
    moves: int  # of the platform's address when it was opened
    asked_at: datetime
    due: datetime  # when the next whole line must have come
    parser: http.Parser
    decoder: WatchDecoder
    has_data: bool = False


class EndpointListWatcher:
    """Keeps a watch on the list of endpoints. One that breaks, falls silent or sends invalid data is
    replaced, and the last list stays in force meanwhile."""

    def __init__(
        self,
        config: Config,
        platform: Platform,
        log: Log,
        clock: Clock,
        on_update: Callable[[ListUpdate], None],
    ) -> None:
        self.platform, self.log, self.clock, self.on_update = platform, log, clock, on_update
        self.versions = ListVersions(config.known.index if config.known else 0)
        self._index_moves = platform.moves
        self.first_data_timeout = (
            SERVICE_FIRST_DATA_TIMEOUT if config.shared_discovery else AGENT_FIRST_DATA_TIMEOUT
        )
        self._backoff = Backoff(config.settings.senders if config.shared_discovery else 1)
        self._max_list_bytes = min(
            MAX_WATCH_LIST_BYTES, int(LIST_MEMORY_SHARE * config.limits.memory_mb * BYTES_PER_MB)
        )
        self._max_delay = MAX_RETRY_DELAY_SERVICE if config.shared_discovery else MAX_RETRY_DELAY_AGENT
        self._late: Watch | None = None  # without data in its first time-out, and still open

    def run(self) -> None:
        """Watch until the process ends."""
        while True:
            moves, max_delay = self.platform.moves, self._max_delay
            try:
                self._watch()
                reason = "the platform ended it"
            except SilentError as fault:
                reason, max_delay = str(fault), min(max_delay, MAX_RETRY_DELAY_AFTER_SILENCE)
            except BusyError as fault:
                reason, max_delay = str(fault), MAX_RETRY_DELAY_BUSY
            except StaleListError as fault:
                self.log.counters.add("list", "stale")
                reason = str(fault)
                if isinstance(fault, UnconfirmedListError):
                    max_delay = timedelta(0)  # asked again at once, and at most once
            except (OSError, http.BadMessageError, msgspec.DecodeError, UnicodeDecodeError) as fault:
                reason = str(fault) or type(fault).__name__
            self.log.say("watch", f"broken off, the last list is kept: {reason}")
            self.platform.pause(self._backoff.next(max_delay), moves)

    def _watch(self) -> None:
        """Make one watch and deliver its updates until the platform ends it. Any failure raises."""
        watch = self._open()
        try:
            while not watch.parser.eof:
                if self._wait(watch) is not watch:
                    updates = self._read_late()
                    if updates is None:
                        continue
                    self.log.say("watch", "data came late on the one before, which goes on")
                    self.platform.close(watch.sock)
                    watch, self._late = self._late, None
                    self.versions.begin_watch()
                else:
                    updates = self._read(watch)
                for update in updates or ():
                    self._deliver(update)
                if watch.parser.head is not None and watch.parser.body_done():
                    return
        except NoDataError:
            if self._late is None and watch.moves == self.platform.moves:
                self._late, watch = watch, None
            raise
        finally:
            if watch is not None:
                self.platform.close(watch.sock)

    def _open(self) -> Watch:
        """Connect to the platform, and ask for the list from the version that is known."""
        sock, host_header, moves = self.platform.connect()
        if moves != self._index_moves:
            # The versions of one agent mean nothing to another: asking from one could skip changes.
            self.versions.forget()
            self._index_moves = moves
            self._backoff.reset()
            self._drop_late()
        self.versions.begin_watch()
        try:
            sock.settimeout(seconds(self.first_data_timeout))
            target = f"/registry/instances?watch=1&from={self.versions.index}"
            sockets.send_all(sock, http.write_request("GET", target, host_header, ()))
        except OSError:
            self.platform.close(sock)
            raise
        asked_at = self.clock.now()
        parser = http.Parser(answer=True, stream=True)
        decoder = WatchDecoder(lambda text: self.log.say("list", text), self._max_list_bytes)
        return Watch(sock, moves, asked_at, asked_at + self.first_data_timeout, parser, decoder)

    def _wait(self, watch: Watch) -> Watch:
        """The watch that has something to read: this one, or the one whose data are late.

        Raises `SilentError` or `NoDataError` once this one is past its time.
        """
        while (left := watch.due - self.clock.now()) > ZERO:
            self._drop_late_if_over()
            watches = [watch] if self._late is None else [watch, self._late]
            poll = select.poll()
            for each in watches:
                poll.register(each.sock, select.POLLIN)
            ready = {descriptor for descriptor, _ in sockets.wait(poll, max(1, millis(left)))}
            for each in watches:
                if each.sock.fileno() in ready:
                    return each
        if watch.has_data:
            raise SilentError("it fell silent")
        raise NoDataError("no data came")

    def _drop_late_if_over(self) -> None:
        late = self._late
        if late is not None and self.clock.now() - late.asked_at >= LATE_DATA_TIMEOUT:
            self._drop_late()

    def _drop_late(self) -> None:
        if self._late is not None:
            self.platform.close(self._late.sock)
            self._late = None

    def _read_late(self) -> list[ListUpdate] | None:
        """The updates that have come late, if there is a whole line; else None. A failed watch is dropped."""
        try:
            updates = self._read(self._late)
            ended = self._late.parser.eof
        except (OSError, http.BadMessageError, msgspec.DecodeError, UnicodeDecodeError):
            updates, ended = None, True
        if updates is None and ended:
            self._drop_late()
        return updates

    def _read(self, watch: Watch) -> list[ListUpdate] | None:
        """Read what has come. Returns the updates that are complete now, None without a whole line."""
        watch.parser.feed(sockets.receive(watch.sock, READ_BYTES))
        if not watch.parser.read_head():
            return None
        if watch.parser.head.status == 503 and self.clock.now() - watch.asked_at >= BUSY_RESPONSE_TIME:
            raise BusyError("answered with 503 after a wait")
        if watch.parser.head.status != 200:
            raise http.BadMessageError(400, f"answered with {watch.parser.head.status}")
        updates, whole_line = watch.decoder.feed(watch.parser.body_part())
        if not whole_line:  # a connection that trickles bytes is as silent as an idle one
            return None
        now = self.clock.now()
        if not watch.has_data:
            self._backoff.reset(now - watch.asked_at)
            if watch is not self._late:
                self._drop_late()
        watch.due, watch.has_data = now + SILENCE_TIMEOUT, True
        return updates

    def _deliver(self, update: ListUpdate) -> None:
        """Pass an update on, and remember its version, from which the next watch continues."""
        self.versions.take(update)
        self.on_update(update)
