"""Membership under loss, in simulated time: living members held for dead, time to know a death, traffic.

.venv/bin/python benchmarks/peers_loss.py [--seeds 10]
"""

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor

from rig import write

from willownotch.peers.core import Change
from willownotch.peers.lossy import Network, Conditions

SECONDS, PATIENCE = 120, 300  # simulated


def play(size, loss, seed):
    """One story: join, run, lose a member, have it back."""
    net, names = Network(seed, Conditions(loss=loss)), [f"m{n}" for n in range(size)]
    for name in names:
        net.add(name, () if name == "m0" else ("m0",))
    net.until(lambda: net.all_know(set(names)), PATIENCE)
    net.news.clear()
    before = sum(t.bytes for t in net.traffic.values())
    net.run(net.now + SECONDS)
    false = len({news.name for _, _, news in net.news if news.change is Change.DIED})
    rate = (sum(t.bytes for t in net.traffic.values()) - before) / size / SECONDS
    net.kill("m3")
    death = net.until(lambda: net.all_know(set(names) - {"m3"}), PATIENCE)
    net.add("m3", ("m0",))
    back = net.until(lambda: net.all_know(set(names)), PATIENCE)
    return false, death, back, rate


def main():
    """All sizes and losses."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=10)
    chosen = parser.parse_args()
    cases = [(size, loss) for size in (8, 32) for loss in (0.0, 0.1, 0.2, 0.3)]
    with ProcessPoolExecutor() as workers:
        made = {case: [workers.submit(play, *case, seed) for seed in range(chosen.seeds)] for case in cases}
        found = {case: [future.result() for future in futures] for case, futures in made.items()}
    lines = [
        "| members | loss | living held for dead | death known, s: median (worst) | return | bytes/s |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for (size, loss), runs in found.items():
        false, deaths, backs, rates = zip(*runs, strict=True)
        spans = " | ".join(f"{statistics.median(s):.1f} ({max(s):.1f})" for s in (deaths, backs))
        lines.append(f"| {size} | {loss:g} | {sum(false)} | {spans} | {statistics.median(rates):.0f} |")
    write(
        "peers-loss",
        f"benchmarks/peers_loss.py --seeds {chosen.seeds}",
        [
            f"Simulated time, {chosen.seeds} seeds each, {SECONDS} s, default settings.",
            "",
            *lines,
        ],
        {f"{size}-{loss}": runs for (size, loss), runs in found.items()},
    )


if __name__ == "__main__":
    main()
