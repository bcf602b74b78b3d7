"""A listening TCP socket."""

from __future__ import annotations

import socket


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    """One that never blocks, and can go from process to process; `OSError` for a bad address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        except OSError:
            pass  # without it an address can be in use for a while: `bind` says so
        sock.bind(address)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
