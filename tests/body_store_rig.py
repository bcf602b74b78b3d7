"""A journal and a body store in a folder, with a manual clock and without sockets, for tests."""

import queue
import tempfile
from datetime import timedelta
from pathlib import Path

from test_net_parsers import Hand

from willownotch.bodies.settings import BodiesSettings
from willownotch.files.layer import REAL
from willownotch.interface import Idempotency, MessageClass
from willownotch.journal.records import AcceptedMessage, MessageEnded, RelayStarted
from willownotch.net.folder import open_folder

CLASSES = (
    MessageClass("status", 1.0, 2.5, 28.0, 0.4, Idempotency.SAFE),
    MessageClass("order", 1.0, 2.5, 16.0, 0.3, Idempotency.KEYED),
    MessageClass("fee", 3.0, 2.0, 20.0, 0.3, Idempotency.UNSAFE, in_order=True),
)
PATIENCE = timedelta(milliseconds=200)


class InlineQueue:
    """The store's queue without its thread: a body is written by `put`, the rest is done by `Rig.work`."""

    def __init__(self):
        self.items, self.work = [], None

    def put(self, item):
        self.items.append(item)
        if self.work is not None and hasattr(item, "pending"):
            while any(hasattr(i, "pending") for i in self.items):
                self.work()

    def get(self, block=True, timeout=None):
        if not self.items:
            raise queue.Empty
        return self.items.pop(0)


class Clock(Hand):
    """A manual clock that also converts to the decision module's seconds."""

    def __init__(self):
        self.started_at = self.at

    def module_s(self, when):
        return (when - self.started_at).total_seconds()


class Lines:
    """A log that keeps its lines in a list."""

    def __init__(self):
        self.lines = []

    def say(self, event, text):
        self.lines.append(f"{event}: {text}")


def body_of(ref, size):
    """Return a body of `size` bytes that is specific to the message."""
    return (f"{ref}." * (size // len(ref) + 1))[:size].encode()


class Rig:
    """A journal and a body store over a folder, used as the sender uses them."""

    def __init__(self, files=REAL, disk=400_000, folder=None, thread=None, **settings):
        self.folder = folder or Path(tempfile.mkdtemp(prefix="store-"))
        self.files, self.disk, self.thread = files, disk, thread
        self.settings = BodiesSettings(**{"memory": 50_000, "segment": 16_384, **settings})
        self.clock, self.log = Clock(), Lines()
        self.start()

    def start(self):
        self.journal, self.bodies, self.lost = open_folder(
            self.folder, self.disk, self.files, self.clock, self.log, CLASSES, self.settings
        )
        if self.thread is None:
            self.bodies._queue = InlineQueue()
            self.bodies._queue.work = self.bodies.work
        else:
            self.thread(self.bodies.run)
        return self

    def restart(self):
        self.journal.close()
        return self.start()

    def hand_in(self, ref, size, cls="status", destination=7):
        """Return the message if it was accepted, else the admission that says why not."""
        message = AcceptedMessage(
            ref,
            destination,
            cls,
            "acme",
            self.clock.now() + timedelta(seconds=20),
            ref,
            body=body_of(ref, size),
        )
        found = self.bodies.keep(message, PATIENCE)
        if isinstance(found, AcceptedMessage):
            try:
                self.journal.append([found])
            except (OSError, RuntimeError):
                self.bodies.discard(found)
                raise
        return found

    def relay(self, ref, number=0):
        self.journal.append([RelayStarted(ref, number, self.clock.now(), "s-1")])

    def end(self, ref, outcome="delivered"):
        self.journal.append([MessageEnded(ref, outcome)])

    def read(self, ref):
        return self.bodies.read(self.journal.live[ref].message)

    def work(self):
        """Do all pending work of the store's thread."""
        while self.bodies.work():
            pass

    def on_disk(self):
        """Return the bytes of all files as the platform counts them."""
        return sum(-(-file.stat().st_size // 512) * 512 for file in self.folder.iterdir())

    def segments(self):
        return sorted(file.name for file in self.folder.glob("bodies-*"))
