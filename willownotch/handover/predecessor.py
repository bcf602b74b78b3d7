"""The old process's side: hands its state over in one step when asked, then finishes its calls."""

from __future__ import annotations

import os
import queue
import socket
import threading
from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path
from struct import Struct

import msgspec

from willownotch.bodies.store import Bodies
from willownotch.handover.lock import FolderLock
from willownotch.handover.messages import Adopted, CancelAttempt, Withdrawn, call_ended
from willownotch.handover.passing import ClientPassing
from willownotch.handover.state import HandoverState
from willownotch.handover.version import version
from willownotch.handover.wire import LOCK_WANTED, BadFrameError, Frame, Kind, Link, address
from willownotch.lifecycle import Event, SharedLifecycle
from willownotch.net.attempts import RelayEnded
from willownotch.net.client_side import ClientSide
from willownotch.net.clock import Clock, millis, seconds
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.endpoint_side import EndpointSide
from willownotch.net.events import Flush, HandOver, Withdraw
from willownotch.net.log import Log
from willownotch.net.pending import PendingReply

HELLO_TIMEOUT = timedelta(seconds=1)  # for the other process to say what it is
PAUSE_TIMEOUT = timedelta(seconds=2)  # until the decision loop pauses between two rounds
STATE_READ_TIMEOUT = timedelta(seconds=2)  # after it the hand-over fails and this process keeps serving
FINISH_TIMEOUT = timedelta(seconds=2)  # for calls in progress, if the other process runs different sources
LEAVE_TIMEOUT = timedelta(seconds=20)  # for calls in progress after the hand-over
CLIENT_ANSWER_TIMEOUT = timedelta(milliseconds=500)  # for clients still here, once the other process is gone
POLL_INTERVAL, ACCEPT_RETRY_DELAY = timedelta(milliseconds=50), timedelta(milliseconds=100)
LISTEN_RETRY_DELAY = timedelta(seconds=1)
PEER_CREDENTIALS = Struct("3i")
BACKLOG = 16


