"""What the client side costs sound clients, this program beside others, turn by turn.

    python benchmarks/client_side_cost.py --program OTHER_FOLDER [--rounds 5]

Each play is one sender with 192 MB and 1,024 descriptors, an endpoint in a process of its own that answers at
once, and sound clients in another one: eight that keep their connections, eight that open one for each
request, and two with bodies of 60 KB. They hand in on a closed loop, below what fills the sender. Told are
answers a second, their times and the sender's processor time for an answer.
"""

from __future__ import annotations

import rig  # first: it says where the others are

import argparse
import json
import multiprocessing
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from willownotch.lab.soak.processes import SETTINGS
from willownotch.net import http

SECONDS = 3.0
WAYS = {"kept": (8, True, 200), "new": (8, False, 200), "large": (2, True, 60_000)}
PAUSE_S = 0.004
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Answering(threading.Thread):
    """A server that answers each request at once: an endpoint, or discovery with its list."""

    def __init__(self, entries: list[dict] | None = None) -> None:
        super().__init__(daemon=True)
        self.listener, self.entries = socket.create_server(("127.0.0.1", 0), backlog=256), entries
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def run(self) -> None:
        """Accept for ever."""
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer one connection's requests."""
        parser = http.Parser(answer=False)
        with sock:
            while True:
                while (found := parser.next()) is None:
                    if not (data := sock.recv(65_536)):
                        return
                    parser.feed(data)
                if found[0].method == "GET":
                    return self.watch(sock)
                sock.sendall(http.write_answer(204 if self.entries is not None else 200))
                if not found[0].keeps_alive():
                    return

    def watch(self, sock: socket.socket) -> None:
        """Send the list, and empty lines."""
        sock.sendall(http.write_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        text = json.dumps({"index": 1, "snapshot": True, "endpoints": self.entries})
        while True:
            data = (text + "\n").encode()
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            text = ""
            time.sleep(1.0)


def endpoint_process(pipe) -> None:
    """An endpoint, and discovery that lists it."""
    endpoint = Answering()
    entry = {"name": "s-1", "address": endpoint.address, "zone": "here", "type": "haulier", "group": 7}
    discovery = Answering([{**entry, "status": "Ready", "weight": 5000.0, "since_ms": 0}])
    endpoint.start(), discovery.start()
    pipe.send(discovery.address)
    pipe.recv()


def one_client(address, number: int, keeps: bool, size: int, ends: float, times: list, bad: list) -> None:
    """Hand in messages one after the other until `ends`."""
    sock, count, body = None, 0, b"x" * size
    while time.monotonic() < ends:
        ref = f"{number}-{count}-{os.getpid()}"
        count += 1
        headers = [("Request-Id", ref), ("Request-Class", "status"), ("Tenant", "acme")]
        headers += [("Request-Timeout-Ms", "8000"), ("X-Consignee", "dest=7")]
        began = time.monotonic()
        if sock is None:
            sock = socket.create_connection(address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(http.write_request("POST", "/api", "h", headers, body))
        answer = sock.recv(4096)
        times.append(time.monotonic() - began)
        if not answer.startswith(b"HTTP/1.1 202"):
            bad.append(answer[:12])
        if not keeps:
            sock.close()
            sock = None
        time.sleep(PAUSE_S)


def clients_process(pipe, port: int, way: str) -> None:
    """Sound clients of one way; sends the times of their answers, and those that were no 202."""
    count, keeps, size = WAYS[way]
    times, bad, ends = [], [], time.monotonic() + SECONDS
    threads = [
        threading.Thread(target=one_client, args=(("127.0.0.1", port), n, keeps, size, ends, times, bad))
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    pipe.send((sorted(times), len(bad)))


def processor_s(pid: int) -> float:
    """The processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def port_when_ready(lines) -> int:
    """The port for clients, once the sender has said that it listens and that it is ready, in any order."""
    port, ready = 0, False
    for line in lines:
        if "listening on " in line:
            port = int(line.split("listening on ")[1].split(",")[0].rpartition(":")[2])
        ready = ready or "to ready" in line
        if port and ready:
            return port
    raise RuntimeError("the sender has ended")


def play(program: Path, way: str) -> dict[str, float]:
    """One play."""
    fresh = multiprocessing.get_context("spawn")  # a fork would copy locks that other threads hold
    here, there = fresh.Pipe()
    endpoint = fresh.Process(target=endpoint_process, args=(there,), daemon=True)
    endpoint.start()
    settings = {
        **SETTINGS,
        "orgs": [{"name": "acme", "quotaPerS": 5000.0}],
        "familyInfo": {**SETTINGS["familyInfo"], "slots": 32},
        "policyLimits": {**SETTINGS["policyLimits"], "maxOpen": 500},
    }
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "c.json"
        limits = {"sockets": 1024, "disk_mb": 30, "memory_mb": 192}
        text = {"name": "n", "listen": "127.0.0.1:0", "discovery": here.recv(), "limits": limits}
        config.write_text(json.dumps({**text, "state": f"{folder}/s", "settings": settings}))
        sender = subprocess.Popen(
            [sys.executable, "-m", "willownotch"],
            cwd=program,
            env={"PATH": os.environ["PATH"], "LB_CONFIG": str(config)},
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            port = port_when_ready(sender.stderr)
            threading.Thread(target=sender.stderr.read, daemon=True).start()
            ours, theirs = fresh.Pipe()
            before = processor_s(sender.pid)
            clients = fresh.Process(target=clients_process, args=(theirs, port, way), daemon=True)
            clients.start()
            times, bad = ours.recv()
            used = processor_s(sender.pid) - before
        finally:
            sender.kill()
            sender.wait()
            endpoint.kill()
    return {
        "answers a second": len(times) / SECONDS,
        "median ms": 1000 * times[len(times) // 2],
        "p99 ms": 1000 * times[int(0.99 * len(times))],
        "processor us": 1e6 * used / len(times),
        "not 202": float(bad),
    }


def main() -> None:
    """Play all programs turn by turn, and print a table."""
    words = argparse.ArgumentParser()
    words.add_argument("--program", action="append", default=[], type=Path)
    words.add_argument("--rounds", default=5, type=int)
    found = words.parse_args()
    programs = [*found.program, rig.ROOT]
    rows: dict[tuple[str, int], list[dict[str, float]]] = {}
    for _ in range(found.rounds):
        for way in WAYS:
            for number, program in enumerate(programs):
                rows.setdefault((way, number), []).append(play(program, way))
    print(f"commit {rig.commit()}, {rig.machine()}, {found.rounds} rounds; median (least to most)")
    for (way, number), plays in rows.items():
        cells = [
            f"{what}: {statistics.median(values):.4g} ({min(values):.4g} to {max(values):.4g})"
            for what in plays[0]
            if (values := [play[what] for play in plays])
        ]
        print(f"{way}, program {number}: " + "; ".join(cells))


if __name__ == "__main__":
    main()
