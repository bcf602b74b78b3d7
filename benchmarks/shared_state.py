"""Shared state under faults. `python benchmarks/shared_state.py`, some five minutes.

budget: eight real senders under full load on one budget; halves cut apart for 30 s, then loss, delay and a
one-way link. What was let through is counted by the clients. findings: in simulated time, 8 to 1,024 members.
"""

from __future__ import annotations

import rig  # first: it says where the others are

import tempfile
import time
from pathlib import Path
from random import Random

import test_shared_sockets as sockets
from test_shared_sockets import QUOTA, Load, SharingFleet, most_over
from harness import until

from willownotch.peers.core import Change
from willownotch.peers.lossy import Network, Conditions
from willownotch.shared.judgements import Judgements
from willownotch.shared.layer import SharingLayer

MEMBERS = 8


class Eight(SharingFleet):
    """Of eight senders."""

    shared = SharingFleet.shared.replace(f"instances {sockets.MEMBERS}", f"instances {MEMBERS}")


def budget() -> tuple[list[str], dict]:
    """What was let through, and by how much the worst stretch of it is over the quota alone."""
    fleet = Eight(MEMBERS, Path(tempfile.mkdtemp()))
    try:
        fleet.wait_joined(60.0)
        until(lambda: all(abs(fleet.part(n) - 1 / MEMBERS) < 0.01 for n in range(MEMBERS)), 30.0)
        loads = [Load(sender, f"l{n}") for n, sender in enumerate(fleet.senders)]
        for load in loads:
            load.start()
        few = {f"i{n}" for n in range(MEMBERS // 2)}
        phases = [
            ("all together", 10.0, Conditions()),
            ("halves cut apart", 30.0, Conditions(cut=lambda a, b: (a in few) != (b in few))),
            ("healed", 5.0, Conditions()),
            ("20% loss, 300 ms", 10.0, Conditions(loss=0.2, delay=0.3)),
            ("50% loss, one way deaf", 10.0, Conditions(loss=0.5, cut=lambda a, b: b == "i0")),
        ]
        marks = []
        for what, span, conditions in phases:
            fleet.relay.conditions = conditions
            began = time.monotonic()
            while time.monotonic() - began < span:
                time.sleep(0.1)
            marks.append((what, began, time.monotonic()))
        times = [at for load in loads for at in load.stop()]
        allowed = QUOTA * 2.0 + MEMBERS + QUOTA * 0.2
        rows = []
        for what, began, ended in marks:
            some = [at for at in times if began <= at < ended]
            rows.append(
                {
                    "phase": what,
                    "s": ended - began,
                    "let through": len(some),
                    "a second": len(some) / (ended - began),
                    "worst": most_over(some, QUOTA, 0.0),
                }
            )
        worst = most_over(times, QUOTA, 0.0)
        refused = sum(load.refused for load in loads)
    finally:
        fleet.close()
    lines = [
        f"Eight senders, one budget of {QUOTA:g} a second, every one of them asked for more than all "
        f"of it ({refused} were turned away).",
        "",
        "| phase | let through a second | worst stretch over the quota | allowed |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| {r['phase']} ({r['s']:.0f} s) | {r['a second']:.1f} | {r['worst']:.0f} messages | "
        f"{allowed:.0f} |"
        for r in rows
    ]
    lines.append(
        f"| all of it | {len(times) / sum(r['s'] for r in rows):.1f} | {worst:.0f} messages | "
        f"{allowed:.0f} |"
    )
    return lines, {"rows": rows, "worst": worst, "allowed": allowed, "refused": refused}


def findings(number: int, loss: float) -> dict:
    """Two find an endpoint failing: until all others hold it for down, and, both gone, for nothing."""
    net, layers = Network(5, Conditions(loss=loss, delay=0.02, jitter=0.02)), {}
    for n in range(number):
        made = Judgements(f"i{n}", n + 1, 5.0, 2, 0.5, 4096)
        layers[f"i{n}"] = SharingLayer(f"i{n}", lambda: 0.2, Random(n), None, made, 0.0)
        net.add(f"i{n}", (), layers=(layers[f"i{n}"],))
    net.introduce_all()
    net.run(2.0)
    listed, names = {"e1": 7, "e2": 7}, sorted(layers)
    for name in names[:2]:
        layers[name].judgements.told(net.now, "e1", works=False)

    def know(wanted: bool) -> bool:
        return all(("e1" in layers[n].judgements.verdicts(net.now, listed)) is wanted for n in names[2:])

    before = sum(t.layers for t in net.traffic.values())
    reached = net.until(lambda: know(True), 30.0)
    net.run(net.now + 4.0)
    told = sum(t.layers for t in net.traffic.values()) - before
    rate = told / number / (reached + 4.0)
    own = sum(t.bytes - t.layers for t in net.traffic.values()) / number / net.now
    for name in names[:2]:
        net.kill(name)
    dropped = net.until(lambda: know(False), 30.0)
    died = [news for _, _, news in net.news if news.change is Change.DIED and news.name not in names[:2]]
    return {
        "members": number,
        "loss": loss,
        "reached": reached,
        "dropped": dropped,
        "bytes": rate,
        "membership bytes": own,
        "false deaths": len(died),
    }


def chart(data: dict, rows: list[dict]) -> None:
    """The budget by phases, and what findings cost by members."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    left.barh([r["phase"] for r in data["rows"]], [r["a second"] for r in data["rows"]])
    left.axvline(QUOTA, color="black", linestyle="--", label="quota")
    left.set(xlabel="let through a second, eight senders together")
    left.invert_yaxis()
    left.legend()
    for loss, marker in ((0.0, "o"), (0.3, "s")):
        some = [r for r in rows if r["loss"] == loss]
        right.plot(
            [r["members"] for r in some],
            [r["bytes"] for r in some],
            marker=marker,
            label=f"findings, {loss:.0%} loss",
        )
    right.set(xscale="log", xlabel="members", ylabel="bytes a second a member", ylim=(0, None))
    right.legend()
    figure.tight_layout()
    figure.savefig(rig.RESULTS / "shared-state.png", dpi=100)


def main() -> None:
    """All of it."""
    lines, data = budget()
    print("\n".join(lines), flush=True)
    rows = []
    for number, loss in ((8, 0.0), (8, 0.3), (64, 0.0), (64, 0.3), (256, 0.0), (256, 0.3), (1024, 0.0)):
        began = time.monotonic()
        rows.append({**findings(number, loss), "cpu s": round(time.monotonic() - began, 1)})
        print(rows[-1], flush=True)
    lines += [
        "",
        "Findings in simulated time, 20 to 40 ms each way, a finding counts for 5 s. While two say "
        "that one endpoint fails:",
        "",
        "| members | loss | until all hold it so | until none does, once both are gone | bytes a "
        "second a member, findings | membership | held for dead wrongly |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {r['members']} | {r['loss']:.0%} | {r['reached']:.1f} s | {r['dropped']:.1f} s | "
        f"{r['bytes']:.0f} | {r['membership bytes']:.0f} | {r['false deaths']} |"
        for r in rows
    ]
    lines += ["", "Beside all-to-all heartbeats and plain gossip: [peers-scale.md](peers-scale.md)."]
    lines += ["", "![](shared-state.png)"]
    chart(data, rows)
    rig.write("shared-state", "python benchmarks/shared_state.py", lines, {"budget": data, "findings": rows})


if __name__ == "__main__":
    main()
