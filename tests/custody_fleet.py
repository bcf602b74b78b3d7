"""Real senders with custody behind a network of faults, and hosts that can be kept from serving."""

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
    """Senders that copy orders, statuses and fees to others. Their host can be kept from serving."""

    def __init__(self, number, tmp_path, replica="", serving=False, **more):
        self.replica = replica if " lease " in replica else " acks 1\n copies 2\n lease 600ms\n" + replica
        self.ready_to_serve, self.refs = serving, []
        super().__init__(number, tmp_path, usage="", **more)

    def settings(self, n):
        if n == 0 and not self.ready_to_serve:  # before any sender reads the list
            self.discovery.entries = [self.discovery.entry(0, self.host, "Terminating")]
        return super().settings(n).replace("usage {\n count yes\n}\n", "") + f"replica {{\n{self.replica}}}\n"

    def start_serving(self):
        """From now on the host takes calls."""
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
        """Wait until messages can be taken on, by all or by some, in a book with as many witnesses as can be:
        one with fewer is rolled soon."""
        witnesses = witnesses or witness_count(len(self.running()), ReplicaSettings().witnesses)
        for n in among if among is not None else self.running():
            until(lambda n=n: self.owns(n, witnesses), PATIENCE)
        return self

    def owns(self, n, most):
        found = self.custody(n)
        return any(
            b["book"] == found["current"]
            and b["stage"] == "owned"
            and not b["below"]
            and len(b["witnesses"]) >= most
            for b in found["books"]
        )

    def accept(self, n, count=1, cls="status", **more):
        """Hand messages in that are to be taken on; their ids."""
        refs = []
        more.setdefault("left", 15000)  # longer than a story takes
        for _ in range(count):
            ref = f"{n}-{len(self.refs)}"
            self.refs.append(ref)
            assert self.senders[n].hand_in(cls, ref=ref, **more)[1].status == 202, self.senders[n].lines[-5:]
            refs.append(ref)
        return refs

    def lose_machines(self, *gone):
        """Machines are lost, with their disks, at one moment."""
        for n in gone:
            self.senders[n].process.kill()
        for n in gone:
            self.senders[n].process.wait(harness.PATIENCE)
            shutil.rmtree(self.senders[n].state)

    def said(self, n, text):
        return [line for line in self.senders[n].lines if text in line]

    def dropped(self, n):
        """How many messages a sender says that others have now, in whatever books."""
        lines = self.said(n, "are dropped here")
        return sum(int(re.search(r"(\d+) messages and", line)[1]) for line in lines)

    def once_each(self):
        """Whether no book was taken over twice at one term."""
        found = [
            re.search(r"custody: (\S+) of .* at term (\d+)", line).groups() for _, line in self.takeovers()
        ]
        return len(found) == len(set(found)) > 0

    def takeovers(self):
        """Who says that it took a book over."""
        return [(n, line) for n, s in enumerate(self.senders) for line in s.lines if "taken over at" in line]

    def delivered_once(self, refs):
        until(lambda: set(refs) <= set(self.host.refs()), PATIENCE)
        self.settle()
        assert sorted(self.host.refs()) == sorted(refs)

    def joined_some(self, among):
        """Wait until these know of each other."""
        until(lambda: all(self.alive_peers(n) >= len(among) - 1 for n in among), PATIENCE)

    def settle(self):
        """Until nobody holds anything."""
        until(
            lambda: not any(b["messages"] for n in self.running() for b in self.custody(n)["books"]), PATIENCE
        )
