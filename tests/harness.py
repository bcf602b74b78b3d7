"""What tests with real sockets need: fake endpoints and discovery, clients, and the sender's process."""

import json
import os
import queue
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, replace
from pathlib import Path

from willownotch.journal import records
from willownotch.lab.faults import shim
from willownotch.lab.soak.processes import SETTINGS as FLEET_SETTINGS
from willownotch.net import http, journal

ROOT = Path(__file__).parent.parent
PATIENCE = 10.0  # s, the longest wait for a condition

SETTINGS = {
    **FLEET_SETTINGS,
    "orgs": [{"name": "acme", "quotaPerS": 50.0}],
    "familyInfo": {**FLEET_SETTINGS["familyInfo"], "slots": 6},
    "policyLimits": {**FLEET_SETTINGS["policyLimits"], "maxOpen": 40, "maxAttempts": 12},
}


def until(check, patience=PATIENCE):
    """Wait until `check` returns something true, and return that. Fails after `patience` seconds."""
    ends = time.monotonic() + patience
    while not (found := check()):
        if time.monotonic() > ends:
            raise AssertionError("waited in vain")
        time.sleep(0.005)
    return found


class Server:
    """An HTTP server on a port of its own; `answer(head, body, sock)` returns bytes, or None to hang up."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections = 0
        self.ends_connections = True  # behind an answer, where the request asks for that
        self.socks = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            self.socks.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        parser = http.Parser(answer=False)
        try:
            while True:
                while (found := parser.next()) is None:
                    if not (data := sock.recv(65536)):
                        return
                    parser.feed(data)
                data = self.answer(*found, sock)
                if data is None:
                    return
                sock.sendall(data)
                if self.ends_connections and not found[0].keeps_alive():
                    return
        except OSError:
            pass
        finally:
            sock.close()

    def close(self):
        for sock in [self.listener, *self.socks]:
            sock.close()


class Host(Server):
    """A fake endpoint. `script` holds its next answers, None to hang up; when it is empty it answers 200.

    It answers nothing while `held` is cleared.
    """

    def __init__(self):
        super().__init__()
        self.calls, self.script, self.held = [], queue.SimpleQueue(), threading.Event()
        self.held.set()

    def answer(self, head, body, sock):
        self.calls.append((time.monotonic(), head, body))
        self.held.wait(PATIENCE * 3)
        answer = self.script.get() if not self.script.empty() else (200, ())
        return answer if answer is None or isinstance(answer, bytes) else http.write_answer(*answer)

    def refs(self):
        return [head.headers["request-id"] for _, head, _ in self.calls]


@dataclass(frozen=True)
class NoticePost:
    """One notice as the platform received it; a sender posts one that is not answered in time again."""

    at_s: float
    caller: str | None  # the sender, if it has an address of its own
    given_up: bool  # the sender had closed the connection before the answer was written
    notice: dict


def given_up(sock):
    """Whether the other side has closed a connection, as a sender does that was not answered in time."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def told_ends(posts):
    """The (id, outcome) of each end that the platform was told, as often as it was told it.

    A post that its sender had given up before the answer was written is none: the sender repeats it.
    """
    return sorted((post.notice["message"], post.notice["outcome"]) for post in posts if not post.given_up)


