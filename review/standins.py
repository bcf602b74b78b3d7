"""What the cases share: a platform, endpoints, clients, a network, and the project's programs as processes.

The stand-ins follow the protocol page. Where it is silent, they behave like a sound server, client or
platform.
"""

from __future__ import annotations

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = [str(ROOT / ".venv/bin/python"), "-m", "willownotch"]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
VERDICTS = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEYS = f"1 {'5d' * 32}\n"

_given_ports: set[int] = set()
SETTINGS = json.loads((ROOT / "examples/config.json").read_text(encoding="utf-8"))["settings"]


class CouldNotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """Writes `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock, self.began = threading.Lock(), time.monotonic()

    def say(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self._file.flush()


def free_port(host: str = "127.0.0.1") -> int:
    """A port of a loopback address that is free for TCP and UDP now.

    It lies below the range that connections are given ports from: a program that is started again has to find
    it free.
    """
    for _ in range(1000):
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
            _given_ports.add(port)
            return port
    raise CouldNotRunError("no free port")


def until(check: Callable[[], object], patience: float, what: str) -> object:
    """Wait until `check` returns something true, and return that."""
    ends = time.monotonic() + patience
    while not (found := check()):
        if time.monotonic() > ends:
            raise CouldNotRunError(f"waited {patience:g} s in vain for {what}")
        time.sleep(0.02)
    return found


class Handler(BaseHTTPRequestHandler):
    """HTTP/1.1 over plain TCP; a connection ends behind its answer where the request asks for that."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        """Say nothing."""

    def body(self) -> bytes:
        """The request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a whole answer in one write."""
        self.send_response(status)
        for name, value in {**headers, "Content-Length": str(len(body))}.items():
            self.send_header(name.replace("_", "-"), value)
        self._headers_buffer.append(b"\r\n" + body)
        self.flush_headers()


class Server(ThreadingHTTPServer):
    """A server on a free port of 127.0.0.1."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, handler: type[Handler]) -> None:
        super().__init__(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_: object) -> None:
        """A peer that went away is no fault of the stand-in."""


class Endpoint:
    """An endpoint of a partner system: each call takes `work_s` and is answered 200.

    With `caller` it stands at an address that this sender alone is told, as the protocol allows, so that the
    sender's calls are known by it.
    """

    def __init__(self, record: Record, work_s: float, caller: str = "") -> None:
        self.record, self.work_s = record, work_s
        self.runs: list[tuple[float, str]] = []  # when, id: calls that took effect
        self._lock = threading.Lock()
        endpoint = self

        class Inbox(Handler):
            def do_POST(self) -> None:  # noqa: N802
                """One call: it begins once its last byte has come."""
                self.body()
                ref = self.headers["Request-Id"]
                with endpoint._lock:
                    endpoint.runs.append((time.monotonic(), ref))
                record.say(f"endpoint: runs {ref}{' for ' * bool(caller)}{caller}")
                time.sleep(endpoint.work_s)
                try:
                    self.answer(200)
                    record.say(f"endpoint: answered {ref} 200")
                except OSError as fault:
                    record.say(f"endpoint: {ref} not answered: {fault}")

        self.server = Server(Inbox)

    def counts(self) -> dict[str, int]:
        """How often each message has run, by id."""
        with self._lock:
            found: dict[str, int] = {}
            for _, ref in self.runs:
                found[ref] = found.get(ref, 0) + 1
            return found


class Platform:
    """Discovery, pushed by an agent, and notices: each is answered 204 at once."""

    def __init__(self, record: Record, endpoints: dict[str, tuple[Endpoint, int]], kind: str) -> None:
        self.notices: list[tuple[float, dict]] = []
        listed = [
            {
                "name": name,
                "address": endpoint.server.address,
                "zone": "walvis-main",
                "type": kind,
                "group": group,
                "status": "Ready",
                "weight": 10.0,
                "since_ms": 0,
            }
            for name, (endpoint, group) in endpoints.items()
        ]
        news = json.dumps({"index": 1, "snapshot": True, "endpoints": listed}).encode() + b"\n"
        platform = self

        class Agent(Handler):
            def do_GET(self) -> None:  # noqa: N802
                """The list; a watch gets it first, then an empty line every 2 s."""
                if "watch=1" not in self.path:
                    return self.answer(200, news)
                self.send_response(200)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                line = news
                try:
                    while True:
                        self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                        time.sleep(2.0)
                        line = b"\n"
                except OSError:
                    self.close_connection = True

            def do_POST(self) -> None:  # noqa: N802
                """Notices of messages that ended without a delivery."""
                for line in self.body().splitlines():
                    platform.notices.append((time.monotonic(), json.loads(line)))
                    record.say(f"platform: notice {line.decode()}")
                self.answer(204)

        self.server = Server(Agent)


