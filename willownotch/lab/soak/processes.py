"""The processes of one sender: started, upgraded, stopped, held and killed as the plan has it."""

from __future__ import annotations

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from willownotch.lab.faults import shim
from willownotch.lab.soak import connections, quota
from willownotch.lab.soak.plan import HOLD_MOST_S, KILL_AFTER_S, RESTART_AFTER_S, Action, Plan
from willownotch.lab.soak.records import Lifetime, Records
from willownotch.net import http

ROOT = Path(__file__).parents[3]
READY_MOST_S, UPGRADE_READY_MOST_S = 30.0, 12.0  # waited for; what is late is the verdict's to say
ASK_S = 1.0
SETTINGS = {
    "services": [
        {
            "name": "order",
            "credit": 1.0,
            "promiseS": 2.5,
            "hardLimitS": 16.0,
            "lateShare": 0.3,
            "idempotency": "keyed",
            "group": "all",
            "memorySpanS": 15.0,
        },
        {"name": "status", "credit": 1.0, "promiseS": 2.5, "hardLimitS": 28.0, "idempotency": "safe"},
        {
            "name": "fee",
            "credit": 3.0,
            "promiseS": 2.0,
            "hardLimitS": 20.0,
            "idempotency": "unsafe",
            "oneAtATime": True,
        },
    ],
    "models": ["haulier"],
    "orgs": [{"name": "acme", "quotaPerS": 500.0}],
    "peersTotal": 1,
    "familyInfo": {"slots": 16, "decay": "even", "kindBatch": [1], "separateRoutes": [False]},
    "policyLimits": {
        "maxOpen": 200,
        "maxAttempts": 8,
        "connectTimeoutS": 1.0,
        "keepaliveS": 5.0,
        "maxRetryAfterS": 2.0,
        "mayCancel": True,
        "retryAfter": True,
        "secondCopies": True,
    },
    "rules": {"coldShare": 0.2, "coldS": 10.0, "fallMultiple": 2.0, "fallS": 2.0, "keyQuietS": 0.3},
    "callers": {"marksRetry": True},
    "weightKind": "rough",
    "zones": ["here"],
}


def settings_of(plan: Plan) -> dict:
    """The settings of a plan's senders."""
    if plan.quota is not None:
        tenant = {"name": quota.TENANT, "quotaPerS": plan.quota.quota_per_s}
        return {**SETTINGS, "peersTotal": plan.senders, "orgs": [tenant]}
    rules = plan.cold.rules() if plan.cold is not None else None
    if rules is None:
        return SETTINGS
    figures = {
        "coldShare": rules.cold_share,
        "coldS": rules.cold_s,
        "fallMultiple": rules.fall_multiple,
        "fallS": rules.fall_s,
    }
    return {**SETTINGS, "peersTotal": plan.senders, "rules": {**SETTINGS["rules"], **figures}}


PORT_FIRST, PORT_SHARE, PORT_PARTS = 16000, 160, 100  # a part for each process that plays
GUARD_FIRST = PORT_FIRST - PORT_PARTS  # a port for each part, held by the process that has the part
PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB", re.MULTILINE)
BYTES_PER_MB = 1_000_000
MANAGED = re.compile(r"operators are answered at ([\d.]+):(\d+)")


def claim_part() -> int:
    """The number of a part of the ports that no other process that plays has while this one runs.

    Two that shared a part took each other's senders for their own, in the moments in which a port was free.
    """
    for number in range(os.getpid(), os.getpid() + PORT_PARTS):
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind(("127.0.0.1", GUARD_FIRST + number % PORT_PARTS))
        except OSError:
            guard.close()
            continue
        claim_part.guards.append(guard)
        return number % PORT_PARTS
    raise OSError("no part of the ports is free")


claim_part.guards = []  # kept open for as long as this process runs


def free_port() -> int:
    """A port that nobody has now, and that no connection is given: below the range of those."""
    if not free_port.left:
        first = PORT_FIRST + claim_part() * PORT_SHARE
        free_port.left = iter([*range(first, first + PORT_SHARE)] * PORT_PARTS)
    for port in free_port.left:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise OSError("no port is free")


free_port.left = None


