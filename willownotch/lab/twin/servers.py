"""Stand-ins on sockets, all on one loop: endpoints of partner systems, discovery, and clients."""

from __future__ import annotations

import errno
import json
import socket
import struct
from collections.abc import Callable

from willownotch.interface import Outcome, Readiness
from willownotch.lab.model.partners import Answer, Call, Endpoint, State
from willownotch.lab.twin.loop import RealWorld
from willownotch.net import http

STATUS = {Readiness.SERVING: "Ready", Readiness.DRAINING: "Terminating", Readiness.GONE: "Gone"}
RESET = struct.pack("ii", 1, 0)
WATCH_S = 2.0  # between two lines of a watch that has nothing to say


class Peer:
    """One connection, read by the loop and written at once: all messages here are small."""

    def __init__(
        self,
        world: RealWorld,
        sock: socket.socket,
        answer: bool,
        heard: Callable[[Peer, http.Head, bytes], None],
        gone: Callable[[Peer], None],
    ) -> None:
        self.world, self.sock, self.heard, self.gone = world, sock, heard, gone
        self.parser = http.Parser(answer=answer)
        self.open = True
        self.ends_with_answer = False  # the last request said so
        sock.setblocking(False)
        world.watch(sock, self._ready)

    def _ready(self) -> None:
        try:
            data = self.sock.recv(http.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        try:
            if data:
                self.parser.feed(data)
                while self.open and (found := self.parser.next()) is not None:
                    self.ends_with_answer = not found[0].keeps_alive()
                    self.heard(self, *found)
        except http.BadMessageError:
            data = b""
        if not data:
            self.close()

    def send(self, data: bytes) -> None:
        """Write; a peer that takes nothing more is gone."""
        try:
            self.sock.sendall(data)
        except OSError:
            self.close()

    def answer(self, data: bytes) -> None:
        """Write an answer, and end the connection if the request asked for that."""
        self.send(data)
        if self.ends_with_answer:
            self.close()

    def close(self, reset: bool = False) -> None:
        """End it; with a reset if asked for."""
        if not self.open:
            return
        self.open = False
        self.world.forget(self.sock)
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()
        self.gone(self)


class Listener:
    """A port of its own that makes a peer of each connection."""

    def __init__(
        self,
        world: RealWorld,
        heard: Callable[[Peer, http.Head, bytes], None],
        gone: Callable[[Peer], None] = lambda peer: None,
        connected: Callable[[], None] = lambda: None,
    ) -> None:
        self.world, self.heard, self.gone, self.connected = world, heard, gone, connected
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.peers: set[Peer] = set()
        world.watch(self.sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connected()
        self.peers.add(Peer(self.world, sock, False, self.heard, self._left))

    def _left(self, peer: Peer) -> None:
        self.peers.discard(peer)
        self.gone(peer)

    def close(self) -> None:
        """Refuse connections from now on, and end those that stand."""
        self.world.forget(self.sock)
        self.sock.close()
        for peer in list(self.peers):
            peer.close()


class Door:
    """An endpoint's port: a request becomes a call of the model, its answer is written back."""

    def __init__(
        self,
        world: RealWorld,
        endpoint: Endpoint,
        takes_s: Callable[[str], float],
        arrived: Callable[[str, Endpoint], None],
        delivered: Callable[[str], None],
        connected: Callable[[], None],
    ) -> None:
        self.world, self.endpoint, self.takes_s = world, endpoint, takes_s
        self.arrived, self.delivered = arrived, delivered
        self.listener = Listener(world, self._heard, connected=connected)

    def _heard(self, peer: Peer, head: http.Head, body: bytes) -> None:
        ref = head.headers.get("request-id", "")
        if self.endpoint.state is State.GONE:
            peer.close(reset=True)
            return
        self.arrived(ref, self.endpoint)
        call = Call(ref, -1, 0, self.takes_s(ref), None)
        call.hear = lambda answer: self._answer(peer, ref, answer)
        self.endpoint.partner.arrive(self.endpoint, call)

    def _answer(self, peer: Peer, ref: str, answer: Answer) -> None:
        headers = []
        if answer.limit_per_s is not None and answer.room_left is not None:
            headers.append(("Server-Load", f"x0={answer.room_left:.3f},x1={answer.limit_per_s:.3f}"))
        if answer.outcome is Outcome.DELIVERED:
            self.delivered(ref)
            peer.answer(http.write_answer(200, headers))
        elif answer.outcome is Outcome.ERROR:
            peer.answer(http.write_answer(500, headers))
        elif answer.outcome is Outcome.REJECTED:
            if answer.wait_s:
                headers.append(("Retry-After", f"{answer.wait_s:.3f}"))
            peer.answer(http.write_answer(503, headers))
        else:
            peer.close(reset=True)

    def gone(self) -> None:
        """Nobody listens any more."""
        self.listener.close()


class Discovery:
    """The list for one sender, with its watch, and notices of ended messages."""

    def __init__(self, world: RealWorld, noticed: Callable[[str, str, float], None]) -> None:
        self.world, self.noticed = world, noticed
        self.index = 1
        self.entries: dict[int, dict] = {}
        self._watches: set[Peer] = set()
        self.listener = Listener(world, self._heard, self._watches.discard)
        world.after(WATCH_S, self._idle)

    @property
    def address(self) -> str:
        """As a sender is told."""
        return "{}:{}".format(*self.listener.address)

    def _heard(self, peer: Peer, head: http.Head, body: bytes) -> None:
        if head.method == "POST":
            peer.answer(http.write_answer(204))
            for line in body.splitlines():
                notice = json.loads(line)
                self.noticed(notice["message"], notice["outcome"], notice.get("retry_in_ms", 0) / 1000)
            return
        peer.send(http.write_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        self._watches.add(peer)
        self._chunk(peer, self.whole())

    def whole(self) -> dict:
        """All of the list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, entries: dict[int, dict]) -> None:
        """News of the list, which this sender hears now."""
        self.index += 1
        for number, entry in entries.items():
            if entry["status"] == STATUS[Readiness.GONE]:
                self.entries.pop(number, None)
            else:
                self.entries[number] = entry
        for peer in list(self._watches):
            self._chunk(peer, {"index": self.index, "snapshot": False, "endpoints": list(entries.values())})

    def _idle(self) -> None:
        for peer in list(self._watches):
            peer.send(b"1\r\n\n\r\n")
        self.world.after(WATCH_S, self._idle)

    @staticmethod
    def _chunk(peer: Peer, news: dict) -> None:
        data = json.dumps(news).encode() + b"\n"
        peer.send(b"%x\r\n%s\r\n" % (len(data), data))


class Client:
    """Hands messages in to one sender, on as many connections as it takes."""

    def __init__(self, world: RealWorld, answered: Callable[[str, int, float], None]) -> None:
        self.world, self.answered = world, answered
        self.port = 0
        self._free: list[Peer] = []
        self._asked: dict[Peer, str] = {}

    def hand_in(self, ref: str, request: bytes) -> bool:
        """Send it; False if nobody listens. Its answer comes by `answered`: ref, status, seconds to wait;
        status 0 for a connection that broke."""
        while self._free:
            peer = self._free.pop()
            if peer.open:
                break
        else:
            sock = socket.socket()
            code = sock.connect_ex(("127.0.0.1", self.port))
            if code not in (0, errno.EINPROGRESS):
                sock.close()
                return False
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer = Peer(self.world, sock, True, self._heard, self._gone)
        self._asked[peer] = ref
        peer.send(request)
        return True

    def _heard(self, peer: Peer, head: http.Head, body: bytes) -> None:
        ref = self._asked.pop(peer, None)
        if head.keeps_alive():
            self._free.append(peer)
        else:
            peer.close()
        if ref is not None:
            self.answered(ref, head.status, read_wait(head.headers.get("retry-after")))

    def _gone(self, peer: Peer) -> None:
        ref = self._asked.pop(peer, None)
        if ref is not None:
            self.answered(ref, 0, 0.0)


def read_wait(told: str | None) -> float:
    """A `Retry-After` in seconds, whole or decimal; 0 where there is none."""
    try:
        return max(0.0, min(3600.0, float(told))) if told else 0.0
    except ValueError:
        return 0.0
