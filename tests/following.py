"""A real sender that follows members, which are the real `FollowerService` on a socket."""

from __future__ import annotations

import socket
import threading
import time
from random import Random

from harness import Discovery, Host, Sender, until

from willownotch.channel.client import ask
from willownotch.controlplane import wire
from willownotch.controlplane.document import Change, Commit, Document
from willownotch.controlplane.entries import parse
from willownotch.controlplane.serving import FollowerService
from willownotch.controlplane.settings import MemberSettings
from willownotch.peers.seal import Seal, read_keys

KEYS = f"1 {'ab' * 32}\n"


class Member:
    """The real `FollowerService` on a socket, with a document that the test changes."""

    def __init__(self, name="a", token=1, **settings):
        self.name, self.token, self.document = name, token, Document()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(0.02)
        self.seal = Seal(7, read_keys(KEYS), wire.decode, wire.VERSION)
        self.lock, self.running, self.unreachable = threading.Lock(), True, False
        self.serving = FollowerService(
            name, self.document, MemberSettings(folder="x", **settings), time.monotonic(), Random(1)
        )
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while self.running:
            try:
                data, address = self.sock.recvfrom(4096)
            except OSError:
                data = None
            with self.lock:
                sends = self.serving.tick(time.monotonic())
                if (
                    data is not None
                    and not self.unreachable
                    and (message := self.seal.open(data)) is not None
                ):
                    sends += self.serving.receive(time.monotonic(), address, message)
                self.send_all(sends)

    def send_all(self, sends):
        for send in sends:
            if not self.unreachable and self.running:
                self.sock.sendto(self.seal.close(send.message), send.address)

    def commit_entries(self, text, removes=()):
        """Commit the entries of a text; returns the revision."""
        with self.lock:
            document = self.document
            name = Random(document.revision).randbytes(16)
            change = Change(name, "me", document.revision, parse(text), removes)
            commit = Commit(document.revision + 1, self.token, change, document.digest_after(change))
            document.commit(commit)
            self.send_all(self.serving.committed(time.monotonic(), commit))
            return document.revision

    def in_force(self):
        """Number of followers by the revision that they report as in force."""
        with self.lock:
            return self.serving.status(time.monotonic()).in_force

    def status(self):
        with self.lock:
            return self.serving.status(time.monotonic())

    def close(self):
        self.running = False
        self.sock.close()


class Fleet:
    """A sender and the members that it follows."""

    def __init__(
        self, path, members=1, token=1, control=True, timings=" period 300ms\n patience 150ms\n", **settings
    ):
        self.path, self.host, self.control, self.timings = path, Host(), control, timings
        self.discovery = Discovery([self.host])
        (path / "keys").write_text(KEYS)
        self.members = [Member(chr(ord("a") + n), token, **settings) for n in range(members)]
        self.sender = None

    @property
    def member(self):
        return self.members[0]

    def settings(self):
        members = "".join(
            f" member {m.name} {{\n  address 127.0.0.1:{m.sock.getsockname()[1]}\n }}\n" for m in self.members
        )
        control = f"control {{\n socket {self.path / 'control'}\n}}\n" if self.control else ""
        return (
            f"follow {{\n folder {self.path / 'follow'}\n keys {self.path / 'keys'}\n"
            f"{self.timings}{members}}}\n{control}"
        )

    def start(self):
        self.sender = Sender(self.discovery, settings=self.settings())
        return self.sender.ready()

    def view(self):
        """The sender's view of what it follows; None until its folder is open."""
        return ask(self.path / "control", "follow")

    def wait_logged(self, text):
        return until(lambda: any(text in line for line in self.sender.lines))

    def close(self):
        for part in (self.sender, self.host, self.discovery, *self.members):
            if part is not None:
                part.close()
