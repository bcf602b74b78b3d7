"""Stand-ins for platform, endpoints and clients, and the sender's process, for the cases 6 to 10.

They follow the protocol page as a sound platform, endpoint or client would. Nothing of the sender's own code
is used, so that a fault there cannot hide here.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, UNABLE = 1, 0, 2
CLIENT_WAIT_S = 0.4  # "For this answer a client waits 400 ms"


class UnableError(Exception):
    """The case could not run; it says nothing of the rule."""


def classes(**changes: dict) -> list[dict]:
    """The port's three classes, with changes by name (`-` written as `_`)."""
    found = [
        {
            "name": "slot-order",
            "credit": 1.0,
            "promiseS": 2.5,
            "hardLimitS": 16.0,
            "lateShare": 0.3,
            "idempotency": "keyed",
            "group": "all",
            "memorySpanS": 15.0,
        },
        {
            "name": "slot-status",
            "credit": 1.0,
            "promiseS": 2.5,
            "hardLimitS": 28.0,
            "lateShare": 0.4,
            "idempotency": "safe",
        },
        {
            "name": "fee-payment",
            "credit": 3.0,
            "promiseS": 2.0,
            "hardLimitS": 20.0,
            "lateShare": 0.3,
            "idempotency": "unsafe",
            "oneAtATime": True,
        },
    ]
    return [{**entry, **changes.get(entry["name"].replace("-", "_"), {})} for entry in found]


def settings(senders: int = 1, **policy: object) -> dict:
    """The settings of a small deployment: those of the wire page's sample, for so many senders."""
    return {
        "services": classes(),
        "models": ["terminal-operator", "haulier", "shipping-agent"],
        "orgs": [
            {"name": "erongo-haulage", "quotaPerS": 16.0},
            {"name": "kuiseb-freight", "quotaPerS": 7.0},
            {"name": "dune-carriers", "quotaPerS": 3.0},
        ],
        "peersTotal": senders,
        "overShareWorth": 0.05,
        "weightKind": "rough",
        "zones": ["walvis-main"],
        "callers": {"marksRetry": True},
        "costs": {"waste": 0.03, "handshake": 0.04},
        "familyInfo": {
            "slots": 14,
            "decay": "even",
            "kindBatch": [1, 1, 1],
            "separateRoutes": [False, False, False],
        },
        "policyLimits": {
            "maxOpen": 166,
            "maxAttempts": 12,
            "connectTimeoutS": 1.5,
            "keepaliveS": 5.0,
            "maxRetryAfterS": 2.0,
            "mayCancel": True,
            "retryAfter": True,
            "secondCopies": True,
            **policy,
        },
        "rules": {
            "coldShare": 0.18,
            "coldS": 14.0,
            "fallMultiple": 2.0,
            "fallS": 2.0,
            "graceToAnswerS": 0.02,
            "drainGraceS": 1.0,
            "keyQuietS": 0.3,
        },
    }


class Record:
    """What was sent, answered and run, with the time since the start, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def say(self, text: str) -> None:
        """Write one line. Any thread may call."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self._file.flush()


def free_port() -> int:
    """A port that nobody has now, for TCP or UDP, below the range that the system gives to connections."""
    for _ in range(1000):
        port = random.randrange(10000, 30000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
    raise UnableError("no port is free")


@dataclass
class Request:
    """One HTTP request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Reader:
    """Reads requests or answers with a length from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.data = sock, b""

    def head(self) -> tuple[str, dict[str, str]] | None:
        """The first line and the headers of what comes next; None at the end."""
        while b"\r\n\r\n" not in self.data:
            if not self._more():
                return None
        text, self.data = self.data.split(b"\r\n\r\n", 1)
        first, *lines = text.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        return first, {name.strip().lower(): value.strip() for name, _, value in pairs}

    def body(self, headers: dict[str, str]) -> bytes | None:
        """The body that a head told of; None if the connection ended before."""
        wanted = int(headers.get("content-length", "0"))
        while len(self.data) < wanted:
            if not self._more():
                return None
        body, self.data = self.data[:wanted], self.data[wanted:]
        return body

    def request(self) -> Request | None:
        """The next request; None at the end."""
        if (found := self.head()) is None or (body := self.body(found[1])) is None:
            return None
        method, target, _ = found[0].split(" ", 2)
        return Request(method, target, found[1], body)

    def _more(self) -> bool:
        try:
            data = self.sock.recv(65536)
        except OSError:
            return False
        self.data += data
        return bool(data)


class Server:
    """A listener on loopback with a thread for each connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        try:
            while (request := reader.request()) is not None:
                self.handle(sock, request)
                if request.headers.get("connection", "").lower() == "close":
                    return
        except OSError:
            pass
        finally:
            try:
                sock.shutdown(socket.SHUT_RDWR)  # a thread that watches it would keep it open
            except OSError:
                pass
            sock.close()

    def handle(self, sock: socket.socket, request: Request) -> None:
        """Answer one request."""
        raise NotImplementedError


def write(sock: socket.socket, status: int, headers: dict[str, str] | None = None) -> None:
    """Write an answer without a body."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    sock.sendall(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: 0\r\n\r\n".encode())


