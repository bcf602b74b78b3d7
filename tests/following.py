"""A real sender that follows, and members that are the real serving core on a socket."""

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
    """The real serving core on a socket, with a document that the test moves on."""

    def __init__(self, name="a", token=1, **settings):
        self.name, self.token, self.document = name, token, Document()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(0.02)
        self.seal = Seal(7, read_keys(KEYS), wire.decode, wire.VERSION)
        self.lock, self.open, self.deaf = threading.Lock(), True, False
        self.serving = FollowerService(
            name, self.document, MemberSettings(folder="x", **settings), time.monotonic(), Random(1)
        )
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while self.open:
            try:
                data, address = self.sock.recvfrom(4096)
            except OSError:
                data = None
            with self.lock:
                sends = self.serving.tick(time.monotonic())
                if data is not None and not self.deaf and (message := self.seal.open(data)) is not None:
                    sends += self.serving.receive(time.monotonic(), address, message)
                self.carry(sends)

    def carry(self, sends):
        for send in sends:
            if not self.deaf and self.open:
                self.sock.sendto(self.seal.close(send.message), send.address)

    def put(self, text, removes=()):
        """Commit a text of entries; the revision."""
        with self.lock:
            document = self.document
            name = Random(document.revision).randbytes(16)
            change = Change(name, "me", document.revision, parse(text), removes)
            commit = Commit(document.revision + 1, self.token, change, document.digest_after(change))
            document.commit(commit)
            self.carry(self.serving.committed(time.monotonic(), commit))
            return document.revision

    def in_force(self):
        """By revision, as its followers told it."""
        with self.lock:
            return self.serving.status(time.monotonic()).in_force

    def status(self):
        with self.lock:
            return self.serving.status(time.monotonic())

    def close(self):
        self.open = False
        self.sock.close()


class Fleet:
    """A sender, and whom it follows."""

    def __init__(
        self, path, members=1, token=1, control=True, spans=" period 300ms\n patience 150ms\n", **settings
    ):
        self.path, self.host, self.control, self.spans = path, Host(), control, spans
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
            f"{self.spans}{members}}}\n{control}"
        )

    def start(self):
        self.sender = Sender(self.discovery, settings=self.settings())
        return self.sender.ready()

    def view(self):
        """None until the folder is open."""
        return ask(self.path / "control", "follow")

    def said(self, text):
        return until(lambda: any(text in line for line in self.sender.lines))

    def close(self):
        for thing in (self.sender, self.host, self.discovery, *self.members):
            if thing is not None:
                thing.close()
