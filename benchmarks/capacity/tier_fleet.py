"""The control plane at size: nine real member processes, and senders without their messages that follow them.

    .venv/bin/python benchmarks/capacity/tier_fleet.py [--sizes 3 10 30 91 300 910] [--short]

Each hollow sender runs the real follower with the real seal and store on a socket of its own; some ten
processes share them, each one thread. Time until a change is in force at the last one, bytes, processor time
and memory are counted from outside: what followers put in force and when, `process_time` of their processes
divided by the senders in them, /proc of the members. Loss and cuts between members and senders are made in
the hollow senders' sockets, those between members by `lab/faults`.

A hollow sender leaves out the decision module and its `retune`, clients, calls, journal, and the waiting for
its disk. One full sender runs beside them.
"""

from __future__ import annotations

import slopes  # first: it says where the others are

import argparse
import contextlib
import itertools
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random

import rig
import tier_fleet_page
import harness
from plane import KEYS, PLACES, FollowerHost, FollowerLoop, Plane, Unsynced
from tier_fleet_page import CHANGE_S, ENTRIES, SIZES

from willownotch.channel.client import AskError
from willownotch.controlplane.settings import FollowedSettings, FollowSettings
from willownotch.peers.seal import read_keys

PROCESSES = 10
ZONES = list(dict.fromkeys(PLACES))
PLAYED = rig.RESULTS / "tier-fleet.json"  # all phases of each size
WAIT_S = 600.0  # for a state that a phase ends with; first copies are bounded in bytes a second


# In a process of hollow senders.


def serve():
    """Hollow senders on one thread, told what to do by lines of JSON; one line answers each."""
    first = json.loads(sys.stdin.readline())
    members = {
        name: FollowedSettings(tuple(m["address"]), m["zone"], m["region"])
        for name, m in first["members"].items()
    }
    follower_loop, zones = FollowerLoop(), {}
    for one in first["senders"]:
        settings = FollowSettings(
            folder=one["folder"],
            keys=first["keys"],
            name=one["name"],
            zone=one["zone"],
            region=one["region"],
            member=members,
        )
        hollow = FollowerHost(
            one["name"], settings, read_keys(KEYS), seed=one["seed"], files=Unsynced(), entries=False
        )
        zones[one["name"]] = one["region"], one["zone"]
        follower_loop.add(hollow)
    told = {hollow.name: 0 for hollow in follower_loop.all}

    def chosen(order):
        return [h for h in follower_loop.all if order.get("names") is None or h.name in order["names"]]

    def begin(order):
        for hollow in chosen(order):
            follower_loop.later(lambda h=hollow: follower_loop.begin(h))

    def end(order):
        for hollow in chosen(order):
            hollow.end()

    def conditions(order):
        for hollow in follower_loop.all:
            hollow.loss = order["loss"]
            hollow.cut = frozenset(tuple(a) for a in order["cut"].get(zones[hollow.name][0], ()))

    def report(order):
        events = []
        for hollow in follower_loop.all:
            events += [(hollow.name, seen.at, seen.revision) for seen in hollow.history[told[hollow.name] :]]
            told[hollow.name] = len(hollow.history)
        return {
            "events": events,
            "cpu": time.process_time(),
            "rss_kb": rig.rss_kb(os.getpid()),
            "running": sum(h.running for h in follower_loop.all),
            **{
                what: sum(getattr(h, what) for h in follower_loop.all)
                for what in ("sent", "sent_bytes", "received", "received_bytes", "dropped")
            },
        }

    does = {"begin": begin, "end": end, "weather": conditions, "report": report}
    threading.Thread(target=follower_loop.run, daemon=True).start()
    print(json.dumps({"rss_kb": rig.rss_kb(os.getpid())}), flush=True)
    for line in sys.stdin:
        order = json.loads(line)
        print(json.dumps(follower_loop.do(lambda o=order: does[o["do"]](o)) or {}), flush=True)


