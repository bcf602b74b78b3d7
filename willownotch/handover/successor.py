"""The new process's side: it takes the folder where nobody has it, or all that its holder hands over."""

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
from willownotch.net.client_side import ClientSide
from willownotch.net.clock import Clock, seconds
from willownotch.net.decision_loop import DecisionLoop
from willownotch.net.endpoint_side import EndpointSide, IdleConnection, Relay
from willownotch.net.events import RemoteEnded, Withdraw
from willownotch.net.log import Log

ANSWER_TIME = timedelta(seconds=6)  # for the old one to finish what it must and to pack everything
LOCK_TIME = timedelta(seconds=2)  # from its word until the lock is free
AGAIN = timedelta(milliseconds=100)


@dataclass
class Inherited:
    """What was handed over. Without an state the journal tells all."""

    link: Link
    listener: socket.socket
    state: HandoverState | None
    idle: list[tuple[int, IdleConnection]]


class Successor:
    """Gets hold of the folder, one way or the other."""

    def __init__(self, folder: Path, lock: FolderLock, clock: Clock, log: Log) -> None:
        self.folder, self.lock, self.clock, self.log = folder, lock, clock, log

    def take(self, stopped: Callable[[], bool]) -> Inherited | None:
        """Wait until this process holds the lock; with what was handed over, if anything was."""
        while not self.lock.take():
            if stopped():
                raise InterruptedError
            try:
                if (inherited := self._ask()) is not None:
                    return inherited
                why = "not yet"
            except (OSError, ValueError) as fault:
                why = str(fault) or type(fault).__name__
            self.log.say("upgrade", f"another process holds the folder; asked again: {why}")
            time.sleep(seconds(AGAIN))
        return None

    def _ask(self) -> Inherited | None:
        """One try. What came with it is dropped unless the old one has said that it is ours."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        sock = socket.socket(socket.AF_UNIX)
        link, frame = Link(sock), None
        try:
            sock.settimeout(seconds(ANSWER_TIME))
            sock.connect(address(self.folder, folder))
            link.send(Kind.HELLO, version())
            frame = link.receive(ANSWER_TIME)
            if frame is None or frame.kind is Kind.NOT_NOW:
                return None
            inherited, frame = self._read(link, frame), None  # its sockets close themselves from here on
            link.send(Kind.TOOK, LOCK_WANTED)
            word = link.receive(ANSWER_TIME)
            if word is None or word.kind is not Kind.HANDED_OVER:
                raise BadFrameError("it was taken back")
            if word.fds:
                self.lock.adopt(word.fds[0])
            ends = time.monotonic() + seconds(LOCK_TIME)
            while not self.lock.take():
                if time.monotonic() > ends:
                    raise TimeoutError("the lock was not let go")
                time.sleep(0.002)
            link = None
            return inherited
        finally:
            os.close(folder)
            for fd in frame.fds if frame is not None else ():
                os.close(fd)
            if link is not None:
                link.close()

    @staticmethod
    def _read(link: Link, frame: Frame) -> Inherited:
        if frame.truncated or not frame.fds:
            raise BadFrameError("descriptors did not arrive: there are too few for this process")
        if frame.kind is Kind.PLAIN:
            return Inherited(link, socket.socket(fileno=frame.fds[0]), None, [])
        if frame.kind is not Kind.STATE:
            raise BadFrameError(f"{frame.kind.name} is no answer to this")
        from willownotch.handover import pickled

        state = pickled.read(frame.data)
        if len(state.idle) != len(frame.fds) - 1:
            raise BadFrameError("connections of the state are missing")
        listener, *kept = [socket.socket(fileno=fd) for fd in frame.fds]
        return Inherited(
            link,
            listener,
            state,
            [
                (number, IdleConnection(sock, since))
                for (number, since), sock in zip(state.idle, kept, strict=True)
            ],
        )


class PredecessorLink:
    """Goes on hearing the old process until it ends: clients, and the ends of its calls."""

    def __init__(
        self,
        inherited: Inherited,
        log: Log,
        decision_loop: DecisionLoop,
        endpoint_side: EndpointSide,
        client_side: ClientSide,
    ) -> None:
        self.link, self.log, self.decision_loop, self.endpoint_side, self.client_side = (
            inherited.link,
            log,
            decision_loop,
            endpoint_side,
            client_side,
        )
        self.gone = threading.Event()  # the old process has ended, and all that it sent was taken

    def cancel(self, relay: Relay) -> None:
        """Have the old process stop waiting for a call."""
        self.cancel_by_id(relay.message.ref, relay.number)

    def cancel_by_id(self, ref: str, number: int) -> None:
        """The same, for who knows only what it is called."""
        try:
            self.link.send(Kind.CALL_OFF, msgspec.msgpack.encode(CancelAttempt(ref, number)))
        except OSError:
            pass  # it is gone: `run` says so

    def run(self) -> None:
        """Take what it sends until it ends."""
        try:
            while (frame := self.link.receive(None)) is not None:
                self._take(frame)
        except (OSError, ValueError) as fault:
            self.log.say("upgrade", f"the process before is not heard any more: {fault}")
        self.decision_loop.post(RemoteEnded(gone=True))
        self.link.close()
        self.gone.set()

    def _adopt(self, frame: Frame) -> None:
        """Go on with a client, or say that it cannot be done: then the old process answers it."""
        client = msgspec.msgpack.decode(frame.data, type=Client)
        told = bool(client.number and client.request)  # an idle client's old process waits for no answer
        confirm = (lambda: self._tell(Kind.ADOPTED, client.number)) if told else None
        adopted, sock = False, None
        try:
            if not frame.fds:
                raise OSError("no descriptor is free for it")
            sock = socket.socket(fileno=frame.fds[0])
            adopted = self.client_side.adopt(
                sock, client.request, client.arrived, client.asked, client.read_at, confirm
            )
        except OSError as fault:
            self.log.say("upgrade", f"a client of the process before was not taken: {fault}")
            if sock is None:
                for descriptor in frame.fds:
                    os.close(descriptor)
        if told and not adopted:
            self._tell(Kind.NOT_ADOPTED, client.number)

    def _tell(self, kind: Kind, number: int) -> bool:
        """Tell the old process what became of a client; whether it will hear that."""
        try:
            self.link.send(kind, msgspec.msgpack.encode(Adopted(number)))
        except OSError as fault:
            self.log.say(
                "upgrade", f"the process before was not told {kind.name} of client {number}: {fault}"
            )
            return False
        return True

    def _take(self, frame: Frame) -> None:
        if frame.kind is Kind.CLIENT:
            self._adopt(frame)
        elif frame.kind is Kind.ENDED:
            told = msgspec.msgpack.decode(frame.data, type=CallEnded)
            if told.wait:
                self.endpoint_side.wait(told.destination, told.wait)
            self.decision_loop.post(RemoteEnded(told.ref, told.number, told.ended()))
        elif frame.kind is Kind.WITHDRAWN:
            self.decision_loop.post(Withdraw(msgspec.msgpack.decode(frame.data, type=Withdrawn).ref, None))
        else:
            raise BadFrameError(f"{frame.kind.name} is not for this side")
