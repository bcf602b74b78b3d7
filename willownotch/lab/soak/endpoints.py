"""The other parties, on threads: endpoints that misbehave as the plan has it, discovery, and the platform."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from collections.abc import Callable
from random import Random

from willownotch.lab.soak.plan import Conditions
from willownotch.lab.soak.records import Call, Notice, Records
from willownotch.net import http

RESET = struct.pack("ii", 1, 0)
WATCH_S = 2.0  # between two lines of a watch
HANG_S = 30.0
BIND_AGAIN_S = 0.01
DESTINATION, COLD_DESTINATION = 7, 9


def wait_until_given_up(sock: socket.socket) -> None:
    """Hang on a call until its sender stops waiting for it."""
    sock.settimeout(HANG_S)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except OSError:
        pass


class Server:
    """Takes connections on a port of its own, a thread for each."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = self.listener.getsockname()
        self.closing = threading.Event()
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        listener = self.listener
        while not self.closing.is_set():
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def stop_listening(self) -> None:
        """Refuse connections, and end those that are open."""
        # Shut down first: a thread that waits in accept would keep the socket open.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self._end_connections()

    def listen_again(self) -> None:
        """Take connections at the same address as before."""
        while not self.closing.is_set():
            try:
                self.listener = socket.create_server(self.address, backlog=256)
                break
            except OSError:
                self.closing.wait(BIND_AGAIN_S)  # a connection of the machine has the port for a moment
        threading.Thread(target=self._accept, daemon=True).start()

    def _end_connections(self) -> None:
        with self._lock:
            for sock in self._open:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it has ended

    def _serve(self, sock: socket.socket) -> None:
        parser = http.Parser(answer=False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                while (found := parser.next()) is None:
                    if not (data := sock.recv(http.READ_BYTES)):
                        return
                    parser.feed(data)
                if not self.answer(sock, *found) or not found[0].keeps_alive():
                    return
        except (OSError, http.BadMessageError):
            pass  # a call that was not read whole has not run
        finally:
            with self._lock:
                self._open.discard(sock)
            sock.close()

    def answer(self, sock: socket.socket, head: http.Head, body: bytes) -> bool:
        """Answer one request; whether the connection goes on."""
        raise NotImplementedError

    def close(self) -> None:
        """End it, with all its connections."""
        self.closing.set()
        self.listener.close()
        self._end_connections()


class Endpoint(Server):
    """A partner's endpoint: records each call, and answers by the weather of the moment."""

    def __init__(self, records: Records, conditions: Callable[[], Conditions], seed: int) -> None:
        self.records, self.conditions, self.random = records, conditions, Random(seed)
        super().__init__()

    def answer(self, sock: socket.socket, head: http.Head, body: bytes) -> bool:
        """See `Server`."""
        conditions = self.conditions()
        call = Call(
            head.headers.get("request-id", ""),
            time.monotonic(),
            body,
            head.headers.get("idempotency-key", ""),
        )
        with self.records.lock:
            self.records.calls.append(call)
        lot = self.random.random()
        for share, act in (
            (conditions.refuse, self._refuse),
            (conditions.error, self._fail),
            (conditions.reset, self._reset),
            (conditions.hang, self._hang),
        ):
            if lot < share:
                return act(sock, call)
            lot -= share
        self.closing.wait(self.random.uniform(0.2, 1.8) * conditions.slow_s)
        return self._write(sock, call, 200, ())

    def _write(self, sock: socket.socket, call: Call, status: int, headers: tuple) -> bool:
        call.status, call.ended = status, time.monotonic()
        sock.sendall(http.write_answer(status, headers))
        return True

    def _refuse(self, sock: socket.socket, call: Call) -> bool:
        if self.random.random() < 0.5:
            return self._write(sock, call, 503, ())
        return self._write(sock, call, 429, (("Retry-After", f"{self.random.uniform(0.05, 0.5):.3f}"),))

    def _fail(self, sock: socket.socket, call: Call) -> bool:
        return self._write(sock, call, 500, ())

    def _reset(self, sock: socket.socket, call: Call) -> bool:
        call.ended = time.monotonic()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False

    def _hang(self, sock: socket.socket, call: Call) -> bool:
        wait_until_given_up(sock)
        call.ended = time.monotonic()
        return False


class Platform(Server):
    """Discovery's list with its watch, and the notices of ended messages."""

    def __init__(
        self,
        records: Records,
        endpoints: list[tuple[str, int]],
        conditions: Callable[[], Conditions],
        cold: tuple[str, int] | None = None,
        cold_rate: float = 0.0,
    ) -> None:
        self.records, self.conditions, self.random = records, conditions, Random(len(endpoints))
        self.entries = [
            self._entry(f"s-{number:04x}", address, DESTINATION, 100.0)
            for number, address in enumerate(endpoints)
        ]
        if cold is not None:
            self.entries.append(self._entry("s-cold", cold, COLD_DESTINATION, cold_rate))
        super().__init__()

    @staticmethod
    def _entry(name: str, address: tuple[str, int], destination: int, rate: float) -> dict:
        return {
            "name": name,
            "address": f"{address[0]}:{address[1]}",
            "zone": "here",
            "type": "haulier",
            "group": destination,
            "status": "Ready",
            "weight": rate,
            "since_ms": 0,
        }

    def answer(self, sock: socket.socket, head: http.Head, body: bytes) -> bool:
        """See `Server`."""
        if head.method == "POST":
            return self._answer_notices(sock, body)
        if not self.up():
            self.closing.wait(1.0)
            return False
        return self._watch(sock)

    def up(self) -> bool:
        """Whether discovery answers now."""
        return self.conditions().discovery_up

    def _answer_notices(self, sock: socket.socket, body: bytes) -> bool:
        """Take notices, or refuse them behind a second copy of an earlier answer."""
        if self.random.random() < self.conditions().notice_share:
            sock.sendall(http.write_answer(204) + http.write_answer(503))
            return True
        now = time.monotonic()
        with self.records.lock:
            for line in body.splitlines():
                told = json.loads(line)
                self.records.notices.append(Notice(told["message"], told["outcome"], now))
        sock.sendall(http.write_answer(204))
        return True

    def _watch(self, sock: socket.socket) -> bool:
        """Send the list, and empty lines for as long as discovery is up."""
        whole = json.dumps({"index": 1, "snapshot": True, "endpoints": self.entries}) + "\n"
        sock.sendall(http.write_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        while not self.closing.is_set():
            if self.up():
                data = whole.encode()
                sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
                whole = "\n"
            self.closing.wait(WATCH_S)
        return False
