"""Clients of one sender: each sends one message after the other and records what became of each."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from random import Random

from willownotch.lab.soak.endpoints import DESTINATION
from willownotch.lab.soak.records import Content, Ending, Records, Request
from willownotch.net import http

ANSWER_S = 2.0  # how long an answer is waited for here; a client of the pages waits 0.4 s
CONNECT_S = 1.0
BODY_MOST, LARGE_BODY_MOST = 400, 60_000  # bytes
PAUSE_EACH_S = 0.0006  # between two requests of a client, for each other client of the run
CLASSES = ("order", "status", "fee")
KEYED_SHARE = 0.3  # of the clients, that send fees of one key
COLD_LEFT_S = 10.0  # what is held in an outage of the cold destination waits for its return


class Client:
    """One client. With `kept` it uses a connection for as long as that stays open."""

    def __init__(
        self,
        records: Records,
        sender: int,
        address: tuple[str, int],
        number: int,
        random: Random,
        stop: threading.Event,
        others: int = 0,
        destination: int = DESTINATION,
        pause_s: float | None = None,
        holders: Callable[[int], tuple[int, ...]] = lambda port: (),
        keyed_share: float = KEYED_SHARE,
    ) -> None:
        self.records, self.sender, self.address, self.number = records, sender, address, number
        self.random, self.stop = random, stop
        self.kept = random.random() < 0.8
        self.pieces = random.random() < 0.3
        # Many that never pause would measure this process, not the senders.
        self.pause_s = random.choice((0.002, 0.01, 0.03, 0.2)) + PAUSE_EACH_S * others
        if pause_s is not None:
            self.pause_s = pause_s
        self.destination = destination
        self.key = f"k{sender}-{number}" if random.random() < keyed_share else None
        self.find_holders = holders  # by the local port of a connection: the processes that have it
        self._sock: socket.socket | None = None
        self._holders: tuple[int, ...] = ()
        self._count, self._rested = 0, 0.0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stop.is_set():
            if not self._exchange():
                self.stop.wait(0.05)
            self.stop.wait(self.pause_s * self.random.uniform(0.5, 1.5))
        self._close()

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def _message(self) -> tuple[str, str, float, bytes]:
        """A new message: id, class, time given in seconds, and the request's bytes."""
        self._count += 1
        ref = f"{self.sender:02x}{self.number:03x}{self._count:011x}"
        cls = "fee" if self.key else self.random.choice(CLASSES[:2])
        large = self.random.random() < 0.02
        size = self.random.randint(0, LARGE_BODY_MOST if large else BODY_MOST)
        body = (ref.encode() * (size // 16 + 1))[:size]
        left_s = self.random.choice((1.5, 4.0, 8.0)) if self.destination == DESTINATION else COLD_LEFT_S
        with self.records.lock:
            self.records.contents[ref] = Content(body, f"i{ref}")
        headers = [
            ("Request-Id", ref),
            ("Request-Class", cls),
            ("Tenant", "acme"),
            ("Request-Timeout-Ms", str(int(left_s * 1000))),
            ("X-Consignee", f"dest={self.destination}"),
            ("Idempotency-Key", f"i{ref}"),
        ]
        target = f"/api?thread={self.key}" if self.key else "/api"
        return ref, cls, left_s, http.write_request("POST", target, "api.internal", headers, body)

    def _exchange(self) -> bool:
        """One request; whether it was answered."""
        ref, cls, left_s, data = self._message()
        began, reused = time.monotonic(), self._sock is not None
        rested = began - self._rested if reused else 0.0
        written, status, last = 0.0, 0, False
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self.address, CONNECT_S)
                self._sock.settimeout(ANSWER_S)
        except OSError:
            ending = Ending.REFUSED_CONNECTION
        else:
            ending = Ending.UNWRITTEN
            self._check_quiet()
            try:
                self._write(data)
                written, ending = time.monotonic(), Ending.ENDED
                status, last = self._answer()
                ending = Ending.ANSWERED
            except TimeoutError:
                ending = Ending.SILENT
            except (OSError, http.BadMessageError):
                pass  # `ending` says how far it came
        self._rested = time.monotonic()
        with self.records.lock:
            self.records.requests.append(
                Request(
                    self.sender,
                    ref,
                    cls,
                    self.key,
                    began,
                    written,
                    self._rested,
                    ending,
                    status,
                    last,
                    reused,
                    rested,
                    left_s,
                    self._holders if reused else (),
                )
            )
        if ending is not Ending.ANSWERED or last or not self.kept:
            self._close()
        elif not reused:
            self._holders = self.find_holders(self._sock.getsockname()[1])
        return ending is Ending.ANSWERED

    def _check_quiet(self) -> None:
        """Record bytes that came without a request: a second answer, or one to nothing that was asked."""
        self._sock.settimeout(0.0)
        try:
            surplus = self._sock.recv(http.READ_BYTES, socket.MSG_PEEK)
        except OSError:
            return  # nothing has come, or the connection is broken
        finally:
            self._sock.settimeout(ANSWER_S)
        if surplus:
            with self.records.lock:
                self.records.surplus.append(f"n{self.sender} client {self.number}: {surplus[:80]!r}")

    def _write(self, data: bytes) -> None:
        if not self.pieces:
            self._sock.sendall(data)
            return
        cut = self.random.randint(1, len(data) - 1)
        self._sock.sendall(data[:cut])
        self.stop.wait(self.random.uniform(0.0, 0.02))
        self._sock.sendall(data[cut:])

    def _answer(self) -> tuple[int, bool]:
        parser = http.Parser(answer=True)
        ends = time.monotonic() + ANSWER_S
        while (found := parser.next()) is None:
            if parser.eof:
                raise ConnectionResetError("the connection ended")
            self._sock.settimeout(max(0.001, ends - time.monotonic()))
            parser.feed(self._sock.recv(http.READ_BYTES))
        if parser.begun:
            with self.records.lock:
                self.records.surplus.append(f"n{self.sender} client {self.number}: {bytes(parser.buffer)!r}")
        return found[0].status, not found[0].keeps_alive()


class IdleCrowd:
    """Connections that say nothing, opened again as they are ended."""

    def __init__(self, address: tuple[str, int], count: int, stop: threading.Event) -> None:
        self.address, self.count, self.stop = address, count, stop
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        open_ones: list[socket.socket] = []
        while not self.stop.wait(0.05):
            if len(open_ones) >= self.count:
                open_ones.pop(0).close()
            try:
                open_ones.append(socket.create_connection(self.address, CONNECT_S))
            except OSError:
                continue
        for sock in open_ones:
            sock.close()
