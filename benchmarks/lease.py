"""How long a duty is without a holder, and what it costs. `python benchmarks/lease.py`, about three minutes.

In simulated time, fifty seeds each: the holder is killed, stopped, or cut off with one other; 30% loss and
300 ms of delay on top. Counted from outside: when a member may act by its own clock, which acts were taken.
"""

from __future__ import annotations

import rig  # first: it says where the others are

import statistics
from datetime import timedelta

from test_lease import ELECTORS, Fleet

from willownotch.lease.core import Act
from willownotch.lease.settings import DutySettings, LeaseSettings

SEEDS, SPAN_S = 50, 1.0
MOST_S = 60.0  # a trial without a holder for so long is counted as that
STORM_SPAN_S = 3.0  # a lease has to outlast some round trips


def trial(seed: int, what: str, storm: bool) -> tuple[float, int]:
    """Seconds without a holder, and acts of the old one that were taken after the new one's first."""
    span = timedelta(seconds=STORM_SPAN_S if storm else SPAN_S)
    fleet = Fleet(seed, lease=LeaseSettings(electors=ELECTORS, span=span, duty={"fold": DutySettings()}))
    fleet.net.run(1.0)
    first, _ = fleet.wait_held(30.0)
    conditions = fleet.net.conditions
    if storm:
        conditions.loss, conditions.delay = 0.3, 0.3
        fleet.net.run(fleet.net.now + 2.0)
        first, _ = fleet.wait_held(60.0)
    old = fleet.duties[first].duties["fold"].token
    if what == "cut":
        few = {first, next(n for n in ELECTORS if n != first)}
        conditions.cut = lambda a, b: (a in few) != (b in few)
    else:
        fleet.net.kill(first)
    began = fleet.net.now

    def another() -> list[str]:
        return [n for n in fleet.holders() if n != first]

    # From when the old one may act no more: by its own clock, or at its death.
    if what == "cut":
        fleet.net.until(lambda: first not in fleet.holders(), 30.0, 0.01)
        began = fleet.net.now
    try:
        fleet.net.until(another, MOST_S, 0.01)
    except AssertionError:
        return MOST_S, 0  # told as such
    took = fleet.net.now - began
    second = another()[0]
    fleet.act(second, b"new")
    fleet.net.run(fleet.net.now + 1.0)
    taken = {name for name, _, _, body in fleet.accepted if body == b"new"}
    stale = Act(first, "fold", old, 10**6, fleet.duties[first].uid, 1000, b"stale")
    for name in taken - {first}:
        fleet.net._post(first, fleet.net.addresses[name], stale)
    conditions.cut = lambda a, b: False
    fleet.net.paused.discard(first)
    fleet.net.run(fleet.net.now + 2.0)
    return took, sum(body == b"stale" for name, _, _, body in fleet.accepted if name in taken)


def traffic(number: int) -> tuple[float, float]:
    """Datagrams and bytes of duties alone that a member sends a second, the busiest one."""
    asked = LeaseSettings(electors=ELECTORS, span=timedelta(seconds=3), duty={"fold": DutySettings()})
    fleet = Fleet(1, number=5, lease=asked)
    for n in range(5, number):
        fleet.folders[f"m{n}"] = {}
        fleet.start(f"m{n}", ("m0",))
    fleet.net.run(30.0)
    before = {name: fleet.net.traffic[name].layers for name in fleet.duties}
    fleet.net.run(60.0)
    spent = [(fleet.net.traffic[name].layers - before[name]) / 30 for name in fleet.duties]
    return statistics.median(spent), max(spent)


def main() -> None:
    """All of it."""
    rows, lines = (
        [],
        [
            f"Five members, {SEEDS} seeds each, simulated time. A lease "
            f"of {SPAN_S:g} s in a sound network, of "
            f"{STORM_SPAN_S:g} s in a bad one.",
            "",
            "| what happens to the holder | network | median | p99 | worst | stale acts taken |",
            "| --- | --- | --- | --- | --- | --- |",
        ],
    )
    for storm in (False, True):
        for what in ("killed or stopped", "cut"):
            found = [trial(seed, what, storm) for seed in range(SEEDS)]
            times = sorted(took for took, _ in found)
            never = sum(took >= MOST_S for took in times)
            stale = sum(number for _, number in found)
            rows.append({"what": what, "storm": storm, "times": times, "stale": stale})
            network = "30% loss, 300 ms" if storm else "sound"
            lines.append(
                f"| {what} | {network} | {statistics.median(times):.2f} s "
                f"| {times[int(0.99 * len(times))]:.2f} s | {times[-1]:.2f} s"
                + f" ({never} not within it)" * bool(never)
                + f" | {stale} |"
            )
            print(lines[-1], flush=True)
    lines += [
        "",
        "What one duty costs in steady state, a lease of 3 s.",
        "",
        "| members | bytes a second sent, median member | the busiest |",
        "| --- | --- | --- |",
    ]
    for number in (5, 8, 64):
        median, most = traffic(number)
        rows.append({"members": number, "median": median, "most": most})
        lines.append(f"| {number} | {median:.0f} | {most:.0f} |")
        print(lines[-1], flush=True)
    chart(rows)
    rig.write(
        "lease",
        "python benchmarks/lease.py",
        [
            *lines,
            "",
            "Stale acts: one of the old token, sent to every member that had taken one of the new holder's.",
            "",
            "![](lease.png)",
        ],
        {"rows": rows},
    )


def chart(rows: list[dict]) -> None:
    """Times without a holder, as they are spread."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for row in [r for r in rows if "times" in r]:
        shares = [(n + 1) / len(row["times"]) for n in range(len(row["times"]))]
        axes.step(
            row["times"],
            shares,
            where="post",
            label=f"{row['what']}, {'30% loss, 300 ms' if row['storm'] else 'sound network'}",
        )
    axes.set(xlabel="s without a holder", ylabel="share of trials", xlim=(0, None))
    axes.legend()
    figure.tight_layout()
    figure.savefig(rig.RESULTS / "lease.png", dpi=100)


if __name__ == "__main__":
    main()
