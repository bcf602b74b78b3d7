"""Member processes on loopback, each on ports of its own, without anything between them."""

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

PATIENCE = 40.0  # s; processes start, and find each other, on a busy machine
KEYS = f"1 {'ab' * 32}\n"
FAST = """ period 200ms
 patience 100ms
 suspicion 2
 gossip 50ms
 sync 1s
 rejoin 500ms
"""


class MemberProcess:
    """One member; its folder lasts."""

    def __init__(self, tier, number):
        self.tier, self.name = tier, f"m{number}"
        self.folder, self.socket = tier.path / self.name, tier.path / f"{self.name}.s"
        self.settings, self.faults = tier.path / f"{self.name}.conf", tier.path / f"{self.name}.faults"
        self.host = f"127.0.0.{11 + number}"
        self.peers = self.followers = None
        self.process, self.lines = None, []

    def write_settings(self, more=""):
        seeds = " ".join(m.peers for m in self.tier.members if m.peers and m is not self)
        seeds = f" seeds {seeds}\n" if seeds else ""
        self.settings.write_text(
            f"peers {{\n listen {self.host}:0\n name {self.name}\n keys {self.tier.keys}\n{seeds}{FAST}}}\n"
            f"member {{\n folder {self.folder}\n voters {' '.join(m.name for m in self.tier.members)}\n"
            f" followers {self.host}:0\n lease 600ms\n{self.tier.more}{more}}}\n"
            f"control {{\n socket {self.socket}\n}}\n",
            encoding="utf-8",
        )

    def start(self, bootstrap=False):
        self.write_settings()
        self.begin(bootstrap)

    def begin(self, bootstrap=False):
        """With the settings as they are."""
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
        self.peers, self.followers = self._listens("peers"), self._listens("followers")

    @staticmethod
    def _read(stderr, lines):
        with stderr:
            lines.extend(iter(stderr.readline, ""))

    def _listens(self, what):
        def found():
            assert self.process.poll() is None, self.lines
            said = f"{self.name} listens for {what} on "
            return next((line.split(said)[1].strip() for line in self.lines if said in line), None)

        return until(found, PATIENCE)

    def says(self, *words, patience=PATIENCE):
        """Wait for a line with all these words."""

        def found():
            return next((line for line in list(self.lines) if all(word in line for word in words)), None)

        try:
            return until(found, patience)
        except AssertionError:
            raise AssertionError(f"{self.name} never said {words}: {self.lines[-20:]}") from None

    def ask(self, question, **about):
        return ask(self.socket, question, about, PATIENCE)

    def status(self):
        return self.ask("status")

    def send_signal(self, number):
        self.process.send_signal(number)

    def end(self, number=signal.SIGKILL):
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(number)
        return self.process.wait(PATIENCE)

    def empty(self):
        shutil.rmtree(self.folder)

    def change(self, base, sets=None, removes=(), change_id=None):
        """Ask for a change; what was told."""
        text = {
            "id": change_id or secrets.token_hex(16),
            "author": "test",
            "base": base,
            "sets": sets or {},
            "removes": removes,
        }
        return self.ask("change", change=json.dumps(text))

    def config(self, *words):
        """What a command of the group `config` ends with and prints."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = commands.run(["config", *words, "--socket", str(self.socket)])
        return subprocess.CompletedProcess(words, code, out.getvalue(), err.getvalue())

    def command(self, *words):
        """The same, in a process of its own."""
        command = [sys.executable, "-m", "willownotch", "config", *words, "--socket", self.socket]
        return subprocess.run(command, cwd=ROOT, text=True, capture_output=True, timeout=PATIENCE)


class MemberFleet:
    """Members that know each other."""

    def __init__(self, path, number=3, more=""):
        self.path, self.keys, self.more = Path(path), Path(path) / "keys", more
        self.keys.write_text(KEYS, encoding="utf-8")
        self.members = [MemberProcess(self, n) for n in range(number)]

    def start(self):
        for member in self.members:
            member.start(bootstrap=True)
        return self

    def running(self):
        return [m for m in self.members if m.process is not None and m.process.poll() is None]

    def writer(self, among=None):
        """Wait for one that writes."""

        def found():
            for member in among or self.running():
                with contextlib.suppress(AskError):
                    if member.status()["writing"]:
                        return member
            return None

        return until(found, PATIENCE)

    def holds(self, revision, among=None):
        """Wait until a revision is everywhere."""
        until(
            lambda: all(m.status()["agreement"]["revision"] >= revision for m in among or self.running()),
            PATIENCE,
        )

    def close(self):
        for member in self.running():
            member.end()
