"""A proxy in front of an endpoint that spoils what it answers: repeated, cut, late or unasked.

Calls pass unchanged. A share of them is struck: their answers reach the caller with a second copy of an
earlier answer, broken off, late, without the end of the connection, or not at all. What the target has
written is known to the target alone, so that a caller who takes a wrong answer for its own is found out.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from enum import Enum
from random import Random

from willownotch.lab.faults.proxy import abort
from willownotch.net import http

CONNECT_TIMEOUT_S = 1.0
COPY_DELAY_S = 0.003  # of a copy behind the call that it is taken for the answer of
OWN_ANSWER_DELAY_S = 0.08  # of a call's own answer behind such a copy
MAX_COPY_DELAY_S = 0.12  # of a copy behind the answer that it repeats
MAX_UNASKED_DELAY_S = 0.002  # of an answer that nobody asked for, behind the new connection
LATE_ANSWER_S = (0.1, 0.7)
HELD_END_S = 3.0
INTERIM_HEADS = 20
UNASKED_ANSWERS = (http.write_answer(200), http.write_answer(204), http.write_answer(503))


class AnswerFault(Enum):
    """What befalls an answer on its way to the caller."""

    COPY_BEHIND_CALL = "the last answer again behind the call, its own later"
    COPY_BEHIND_ANSWER = "the last answer again behind itself"
    HALF_COPY = "half of the last answer behind the call, its rest in front of the call's own"
    TORN_COPY = "half of the last answer behind the call, its rest never"
    TWO_COPIES = "the last answer twice behind the call"
    UNASKED = "an answer that nobody asked for on a new connection"
    CUT = "half of the answer, then the end of the connection"
    RESET = "the answer, then a reset that may overtake it"
    LATE = "the answer late"
    HELD_END = "the answer, but not the end of the connection"
    NO_ANSWER = "the end of the connection in place of the answer"
    PIECES = "the answer in pieces of one byte"
    TOO_LONG = "the answer with more bytes than its length"
    INTERIM = "many interim heads in front of the answer"


# Kinds that leave traces of one call in front of another call's answer.
COPIES = (
    AnswerFault.COPY_BEHIND_CALL,
    AnswerFault.COPY_BEHIND_ANSWER,
    AnswerFault.HALF_COPY,
    AnswerFault.TORN_COPY,
    AnswerFault.TWO_COPIES,
    AnswerFault.UNASKED,
)


def read_answer(sock: socket.socket) -> tuple[bytes, bool]:
    """The bytes of the next answer, and whether the connection has ended with it."""
    parser, data = http.Parser(answer=True), b""
    while parser.next() is None:
        if parser.eof:
            return data, True
        part = sock.recv(http.READ_BYTES)
        parser.feed(part)
        data += part
    return data, parser.eof


class AnswerProxy:
    """Stands in front of one address. `fault` says what befalls the next call's answer, if anything.

    `foreign`: the copies are of the last answer to anyone, not only of the last one on the same connection.
    """

    def __init__(
        self,
        target: tuple[str, int],
        fault: Callable[[], AnswerFault | None],
        seed: int,
        foreign: bool = True,
    ) -> None:
        self.target, self.fault, self.foreign = target, fault, foreign
        self.random = Random(seed)
        self.struck: dict[AnswerFault, int] = {}
        self.last_answer = b""  # to any caller
        self.lock = threading.Lock()
        self.closing = threading.Event()
        self._open: set[socket.socket] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address: tuple[str, int] = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def count(self, fault: AnswerFault) -> None:
        """Count an answer that was struck."""
        with self.lock:
            self.struck[fault] = self.struck.get(fault, 0) + 1

    def _accept(self) -> None:
        while not self.closing.is_set():
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
        except OSError:
            abort(client)
            client.close()
            return
        server.settimeout(None)
        with self.lock:
            self._open |= {client, server}
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            ProxiedConnection(self, client, server).run()
        finally:
            with self.lock:
                self._open -= {client, server}
            for sock in (client, server):
                sock.close()

    def close(self) -> None:
        """End it, with all its connections."""
        self.closing.set()
        self.listener.close()
        with self.lock:
            for sock in self._open:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it has ended


class ProxiedConnection:
    """One connection through the proxy: calls one way as they come, answers the other way."""

    def __init__(self, proxy: AnswerProxy, client: socket.socket, server: socket.socket) -> None:
        self.proxy, self.client, self.server = proxy, client, server
        self.last_answer = b""  # on this connection
        self._write_lock = threading.Lock()
        self._unasked = False  # an answer that nobody asked for is written
        self._fault: AnswerFault | None = None
        self._copied = b""
        self._own_answer_at = 0.0  # not before, on the monotonic clock
        self._rest_of_copy = b""

    def run(self) -> None:
        """Carry the connection until both sides have ended."""
        self._unasked = self.proxy.fault() is AnswerFault.UNASKED
        if self._unasked:
            threading.Thread(target=self._write_unasked, daemon=True).start()
        calls = threading.Thread(target=self._carry_calls, daemon=True)
        calls.start()
        try:
            self._carry_answers()
        except (OSError, http.BadMessageError):
            abort(self.client)
        finally:
            try:
                self.server.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it has ended
        calls.join()

    def _write(self, data: bytes) -> None:
        with self._write_lock:
            self.client.sendall(data)

    def _write_later(self, delay_s: float, data: bytes) -> None:
        self.proxy.closing.wait(delay_s)
        try:
            self._write(data)
        except OSError:
            pass  # the caller has gone

    def _write_unasked(self) -> None:
        self.proxy.count(AnswerFault.UNASKED)
        delay_s = self.proxy.random.uniform(0.0, MAX_UNASKED_DELAY_S)
        self._write_later(delay_s, self.proxy.random.choice(UNASKED_ANSWERS))

    def _carry_calls(self) -> None:
        parser = http.Parser(answer=False)
        try:
            while data := self.client.recv(http.READ_BYTES):
                parser.feed(data)
                complete = parser.next() is not None
                if complete:
                    self._draw_fault()
                self.server.sendall(data)
                if complete:
                    self._write_copies()
            self.server.shutdown(socket.SHUT_WR)
        except (OSError, http.BadMessageError):
            abort(self.server)

    def _draw_fault(self) -> None:
        """Decide what befalls the answer of the call that is complete now."""
        copied = self.last_answer or (self.proxy.last_answer if self.proxy.foreign else b"")
        fault = self.proxy.fault()
        if fault is AnswerFault.UNASKED or (fault in COPIES and not copied):
            fault = None
        # Nobody can tell another call's answer and then an orderly end from an honest one.
        if fault is AnswerFault.NO_ANSWER and self._unasked:
            fault = AnswerFault.RESET
        self._fault, self._copied, self._rest_of_copy, self._own_answer_at = fault, copied, b"", 0.0
        if fault is not None:
            self.proxy.count(fault)
        if fault in COPIES and fault is not AnswerFault.COPY_BEHIND_ANSWER:
            self._own_answer_at = time.monotonic() + OWN_ANSWER_DELAY_S
        if fault is AnswerFault.LATE:
            self._own_answer_at = time.monotonic() + self.proxy.random.uniform(*LATE_ANSWER_S)
        if fault is AnswerFault.HALF_COPY:
            self._rest_of_copy = copied[len(copied) // 2 :]

    def _write_copies(self) -> None:
        """Write what comes behind the call and in front of its own answer."""
        copied = self._copied
        copies = {
            AnswerFault.COPY_BEHIND_CALL: copied,
            AnswerFault.TWO_COPIES: copied * 2,
            AnswerFault.HALF_COPY: copied[: len(copied) // 2],
            AnswerFault.TORN_COPY: copied[: len(copied) // 2],
        }
        if (data := copies.get(self._fault, b"")) != b"":
            self._write_later(COPY_DELAY_S, data)

    def _carry_answers(self) -> None:
        ended = False
        while not ended:
            answer, ended = read_answer(self.server)
            if not answer:
                break
            self.proxy.closing.wait(max(0.0, self._own_answer_at - time.monotonic()))
            fault, rest = self._fault, self._rest_of_copy
            self._remember(answer)
            if not self._write_answer(answer, fault, rest):
                return
        self.client.shutdown(socket.SHUT_WR)

    def _remember(self, answer: bytes) -> None:
        self.last_answer = answer
        with self.proxy.lock:
            self.proxy.last_answer = answer

    def _write_answer(self, answer: bytes, fault: AnswerFault | None, rest: bytes) -> bool:
        """Write one answer with its fault; whether the connection goes on."""
        if fault is AnswerFault.CUT:
            self._write(answer[: len(answer) // 2])
            self.client.shutdown(socket.SHUT_WR)
            return False
        if fault is AnswerFault.NO_ANSWER:
            self.client.shutdown(socket.SHUT_WR)
            return False
        if fault is AnswerFault.PIECES:
            for number in range(len(answer)):
                self._write(answer[number : number + 1])
            return True
        if fault is AnswerFault.INTERIM:
            answer = b"HTTP/1.1 103 Early Hints\r\n\r\n" * INTERIM_HEADS + answer
        if fault is AnswerFault.TOO_LONG:
            answer += b"surplus"
        self._write(rest + answer)
        if fault is AnswerFault.RESET:
            abort(self.client)
            return False
        if fault is AnswerFault.COPY_BEHIND_ANSWER:
            self._write_later(self.proxy.random.uniform(0.001, MAX_COPY_DELAY_S), answer)
        if fault is AnswerFault.HELD_END:
            self.proxy.closing.wait(HELD_END_S)
        return True