class Platform(Server):
    """An agent that pushes the list, and takes notices. While `down` it tells nothing of the list."""

    def __init__(self, record: Record, endpoints: list[dict]) -> None:
        self.record, self.endpoints, self.down = record, endpoints, threading.Event()
        self.notices: list[tuple[float, str, str]] = []  # when, message, outcome
        self.listeners: list[Callable[[str, str], None]] = []  # told each notice once it is answered
        super().__init__()

    def list(self) -> dict:
        """The whole list."""
        return {"index": 41, "snapshot": True, "endpoints": self.endpoints}

    def handle(self, sock: socket.socket, request: Request) -> None:
        """Answer a watch, a call for the list, or notices."""
        if request.method == "POST":
            told = [json.loads(line) for line in request.body.splitlines() if line]
            write(sock, 204)
            for notice in told:
                self.notices.append((time.monotonic(), notice["message"], notice["outcome"]))
                self.record.say(f"notice {notice['message']} {notice['outcome']}")
                for listener in self.listeners:
                    listener(notice["message"], notice["outcome"])
            return
        while self.down.is_set():
            time.sleep(0.01)
        line = json.dumps(self.list()).encode() + b"\n"
        if "watch=1" not in request.target:
            sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(line) + line)
            return
        sock.sendall(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            if not self.down.is_set():
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            line = b"\n"
            time.sleep(2.0)

    def outcomes(self, message: str) -> list[str]:
        """What was told of a message."""
        return [outcome for _, ref, outcome in self.notices if ref == message]


class Network:
    """A proxy for the datagrams of peers: each advertises an address here, which leads to its own.

    Datagrams go on from their sender's address here, so that answers come through, too. `parts` are the sides
    of a cut: nothing goes from a member of one to a member of another.
    """

    def __init__(self, record: Record, names: tuple[str, ...]) -> None:
        self.record, self.parts = record, ()  # type: Record, tuple[frozenset[str], ...]
        self.own = {name: ("127.0.0.1", free_port()) for name in names}
        self._names = {address: name for name, address in self.own.items()}
        self._doors = {name: socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for name in names}
        for name, door in self._doors.items():
            door.bind(("127.0.0.1", 0))
            threading.Thread(target=self._pass_on, args=(name, door), daemon=True).start()
        self.advertised = {name: f"127.0.0.1:{door.getsockname()[1]}" for name, door in self._doors.items()}

    def cut(self, *parts: frozenset[str]) -> None:
        """Cut the members into these sides; none of them heals the cut."""
        self.parts = parts
        self.record.say(f"network: {' | '.join(' '.join(sorted(part)) for part in parts) or 'whole'}")

    def _pass_on(self, target: str, door: socket.socket) -> None:
        while True:
            try:
                data, address = door.recvfrom(65535)
            except OSError:
                continue  # an earlier datagram was refused
            source = self._names.get(address)
            apart = any((source in part) != (target in part) for part in self.parts)
            if source is not None and not apart:
                self._doors[source].sendto(data, self.own[target])


@dataclass
class Call:
    """A call whose last byte has come."""

    message: str
    key: str | None  # its idempotency key
    at: float
    wait_ms: int  # as its Request-Timeout-Ms says
    ended: threading.Event = field(default_factory=threading.Event)  # answered, or its connection has ended
    status: int | None = None
    ended_at: float = 0.0


class Endpoint(Server):
    """An endpoint. `behave` gives a call's status and headers, or None to hang until the call is given up."""

    def __init__(
        self, record: Record, name: str, behave: Callable[[Call], tuple[int, dict[str, str]] | None]
    ) -> None:
        self.record, self.name, self.behave = record, name, behave
        self.calls: list[Call] = []
        self.lock = threading.Lock()
        super().__init__()

    def handle(self, sock: socket.socket, request: Request) -> None:
        """Take one call, and answer it as `behave` says."""
        call = Call(
            request.headers.get("request-id", ""),
            request.headers.get("idempotency-key"),
            time.monotonic(),
            int(request.headers.get("request-timeout-ms", "0")),
        )
        with self.lock:
            self.calls.append(call)
        self.record.say(f"{self.name} call {call.message}")
        threading.Thread(target=self._watch, args=(sock, call), daemon=True).start()
        answer = self.behave(call)
        if answer is None:
            call.ended.wait()
            return
        status, headers = answer
        with self.lock:
            given_up = call.ended.is_set()
            if not given_up:
                call.status, call.ended_at = status, time.monotonic()
                call.ended.set()
        if given_up:
            return
        self.record.say(f"{self.name} answers {status} to {call.message}")
        write(sock, status, headers)

    def _watch(self, sock: socket.socket, call: Call) -> None:
        """Notice that the sender has closed the connection of a call, or has ended its sending on it."""
        while not call.ended.is_set():
            try:
                sock.settimeout(None)
                data = sock.recv(1, socket.MSG_PEEK)
            except OSError:
                data = b""
            if data:
                return
            with self.lock:
                if not call.ended.is_set():
                    call.ended_at = time.monotonic()
                    call.ended.set()
                    self.record.say(f"{self.name} connection ended under {call.message}")

    def of(self, message: str) -> list[Call]:
        """The calls with a message, in the order in which they came."""
        with self.lock:
            return [call for call in self.calls if call.message == message]

    def entry(self, group: int, kind: str = "haulier", weight: float = 20.0) -> dict:
        """Its entry on the list."""
        return {
            "name": f"s-{self.name}",
            "address": self.address,
            "zone": "walvis-main",
            "type": kind,
            "group": group,
            "status": "Ready",
            "weight": weight,
            "since_ms": 0,
        }


def hanging(until: Callable[[], float]) -> Callable[[Call], tuple[int, dict[str, str]]]:
    """How an endpoint behaves that answers nothing before a time, and then what is still open, too."""

    def behave(call: Call) -> tuple[int, dict[str, str]]:
        call.ended.wait(max(0.0, until() - time.monotonic()))
        return 200, {}

    return behave


def sound(call: Call) -> tuple[int, dict[str, str]]:
    """How an endpoint behaves that has no trouble."""
    time.sleep(0.2)
    return 200, {}


def hand_in(
    record: Record,
    address: str,
    ref: str,
    kind: str,
    dest: int,
    timeout_ms: int,
    tenant: str = "erongo-haulage",
    thread: str | None = None,
    again: bool = False,
    keyed: bool = False,
) -> int | None:
    """Hand one message in on a new connection. The status of the answer, or None without one in 400 ms."""
    host, _, port = address.rpartition(":")
    target = "/api" + (f"?thread={thread}" if thread else "")
    body = f"body of {ref}".encode()
    key = f"Idempotency-Key: k{ref}\r\n" if keyed or kind == "slot-order" else ""
    text = (
        f"POST {target} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {ref}\r\nRequest-Class: {kind}\r\n"
        f"Tenant: {tenant}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{key}"
        f"{'Client-Retry: 1' + chr(13) + chr(10) if again else ''}"
        f"X-Consignee: dest={dest}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    status = None
    try:
        with socket.create_connection((host, int(port)), timeout=CLIENT_WAIT_S) as sock:
            sock.settimeout(CLIENT_WAIT_S)
            sock.sendall(text.encode() + body)
            found = Reader(sock).head()
            status = int(found[0].split(" ")[1]) if found is not None else None
    except (OSError, ValueError):
        pass
    record.say(f"client {ref} ({kind}, key {thread}, {timeout_ms} ms) at {address}: {status}")
    return status


class Sender:
    """One sender: its folder and addresses, and its processes, started by the deploy file's `run`."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str,
        platform: Platform,
        config: dict,
        conf: str | None = None,
        root: Path = ROOT,
    ) -> None:
        self.record, self.name, self.root = record, name, root
        self.folder = folder / name
        self.folder.mkdir()
        self.address = f"127.0.0.1:{free_port()}"
        self.platform, self.settings_file = platform, None
        if conf is not None:
            self.settings_file = self.folder / "sender.conf"
            self.settings_file.write_text(conf, encoding="utf-8")
        self.config = {
            "name": name,
            "listen": self.address,
            "discovery": platform.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": platform.list(),
            "settings": config,
        }
        self.config_file = self.folder / "config.json"
        self.config_file.write_text(json.dumps(self.config), encoding="utf-8")
        self.processes: list[subprocess.Popen] = []

    @property
    def process(self) -> subprocess.Popen:
        """The process started last."""
        return self.processes[-1]

    def start(self, root: Path | None = None, **env: str) -> subprocess.Popen:
        """Start one process with `run`, from the repository's root (or a copy of it)."""
        (self.folder / "tmp").mkdir(exist_ok=True)
        made = {
            **os.environ,
            "LB_CONFIG": str(self.config_file),
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "LB_DISCOVERY": self.platform.address,
            "LB_STATE": str(self.folder / "state"),
            "TMPDIR": str(self.folder / "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
            **env,
        }
        if self.settings_file is not None:
            made["WILLOWNOTCH_SETTINGS"] = str(self.settings_file)
        with self.log_file(len(self.processes)).open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", RUN], cwd=root or self.root, env=made, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record.say(f"{self.name} started, its process number {len(self.processes)}")
        return process

    def log_file(self, number: int) -> Path:
        """The log of its process with this number."""
        return self.folder / f"log{number}"

    def log(self, number: int = -1) -> str:
        """What one of its processes has logged, the last by default."""
        return self.log_file(number % len(self.processes)).read_text(encoding="utf-8", errors="replace")

    def wait_log(self, text: str, most_s: float, number: int = -1) -> None:
        """Wait until a process has logged a text."""
        wait_until(lambda: text in self.log(number), most_s, f"{self.name} logs {text!r}")

    def ready(self) -> bool:
        """Whether `GET /health/ready` answers 200."""
        host, _, port = self.address.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=0.4) as sock:
                sock.settimeout(0.4)
                sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                found = Reader(sock).head()
                return found is not None and found[0].split(" ")[1] == "200"
        except OSError:
            return False

    def wait_ready(self, most_s: float = 30.0) -> None:
        """Wait until it is ready."""
        wait_until(self.ready, most_s, f"{self.name} is ready")
        self.record.say(f"{self.name} is ready")

    def signal(self, number: int, process: subprocess.Popen | None = None) -> None:
        """Send a signal to one of its processes, the last by default."""
        target = process or self.process
        if target.poll() is None:
            target.send_signal(number)
        place = self.processes.index(target) + 1
        self.record.say(f"{self.name} process number {place} gets {signal.Signals(number).name}")

    def kill(self) -> None:
        """End its last process with SIGKILL, and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait(10)


def wait_until(check: Callable[[], bool], most_s: float, what: str) -> None:
    """Wait until a check is true. `UnableError` if it isn't in time."""
    ends = time.monotonic() + most_s
    while not check():
        if time.monotonic() > ends:
            raise UnableError(f"waited {most_s} s in vain: {what}")
        time.sleep(0.01)


def play(script: str, case: Callable[[Record, Path, list[Sender]], list[str]]) -> None:
    """Play a case, and exit with its verdict. `case` gives what broke the rule, a line each.

    It appends each sender to the list that it is given; their processes are ended in any case.
    """
    record, senders, code = Record(Path(script).resolve().parent), [], UNABLE
    with tempfile.TemporaryDirectory() as made:
        try:
            broken = case(record, Path(made), senders)
            for line in broken:
                record.say(f"BROKEN: {line}")
                print(line)
            code = BROKEN if broken else HELD
        except UnableError as fault:
            record.say(f"could not run: {fault}")
            print(f"could not run: {fault}", file=sys.stderr)
        finally:
            for sender in senders:
                for process in sender.processes:
                    if process.poll() is None:
                        process.kill()
                    process.wait()
            for sender in senders:
                for number in range(len(sender.processes)):
                    for line in sender.log(number).splitlines():
                        record.say(f"log {sender.name}.{number + 1}: {line}")
    record.say(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