class Predecessor:
    """Waits for a process that asks for the state, hands it over and ends this process."""

    def __init__(
        self,
        folder: Path,
        lock: FolderLock,
        clock: Clock,
        log: Log,
        lifecycle: SharedLifecycle,
        decision_loop: DecisionLoop,
        endpoint_side: EndpointSide,
        client_side: ClientSide,
        bodies: Bodies,
        start: Callable[[str, Callable[[], None]], None],
    ) -> None:
        self.folder, self.lock, self.clock, self.log, self.lifecycle = folder, lock, clock, log, lifecycle
        self.decision_loop, self.endpoint_side, self.client_side, self.bodies = (
            decision_loop,
            endpoint_side,
            client_side,
            bodies,
        )
        self.start = start
        self._version = version()  # computed now: an upgrade replaces the files
        self._pause = threading.Event()  # never set: used for delays
        self.release_steps: list[Callable[[], None]] = []  # other releases of addresses, after the hand-over
        self._sock: socket.socket | None = None
        self._passing: ClientPassing | None = None  # set by the hand-over
        self._lock_passed = False  # as a descriptor, so that no third process can take the lock in between
        self._successor_gone = threading.Event()  # set once the other process has ended
        self.predecessor_gone: Callable[[], bool] = lambda: True  # it passes its clients on to this one

    def listen(self) -> bool:
        """Open the hand-over socket; return whether that succeeded. This process serves in any case."""
        folder = sock = -1
        try:
            folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            path = address(self.folder, folder)
            sock = socket.socket(socket.AF_UNIX)
            Path(path).unlink(missing_ok=True)  # the lock is held: a socket there is a leftover
            sock.bind(path)
            os.chmod(path, 0o600)
            sock.listen(BACKLOG)
        except OSError as fault:
            self.log.say("upgrade", f"the hand-over socket could not be opened, trying again: {fault}")
            if sock != -1:
                sock.close()
            return False
        finally:
            if folder != -1:
                os.close(folder)
        self._sock = sock
        return True

    def run(self) -> None:
        """Answer requests until the state is handed over; then end the process once its work is done."""
        while self._sock is None and not self.listen():
            self._pause.wait(seconds(LISTEN_RETRY_DELAY))
        link = None
        while link is None:
            link = self._accept_request()
        self._sock.close()  # later requests are refused at once, and go to the new process
        self.start("leave", self._leave)
        self._receive_until_end(link)
        threading.Event().wait()  # `_leave` ends the process

    def _accept_request(self) -> Link | None:
        """Answer the next process that asks; return the link to it if the state was handed over."""
        try:
            sock, _ = self._sock.accept()
        except OSError as fault:
            self.log.say("upgrade", f"no request on the hand-over socket could be accepted: {fault}")
            self._pause.wait(seconds(ACCEPT_RETRY_DELAY))
            return None
        link = Link(sock)
        try:
            if self._same_user(sock) and self._handle_request(link):
                return link
        except Exception as fault:  # before the hand-over any failure leaves this process serving
            self.log.say("upgrade", f"a request for the state failed: {type(fault).__name__}: {fault}")
        link.close()
        return None

    @staticmethod
    def _same_user(sock: socket.socket) -> bool:
        _, user, _ = PEER_CREDENTIALS.unpack(
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        )
        return user == os.geteuid()

    def _handle_request(self, link: Link) -> bool:
        """Hand the state over; return whether that succeeded.

        Until HANDED_OVER is sent, this process can go on serving.
        """
        hello = link.receive(HELLO_TIMEOUT)
        if hello is None or hello.kind is not Kind.HELLO:
            raise BadFrameError("the first frame is not HELLO")
        current = self.lifecycle.current
        if not current.listed or not self.lifecycle.tell(Event.HAND_OVER, self.clock.now()).handing_over:
            link.send(Kind.NOT_NOW)
            return False
        same = hello.data == self._version
        self.log.say(
            "upgrade",
            "handing over to another process"
            + ("" if same else ", which runs different sources: calls in progress are finished first"),
        )
        if not same:
            self.endpoint_side.finish(FINISH_TIMEOUT)
        request, handed_over = HandOver(PendingReply(), queue.SimpleQueue()), False
        started_at = self.clock.now()
        self.bodies.freeze()
        self.decision_loop.post(request)
        try:
            state = request.pending.wait(PAUSE_TIMEOUT, PAUSE_TIMEOUT)
            if state is None:
                link.send(Kind.NOT_NOW)
            else:
                self.log.say(
                    "state",
                    f"the decision loop paused after {self._since(started_at)} ms: "
                    f"{len(state.outstanding)} messages without a final outcome, "
                    f"{self.client_side.connection_count()} clients",
                )
                handed_over = self._hand_over(link, state if same else None)
        finally:
            if handed_over:  # before anything is released: what arrives from here on must be forwarded
                self.decision_loop.forward = self._forwarder(link)
                self.client_side.redirect(self._passing.pass_on)
            self.bodies.thaw(stop=handed_over)
            request.decided.put(handed_over)
            if not handed_over:
                self.lifecycle.tell(Event.HAND_OVER_FAILED, self.clock.now())
                self.log.say("upgrade", "the other process did not take over: this one keeps serving")
                if not same:
                    self.endpoint_side.reopen()
        if handed_over:
            self._after_hand_over(started_at)
        return handed_over

    def _since(self, started_at: datetime) -> int:
        return millis(self.clock.now() - started_at)

    def _hand_over(self, link: Link, state: HandoverState | None) -> bool:
        """Send the state; return whether the other process has it. After the last frame that is final."""
        try:
            return self._send_all(link, state)
        except Exception as fault:  # includes a state that cannot be encoded: this process keeps it
            self.log.say("upgrade", f"the hand-over failed: {fault or type(fault).__name__}")
            return False

    def _send_all(self, link: Link, state: HandoverState | None) -> bool:
        """Send the state and, once it was read, HANDED_OVER; return whether it was read."""
        listener = self.client_side.listener.fileno()
        if state is None:
            link.send(Kind.LISTENER_ONLY, fds=(listener,))
        else:
            from willownotch.handover import pickled

            state.waits = dict(self.endpoint_side.conditions.waits)
            link.send(Kind.STATE, pickled.write(state), (listener,))
        answer = link.receive(STATE_READ_TIMEOUT)
        if answer is None or answer.kind is not Kind.STATE_READ:
            return False
        if state is None and (given_up := self.endpoint_side.give_up_calls()):
            # The other process finds in the journal that they may have run, and may make them again at once.
            self.log.say("upgrade", f"{given_up} calls in progress are given up, which may have run")
        self._passing = ClientPassing(link, self.clock, self.log)
        self._lock_passed = answer.data == LOCK_WANTED
        link.send(Kind.HANDED_OVER, fds=(self.lock.fileno(),) if self._lock_passed else ())
        return True

    @staticmethod
    def _forwarder(link: Link) -> Callable[[RelayEnded | Withdraw], None]:
        """Return what the decision loop calls with each event that is for the other process."""
        encode = msgspec.msgpack.encode

        def forward(item: RelayEnded | Withdraw) -> None:
            try:
                if isinstance(item, Withdraw):
                    link.send(Kind.WITHDRAWN, encode(Withdrawn(item.ref)))
                else:
                    link.send(Kind.ENDED, encode(call_ended(item)))
            except OSError:
                pass  # it has ended; the next start finds the calls in progress in the journal

        return forward

    def _after_hand_over(self, started_at: datetime) -> None:
        """Release and pass on what remains. A failure of one step must not prevent the others."""
        self._run_steps(self._release_lock)
        clients = self.client_side.pass_on_idle()
        self.lifecycle.tell(Event.HANDED_OVER, self.clock.now())  # only now may this process reject requests
        self.log.say(
            "upgrade",
            f"handed over; {self.endpoint_side.calls_in_progress()} calls in progress are finished here; "
            f"{clients} idle clients were passed on, {self.client_side.connection_count()} are still here, "
            f"{self._since(started_at)} ms",
        )

    def _run_steps(self, *steps: Callable[[], None]) -> None:
        for step in steps:
            try:
                step()
            except Exception as fault:
                self.log.say("upgrade", f"{step.__qualname__} failed, continuing: {fault}")

    def _release_lock(self) -> None:
        if self._lock_passed:
            self.lock.leave()
        else:
            self.lock.release()

    def _receive_until_end(self, link: Link) -> None:
        """Handle what the other process sends until it ends."""
        fault = self._handle_frames(link)
        certain = fault is None
        if isinstance(fault, OSError):
            # From here on it cannot confirm any client. What it has confirmed before is still read.
            link.shut()
            certain = self._handle_frames(link) is None
        elif fault is not None:  # confirmations in the invalid bytes are lost
            link.shut()
        self._passing.end(certain)
        self._successor_gone.set()
        self.log.say("upgrade", f"the link to the other process ended: {fault or 'it has exited'}")

    def _handle_frames(self, link: Link) -> Exception | None:
        """Handle frames until the end of the link; return the error if it ended by one."""
        try:
            while (frame := link.receive(None)) is not None:
                self._handle_frame(frame)
        except ConnectionResetError:
            return None  # it ended without reading all frames; its own were read before
        except (OSError, ValueError) as fault:
            return fault
        return None

    def _handle_frame(self, frame: Frame) -> None:
        decode = msgspec.msgpack.decode
        if frame.kind is Kind.CANCEL:
            call = decode(frame.data, type=CancelAttempt)
            self.endpoint_side.cancel_by_id(call.ref, call.number)
            self.decision_loop.cancel_remote(call.ref, call.number)
        elif frame.kind in (Kind.ADOPTED, Kind.NOT_ADOPTED):
            self._passing.answered(decode(frame.data, type=Adopted).number, frame.kind is Kind.ADOPTED)

    def _calls_in_progress(self) -> int:
        return self.endpoint_side.calls_in_progress() + self.decision_loop.remote_calls()

    def _finished(self) -> bool:
        return (
            self.predecessor_gone()
            and not self._calls_in_progress()
            and not self.client_side.connection_count()
        )

    def _leave(self) -> None:
        """End the process once its calls have ended and its clients are gone.

        If the other process ends first, nobody can be told the results of calls: the next process finds in
        the journal that they may have run, and must not make them while they are still in progress here.
        """
        deadline = self.clock.now() + LEAVE_TIMEOUT
        self._run_steps(*self.release_steps)
        while self.clock.now() < deadline and not self._finished():
            if self._successor_gone.wait(seconds(POLL_INTERVAL)):
                self.log.say(
                    "upgrade",
                    f"ending with {self._calls_in_progress()} calls in progress, which may have run",
                )
                deadline = min(deadline, self.clock.now() + CLIENT_ANSWER_TIMEOUT)
                if not self.client_side.connection_count():
                    break
                self._pause.wait(seconds(POLL_INTERVAL))
        flush = Flush(threading.Event())
        self.decision_loop.post(flush)
        flush.done.wait(seconds(HELLO_TIMEOUT))
        self.log.say("end", f"ended after the hand-over; {self.log.counters.summary()}")
        os._exit(0)
