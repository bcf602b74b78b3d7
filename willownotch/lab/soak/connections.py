"""Which process serves a TCP connection on loopback, as the kernel tells (Linux, /proc).

A connection that was opened before a kill may rest until the next process is ready. What is written on it
then is read by nobody. Times alone cannot tell such a connection from one that the next process serves.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Iterable
from struct import Struct

# Requests and answers of the kernel's socket monitoring (Linux, sock_diag(7)).
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST = 4, 20, 1
ALL_STATES, NO_COOKIE = 0xFFFFFFFF, 0xFFFFFFFF
TCP_ESTABLISHED = 1
MESSAGE_HEAD = Struct("=IHHII")  # length, type, flags, sequence number, port
REQUEST_HEAD = Struct("=BBBBI")  # family, protocol, extensions, padding, states
PORTS = Struct("!HH")  # local, remote
INTERFACE_AND_COOKIE = Struct("=III")
ANSWER_STATE_AT, ANSWER_PORTS_AT, ANSWER_INODE_AT = 17, 20, 84  # offsets in an answer, in bytes
ANSWER_BYTES = 4096
LOOPBACK = socket.inet_aton("127.0.0.1") + bytes(12)
# A descriptor that is on its way from one process to another belongs to none for a moment.
TRANSIT_TRIES, TRANSIT_PAUSE_S = 10, 0.005


def server_inode(server_port: int, client_port: int) -> int | None:
    """The inode of the server's socket of an accepted connection on 127.0.0.1; None if there is none.

    The kernel is asked for this one connection: a table of all of them (/proc/net/tcp) is read in parts, and
    lacks connections while others come and go. Raises `OSError` if the kernel cannot be asked.
    """
    ports = PORTS.pack(server_port, client_port)
    identity = ports + LOOPBACK + LOOPBACK + INTERFACE_AND_COOKIE.pack(0, NO_COOKIE, NO_COOKIE)
    request = REQUEST_HEAD.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES) + identity
    length = MESSAGE_HEAD.size + len(request)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.send(MESSAGE_HEAD.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0) + request)
        answer = sock.recv(ANSWER_BYTES)
    if MESSAGE_HEAD.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return None  # there is no such connection
    found = answer[ANSWER_STATE_AT] == TCP_ESTABLISHED and answer[ANSWER_PORTS_AT:].startswith(ports)
    return (
        (int.from_bytes(answer[ANSWER_INODE_AT : ANSWER_INODE_AT + 4], "little") or None) if found else None
    )


def holders(server_port: int, client_port: int, pids: Iterable[int]) -> list[int]:
    """Those of the processes that have the server's end of a connection open."""
    pids = list(pids)
    for _ in range(TRANSIT_TRIES):
        inode = server_inode(server_port, client_port)
        if inode is None:
            return []
        if found := [pid for pid in pids if _has_socket(pid, f"socket:[{inode}]")]:
            return found
        time.sleep(TRANSIT_PAUSE_S)
    return []


def _has_socket(pid: int, name: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        descriptors = os.listdir(folder)
    except OSError:
        return False  # it has ended
    for descriptor in descriptors:
        try:
            if os.readlink(f"{folder}/{descriptor}") == name:
                return True
        except OSError:
            continue  # closed meanwhile
    return False
