"""Opens a listening TCP socket."""

from __future__ import annotations

import socket

from willownotch.net import sockets


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    """A non-blocking listener that can be passed to another process. Raises `OSError` for a bad address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Accepted connections inherit it. Without it, closing ones keep the next process off the address.
        sockets.retry_transient(
            "setsockopt", lambda: sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        )
        sock.bind(address)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
