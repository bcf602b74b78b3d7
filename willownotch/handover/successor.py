"""The new process's side: takes the folder's lock if it is free, else the state from the lock's holder."""

from __future__ import annotations

import os
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec

from willownotch.handover.lock import FolderLock
from willownotch.handover.messages import Adopted, CallEnded, CancelAttempt, Client, Withdrawn
from willownotch.handover.state import HandoverState
from willownotch.handover.version import version
from willownotch.handover.wire import LOCK_WANTED, BadFrameError, Frame, Kind, Link, address
from willownotch.net.attempts import Relay
from willownotch.net.client_side import ClientSide
from willownotch.net.clock import Clock, seconds
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.endpoint_side import EndpointSide
from willownotch.net.events import RemoteEnded, Withdraw
from willownotch.net.log import Log

ANSWER_TIMEOUT = timedelta(seconds=6)  # for the old process to finish what it must and encode the state
LOCK_TIMEOUT = timedelta(seconds=2)  # from the end of the hand-over until the lock is free
RETRY_DELAY = timedelta(milliseconds=100)


@dataclass
class ReceivedHandover:
    """What was handed over. Without a state this process starts from the journal."""

    link: Link
    listener: socket.socket
    state: HandoverState | None


class Successor:
    """Acquires the folder, by its lock or by a hand-over from the process that has it."""

    def __init__(self, folder: Path, lock: FolderLock, clock: Clock, log: Log) -> None:
        self.folder, self.lock, self.clock, self.log = folder, lock, clock, log

    def take(self, stopped: Callable[[], bool]) -> ReceivedHandover | None:
        """Wait until this process holds the lock; return what was handed over, if anything.

        `InterruptedError` once `stopped()` is true.
        """
        while not self.lock.take():
            if stopped():
                raise InterruptedError
            try:
                if (received := self._ask()) is not None:
                    return received
                why = "not yet"
            except (OSError, ValueError) as fault:
                why = str(fault) or type(fault).__name__
            self.log.say("upgrade", f"another process holds the folder, asking it again: {why}")
            time.sleep(seconds(RETRY_DELAY))
        return None

    def _ask(self) -> ReceivedHandover | None:
        """Ask the old process once. What it sent is dropped unless it then confirms the hand-over."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        sock = socket.socket(socket.AF_UNIX)
        link, frame = Link(sock), None
        try:
            sock.settimeout(seconds(ANSWER_TIMEOUT))
            sock.connect(address(self.folder, folder))
            link.send(Kind.HELLO, version())
            frame = link.receive(ANSWER_TIMEOUT)
            if frame is None or frame.kind is Kind.NOT_NOW:
                return None
            received, frame = self._read(link, frame), None  # `received` owns the descriptors from here on
            link.send(Kind.STATE_READ, LOCK_WANTED)
            answer = link.receive(ANSWER_TIMEOUT)
            if answer is None or answer.kind is not Kind.HANDED_OVER:
                raise BadFrameError("the old process did not confirm the hand-over")
            if answer.fds:
                self.lock.adopt(answer.fds[0])
            deadline = time.monotonic() + seconds(LOCK_TIMEOUT)
            while not self.lock.take():
                if time.monotonic() > deadline:
                    raise TimeoutError("the old process did not release the lock")
                time.sleep(0.002)
            link = None
            return received
        finally:
            os.close(folder)
            for fd in frame.fds if frame is not None else ():
                os.close(fd)
            if link is not None:
                link.close()

    @staticmethod
    def _read(link: Link, frame: Frame) -> ReceivedHandover:
        if frame.truncated or not frame.fds:
            raise BadFrameError("descriptors did not arrive, as this process has too few free ones")
        if frame.kind is Kind.LISTENER_ONLY:
            return ReceivedHandover(link, socket.socket(fileno=frame.fds[0]), None)
        if frame.kind is not Kind.STATE:
            raise BadFrameError(f"{frame.kind.name} is not a valid answer to HELLO")
        from willownotch.handover import pickled

        state = pickled.read(frame.data)
        if len(state.idle) != len(frame.fds) - 1:
            raise BadFrameError("the state came without some of its connections")
        listener, *kept = [socket.socket(fileno=fd) for fd in frame.fds]
        for sock in kept:  # an older process passes on connections that it has used
            sock.close()
        return ReceivedHandover(link, listener, state)


class PredecessorLink:
    """Receives from the old process until it ends: client connections, and the results of its calls."""

    def __init__(
        self,
        received: ReceivedHandover,
        log: Log,
        decision_loop: DecisionLoop,
        endpoint_side: EndpointSide,
        client_side: ClientSide,
    ) -> None:
        self.link, self.log, self.decision_loop, self.endpoint_side, self.client_side = (
            received.link,
            log,
            decision_loop,
            endpoint_side,
            client_side,
        )
        self.gone = threading.Event()  # the old process has ended, and all that it sent was handled

    def cancel(self, relay: Relay) -> None:
        """Have the old process stop waiting for a call."""
        self.cancel_by_id(relay.message.ref, relay.number)

    def cancel_by_id(self, ref: str, number: int) -> None:
        """Have the old process stop waiting for a call, given its message and number."""
        try:
            self.link.send(Kind.CANCEL, msgspec.msgpack.encode(CancelAttempt(ref, number)))
        except OSError:
            pass  # the old process has ended: `run` reports it

    def run(self) -> None:
        """Handle what the old process sends until it ends."""
        try:
            while (frame := self.link.receive(None)) is not None:
                self._handle_frame(frame)
        except (OSError, ValueError) as fault:
            self.log.say("upgrade", f"the link to the old process failed: {fault}")
        self.decision_loop.post(RemoteEnded(gone=True))
        self.link.close()
        self.gone.set()

    def _adopt(self, frame: Frame) -> None:
        """Adopt a client connection, or tell the old process that it must answer the client itself."""
        client = msgspec.msgpack.decode(frame.data, type=Client)
        confirms = bool(client.number and client.request)  # for an idle client the old process does not wait
        confirm = (lambda: self._answer(Kind.ADOPTED, client.number)) if confirms else None
        adopted, sock = False, None
        try:
            if not frame.fds:
                raise OSError("its descriptor did not arrive")
            sock = socket.socket(fileno=frame.fds[0])
            adopted = self.client_side.adopt(
                sock, client.request, client.arrived, client.asked, client.read_at, confirm
            )
        except OSError as fault:
            self.log.say("upgrade", f"a client connection of the old process could not be adopted: {fault}")
            if sock is None:
                for descriptor in frame.fds:
                    os.close(descriptor)
        if confirms and not adopted:
            self._answer(Kind.NOT_ADOPTED, client.number)

    def _answer(self, kind: Kind, number: int) -> bool:
        """Tell the old process whether a client was adopted; return whether that could be sent."""
        try:
            self.link.send(kind, msgspec.msgpack.encode(Adopted(number)))
        except OSError as fault:
            self.log.say("upgrade", f"the old process was not sent {kind.name} for client {number}: {fault}")
            return False
        return True

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind is Kind.CLIENT:
            self._adopt(frame)
        elif frame.kind is Kind.ENDED:
            call = msgspec.msgpack.decode(frame.data, type=CallEnded)
            if call.wait:
                self.endpoint_side.conditions.wait(call.destination, call.wait)
            self.decision_loop.post(RemoteEnded(call.ref, call.number, call.as_relay_ended()))
        elif frame.kind is Kind.WITHDRAWN:
            self.decision_loop.post(Withdraw(msgspec.msgpack.decode(frame.data, type=Withdrawn).ref, None))
        else:
            raise BadFrameError(f"{frame.kind.name} is not valid from the old process")