class Discovery(Server):
    """A fake discovery service: the list of endpoints, the watch for changes, and notices."""

    def __init__(self, hosts=()):
        self.notices, self.unanswered_notices, self.ignores_notices = [], [], False
        self.doors = []
        self.posts = []  # of all notices that were answered, however late
        self.answers_late_s = []  # how late the next posts of notices are read
        self.watch_queues = []  # what each watch is to be sent
        self.first_watch_queue = queue.SimpleQueue()  # of the first watch, filled before it begins
        self.watched = []  # the request targets of all watches
        self.index = 1
        self.entries = [self.entry(n, host) for n, host in enumerate(hosts)]
        super().__init__()

    @staticmethod
    def entry(number, host, status="Ready", group=7):
        return {
            "name": f"s-{number}",
            "address": host.address,
            "zone": "here",
            "type": "haulier",
            "group": group,
            "status": status,
            "weight": 20.0,
            "since_ms": 0,
        }

    def known(self):
        return {"index": self.index, "snapshot": True, "endpoints": self.entries}

    def answer(self, head, body, sock, caller=None):
        if head.method == "POST":
            notices = [json.loads(line) for line in body.splitlines()]
            post = NoticePost(time.monotonic(), caller, False, {})
            time.sleep(self.answers_late_s.pop(0) if self.answers_late_s else 0.0)
            if self.ignores_notices:
                self.unanswered_notices += notices
                return None
            self.posts += [replace(post, notice=notice, given_up=given_up(sock)) for notice in notices]
            self.notices += notices
            return http.write_answer(204)
        self.watched.append(head.target)
        self.watch_queues.append(
            updates := queue.SimpleQueue() if self.watch_queues else self.first_watch_queue
        )
        sock.sendall(http.write_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        self.chunk(sock, json.dumps(self.known()))
        while True:
            self.chunk(sock, updates.get())

    def door(self, caller):
        """An address of this service for one sender alone."""
        self.doors.append(DiscoveryDoor(self, f"{caller}, started as number {len(self.doors)}"))
        return self.doors[-1]

    def close(self):
        for server in [*self.doors, super()]:
            server.close()

    def tell(self, text):
        """Send a line to all watches. Watches that have ended keep a queue that nobody reads."""
        for updates in self.watch_queues or [self.first_watch_queue]:
            updates.put(text)

    @staticmethod
    def chunk(sock, text):
        data = (text + "\n").encode()
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    def change(self, number, host, status, group=7):
        self.index += 1
        self.tell(
            json.dumps(
                {
                    "index": self.index,
                    "snapshot": False,
                    "endpoints": [self.entry(number, host, status, group)],
                }
            )
        )


class DiscoveryDoor(Server):
    """An address of a discovery service that one sender alone uses, so that its calls are known by it."""

    def __init__(self, discovery, caller):
        self.discovery, self.caller = discovery, caller
        super().__init__()

    def answer(self, head, body, sock):
        return self.discovery.answer(head, body, sock, self.caller)


class Sender:
    """The program in a process of its own, with a state folder that is kept over restarts."""

    def __init__(
        self,
        discovery=None,
        known=None,
        limits=None,
        text=None,
        keepalive=5.0,
        env=None,
        settings=None,
        faults=None,
        calls=(),
        step_s=0.0,
        step_from_s=0.0,
    ):
        self.folder = tempfile.TemporaryDirectory()
        self.config = Path(self.folder.name) / "config.json"
        self.state = Path(self.folder.name) / "state"
        self.text = text or {
            "name": "t0",
            "listen": "127.0.0.1:0",
            "discovery": discovery.address,
            "seed": "5f",
            "limits": limits or {"sockets": 1024, "disk_mb": 3},
            "known": known,
            "settings": {**SETTINGS, "policyLimits": {**SETTINGS["policyLimits"], "keepaliveS": keepalive}},
        }
        self.config.write_text(json.dumps(self.text), encoding="utf-8")
        self.count, self.env = 0, env or {}
        # System calls that fail, and a step of the wall clock, `step_from_s` after a process began.
        self.calls, self.step_s, self.step_from_s = list(calls), step_s, step_from_s
        self.fault_log = Path(self.folder.name) / "struck"
        self.settings, self.faults = Path(self.folder.name) / "w.conf", Path(self.folder.name) / "faults"
        if faults is not None:  # how the sender's disk fails; `fail` changes it
            self.faults.write_text(faults, encoding="utf-8")
        if settings is not None:
            self.settings.write_text(settings, encoding="utf-8")
            self.env = {**self.env, "WILLOWNOTCH_SETTINGS": str(self.settings)}
        self.start()

    def start(self):
        self.launch()
        until(lambda: self.port or self.process.poll() is not None)

    def launch(self, cwd=ROOT):
        env = {
            "PATH": os.environ["PATH"],
            "LB_CONFIG": str(self.config),
            "LB_STATE": str(self.state),
            **self.env,
        }
        if self.calls or self.step_s:
            env |= shim.environment(
                self.calls, self.state, step_s=self.step_s, step_from_s=self.step_from_s, log=self.fault_log
            )
        program = ["-m", "willownotch"]
        if self.faults.exists():
            program = ["tests/faulty_sender.py", str(self.faults)]
        self.process = subprocess.Popen(
            [sys.executable, *program], cwd=cwd, env=env, stderr=subprocess.PIPE, text=True
        )
        self.lines, self.port, self.managed = [], None, None
        threading.Thread(target=self._read, args=(self.process.stderr, self.lines), daemon=True).start()

    def _read(self, stderr, lines):
        for line in stderr:
            lines.append(line)
            if lines is not self.lines:
                continue  # from an earlier process
            found = re.search(r"start: listening on [\d.]+:(\d+)", line)
            self.port = int(found[1]) if found else self.port
            found = re.search(r"start: operators are answered at [\d.]+:(\d+)", line)
            self.managed = int(found[1]) if found else self.managed

    def fail(self, text):
        """Change how the disk fails.

        Replaces the file in one step, as the sender reads it at each operation.
        """
        new = self.faults.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.faults)

    def settled(self):
        """Wait until no message is outstanding: each relay's connection is idle again, or closed."""
        until(lambda: not records.replay((self.state / journal.NAME).read_bytes())[0])

    def ready(self):
        until(lambda: self.exchange(self.request("GET", "/health/ready")).status == 200)
        return self

    def upgrade(self, cwd=ROOT):
        """Start the program again beside the running one. Returns the old process and its log lines."""
        old, log_text = self.upgrade_unready(cwd)
        until(lambda: self.port or self.process.poll() is not None)
        return old, log_text

    def upgrade_unready(self, cwd=ROOT):
        """As `upgrade`, without waiting for the new process."""
        old, log_text = self.process, self.lines
        self.launch(cwd)
        return old, log_text

    def restart(self, with_signal=signal.SIGKILL):
        self.process.send_signal(with_signal)
        self.process.wait(PATIENCE)
        self.start()
        return self.ready()

    def reload(self, text, log_text):
        """Replace the configuration file, send SIGHUP, and wait for a reload line with this text."""
        before = len(self.lines)
        self.config.write_text(
            text if isinstance(text, str) else json.dumps({**self.text, **text}), encoding="utf-8"
        )
        self.process.send_signal(signal.SIGHUP)
        until(lambda: any(f"reload: {log_text}" in line for line in self.lines[before:]))

    def close(self):
        self.process.kill()
        self.process.wait(PATIENCE)
        self.process.stderr.close()
        self.folder.cleanup()

    @staticmethod
    def request(method, target, headers=(), body=None):
        return http.write_request(method, target, "api.internal", headers, body)

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.port), PATIENCE)
        sock.settimeout(PATIENCE)
        return sock

    def operator(self):
        """A connection to the management address."""
        sock = socket.create_connection(("127.0.0.1", self.managed), PATIENCE)
        sock.settimeout(PATIENCE)
        return sock

    def exchange(self, data, sock=None):
        """Send bytes, and return the head of the answer."""
        own = sock or self.connect()
        try:
            own.sendall(data)
            parser = http.Parser(answer=True)
            while (found := parser.next()) is None:
                if parser.eof:
                    raise ConnectionResetError("no answer")
                parser.feed(own.recv(65536))
            return found[0]
        finally:
            if sock is None:
                own.close()

    def headers(self, cls="status", dest=7, left=8000, ref=None, tenant="acme"):
        """The headers of a hand-in, with a new id if none is given."""
        self.count += 1
        ref = ref or f"{self.count:016x}"
        return [
            ("Request-Id", ref),
            ("Request-Class", cls),
            ("Tenant", tenant),
            ("Request-Timeout-Ms", str(left)),
            ("X-Consignee", f"dest={dest}"),
            ("Idempotency-Key", f"i{ref}"),
        ]

    def message(self, cls="status", key=None, body=b"hello", **more):
        """The bytes of a hand-in."""
        return self.request("POST", f"/api?thread={key}" if key else "/api", self.headers(cls, **more), body)

    def hand_in(self, cls="status", key=None, body=b"hello", **more):
        """Hand in one message. Returns its id and the head of the answer."""
        data = self.message(cls, key, body, **more)
        return more.get("ref") or f"{self.count:016x}", self.exchange(data)