class Workers:
    """The processes that hollow senders share."""

    def __init__(self, plane, size, seed):
        self.names, self.events = [f"s{n}" for n in range(size)], {}
        self.place = {f"s{n}": ZONES[n % len(ZONES)] for n in range(size)}
        self.processes, self.base_kb = [], 0
        members = {
            m.name: {"address": m.followers, "zone": m.zone, "region": m.region} for m in plane.members
        }
        count = min(PROCESSES, size)
        for number in range(count):
            process = subprocess.Popen(
                [sys.executable, __file__, "--serve"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            senders = [
                {
                    "name": name,
                    "region": self.place[name][0],
                    "zone": self.place[name][1],
                    "folder": str(plane.path / name),
                    "seed": seed * 100_000 + n,
                }
                for n, name in enumerate(self.names)
                if n % count == number
            ]
            process.stdin.write(
                json.dumps({"members": members, "keys": str(plane.keys), "senders": senders}) + "\n"
            )
            process.stdin.flush()
            self.processes.append(process)
        for process in self.processes:
            self.base_kb += json.loads(process.stdout.readline())["rss_kb"]

    def order(self, **order):
        """Have all do something; their answers."""
        text = json.dumps(order) + "\n"
        for process in self.processes:
            process.stdin.write(text)
            process.stdin.flush()
        return [json.loads(process.stdout.readline()) for process in self.processes]

    def report(self):
        """What all have used so far; their new events are kept in `events`, by sender."""
        found = self.order(do="report")
        total = {what: sum(each[what] for each in found) for what in found[0] if what != "events"}
        for each in found:
            for name, at, revision in each["events"]:
                self.events.setdefault(name, []).append((at, revision))
        return total

    def revisions(self):
        """The revision in force at each, 0 before any."""
        self.report()
        return {name: self.events[name][-1][1] if name in self.events else 0 for name in self.names}

    def close(self):
        """End them."""
        for process in self.processes:
            process.stdin.close()
            process.wait(30)


# Members, seen from outside.


def cpu_s(pid):
    """Processor time of a process."""
    words = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def fine_cpu_s(pid):
    """The same to the nanosecond, of the threads that there are."""
    return (
        sum(
            int(path.read_text(encoding="utf-8").split()[0])
            for path in Path(f"/proc/{pid}/task").glob("*/schedstat")
        )
        / 1e9
    )


class Sample:
    """What members and senders have used up to now."""

    def __init__(self, fleet):
        self.at = time.monotonic()
        self.senders = fleet.workers.report()
        self.members = {
            m.name: (cpu_s(m.process.pid), rig.rss_kb(m.process.pid)) for m in fleet.plane.running()
        }
        self.between = {}
        for member in fleet.plane.running():
            with contextlib.suppress(AskError):
                self.between[member.name] = fleet.bytes_of(member)


class Fleet:
    """Nine members, hollow senders, one author, and what was seen."""

    def __init__(self, folder, size, seed):
        self.size, self.random, self.results = size, Random(seed), {}
        self.plane = Plane(folder, seed=seed, doors=False, lease="3s", peers="", entries=False)
        self.workers = Workers(self.plane, size, seed)
        self.count, self.times = 0, {}
        self.without = None  # a region that authors keep away from

    def close(self):
        """End all of it."""
        self.workers.close()
        self.plane.close()

    @staticmethod
    def bytes_of(member):
        """Sent and received with other members, by its own counts: links, and peers with the lease."""
        links, peers = member.ask("status")["traffic"], member.ask("peers")["traffic"]
        return sum(
            links.get(f"member {way} bytes", 0) + peers.get(f"{way} bytes", 0) for way in ("sent", "received")
        )

    def put(self, number):
        """A document of so many entries of some 200 bytes; its revision."""
        for first in range(0, number, 1000):
            sets = {
                f"data/destination/{n:05d}": value(self.random, 0)
                for n in range(first, min(first + 1000, number))
            }
            asked = self.plane.change(self.plane.members[0], sets, patience=60.0)
            assert asked.outcome == "committed", asked.text
        return asked.revision

    def change(self):
        """One entry is changed by an operator at some member; when it was handed in, by its revision."""
        member = self.random.choice([m for m in self.plane.running() if m.region != self.without])
        self.count += 1
        key = f"data/destination/{self.random.randrange(ENTRIES):05d}"
        began = time.monotonic()
        asked = self.plane.change(member, {key: value(self.random, self.count)}, patience=60.0)
        if asked.outcome == "committed":
            self.times[asked.revision] = began, time.monotonic()
        return asked

    def reached(self, revision, names):
        """When each had this revision or a later one in force; None where it has not."""
        return {
            name: next((at for at, r in self.workers.events.get(name, ()) if r >= revision), None)
            for name in names
        }

    def wait(self, revision, names, most=WAIT_S):
        """Until all of these have it in force; who has not when the patience ends."""
        ends = time.monotonic() + most
        while True:
            self.workers.report()
            missing = [n for n, at in self.reached(revision, names).items() if at is None]
            if not missing or time.monotonic() > ends:
                return missing
            time.sleep(0.25)

    def phase(self, name, seconds, names=None, changes=True, during=()):
        """Go on for a time, with a change each `CHANGE_S`; what was used, and how long changes took to be in
        force at the last of `names`. `during`: (seconds on, what to do)."""
        names = list(names if names is not None else self.workers.names)
        before, first = Sample(self), len(self.times)
        ends, next_change, todo = before.at + seconds, before.at + 0.5, list(during)
        refused = 0
        while (now := time.monotonic()) < ends:
            if todo and now >= before.at + todo[0][0]:
                todo.pop(0)[1]()
            elif changes and now >= next_change:
                next_change += CHANGE_S
                refused += self.change().outcome != "committed"
            else:
                time.sleep(0.02)
        after = Sample(self)
        made = list(self.times)[first:]
        missing = self.wait(made[-1], names, 60.0) if made else []
        self.results[name] = self.summary(before, after, made, names) | {
            "changes": len(made),
            "not accepted": refused,
            "not reached": len(missing),
        }
        print(f"{self.size} {name}: {json.dumps(self.results[name])}", flush=True)
        return self.results[name]

    def summary(self, before, after, made, names):
        """A phase's figures: per sender and per member, a second."""
        span, senders = after.at - before.at, max(after.senders["running"], 1)
        used = {what: after.senders[what] - before.senders[what] for what in before.senders}
        alike = [n for n in after.members if n in before.members]
        cpus = [(after.members[n][0] - before.members[n][0]) / span for n in alike]
        moved = [
            (after.between[n] - before.between[n]) / span
            for n in alike
            if n in after.between and n in before.between
        ]
        wire = used["sent_bytes"] + used["received_bytes"]
        lasts, each = [], []
        for revision in made:
            began, answered = self.times[revision]
            ats = [at for at in self.reached(revision, names).values() if at is not None]
            each += [at - began for at in ats]
            lasts.append(max(ats, default=began) - began)
        return {
            "seconds": span,
            "senders": senders,
            "lasts": lasts,
            "in force at the last, s": spread_of(lasts),
            "in force at each, s": spread_of(each),
            "accepted after, s": spread_of([self.times[r][1] - self.times[r][0] for r in made]),
            "sender cpu": used["cpu"] / span / senders,
            "sender kb": (after.senders["rss_kb"] - self.workers.base_kb) / self.size,
            "sender wire": wire / span / senders,
            "sender datagrams": (used["sent"] + used["received"]) / span / senders,
            "dropped": used["dropped"],
            "member cpu": statistics.median(cpus),
            "member cpu worst": max(cpus),
            "member kb": statistics.median(after.members[n][1] for n in after.members),
            "member kb worst": max(after.members[n][1] for n in after.members),
            "member wire": wire / span / max(len(after.members), 1),
            "member between": statistics.median(moved) if moved else None,
        }


def spread_of(values):
    """Median, 99th percentile and worst."""
    if not values:
        return None
    values = sorted(values)
    late = values[min(len(values) - 1, int(0.99 * len(values)))]
    return [round(statistics.median(values), 3), round(late, 3), round(values[-1], 3)]


def value(random, count):
    """A destination's entry of some 200 bytes."""
    return {
        "address": f"10.{random.randrange(256)}.{random.randrange(256)}.{random.randrange(256)}:8443",
        "weight": random.randrange(100),
        "count": count,
        "note": f"{random.getrandbits(480):0120x}",
    }


# The story of one size.


def story(folder, size, seed, short):
    """All phases at one size; a small one leaves out what it cannot show."""
    fleet = Fleet(folder, size, seed)
    workers = fleet.workers
    span = 6 * CHANGE_S
    names = set(workers.names)
    try:
        document = fleet.put(ENTRIES)
        began = time.monotonic()
        before = Sample(fleet)
        workers.order(do="begin", names=None)
        missing = fleet.wait(document, names)
        after = Sample(fleet)
        fleet.results["first start of all"] = fleet.summary(before, after, [], names) | arrivals(
            fleet, document, began, names, missing
        )
        print(f"{size} first start: {json.dumps(fleet.results['first start of all'])}", flush=True)
        fleet.phase("quiet", span, changes=False)
        fleet.phase("changes", span)
        workers.order(do="weather", loss=0.05, cut={})
        fleet.phase("5% loss", span)
        workers.order(do="weather", loss=0.0, cut={})
        if size >= 91:
            killed(fleet, span)
            zone(fleet, span)
            region(fleet, 30.0 if short else 120.0)
            restart(fleet)
        fleet.results["told"] = told(fleet)
        last = Sample(fleet)
        fleet.results["memory of all, MB"] = (
            last.senders["rss_kb"] + sum(kb for _, kb in last.members.values())
        ) / 1024
        if size == 91:
            fleet.results["a full sender"] = full(fleet, 4 * CHANGE_S)
            print(f"{size} full sender: {json.dumps(fleet.results['a full sender'])}", flush=True)
        fleet.results["went back"] = sum(
            b[1] < a[1] for events in workers.events.values() for a, b in itertools.pairwise(events)
        )
        print(f"{size} told: {json.dumps(fleet.results['told'])}", flush=True)
        return fleet.results
    finally:
        fleet.close()


def arrivals(fleet, revision, began, names, missing):
    """How long after `began` a revision was in force, at half and at all."""
    ats = [at - began for at in fleet.reached(revision, names).values() if at is not None]
    return {"in force after, s": spread_of(ats), "not reached": len(missing)}


def killed(fleet, span):
    """A member dies, and comes back after the phase."""
    member = fleet.plane.members[0]
    fleet.phase("a member killed", span, during=[(1.0, member.kill)])
    fleet.plane.restart(member)


def zone(fleet, span):
    """The members of a zone and its senders die, and come back with their folders."""
    where = ZONES[1]
    gone = [m for m in fleet.plane.members if (m.region, m.zone) == where]
    names = [n for n, place_ in fleet.workers.place.items() if place_ == where]
    rest = set(fleet.workers.names) - set(names)

    def kill():
        for member in gone:
            member.kill()
        fleet.workers.order(do="end", names=names)

    fleet.phase("a zone killed", span, names=rest, during=[(1.0, kill)])
    began = time.monotonic()
    for member in gone:
        member.start()
    for member in gone:
        member.register_addresses()
    fleet.workers.order(do="begin", names=names)
    last = max(fleet.times)
    missing = fleet.wait(last, names)
    fleet.results["a zone back"] = arrivals(fleet, last, began, names, missing)
    print(f"{fleet.size} zone back: {json.dumps(fleet.results['a zone back'])}", flush=True)


def region(fleet, span):
    """The smaller region is cut off, members and senders, while changes go on in the larger one."""
    south = fleet.plane.in_region("south")
    members = {
        side: [m.followers for m in fleet.plane.members if m.region != side] for side in ("north", "south")
    }
    inside = [n for n, (where, _) in fleet.workers.place.items() if where == "south"]
    rest = set(fleet.workers.names) - set(inside)
    held = max(fleet.times)
    fleet.plane.cut_off(south)
    fleet.workers.order(do="weather", loss=0.0, cut=members)
    fleet.without = "south"
    fleet.phase("a region cut", span, names=rest)
    now = fleet.workers.revisions()
    last = max(fleet.times)
    fleet.results["held in the cut"] = {
        "last before": held,
        "last outside": last,
        "at the cut off": sorted({now[n] for n in inside}),
        "senders cut off": len(inside),
    }
    began = time.monotonic()
    fleet.without = None
    fleet.plane.heal()
    fleet.workers.order(do="weather", loss=0.0, cut={})
    missing = fleet.wait(last, inside)
    fleet.results["a region back"] = arrivals(fleet, last, began, inside, missing)
    for what in ("held in the cut", "a region back"):
        print(f"{fleet.size} {what}: {json.dumps(fleet.results[what])}", flush=True)


def restart(fleet):
    """All senders end, a change is made, all start at once with their folders."""
    fleet.workers.order(do="end", names=None)
    fleet.change()
    last, began = max(fleet.times), time.monotonic()
    before = Sample(fleet)
    fleet.workers.order(do="begin", names=None)
    missing = fleet.wait(last, fleet.workers.names)
    fleet.results["all started at once"] = fleet.summary(before, Sample(fleet), [], []) | arrivals(
        fleet, last, began, fleet.workers.names, missing
    )
    print(f"{fleet.size} all started: {json.dumps(fleet.results['all started at once'])}", flush=True)


def told(fleet):
    """How many senders the tier says to have the last revision in force, beside how many have."""
    last = max(fleet.times)
    ends, found = time.monotonic() + 15.0, None
    while time.monotonic() < ends:
        found = fleet.plane.running()[0].ask("status")["serving"]
        if found["in_force"].get(str(last)) == fleet.size:
            break
        time.sleep(0.5)
    have = sum(revision >= last for revision in fleet.workers.revisions().values())
    return {
        "last": last,
        "have it": have,
        "said to have it": found["in_force"].get(str(last), 0),
        "known": found["known"],
        "unheard": found["unheard"],
        "lagging": found["lagging"],
    }


# One full sender beside them.


def full(fleet, seconds):
    """Two real senders with nothing to deliver, one that follows: processor time and memory."""
    plane = fleet.plane
    one = plane.add_sender(90, *ZONES[0])
    last = max(fleet.times)
    harness.until(lambda: one.revision >= last, WAIT_S)
    plain = harness.Sender(plane.parties[1])
    try:
        found = {}
        for what, changes in (("quiet", False), ("changes", True)):
            before, at = [fine_cpu_s(s.process.pid) for s in (one, plain)], time.monotonic()
            counters = one.following()["counters"]
            fleet.phase(f"beside a full sender, {what}", seconds, changes=changes)
            span = time.monotonic() - at
            used = [(fine_cpu_s(s.process.pid) - b) / span for s, b in zip((one, plain), before, strict=True)]
            moved = one.following()["counters"]
            wire = sum(moved.get(w, 0) - counters.get(w, 0) for w in ("sent bytes", "received bytes"))
            found[what] = {"follows, cpu": used[0], "plain, cpu": used[1], "wire": wire / span}
        found["follows, kb"], found["plain, kb"] = rig.rss_kb(one.process.pid), rig.rss_kb(plain.process.pid)
        return found
    finally:
        one.close()
        plain.close()


# Results.


def keep(size, found):
    """Put a size's figures beside those of the others."""
    played = json.loads(PLAYED.read_text(encoding="utf-8")) if PLAYED.exists() else {}
    played[str(size)] = found
    PLAYED.write_text(
        json.dumps(dict(sorted(played.items(), key=lambda one: int(one[0]))), indent=1) + "\n",
        encoding="utf-8",
    )


def main():
    """Play the sizes that are asked for; those played before are kept in the result."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--sizes", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--seed", type=int, default=35)
    parser.add_argument("--short", action="store_true", help="a region is cut off for 30 s, not for 120 s")
    chosen = parser.parse_args()
    if chosen.serve:
        return serve()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # what was started is ended
    for size in chosen.sizes:
        load = os.getloadavg()[0]
        with tempfile.TemporaryDirectory() as folder:
            found = story(Path(folder), size, chosen.seed, chosen.short)
        keep(
            size,
            found
            | {
                "seed": chosen.seed,
                "commit": slopes.COMMIT,
                "short": chosen.short,
                "load": max(load, os.getloadavg()[0]),
            },
        )
    played = json.loads(PLAYED.read_text(encoding="utf-8"))
    command = "benchmarks/capacity/tier_fleet.py"
    rig.write("tier-fleet", command, tier_fleet_page.page(played), played)
    if str(tier_fleet_page.TARGET) in played and len(played) > slopes.SIZES:
        slopes.write(
            "tier-fleet",
            f"python {command}",
            tier_fleet_page.fit(played),
            "control tier: senders follow members",
            [chosen.seed],
            [
                *tier_fleet_page.NOTES,
                "played: "
                + ", ".join(
                    f"{size} at {found['commit']}, load {found['load']:.0f}" for size, found in played.items()
                ),
            ],
        )


if __name__ == "__main__":
    main()
