"""What custody costs and keeps. `python benchmarks/custody.py [losses|answers|moves]`, all without a word.

losses: eight real senders on loopback; k of them are lost at one moment, disks and all, the holder first.
answers: the time to the 202 and messages a second at W = 0, 1 and 2, in turn; bytes to others a message.
moves: in simulated time, copies moved when a member joins or leaves among 64 and 1,024, and the catch-up.
"""

from __future__ import annotations

import rig  # first: it says where the others are

import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import harness
from custody_fleet import CustodyFleet
from harness import until

from willownotch.net import http
from willownotch.replica.placement import ranked
from willownotch.replica.settings import ReplicaSettings
from willownotch.replica.simulated import Fleet

MEMBERS, MESSAGES, TRIALS = 8, 30, 3
harness.SETTINGS["policyLimits"]["maxOpen"] = 400  # what waits is not to be given up for want of room
SHARP = " period 200ms\n patience 100ms\n suspicion 2\n gossip 50ms\n sync 1s\n rejoin 500ms\n budget 1MB\n"


def fleet_of(number: int, acks: int, copies: int, serving: bool, lease: str = "600ms") -> CustodyFleet:
    """Senders that know each other and can take messages on."""
    fleet = CustodyFleet(
        number,
        Path(tempfile.mkdtemp()),
        f" acks {acks}\n copies {copies}\n lease {lease}\n",
        serving,
        peers=SHARP,
    )
    return fleet.wait_joined(60.0).wait_ready()


def waited(check: Callable[[], object], patience: float) -> bool:
    """Whether a condition came to hold in time."""
    try:
        until(check, patience)
    except AssertionError:
        return False
    return True


