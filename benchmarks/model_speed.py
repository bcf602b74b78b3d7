"""How many messages a second of real time the model plays on one core, by senders and destinations.

    .venv/bin/python benchmarks/model_speed.py [--simpy]

Each sender has 10 messages a second; 20 s are played, with one silence. `--simpy` also times the bare event
loop against simpy's, which has to be installed for that.
"""

import argparse
import time
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

from rig import write

from willownotch.lab.model.scenario import Scenario, Trouble, TroubleBlock
from willownotch.lab.model.story import Story
from willownotch.lab.model.world import World

SIZES = [(3, 26), (3, 300), (30, 26), (30, 300), (100, 300), (300, 300), (30, 3000), (30, 10_000)]
EVENTS = 200_000


def story(senders, partners):
    """One story: laying it out, and playing it."""
    span = timedelta(seconds=20)
    five = timedelta(seconds=5)
    trouble = TroubleBlock(kind=Trouble.SILENCE, at=five, for_=five, share=0.1)
    scenario = Scenario(
        duration=span, senders=senders, partners=partners, rate=10.0 * senders, trouble={"a": trouble}
    )
    began = time.perf_counter()
    made = Story(scenario, "module", 1)
    laid = time.perf_counter()
    result = made.run()
    return laid - began, time.perf_counter() - laid, result.messages, result.events


def day():
    """The day of the aim: 3 senders, 26 endpoints, 30 messages a second, 55 s."""
    began = time.perf_counter()
    Story(Scenario(trouble={"a": TroubleBlock()}), "module", 1).run()
    return time.perf_counter() - began


def bare():
    """Events a second of the heap alone."""
    world = World(1)

    def step(left):
        if left:
            world.after(0.001, step, left - 1)

    world.after(0.0, step, EVENTS)
    began = time.perf_counter()
    world.run(1e9)
    return EVENTS / (time.perf_counter() - began)


def simpy_events():
    """The same by simpy."""
    import simpy

    env = simpy.Environment()

    def step():
        for _ in range(EVENTS):
            yield env.timeout(0.001)

    env.process(step())
    began = time.perf_counter()
    env.run()
    return EVENTS / (time.perf_counter() - began)


def main():
    """All sizes."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--simpy", action="store_true")
    chosen = parser.parse_args()
    lines = [
        "| senders | destinations | messages | layout, s | play, s | messages/s | events/s |",
        "| --- " * 7 + "|",
    ]
    data = {"sizes": []}
    with ProcessPoolExecutor(1) as alone:
        for size in SIZES:
            laid, played, messages, events = alone.submit(story, *size).result()
            data["sizes"].append([*size, laid, played, messages, events])
            lines.append(
                f"| {size[0]} | {size[1]} | {messages} | {laid:.2f} | {played:.2f} | "
                f"{messages / played:.0f} | {events / played:.0f} |"
            )
        data["day_s"] = sorted(alone.submit(day).result() for _ in range(5))
    lines += [
        "",
        "A day of 3 senders, some 26 endpoints, 30 messages a second, 55 s: "
        f"{data['day_s'][2]:.2f} s (five runs, {data['day_s'][0]:.2f} to {data['day_s'][-1]:.2f}).",
    ]
    data["heap"] = sorted(bare() for _ in range(5))[2]
    lines.append(
        f"The heap alone: {data['heap']:.0f} events a second"
        + (f"; simpy: {sorted(simpy_events() for _ in range(5))[2]:.0f}." if chosen.simpy else ".")
    )
    write("model-speed", "benchmarks/model_speed.py" + " --simpy" * chosen.simpy, lines, data)


if __name__ == "__main__":
    main()