class SenderProcesses:
    """One sender: its folder, its address, and one process after another."""

    def __init__(
        self, number: int, plan: Plan, records: Records, folder: Path, discovery: str, program: Path = ROOT
    ) -> None:
        self.number, self.plan, self.records, self.program = number, plan, records, program
        self.folder, self.state = folder / f"n{number}", folder / f"n{number}" / "state"
        self.folder.mkdir()
        self.address = ("127.0.0.1", free_port())
        self.config, self.struck = self.folder / "config.json", self.folder / "struck"
        self.config.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": f"127.0.0.1:{self.address[1]}",
                    "discovery": discovery,
                    "seed": f"{plan.seed:x}{number}",
                    "limits": {
                        "sockets": plan.machine.sockets,
                        "disk_mb": 8,
                        "memory_mb": plan.machine.memory_mb,
                    },
                    "settings": settings_of(plan),
                }
            ),
            encoding="utf-8",
        )
        self.settings = self.folder / "settings.conf"
        if plan.quota is not None:
            (self.folder / "keys").write_text(quota.KEYS, encoding="utf-8")
            text = quota.settings_text(plan, self.folder, free_port())
            self.settings.write_text(text, encoding="utf-8")
        self.life: Lifetime | None = None
        self.process: subprocess.Popen | None = None
        self._lock = threading.Lock()  # one action after the other; their ends come later
        self._readers: list[threading.Thread] = []
        self._late: list[threading.Thread] = []
        self.processes: list[tuple[Lifetime, subprocess.Popen]] = []

    def start(self) -> Lifetime:
        """Start the program; the one that runs, if any, goes on."""
        life = Lifetime(self.number, len(self.processes), time.monotonic())
        life.memory_mb = self.plan.machine.memory_mb
        env = {
            "PATH": os.environ["PATH"],
            "LB_CONFIG": str(self.config),
            "LB_STATE": str(self.state),
            "LB_MANAGEMENT": "127.0.0.1:0",
        }
        if self.plan.quota is not None:
            env["WILLOWNOTCH_SETTINGS"] = str(self.settings)
        steps = self.plan.clock_steps_s
        step_s = steps[life.number % len(steps)] if steps else 0.0
        if self.plan.call_faults or step_s:
            env |= shim.environment(
                list(self.plan.call_faults),
                self.state,
                self.plan.seed * 1000 + self.number * 50 + life.number,
                step_s,
                log=self.struck,
            )
        process = subprocess.Popen(
            [sys.executable, "-m", "willownotch"],
            cwd=self.program,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
            errors="replace",
        )
        self.life, self.process = life, process
        self.processes.append((life, process))
        with self.records.lock:
            self.records.lifetimes.append(life)
        reader = threading.Thread(target=self._read, args=(life, process), daemon=True)
        self._readers.append(reader)
        reader.start()
        return life

    def _read(self, life: Lifetime, process: subprocess.Popen) -> None:
        for line in process.stderr:
            life.lines.append(line.rstrip())
        life.code = process.wait()
        life.ended = time.monotonic()
        process.stderr.close()

    def wait_ready(self, life: Lifetime, most_s: float = READY_MOST_S) -> bool:
        """Wait until this very process says at its management address that it is ready."""
        ends = time.monotonic() + most_s
        while time.monotonic() < ends and life.ended is None:
            if self.ask(life, "health").startswith("+OK"):
                life.ready = time.monotonic()
                return True
            time.sleep(0.02)
        return False

    def watch_memory(self) -> None:
        """Record the peak resident memory of the running processes. It only grows, so it is read at times."""
        for life, process in list(self.processes):
            if life.ended is None:
                try:
                    status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
                except OSError:
                    continue  # it has ended
                if found := PEAK_MEMORY.search(status):
                    life.peak_mb = max(life.peak_mb, int(found[1]) * 1024 / BYTES_PER_MB)

    def holders(self, client_port: int) -> tuple[int, ...]:
        """The numbers of the processes that have the connection from a client's local port."""
        running = {process.pid: life.number for life, process in list(self.processes) if life.ended is None}
        found = connections.holders(self.address[1], client_port, running)
        return tuple(running[pid] for pid in found)

    def ask(self, life: Lifetime, call: str) -> str:
        """Make an operator's call; empty without an answer."""
        found = next((m for line in life.lines[:20] if (m := MANAGED.search(line))), None)
        if found is None:
            return ""
        try:
            with socket.create_connection((found[1], int(found[2])), ASK_S) as sock:
                sock.sendall(f"{call}\n".encode())
                return sock.recv(http.READ_BYTES).decode()
        except OSError:
            return ""

    def act(self, action: Action) -> None:
        """Carry out one action; what has to be waited for in the background is."""
        with self._lock:
            if self.process is None or self.process.poll() is not None:
                return
            {
                Action.UPGRADE: self._upgrade,
                Action.UPGRADE_TWICE: self._upgrade_twice,
                Action.RESTART: self._restart,
                Action.KILL: self._kill,
                Action.LOSE: self._lose,
                Action.RELOAD: lambda: self._signal(signal.SIGHUP),
                Action.HOLD: self._hold,
                Action.DRAIN: self._drain,
                Action.UPGRADE_IN_DRAIN: self._upgrade_in_drain,
                Action.STOP_IN_UPGRADE: self._stop_in_upgrade,
                Action.RELOAD_IN_UPGRADE: self._reload_in_upgrade,
            }[action]()

    def _signal(self, number: int, process: subprocess.Popen | None = None) -> None:
        try:
            (process or self.process).send_signal(number)
        except ProcessLookupError:
            pass  # it has ended

    def _upgrade(self) -> None:
        old, process = self.life, self.process
        old.succeeded_at = time.monotonic()
        old.meant_to_end = True
        if self.wait_ready(self.start(), UPGRADE_READY_MOST_S):
            self._end_later(old, process)

    def _end_later(self, life: Lifetime, process: subprocess.Popen) -> None:
        """SIGTERM to an old process now, SIGKILL at the earliest that the pages allow."""
        life.stop_at = time.monotonic()
        self._signal(signal.SIGTERM, process)
        thread = threading.Thread(target=self._end, args=(life, process), daemon=True)
        self._late.append(thread)
        thread.start()

    def _end(self, life: Lifetime, process: subprocess.Popen) -> None:
        ends = life.stop_at + KILL_AFTER_S
        while time.monotonic() < ends and life.ended is None:
            time.sleep(0.01)
        if life.ended is None:
            life.killed_at = time.monotonic()
            self._signal(signal.SIGKILL, process)

    def _upgrade_twice(self) -> None:
        self._upgrade()
        self._upgrade()

    def _restart(self) -> None:
        life, process = self.life, self.process
        life.meant_to_end = True
        life.stop_at = time.monotonic()
        self._signal(signal.SIGTERM)
        self._end(life, process)
        process.wait()
        time.sleep(RESTART_AFTER_S)
        self.wait_ready(self.start())

    def _kill(self, lose_folder: bool = False) -> None:
        life, process = self.life, self.process
        life.meant_to_end, life.killed_at = True, time.monotonic()
        self._signal(signal.SIGKILL)
        process.wait()
        if lose_folder:
            life.folder_lost_at = time.monotonic()
            shutil.rmtree(self.state, ignore_errors=True)
        time.sleep(RESTART_AFTER_S)
        self.wait_ready(self.start())

    def _lose(self) -> None:
        self._kill(lose_folder=True)

    def _hold(self) -> None:
        self._signal(signal.SIGSTOP)
        time.sleep(HOLD_MOST_S)
        self._signal(signal.SIGCONT)

    def _quiesce(self) -> None:
        self.life.drained_at.append(time.monotonic())
        self.ask(self.life, "quiesce")

    def _drain(self) -> None:
        self._quiesce()
        time.sleep(0.8)
        self.ask(self.life, "resume")

    def _upgrade_in_drain(self) -> None:
        self._quiesce()
        self._upgrade()
        self.ask(self.life, "resume")

    def _stop_in_upgrade(self) -> None:
        old, process = self.life, self.process
        old.meant_to_end, old.stop_at = True, time.monotonic()
        fresh = self.start()
        self._signal(signal.SIGTERM, process)
        self._end(old, process)
        self.wait_ready(fresh)

    def _reload_in_upgrade(self) -> None:
        old, process = self.life, self.process
        old.succeeded_at = time.monotonic()
        old.meant_to_end = True
        fresh = self.start()
        time.sleep(0.15)
        self._signal(signal.SIGHUP, process)
        if self.wait_ready(fresh, UPGRADE_READY_MOST_S):
            self._signal(signal.SIGHUP)
            self._end_later(old, process)

    def close(self) -> None:
        """End all its processes, by their ids, and wait for what they said."""
        with self._lock:
            for life, process in self.processes:
                if life.ended is None:
                    life.meant_to_end, life.killed_at = True, life.killed_at or time.monotonic()
                    self._signal(signal.SIGCONT, process)
                    self._signal(signal.SIGKILL, process)
        for thread in [*self._late, *self._readers]:
            thread.join(10.0)
        for call, count in shim.struck(self.struck).items():
            self.records.struck[call] = self.records.struck.get(call, 0) + count