def quantile(values: list[float], share: float) -> float:
    """By rank."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def lose(acks: int, copies: int, k: int) -> dict:
    """One trial: messages on one holder, then k machines gone, replicas of it after itself."""
    fleet = fleet_of(MEMBERS, acks, copies, serving=False)
    try:
        refs = fleet.accept(0, MESSAGES, "status", left=10000)
        fees = fleet.accept(0, MESSAGES // 3, "fee", left=10000)
        found = fleet.custody(0)
        replicas = [int(r["name"][1:]) for b in found["books"] if b["messages"] for r in b["replicas"]]
        # Those that answer last hold least: the worst case for what is promised by W of them.
        gone = [0, *replicas[: k - 1]]
        fleet.lose_machines(*gone)
        at = time.monotonic()
        until(lambda: fleet.takeovers() or fleet.discovery.notices, 15.0)
        taken_s = time.monotonic() - at
        fleet.start_serving()
        ended = waited(
            lambda: {*fleet.host.refs(), *(n["message"] for n in fleet.discovery.notices)} >= {*refs, *fees},
            12.0,
        )
        if ended:
            fleet.settle()
        first = fleet.host.calls[0][0] - at if fleet.host.calls else None
        calls = fleet.host.refs()
        told = {n["message"] for n in fleet.discovery.notices}
        return {
            "acks": acks,
            "copies": copies,
            "k": k,
            "messages": len(refs + fees),
            "delivered": len(set(calls)),
            "told as given up": len(told - set(calls)),
            "in silence": len(set(refs + fees) - set(calls) - told),
            "fees sent twice": sum(calls.count(ref) > 1 for ref in fees),
            "taken over after s": round(taken_s, 2),
            "first call after s": first and round(first, 2),
        }
    finally:
        fleet.close()


def losses() -> tuple[list[str], list[dict]]:
    """The table of all trials."""
    rows = []
    for acks, copies in ((1, 2), (2, 2), (2, 3)):
        for k in range(1, copies + 2):
            for _ in range(TRIALS):
                rows.append(lose(acks, copies, k))
                print(rows[-1], flush=True)
    lines = [
        "## Machines lost with their disks",
        "",
        f"{MEMBERS} senders, {MESSAGES} statuses and {MESSAGES // 3} fees on one holder whose host does",
        "not serve yet; at one moment the holder and k - 1 of its replicas are lost. Counted at the",
        f"stand-in host and platform, {TRIALS} trials each, lease 600 ms, suspicion about 1 s.",
        "",
        "| W | R | k | delivered | told as given up | in silence | fees sent twice | taken over after | "
        "first call after |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for acks, copies in ((1, 2), (2, 2), (2, 3)):
        for k in range(1, copies + 2):
            some = [r for r in rows if (r["acks"], r["copies"], r["k"]) == (acks, copies, k)]
            first = [r["first call after s"] for r in some if r["first call after s"] is not None]
            lines.append(
                f"| {acks} | {copies} | {k} | {sum(r['delivered'] for r in some)} of "
                f"{sum(r['messages'] for r in some)} | {sum(r['told as given up'] for r in some)} | "
                f"{sum(r['in silence'] for r in some)} | {sum(r['fees sent twice'] for r in some)} | "
                f"{rig.spread([r['taken over after s'] for r in some], ' s')} | "
                f"{rig.spread(first, ' s') if first else '-'} |"
            )
    return lines, rows


class Client(threading.Thread):
    """Hands messages in on one connection, one after the other."""

    def __init__(self, fleet: CustodyFleet, n: int, number: int, count: int) -> None:
        super().__init__(daemon=True)
        self.sender, self.n, self.number, self.count = fleet.senders[n], n, number, count
        self.took: list[float] = []
        self.refused = 0

    def run(self) -> None:
        """All of them."""
        sock = self.sender.connect()
        for i in range(self.count):
            headers = [
                ("Request-Id", f"c{self.n}-{self.number}-{i}"),
                ("Request-Class", "status"),
                ("Tenant", "acme"),
                ("Request-Timeout-Ms", "8000"),
                ("X-Consignee", "dest=7"),
            ]
            data = http.write_request("POST", "/api", "api.internal", headers, b"x" * 500)
            began = time.monotonic()
            head = self.sender.exchange(data, sock)
            if head.status == 202:
                self.took.append(time.monotonic() - began)
            else:
                self.refused += 1
            time.sleep(0.02)
        sock.close()


def answers() -> tuple[list[str], list[dict]]:
    """W = 0, 1 and 2 in turn, three times each."""
    rows = []
    for _ in range(TRIALS):
        for acks in (0, 1, 2):
            extra = " class fee {\n acks 1\n }\n" if not acks else ""
            fleet = CustodyFleet(
                4, Path(tempfile.mkdtemp()), f" acks {acks}\n copies 2\n lease 3s\n{extra}", True, peers=SHARP
            )
            try:
                fleet.wait_joined(60.0).wait_ready()
                before = fleet.custody(0)["traffic"]
                clients = [Client(fleet, 0, number, 150) for number in range(4)]
                began = time.monotonic()
                for client in clients:
                    client.start()
                for client in clients:
                    client.join()
                span = time.monotonic() - began
                after = fleet.custody(0)["traffic"]
                took = [t for client in clients for t in client.took]
                rows.append(
                    {
                        "acks": acks,
                        "median ms": 1000 * statistics.median(took),
                        "p99 ms": 1000 * quantile(took, 0.99),
                        "worst ms": 1000 * max(took),
                        "a second": len(took) / span,
                        "refused": sum(c.refused for c in clients),
                        "bytes a message": (after.get("sent bytes", 0) - before.get("sent bytes", 0))
                        / len(took),
                    }
                )
                print(rows[-1], flush=True)
            finally:
                fleet.close()
    lines = [
        "## The 202",
        "",
        "Four senders, four clients of one of them, 500 bytes a message, delivered at once (so each",
        "message is copied with its mark and its end); three rounds in turn, median (range).",
        "",
        "| W | median | p99 | worst | a second | turned away | bytes sent to others a message |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for acks in (0, 1, 2):
        some = [r for r in rows if r["acks"] == acks]
        lines.append(
            f"| {acks} | "
            + " | ".join(
                rig.spread([r[name] for r in some], unit)
                for name, unit in (
                    ("median ms", " ms"),
                    ("p99 ms", " ms"),
                    ("worst ms", " ms"),
                    ("a second", ""),
                )
            )
            + f" | {sum(r['refused'] for r in some)} | {rig.spread([r['bytes a message'] for r in some])} |"
        )
    return lines, rows


def moves() -> tuple[list[str], list[dict]]:
    """Copies that change their place, and how long a new replica takes to be filled."""
    rows = []
    for number in (64, 1024):
        names, books = [f"m{n}" for n in range(number)], [f"m{n}/1.1" for n in range(number)]
        before = {
            book: ranked(book, [n for n in names if not book.startswith(n + "/")])[:2] for book in books
        }
        for what, now in (("join", [*names, "new"]), ("leave", names[:-1])):
            moved = sum(
                len(
                    set(ranked(book, [n for n in now if not book.startswith(n + "/")])[:2])
                    - set(before[book])
                )
                for book in books
            )
            rows.append(
                {
                    "members": number,
                    "what": what,
                    "copies": 2 * number,
                    "moved": moved,
                    "share": moved / (2 * number),
                    "1/N": 1 / number,
                }
            )
    for number in (8, 64, 1024):
        settings = ReplicaSettings(copies=2, acks=1, lease=timedelta(seconds=1), rate=1_000_000)
        fleet = Fleet(3, [f"m{n}" for n in range(number)], settings)
        fleet.until(lambda fleet=fleet: fleet.ready(1), 60.0)
        holder = fleet.senders["m0"]
        for n in range(1000):
            holder.accept(f"r{n}", 1, 1000.0)
        fleet.until(lambda fleet=fleet: len(fleet.promised) == 1000, 60.0)
        owned = next(iter(holder.core.owned.values()))
        size = sum(
            len(data)
            for copy in [fleet.senders[owned.config.replicas[0]].disk.copies[owned.book]]
            for data in [copy]
        )
        fleet.kill(owned.config.replicas[0], disk=True)
        took = fleet.until(
            lambda owned=owned, fleet=fleet: owned.proposed is None
            and all(
                n in fleet.senders and owned.followers[n].acked == owned.last for n in owned.config.replicas
            ),
            60.0,
        )
        rows.append(
            {"members": number, "what": "catch-up", "messages": 1000, "bytes": size, "s after the loss": took}
        )
        print(rows[-1], flush=True)
    lines = [
        "## Members that come and go",
        "",
        "Placement by rendezvous hashing, two copies of one book each.",
        "",
        "| members | what | copies | moved | share | 1/N |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {r['members']} | {r['what']} | {r['copies']} | {r['moved']} | {r['share']:.4f} | "
        f"{r['1/N']:.4f} |"
        for r in rows
        if "moved" in r
    ]
    lines += [
        "",
        "In simulated time: a replica is lost with 1,000 messages, repair at 1 MB/s.",
        "",
        "| members | bytes | from its being noticed until another holds all |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| {r['members']} | {r['bytes']} | {r['s after the loss']:.2f} s |" for r in rows if "messages" in r
    ]
    return lines, rows


def chart(data: dict) -> None:
    """Both tables as one picture."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for acks, copies in ((1, 2), (2, 2), (2, 3)):
        some = [r for r in data["losses"] if (r["acks"], r["copies"]) == (acks, copies)]
        ks = sorted({r["k"] for r in some})
        kept = [
            100
            * sum(r["delivered"] for r in some if r["k"] == k)
            / sum(r["messages"] for r in some if r["k"] == k)
            for k in ks
        ]
        left.plot(ks, kept, marker="o", label=f"W={acks}, R={copies}")
    left.set(
        xlabel="machines lost at once, the holder first", ylabel="% of messages delivered", ylim=(-5, 105)
    )
    left.legend()
    ws = (0, 1, 2)
    for name, marker in (("median ms", "o"), ("p99 ms", "s")):
        values = [statistics.median(r[name] for r in data["answers"] if r["acks"] == w) for w in ws]
        right.plot(ws, values, marker=marker, label=name)
    right.set(xlabel="W", ylabel="time to the 202, ms", xticks=ws, ylim=(0, None))
    right.legend()
    figure.tight_layout()
    figure.savefig(rig.RESULTS / "custody.png", dpi=100)


def main() -> None:
    """All parts, or the one named."""
    parts = {"losses": losses, "answers": answers, "moves": moves}
    chosen = sys.argv[1:] or list(parts)
    found = {name: parts[name]() for name in chosen}
    if len(found) < len(parts):
        for lines, _ in found.values():
            print("\n".join(lines))
        return
    data = {name: rows for name, (_, rows) in found.items()}
    chart(data)
    rig.write(
        "custody",
        "python benchmarks/custody.py",
        [line for lines, _ in found.values() for line in [*lines, ""]] + ["![](custody.png)"],
        data,
    )


if __name__ == "__main__":
    main()
