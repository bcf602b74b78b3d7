"""Real senders with peers and usage counts, behind a relay that simulates a bad network."""

from __future__ import annotations

import signal

import harness
from harness import Discovery, Host, Sender, until

from willownotch.channel.client import ask
from willownotch.lab.faults.net import Relay

KEYS = f"1 {'ab' * 32}\n"
FAST = """ period 200ms
 patience 100ms
 suspicion 2
 gossip 50ms
 sync 1s
 rejoin 500ms
"""


class MeshFleet:
    """Senders that are peers of each other through a relay; sender n is the member `i<n>`."""

    def __init__(self, number, tmp_path, conditions=None, seed=1, peers=FAST, usage=" exchange 50ms\n"):
        self.relay = Relay(seed, conditions)
        self.host = Host()
        self.discovery = Discovery([self.host])
        self.folder = tmp_path
        self.keys = tmp_path / "keys"
        self.keys.write_text(KEYS)
        self.relay_addresses = [self.relay.door(f"i{n}") for n in range(number)]
        self.peers, self.usage = peers, usage
        self.senders = [None] * number
        for n in range(number):
            self.start_sender(n)

    def settings(self, n):
        addresses = [f"{host}:{port}" for host, port in self.relay_addresses]
        seeds = "" if n == 0 else f" seeds {addresses[0]}\n"
        return (
            f"peers {{\n listen 127.0.0.{11 + n}:0\n advertise {addresses[n]}\n name i{n}\n"
            f" keys {self.keys}\n{seeds}{self.peers}}}\nusage {{\n count yes\n{self.usage}}}\n"
            f"control {{\n socket {self.socket(n)}\n}}\n"
        )

    def socket(self, n):
        return self.folder / f"s{n}"

    def start_sender(self, n):
        self.senders[n] = Sender(self.discovery.door(f"i{n}"), settings=self.settings(n))
        self.register_address(n)

    def register_address(self, n):
        """Tells the relay where a started sender listens, and waits until the sender is ready."""
        sender = self.senders[n]
        text = f"i{n} listens for peers on "
        until(lambda: any(text in line for line in sender.lines))
        port = next(line.rsplit(":", 1)[1] for line in sender.lines if text in line)
        self.relay.behind(f"i{n}", (f"127.0.0.{11 + n}", int(port)))
        sender.ready()

    def restart(self, n, with_signal=signal.SIGKILL):
        sender = self.senders[n]
        sender.process.send_signal(with_signal)
        sender.process.wait(harness.PATIENCE)
        sender.start()
        self.register_address(n)

    def taken(self, n, what="taken"):
        """How many messages of the fleet sender n knows to be accepted, or to have another outcome `what`."""
        return sum(line["counts"][what]["count"] for line in ask(self.socket(n), "usage")["lines"])

    def wait_counted(self, count):
        """Waits until all senders know that so many messages were accepted."""
        until(lambda: all(self.taken(n) == count for n in range(len(self.senders))))

    def wait_joined(self, patience=harness.PATIENCE):
        """Waits until all senders know each other."""
        until(
            lambda: all(self.alive_peers(n) == len(self.senders) - 1 for n in range(len(self.senders))),
            patience,
        )
        return self

    def alive_peers(self, n):
        """How many other members sender n takes for alive."""
        return sum(m["state"] == "alive" for m in ask(self.socket(n), "peers")["members"])

    def close(self):
        for sender in self.senders:
            sender.close()
        self.relay.close()
        self.host.close()
        self.discovery.close()
