"""Member processes on loopback, each on its own ports, that reach each other directly."""

from __future__ import annotations

import contextlib
import io
import json
import os
import secrets
import shutil
import signal
import subprocess
import sys
import threading
from pathlib import Path

from harness import ROOT, until

from willownotch import commands
from willownotch.channel.client import AskError, ask

TIMEOUT_S = 40.0  # enough for processes to start and find each other on a busy machine
KEYS = f"1 {'ab' * 32}\n"
FAST = """ period 200ms
 patience 100ms
 suspicion 2
 gossip 50ms
 sync 1s
 rejoin 500ms
"""


class MemberProcess:
    """A member process; its folder outlives the process."""

    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"m{number}"
        self.folder, self.socket = fleet.path / self.name, fleet.path / f"{self.name}.s"
        self.settings, self.faults = fleet.path / f"{self.name}.conf", fleet.path / f"{self.name}.faults"
        self.host = f"127.0.0.{11 + number}"
        self.peers = self.followers = None
        self.process, self.lines = None, []

    def write_settings(self, extra_settings=""):
        seeds = " ".join(m.peers for m in self.fleet.members if m.peers and m is not self)
        seeds = f" seeds {seeds}\n" if seeds else ""
        self.settings.write_text(
            f"peers {{\n listen {self.host}:0\n name {self.name}\n keys {self.fleet.keys}\n{seeds}{FAST}}}\n"
            f"member {{\n folder {self.folder}\n voters {' '.join(m.name for m in self.fleet.members)}\n"
            f" followers {self.host}:0\n lease 600ms\n{self.fleet.extra_settings}{extra_settings}}}\n"
            f"control {{\n socket {self.socket}\n}}\n",
            encoding="utf-8",
        )

    def start(self, bootstrap=False):
        self.write_settings()
        self.launch(bootstrap)

    def launch(self, bootstrap=False):
        """Starts a process with the settings file as it is, and waits until it listens."""
        words = [sys.executable, ROOT / "tests" / "faulty_member.py", self.faults, self.settings]
        self.process = subprocess.Popen(
            [*words, *["--bootstrap"] * bootstrap],
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
            env={"PATH": os.environ["PATH"]},
        )
        self.lines = []
        threading.Thread(target=self._read, args=(self.process.stderr, self.lines), daemon=True).start()
        self.peers, self.followers = self._listen_address("peers"), self._listen_address("followers")

    @staticmethod
    def _read(stderr, lines):
        with stderr:
            lines.extend(iter(stderr.readline, ""))

    def _listen_address(self, what):
        def found():
            assert self.process.poll() is None, self.lines
            prefix = f"{self.name} listens for {what} on "
            return next((line.split(prefix)[1].strip() for line in self.lines if prefix in line), None)

        return until(found, TIMEOUT_S)

    def wait_for_log(self, *words, timeout=TIMEOUT_S):
        """Waits for a log line that contains all of `words`, and returns it."""

        def found():
            return next((line for line in list(self.lines) if all(word in line for word in words)), None)

        try:
            return until(found, timeout)
        except AssertionError:
            raise AssertionError(f"{self.name} has not logged {words}: {self.lines[-20:]}") from None

    def ask(self, request, **parameters):
        return ask(self.socket, request, parameters, TIMEOUT_S)

    def status(self):
        return self.ask("status")

    def send_signal(self, number):
        self.process.send_signal(number)

    def end(self, number=signal.SIGKILL):
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(number)
        return self.process.wait(TIMEOUT_S)

    def remove_folder(self):
        shutil.rmtree(self.folder)

    def change(self, base, sets=None, removes=(), change_id=None):
        """Submits a change and returns the reply."""
        text = {
            "id": change_id or secrets.token_hex(16),
            "author": "test",
            "base": base,
            "sets": sets or {},
            "removes": removes,
        }
        return self.ask("change", change=json.dumps(text))

    def config(self, *words):
        """Runs a command of the group `config` in this process; returns its exit code and output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = commands.run(["config", *words, "--socket", str(self.socket)])
        return subprocess.CompletedProcess(words, code, out.getvalue(), err.getvalue())

    def command(self, *words):
        """Runs a command of the group `config` in a process of its own."""
        command = [sys.executable, "-m", "willownotch", "config", *words, "--socket", self.socket]
        return subprocess.run(command, cwd=ROOT, text=True, capture_output=True, timeout=TIMEOUT_S)


class MemberFleet:
    """Members that have each other as seeds and voters."""

    def __init__(self, path, number=3, extra_settings=""):
        self.path, self.keys, self.extra_settings = Path(path), Path(path) / "keys", extra_settings
        self.keys.write_text(KEYS, encoding="utf-8")
        self.members = [MemberProcess(self, n) for n in range(number)]

    def start(self):
        for member in self.members:
            member.start(bootstrap=True)
        return self

    def running(self):
        return [m for m in self.members if m.process is not None and m.process.poll() is None]

    def wait_writer(self, among=None):
        """Waits until a member says that it is the writer, and returns it."""

        def found():
            for member in among or self.running():
                with contextlib.suppress(AskError):
                    if member.status()["writing"]:
                        return member
            return None

        return until(found, TIMEOUT_S)

    def wait_revision(self, revision, among=None):
        """Waits until all members have committed this revision."""
        until(
            lambda: all(m.status()["agreement"]["revision"] >= revision for m in among or self.running()),
            TIMEOUT_S,
        )

    def close(self):
        for member in self.running():
            member.end()
