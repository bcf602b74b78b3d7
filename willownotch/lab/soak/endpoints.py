"""The other parties, on threads: endpoints that misbehave as the plan has it, discovery, and the platform."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from collections.abc import Callable
from random import Random

from willownotch.lab.soak.plan import Conditions, ListChangeKind
from willownotch.lab.soak.records import Call, Notice, Records
from willownotch.net import http

RESET = struct.pack("ii", 1, 0)
WATCH_S = 2.0  # between two lines of a watch
HANG_S = 30.0
BIND_AGAIN_S = 0.01
DESTINATION, SIDE_DESTINATION, COLD_DESTINATION, STEADY_DESTINATION = 7, 8, 9, 10
WATCH_CHECK_S = 0.05  # between two looks at changes of the list
UNSOUND_VALUES = (
    {"address": "a..b:1"},
    {"address": "a\0b:1"},
    {"weight": -1.0},
    {"weight": 1e308},
    {"weight": "much"},
    {"group": -1},
    {"group": 2**62},
    {"since_ms": "now"},
    {"status": "Odd"},
    {"type": "none"},
    {"name": "s" * 10_000},
    {"more": [[[[[[[[[[]]]]]]]]]]},
)


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
        side: tuple[tuple[str, int], ...] = (),
        steady: tuple[str, int] | None = None,
    ) -> None:
        self.records, self.conditions, self.random = records, conditions, Random(len(endpoints))
        self.entries = [
            self._entry(f"s-{number:04x}", address, DESTINATION, 100.0)
            for number, address in enumerate(endpoints)
        ]
        if cold is not None:
            self.entries.append(self._entry("s-cold", cold, COLD_DESTINATION, cold_rate))
        if steady is not None:
            self.entries.append(self._entry("s-steady", steady, STEADY_DESTINATION, 100.0))
        self.side = [
            self._entry(f"s-side-{number}", address, SIDE_DESTINATION, 100.0)
            for number, address in enumerate(side)
        ]
        self.changes: list[list[dict]] = []  # of the list, in order
        self.side_listed, self.lives = True, 0
        self._list_lock = threading.Lock()
        super().__init__()

    def change(self, kind: ListChangeKind) -> None:
        """Change the list, as all watches are told."""
        with self._list_lock:
            self.lives += 1
            if kind is ListChangeKind.UNSOUND:
                found = [
                    {**self._entry(f"s-odd-{n}", ("127.0.0.1", 1), SIDE_DESTINATION + 100, 1.0), **values}
                    for n, values in enumerate(UNSOUND_VALUES)
                ]
            elif kind is ListChangeKind.EMPTY:
                self.side_listed = False
                found = [{**entry, "status": "Gone"} for entry in self.side]
            else:
                gone = [{**entry, "status": "Gone"} for entry in self.side if self.side_listed]
                if kind is ListChangeKind.REFILL:
                    self.side = [{**e, "name": f"{e['name']}-{self.lives}"} for e in self.side]
                    found = gone + self.side
                else:
                    self.side = [{**e, "since_ms": 1000 * self.lives} for e in self.side]
                    found = list(self.side)
                self.side_listed = True
            self.changes.append(found)

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
        sock.sendall(http.write_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        told, due = -1, 0.0  # changes that this watch has been told
        while not self.closing.is_set():
            if self.up():
                lines, told = self._lines_since(told)
                if lines or time.monotonic() >= due:
                    data = b"".join(lines) or b"\n"
                    sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
                    due = time.monotonic() + WATCH_S
            self.closing.wait(WATCH_CHECK_S if self.side else WATCH_S)
        return False

    def _lines_since(self, told: int) -> tuple[list[bytes], int]:
        """What a watch is told next: the whole list (-1), or the changes behind those that it was told."""
        with self._list_lock:
            count = len(self.changes)
            if told < 0:
                side = self.side if self.side_listed else []
                updates = [(count, True, [*self.entries, *side])]
            else:
                updates = [(n + 1, False, self.changes[n]) for n in range(told, count)]
        lines = [
            json.dumps({"index": index + 1, "snapshot": whole, "endpoints": entries}).encode() + b"\n"
            for index, whole, entries in updates
        ]
        return lines, count
