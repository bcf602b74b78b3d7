"""A listening TCP socket."""

from __future__ import annotations

import socket

from willownotch.net import sockets


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    """One that never blocks, and can go from process to process; `OSError` for a bad address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Connections inherit it. Without it those that linger keep the next process off the address.
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
