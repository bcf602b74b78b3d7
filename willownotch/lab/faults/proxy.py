"""A TCP proxy on loopback that delays, breaks and holds what goes through it, both ways."""

from __future__ import annotations

import ctypes
import socket
import struct
import threading
from dataclasses import dataclass
from random import Random

READ = 65536
CONNECT_S = 1.0
UNSPECIFIED_ADDRESS = struct.pack("=H14x", socket.AF_UNSPEC)  # connecting to it aborts (Linux, connect(2))
LIBC = ctypes.CDLL(None, use_errno=True)


def abort(sock: socket.socket) -> None:
    """Send a reset at once, also while another thread reads from the socket, which a close would wait for."""
    LIBC.connect(sock.fileno(), UNSPECIFIED_ADDRESS, len(UNSPECIFIED_ADDRESS))


@dataclass(frozen=True)
class Trouble:
    """How bad the way is now. Times are seconds, the rest shares of the pieces that come."""

    delay_s: float = 0.0
    jitter_s: float = 0.0
    reset: float = 0.0  # both sides are reset, and the piece is lost
    late_connect_s: float = 0.0  # until a new connection goes on
    silent: bool = False  # nothing goes through, connections stay open


class Proxy:
    """Stands in front of one address. `trouble` may be replaced at any time."""

    def __init__(self, target: tuple[str, int], seed: int) -> None:
        self.target, self.trouble = target, Trouble()
        self._random, self._closing, self._lock = Random(seed), threading.Event(), threading.Lock()
        self._open: set[socket.socket] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address: tuple[str, int] = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while not self._closing.is_set():
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client: socket.socket) -> None:
        self._closing.wait(self._random.random() * self.trouble.late_connect_s)
        try:
            server = socket.create_connection(self.target, CONNECT_S)
        except OSError:
            abort(client)
            client.close()
            return
        server.settimeout(None)
        with self._lock:
            self._open |= {client, server}
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(target=self._carry, args=(server, client), daemon=True)
        back.start()
        self._carry(client, server)
        back.join()
        with self._lock:
            self._open -= {client, server}
        for sock in (client, server):
            sock.close()

    def _carry(self, source: socket.socket, target: socket.socket) -> None:
        """One direction, until its end."""
        try:
            while data := source.recv(READ):
                trouble = self.trouble
                self._closing.wait(trouble.delay_s + self._random.random() * trouble.jitter_s)
                while self.trouble.silent and not self._closing.wait(0.02):
                    pass
                if self._random.random() < trouble.reset:
                    raise ConnectionResetError
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, target):
                abort(sock)

    def close(self) -> None:
        """End it, with all its connections."""
        self._closing.set()
        self.listener.close()
        with self._lock:
            for sock in self._open:
                abort(sock)
