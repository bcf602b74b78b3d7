"""What a connection for each call costs this sender's machine, against one that is kept.

    python benchmarks/endpoint_connections.py

Half a minute on one core, against an endpoint in a process of its own that answers at once. Both ways are
measured in turn, nine rounds. Processor time is that of the calling process. The kept way has the fault of
issue 60 and is here as the baseline alone.
"""

from __future__ import annotations

import rig  # first: it says where the others are

import socket
import statistics
import subprocess
import sys
import time
from datetime import timedelta
from pathlib import Path

from willownotch.net import answers, http
from willownotch.net.answer_reading import CLOSE_HEADER, AnswerReader
from willownotch.net.answer_stream import AnswerStream, Ending, Evidence
from willownotch.net.clock import Clock

ROUNDS, CALLS = 9, 1000
TIME_WAIT = "06"  # a state in /proc/net/tcp
EVENTS_PER_S, SENDERS = 110_000, 910  # the target of docs/CAPACITY.md
BODY = b"x" * 212
TIMEOUT = timedelta(seconds=5)
ENDPOINT = """
import socket, threading
from willownotch.net import http
listener = socket.create_server(("127.0.0.1", 0), backlog=256)
print(listener.getsockname()[1], flush=True)
while True:
    sock, _ = listener.accept()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    parser = http.Parser(answer=False)
    while data := sock.recv(65536):
        parser.feed(data)
        if (found := parser.next()) is not None:
            sock.sendall(http.write_answer(200))
            if not found[0].keeps_alive():
                break
    sock.close()
"""


def connect(port: int) -> socket.socket:
    """A new connection to the endpoint."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request(*headers: tuple[str, str]) -> bytes:
    """A call with a message of a usual size."""
    own = [("Request-Id", "9b1f03aa5c7e2d41"), ("Request-Timeout-Ms", "1500"), *headers]
    return http.write_request("POST", "/inbox", "127.0.0.1:8000", own, BODY)


def call_on_new_connection(port: int, clock: Clock) -> None:
    """As the sender makes a call."""
    sock, stream = connect(port), AnswerStream()
    sock.settimeout(TIMEOUT.total_seconds())
    sock.sendall(request(CLOSE_HEADER))
    ends_at = clock.now() + TIMEOUT
    ending = AnswerReader(sock, stream, clock).read_to_end(lambda now: ends_at, lambda: True)
    sock.close()
    assert stream.evidence(ending, answers.meaning) is Evidence.ANSWERED and ending is Ending.BY_PEER


def call_on_kept_connection(sock: socket.socket) -> None:
    """As it was made before: the first answer that comes is taken."""
    sock.settimeout(TIMEOUT.total_seconds())
    sock.sendall(request())
    parser = http.Parser(answer=True)
    while parser.next() is None:
        parser.feed(sock.recv(http.READ_BYTES))


def measured(make, count: int) -> tuple[float, float]:
    """Processor time and time of one call, in microseconds."""
    began, used = time.monotonic(), time.process_time()
    for _ in range(count):
        make()
    return (time.process_time() - used) / count * 1e6, (time.monotonic() - began) / count * 1e6


def time_wait(port: int) -> int:
    """How many connections to this port are in TIME_WAIT on the caller's side."""
    rows = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    sides = [(row.split()[2], row.split()[3]) for row in rows]  # remote address, state
    return sum(int(remote.split(":")[1], 16) == port and state == TIME_WAIT for remote, state in sides)


def main() -> None:
    """Measure both ways in turn, and write the results."""
    endpoint = subprocess.Popen(
        [sys.executable, "-c", ENDPOINT], stdout=subprocess.PIPE, text=True, cwd=rig.ROOT
    )
    port, clock = int(endpoint.stdout.readline()), Clock()
    found: dict[str, list[tuple[float, float]]] = {"new": [], "kept": []}
    try:
        for _ in range(ROUNDS):
            found["new"].append(measured(lambda: call_on_new_connection(port, clock), CALLS))
            with connect(port) as sock:
                found["kept"].append(measured(lambda sock=sock: call_on_kept_connection(sock), CALLS))
        held = time_wait(port)
    finally:
        endpoint.kill()
        endpoint.wait()
    calls_s = EVENTS_PER_S / SENDERS
    data = {
        way: {"cpu_us": [c for c, _ in rows], "took_us": [t for _, t in rows]} for way, rows in found.items()
    }
    extra = statistics.median(data["new"]["cpu_us"]) - statistics.median(data["kept"]["cpu_us"])
    lines = ["| way | processor time of a call, us | time of a call, us |", "| --- | --- | --- |"]
    lines += [
        f"| {way} | {rig.spread(row['cpu_us'])} | {rig.spread(row['took_us'])} |" for way, row in data.items()
    ]
    lines += [
        "",
        f"At the target, {calls_s:.0f} calls a second, {extra * calls_s / 1e4:.2f}% of a core more",
        f"than with kept connections. Of {ROUNDS * CALLS} connections {held} were left in TIME_WAIT on the",
        "caller's side: the endpoint ends them first. On loopback, without a handshake of encryption.",
    ]
    data["held_in_time_wait"] = held
    rig.write("endpoint-connections", "python benchmarks/endpoint_connections.py", lines, data)


if __name__ == "__main__":
    main()
