"""The endpoint side: worker threads that make calls to the hosts of endpoints, on blocking sockets.

A relay is one attempt to deliver a message. Most calls carry one relay; some carry several to the same host.
Each call has a new connection of its own, asks the host to close it behind the answer, and reads it to that
end: `AnswerStream` says what that proves. Nothing here retries: the decision module does.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

from willownotch.bodies.store import Bodies, BodyLostError
from willownotch.interface import Outcome
from willownotch.journal.records import RelayStarted
from willownotch.net import answers, bulk, http
from willownotch.net.answer_reading import CLOSE_HEADER
from willownotch.net.answer_stream import Evidence
from willownotch.net.attempts import DEADLINE_MARGIN, Relay, RelayEnded
from willownotch.net.clock import ZERO, Clock, millis, seconds
from willownotch.net.config import Config
from willownotch.net.endpoint_call import EndpointCall
from willownotch.net.endpoint_connections import EndpointConnections
from willownotch.net.journal import Journal, JournalFullError, JournalHandedOverError
from willownotch.net.log import Log
from willownotch.net.registry import Host
from willownotch.net.start_conditions import StartConditions

if TYPE_CHECKING:
    import socket

    from willownotch.replica.service import CustodyService

MAX_REPLICATION_WAIT = timedelta(seconds=1)  # for other senders to store a relay's record
DISK_ERROR_DELAY = timedelta(seconds=1)  # before the end of a relay that a disk error prevented is reported


class EndpointSide:
    """The worker threads that make calls."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        log: Log,
        journal: Journal,
        bodies: Bodies,
        hosts: dict[int, Host],
        ended: Callable[[RelayEnded], None],
        start: Callable[[str, Callable[[], None]], None],
    ):
        self.config, self.clock, self.log, self.journal, self.hosts = config, clock, log, journal, hosts
        self.bodies = bodies
        self.ended, self.start = ended, start
        self.conditions = StartConditions(clock, journal, hosts)
        self._queue: queue.SimpleQueue[list[Relay]] = queue.SimpleQueue()  # the relays of one call each
        self._lock = threading.Lock()
        self._call_ended = threading.Condition(self._lock)
        self._closing = False
        self._held_calls: list[list[Relay]] = []  # calls not started because of `_closing`
        self._worker_count = 0
        self._calls_in_progress = 0
        self._relays: dict[tuple[str, int], Relay] = {}
        self.connections = EndpointConnections(config, clock, log)
        self._never_set = threading.Event()  # never set; used for interruptible sleeps
        self.custody: CustodyService | None = None  # set if records are replicated to other senders

    def apply_settings(self, config: Config) -> None:
        """Apply new settings from now on."""
        self.config = self.connections.config = config

    def submit(self, *relays: Relay) -> None:
        """Queue relays that go together in one call. There is one worker for each call in progress."""
        with self._lock:
            self._calls_in_progress += 1
            for relay in relays:
                self._relays[relay.message.ref, relay.number] = relay
            new_worker = self._calls_in_progress > self._worker_count
            self._worker_count += new_worker
        self._queue.put(list(relays))
        if new_worker:
            self._start_worker()

    def _start_worker(self) -> None:
        """Start one more worker. If no thread is available, the existing workers take its call in turn."""
        try:
            self.start(f"relay-{self._worker_count}", self._run_worker)
        except RuntimeError as fault:
            with self._lock:
                self._worker_count -= 1
                no_workers = not self._worker_count
            self.log.say("relay", f"no thread for a call, which waits for another worker: {fault}")
            if no_workers:
                raise

    def cancel_by_id(self, ref: str, number: int) -> None:
        """Like `cancel`, by a message's id and the number of its relay."""
        with self._lock:
            relay = self._relays.get((ref, number))
        if relay is not None:
            self.cancel(relay)

    def cancel(self, relay: Relay) -> None:
        """Stop waiting for a relay. Its connection is closed, unless its call goes on for other relays.

        In that case its end is reported with the call's: until the connection is closed, sending the message
        again would have it in progress twice.
        """
        with relay.lock:
            relay.cancelled = True
            if relay.sock is not None and not any(other.is_awaited() for other in relay.same_call):
                self.connections.shut_down(relay.sock)

    def _run_worker(self) -> None:
        """Make queued calls, one after the other, for as long as the process lives."""
        while True:
            relays = self._queue.get()
            with self._lock:
                if self._closing:  # stays outstanding in the journal; an outcome would trigger a retry
                    self._calls_in_progress -= 1
                    for relay in relays:
                        self._relays.pop((relay.message.ref, relay.number), None)
                    self._held_calls.append(relays)
                    continue
            for ended in [self._relay_single(*relays)] if len(relays) == 1 else self._relay_batch(relays):
                self._report(ended)
            with self._lock:
                self._calls_in_progress -= 1
                self._call_ended.notify_all()

    def _report(self, ended: RelayEnded) -> None:
        """Report a relay's end, at most once."""
        relay = ended.relay
        with self._lock:
            if relay.reported:
                return
            relay.reported = True
            self._relays.pop((relay.message.ref, relay.number), None)
        ended.took = self.clock.now() - relay.begun_at
        self.log.counters.add(
            "retry ended" if relay.number else "attempt ended", ended.outcome.value.replace(" ", "_")
        )
        if ended.wait:
            # Seen by the other workers at once: the decision loop may already have handed out more relays.
            self.conditions.wait(relay.host.destination, ended.wait)
        self.ended(ended)

    def finish(self, timeout: timedelta) -> None:
        """Start no more calls, and wait for those in progress for `timeout` at most."""
        deadline = self.clock.now() + timeout
        with self._lock:
            self._closing = True
            while self._calls_in_progress and (left := deadline - self.clock.now()) > ZERO:
                self._call_ended.wait(seconds(left))

    def give_up_calls(self) -> int:
        """Close the connections of all calls in progress; return how many relays they carried.

        Each of these relays may have been executed. None is on its way any more once this returns.
        """
        with self._lock:
            relays = list(self._relays.values())
        for relay in relays:
            self.cancel(relay)
        return len(relays)

    def reopen(self) -> None:
        """Start calls again, first those that were held back."""
        with self._lock:
            self._closing, held_calls, self._held_calls = False, self._held_calls, []
        for relays in held_calls:
            self.submit(*relays)

    def calls_in_progress(self) -> int:
        """How many calls are queued or in progress."""
        with self._lock:
            return self._calls_in_progress

    def _read_body(self, relay: Relay) -> bytes | RelayEnded:
        """The body of a relay's message, or the relay's end if the body cannot be read."""
        try:
            return self.bodies.read(relay.message)
        except BodyLostError as fault:
            self.log.say("bodies", f"{fault}: a relay was not made")
            return RelayEnded(relay, Outcome.NOT_SENT, lost=True)
        except OSError as fault:
            self.log.say("bodies", f"a relay was not made, since its body could not be read: {fault}")
            self._delay_disk_error(relay)
            return RelayEnded(relay, Outcome.NOT_SENT)

    def _relay_single(self, relay: Relay) -> RelayEnded:
        """Make a relay that has a call of its own, from reading the body to its outcome."""
        body = [self._read_body(relay)]  # in a list, so that its memory can be freed once it is written
        if isinstance(body[0], RelayEnded):
            return body[0]
        try:
            sock = self.connections.open(relay)
        except OSError:
            outcome = Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE
            return RelayEnded(relay, outcome)
        if sock is None or self.conditions.forbid(relay):
            if sock is not None:
                self.connections.close(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT)
        if not self._record_start(sock, relay):
            return RelayEnded(relay, Outcome.NOT_SENT)
        if self.conditions.forbid(relay):  # writing and replicating the record took time
            self.connections.close(relay, sock)
            return RelayEnded(relay, Outcome.NOT_SENT)
        if self._was_answered_early(relay, sock):
            return RelayEnded(relay, Outcome.UNREACHABLE)
        return self._exchange(relay, sock, body)

    def _was_answered_early(self, relay: Relay, sock: socket.socket) -> bool:
        """Whether a new connection has bytes or has ended before the call; it is closed then."""
        if self.connections.is_quiet(sock):
            self.log.counters.add("endpoint connection", "new")
            return False
        self.log.counters.add("endpoint connection", "not quiet before the call")
        self.log.say(
            "answer",
            f"bytes or an end before the call: {relay.host.name} on {relay.message.ref} attempt "
            f"{relay.number}, which was not made",
        )
        self.connections.close(relay, sock)
        return True

    def _record_start(self, sock: socket.socket, *relays: Relay) -> bool:
        """Record, before the first byte is sent, that these relays may be executed; whether that succeeded.

        After a kill the next process learns from the journal which messages may have been executed.
        """
        now, first = self.clock.now(), relays[0]
        try:
            self.journal.append([RelayStarted(r.message.ref, r.number, now, r.host.name) for r in relays])
        except JournalHandedOverError:  # not started: the process that has it now may do so
            self.connections.close(first, sock)
            return False
        except (OSError, JournalFullError) as fault:
            self.log.say("journal", f"a relay was not made, since it could not be recorded: {fault}")
            self.connections.close(first, sock)
            self._delay_disk_error(first)
            return False
        if self.custody is not None and not self._replicated(relays):
            self.connections.close(first, sock)
            self._delay_disk_error(first)
            return False
        for relay in relays:
            relay.started = True
        return True

    def _replicated(self, relays: tuple[Relay, ...]) -> bool:
        """Whether enough senders hold these records and no other sender may act on the messages.

        Otherwise none of the relays may be started.
        """
        custodies = [relay.message.custody for relay in relays if relay.message.custody is not None]
        left = min(relay.ends_at for relay in relays) - self.clock.now()
        return not custodies or self.custody.wait_for_copies(
            custodies, max(ZERO, min(MAX_REPLICATION_WAIT, left))
        )

    def _relay_batch(self, relays: list[Relay]) -> list[RelayEnded]:
        """Make several relays in one call. Those that cannot be sent are reported at once; the ends of the
        others, taken from the answer or from the failure of the call, are returned."""
        bodies = {relay: self._read_body(relay) for relay in relays}
        for body in bodies.values():
            if isinstance(body, RelayEnded):
                self._report(body)
        left = [relay for relay in relays if not relay.reported]
        if not left:
            return []
        try:
            sock = self.connections.open(left[0])
        except OSError:
            return [
                RelayEnded(relay, Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE)
                for relay in left
            ]
        sendable = [
            relay
            for relay in left
            if sock is not None and not relay.reported and not self.conditions.forbid(relay)
        ]
        for relay in left:
            if relay not in sendable:
                self._report(RelayEnded(relay, Outcome.NOT_SENT))
        if not sendable or not self._record_start(sock, *sendable):
            if not sendable and sock is not None:
                self.connections.close(left[0], sock)
            return [RelayEnded(relay, Outcome.NOT_SENT) for relay in sendable]
        if stopped := [r for r in sendable if self.conditions.forbid(r)]:
            for relay in stopped:  # writing and replicating the record took time
                self._report(RelayEnded(relay, Outcome.NOT_SENT))
            sendable = [relay for relay in sendable if relay not in stopped]
            if not sendable:
                self.connections.close(left[0], sock)
                return []
        if self._was_answered_early(left[0], sock):
            return [RelayEnded(relay, Outcome.UNREACHABLE) for relay in sendable]
        for relay in sendable:
            with relay.lock:
                relay.sock, relay.same_call = sock, tuple(sendable)
        try:
            return self._exchange_batch(sendable, sock, [bodies[relay] for relay in sendable])
        finally:
            for relay in left:
                with relay.lock:
                    relay.sock = None

    def _exchange_batch(
        self, relays: list[Relay], sock: socket.socket, bodies: list[bytes]
    ) -> list[RelayEnded]:
        """Make a call with several messages. Relays whose message's time runs out meanwhile are reported at
        once, and the call is given up once no relay is waited for."""
        body = bulk.write_body(
            (relay.message.ref, relay.message.idempotency_key, data)
            for relay, data in zip(relays, bodies, strict=True)
        )
        bodies.clear()
        refs = [relay.message.ref for relay in relays]
        left = max(relay.ends_at for relay in relays) - self.clock.now()
        call = EndpointCall(relays, sock, self.clock, self.log)
        call.run([self._request(relays[0], bulk.TARGET, [], left, body)], partial(self._attend_batch, relays))
        self.connections.close(relays[0], sock)
        if not call.sent:
            return [self._unwritten_end(relay) for relay in relays]
        evidence = call.evidence(lambda answer: answers.bulk_meaning(answer, refs))
        if evidence is Evidence.ANSWERED:
            return [self._check_deadline(end) for end in answers.bulk_ends(relays, call.stream.answers)]
        return [answers.unanswered_end(relay, evidence, call.ending, call.stream.begun) for relay in relays]

    def _attend_batch(self, relays: list[Relay], now: datetime) -> datetime:
        """Report relays whose time is up; when to do so next, or `now` if none is waited for any more."""
        for relay in relays:
            relay.overdue = relay.overdue or relay.ends_at <= now
            if relay.next_deadline() <= now:  # its message's time is over, so no retry can overlap
                self._report(RelayEnded(relay, Outcome.TIMED_OUT))
        if not any(relay.is_awaited() for relay in relays):
            return now
        return min(relay.next_deadline() for relay in relays if not relay.reported)

    @staticmethod
    def _request(
        relay: Relay, target: str, headers: list[tuple[str, str]], left: timedelta, body: bytes
    ) -> bytes:
        """The bytes of a call to a relay's host, with `left` to wait for its answer."""
        host, port = relay.host.address
        own = [CLOSE_HEADER, ("Request-Timeout-Ms", str(max(1, millis(left))))]
        return http.write_request("POST", target, f"{host}:{port}", [*headers, *own], body)

    @staticmethod
    def _unwritten_end(relay: Relay) -> RelayEnded:
        """The end of a relay whose call was not written whole, which proves that it was not executed."""
        return RelayEnded(relay, Outcome.NOT_SENT if relay.cancelled else Outcome.UNREACHABLE)

    def _delay_disk_error(self, relay: Relay) -> None:
        """Delay the report of a disk error. Reported at once, it would use up the message's attempts."""
        self._never_set.wait(seconds(max(ZERO, min(DISK_ERROR_DELAY, relay.ends_at - self.clock.now()))))

    def _exchange(self, relay: Relay, sock: socket.socket, body: list[bytes]) -> RelayEnded:
        """Make a call with one message."""
        headers = [("Request-Id", relay.message.ref)]
        if relay.message.idempotency_key is not None:
            headers.append(("Idempotency-Key", relay.message.idempotency_key))
        left = relay.ends_at - self.clock.now()
        call = EndpointCall([relay], sock, self.clock, self.log)
        call.run([self._request(relay, "/inbox", headers, left, body.pop())], lambda now: relay.ends_at)
        self.connections.close(relay, sock)
        if not call.sent:
            return self._unwritten_end(relay)
        evidence = call.evidence(answers.meaning)
        if evidence is Evidence.ANSWERED:
            return self._check_deadline(answers.answered_end(relay, call.stream.answers))
        return answers.unanswered_end(relay, evidence, call.ending, call.stream.begun)

    def _check_deadline(self, ended: RelayEnded) -> RelayEnded:
        """Treat a delivery that is read after the message's deadline as a timeout: it may have come too late.

        A process short of CPU wakes late and finds an answer that was not there in time. Taken as a delivery,
        it would leave the message without a final outcome; a notice for a delivered message does no harm.
        """
        late = self.clock.now() >= ended.relay.message.ends_at - DEADLINE_MARGIN
        if late and ended.outcome is Outcome.DELIVERED:
            return RelayEnded(ended.relay, Outcome.TIMED_OUT)
        return ended
