"""A fleet of real senders with custody behind a faulty network, with a host that can be kept from serving."""

from __future__ import annotations

import json
import re
import shutil

import harness
from harness import until
from meshed import MeshFleet

from willownotch.channel.client import ask
from willownotch.replica.placement import witness_count
from willownotch.replica.settings import ReplicaSettings

PATIENCE = 20.0


class CustodyFleet(MeshFleet):
    """Senders that replicate all classes. Their host serves from the start or from `start_serving`."""

    def __init__(self, number, tmp_path, replica="", serving=False, **more):
        self.replica = replica if " lease " in replica else " acks 1\n copies 2\n lease 600ms\n" + replica
        self.ready_to_serve, self.refs = serving, []
        super().__init__(number, tmp_path, usage="", **more)

    def settings(self, n):
        if n == 0 and not self.ready_to_serve:  # before any sender reads the list
            self.discovery.entries = [self.discovery.entry(0, self.host, "Terminating")]
        return super().settings(n).replace("usage {\n count yes\n}\n", "") + f"replica {{\n{self.replica}}}\n"

    def start_serving(self):
        """Lists the host as serving from now on."""
        self.discovery.index += 1
        self.discovery.entries = [self.discovery.entry(0, self.host)]
        self.discovery.tell(
            json.dumps(
                {"index": self.discovery.index, "snapshot": False, "endpoints": self.discovery.entries}
            )
        )

    def running(self):
        return [n for n, s in enumerate(self.senders) if s.process.poll() is None]

    def custody(self, n):
        return ask(self.socket(n), "replica")

    def wait_ready(self, among=None, witnesses=None):
        """Waits until senders (by default all running ones) can accept messages in a book with as many
        witnesses as the fleet allows; a book with fewer is replaced soon."""
        witnesses = witnesses or witness_count(len(self.running()), ReplicaSettings().witnesses)
        for n in among if among is not None else self.running():
            until(lambda n=n: self.owns_current_book(n, witnesses), PATIENCE)
        return self

    def owns_current_book(self, n, most):
        found = self.custody(n)
        return any(
            b["book"] == found["current"]
            and b["stage"] == "owned"
            and not b["below"]
            and len(b["witnesses"]) >= most
            for b in found["books"]
        )

    def accept(self, n, count=1, cls="status", **more):
        """Hands in messages that must get a 202; returns their ids."""
        refs = []
        more.setdefault("left", 15000)  # longer than a test takes
        for _ in range(count):
            ref = f"{n}-{len(self.refs)}"
            self.refs.append(ref)
            assert self.senders[n].hand_in(cls, ref=ref, **more)[1].status == 202, self.senders[n].lines[-5:]
            refs.append(ref)
        return refs

    def lose_machines(self, *gone):
        """Kills senders at one time and deletes their state folders."""
        for n in gone:
            self.senders[n].process.kill()
        for n in gone:
            self.senders[n].process.wait(harness.PATIENCE)
            shutil.rmtree(self.senders[n].state)

    def log_lines(self, n, text):
        return [line for line in self.senders[n].lines if text in line]

    def dropped_messages(self, n):
        """Returns how many messages a sender logs as dropped because another sender owns them, in all
        books."""
        lines = self.log_lines(n, "are dropped here")
        return sum(int(re.search(r"(\d+) messages and", line)[1]) for line in lines)

    def one_owner_per_term(self):
        """Whether some book was taken over, and none twice at one term."""
        found = [
            re.search(r"custody: (\S+) of .* at term (\d+)", line).groups() for _, line in self.takeovers()
        ]
        return len(found) == len(set(found)) > 0

    def takeovers(self):
        """Returns the log lines about books taken over, with their senders."""
        return [(n, line) for n, s in enumerate(self.senders) for line in s.lines if "taken over at" in line]

    def assert_delivered_once(self, refs):
        until(lambda: set(refs) <= set(self.host.refs()), PATIENCE)
        self.settle()
        assert sorted(self.host.refs()) == sorted(refs)

    def wait_joined_some(self, among):
        """Waits until these senders know each other."""
        until(lambda: all(self.alive_peers(n) >= len(among) - 1 for n in among), PATIENCE)

    def settle(self):
        """Waits until no sender holds a message."""
        until(
            lambda: not any(b["messages"] for n in self.running() for b in self.custody(n)["books"]), PATIENCE
        )
