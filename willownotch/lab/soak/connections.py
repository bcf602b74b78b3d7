"""Which process serves a TCP connection on loopback, as the kernel tells (Linux, /proc).

A connection that was opened before a kill may rest until the next process is ready. What is written on it
then is read by nobody. Times alone cannot tell such a connection from one that the next process serves.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

TCP_TABLE = Path("/proc/net/tcp")
ESTABLISHED = "01"
LOCAL, REMOTE, STATE, INODE = 1, 2, 3, 9  # columns of the table


def server_inode(server_port: int, client_port: int) -> int | None:
    """The inode of the server's socket of an accepted connection; None if there is none."""
    ends = f":{server_port:04X}", f":{client_port:04X}"
    for line in TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        row = line.split()
        if row[STATE] == ESTABLISHED and row[LOCAL].endswith(ends[0]) and row[REMOTE].endswith(ends[1]):
            return int(row[INODE]) or None
    return None


def holders(server_port: int, client_port: int, pids: Iterable[int]) -> list[int]:
    """Those of the processes that have the server's end of a connection open."""
    inode = server_inode(server_port, client_port)
    return [pid for pid in pids if inode is not None and _has_socket(pid, f"socket:[{inode}]")]


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