class Process:
    """One of the project's programs; a restart keeps its folder."""

    def __init__(
        self, name: str, command: list[str], env: dict[str, str], folder: Path, record: Record
    ) -> None:
        self.name, self.command, self.env, self.folder, self.record = name, command, env, folder, record
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self, *more: str) -> None:
        """Start the program in the repository's root, its log in a file of the temporary folder."""
        self.starts += 1
        log = (self.folder / f"{self.name}.{self.starts}.log").open("wb")
        env = {"PATH": os.environ["PATH"], "HOME": str(self.folder), "TMPDIR": str(self.folder), **self.env}
        self.process = subprocess.Popen(
            [*self.command, *more], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.record.say(f"{self.name}: started as process {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.process.send_signal(number)
        self.record.say(f"{self.name}: {number.name} to process {self.process.pid}")

    def wait(self, patience: float = 10.0) -> int:
        """Wait for its end; the exit code."""
        return self.process.wait(patience)

    def end(self) -> None:
        """End it, whatever state it is in."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10.0)

    def log(self) -> str:
        """Its log so far, of all starts."""
        files = sorted(self.folder.glob(f"{self.name}.*.log"), key=lambda path: int(path.suffixes[-2][1:]))
        return "".join(path.read_text(encoding="utf-8", errors="replace") for path in files)


class Sender(Process):
    """A real sender, started by the deploy file's `run` as the platform does it."""

    def __init__(
        self, name: str, folder: Path, record: Record, platform: Platform, settings: str, senders: int
    ) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        self.port, home = free_port(), folder / name
        home.mkdir()
        (home / "state").mkdir()
        self.settings = home / "settings.conf"
        self.settings.write_text(settings, encoding="utf-8")
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": platform.server.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "settings": {**SETTINGS, "peersTotal": senders},
        }
        (home / "config.json").write_text(json.dumps(config), encoding="utf-8")
        env = {
            "LB_NAME": name,
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": config["discovery"],
            "LB_STATE": str(home / "state"),
            "LB_CONFIG": str(home / "config.json"),
            "WILLOWNOTCH_SETTINGS": str(self.settings),
        }
        super().__init__(name, ["/bin/sh", "-c", run], env, home, record)

    def ready(self, patience: float = 20.0) -> None:
        """Wait until it answers that it is ready."""

        def asks() -> bool:
            if self.process.poll() is not None:
                raise CouldNotRunError(f"{self.name} has ended with {self.process.returncode}")
            try:
                return exchange(self.port, b"GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n") == 200
            except OSError:
                return False

        until(asks, patience, f"{self.name} to be ready")
        self.record.say(f"{self.name}: ready")

    def hand_in(self, ref: str, cls: str, dest: int, time_ms: int, key: str = "") -> int:
        """Hand one message in as a client does; the status that it was answered, 0 for none in 400 ms."""
        body = f"message {ref}".encode()
        head = (
            f"POST /api{f'?thread={key}' if key else ''} HTTP/1.1\r\nHost: api.internal\r\n"
            f"Request-Id: {ref}\r\n"
            f"Request-Class: {cls}\r\nTenant: dune-carriers\r\nRequest-Timeout-Ms: {time_ms}\r\n"
            f"Idempotency-Key: k-{ref}\r\nX-Consignee: dest={dest}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            status = exchange(self.port, head.encode() + body)
        except OSError:
            status = 0
        self.record.say(f"client: handed {ref} ({cls}) to {self.name}, answered {status or 'nothing'}")
        return status


def exchange(port: int, request: bytes, patience: float = 0.4) -> int:
    """Send one request on a connection of its own; the answer's status."""
    with socket.create_connection(("127.0.0.1", port), patience) as sock:
        sock.settimeout(patience)
        sock.sendall(request)
        data = b""
        while b"\r\n" not in data:
            if not (part := sock.recv(4096)):
                raise ConnectionResetError("no answer")
            data += part
        return int(re.match(rb"HTTP/1\.\d (\d{3})", data)[1])


def ask(command: list[str], patience: float = 30.0) -> subprocess.CompletedProcess:
    """Run one of the project's commands to its end."""
    env = {"PATH": os.environ["PATH"]}
    return subprocess.run(
        [*PROGRAM, *command], cwd=ROOT, env=env, capture_output=True, text=True, timeout=patience, check=False
    )


def ask_socket(path: str, question: str) -> dict:
    """Ask a running program at its control socket, as the project's commands do."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(5.0)
        sock.connect(path)
        sock.sendall(json.dumps({"ask": question, "about": {}}).encode() + b"\n")
        data = b""
        while part := sock.recv(65536):
            data += part
    return json.loads(data)


def play(case: Callable[[Path, Record, list[Process]], bool], folder: Path) -> int:
    """Run a case in a temporary folder; the exit code. All processes that it started are ended."""
    record, processes = Record(folder), []
    place = Path(tempfile.mkdtemp(prefix="wn-review-"))
    try:
        broken = case(place, record, processes)
        code = BROKEN if broken else HELD
    except Exception as fault:  # whatever it is, it says nothing about the rule
        where = "".join(traceback.format_exception(fault)) if not isinstance(fault, CouldNotRunError) else ""
        record.say(f"could not run: {type(fault).__name__}: {fault} {where}".rstrip())
        code = COULD_NOT_RUN
    finally:
        for process in processes:
            process.end()
    if keep := os.environ.get("KEEP_LOGS"):
        shutil.copytree(place, keep, dirs_exist_ok=True, ignore=shutil.ignore_patterns("*.sock", "handover"))
    shutil.rmtree(place, ignore_errors=True)
    record.say(f"{VERDICTS[code]}: exit code {code}")
    print(f"exit code {code}, trouble {'on' if TROUBLE else 'off'}", file=sys.stderr)
    return code


class Network:
    """A proxy for the datagrams and connections of members, each of which advertises a door here.

    It can cut members apart: what is sent meanwhile is dropped (datagrams) or held (connections). Datagrams
    go on from the door of the member that sent them, so that answers come through here, too. Who opens a
    connection is known by its address: each member has one of its own.
    """

    def __init__(self) -> None:
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.doors: dict[str, socket.socket] = {}
        self.members: dict[str, tuple[str, int]] = {}
        self._names: dict[tuple[str, int], str] = {}

    def add(self, name: str) -> tuple[str, str]:
        """A member's own address, and that of its door."""
        host = f"127.0.0.{11 + len(self.members)}"
        door, listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), socket.socket()
        port = free_port()
        for sock in (door, listener):
            sock.bind(("127.0.0.1", port))
        listener.listen(64)
        self.doors[name], self.members[name] = door, (host, free_port(host))
        self._names[self.members[name]] = name
        threading.Thread(target=self._pass_datagrams, args=(name, door), daemon=True).start()
        threading.Thread(target=self._accept, args=(name, listener), daemon=True).start()
        return f"{host}:{self.members[name][1]}", f"127.0.0.1:{port}"

    def _pass_datagrams(self, name: str, door: socket.socket) -> None:
        while True:
            try:
                data, source = door.recvfrom(65535)
                sender = self._names.get(source)
                if sender is not None and not self.cut(sender, name):
                    self.doors[sender].sendto(data, self.members[name])
            except OSError:
                continue  # the member is not there: its port was refused

    def _accept(self, name: str, listener: socket.socket) -> None:
        while True:
            sock, (host, _) = listener.accept()
            source = next((known for known, address in self.members.items() if address[0] == host), "")
            threading.Thread(target=self._connect, args=(source, name, sock), daemon=True).start()

    def _connect(self, source: str, name: str, sock: socket.socket) -> None:
        self._wait_for(source, name)
        try:
            behind = socket.create_connection(self.members[name], 1.0)
        except OSError:
            sock.close()
            return
        behind.settimeout(None)
        threading.Thread(target=self._pass_bytes, args=(source, name, sock, behind), daemon=True).start()
        self._pass_bytes(name, source, behind, sock)

    def _wait_for(self, source: str, name: str) -> None:
        while self.cut(source, name):
            time.sleep(0.02)

    def _pass_bytes(self, source: str, name: str, one: socket.socket, other: socket.socket) -> None:
        try:
            while data := one.recv(65536):
                self._wait_for(source, name)
                other.sendall(data)
        except OSError:
            pass
        for sock in (one, other):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it has ended already
