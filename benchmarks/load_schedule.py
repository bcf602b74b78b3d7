"""The load generator's own schedule at rising rates from one process, and a real stall of 17 s.

    .venv/bin/python benchmarks/load_schedule.py [--rates 500 2000 5000] [--seconds 10] [--stall 17]

The target is a process of its own that answers 202 at once; for the stall it answers nothing for a known
time. The generator runs on one core, the target on another. Beside the open loop, one client that waits for
each answer.
"""

import argparse
import multiprocessing
import os
import selectors
import socket
import threading
import time
from datetime import timedelta

import numpy as np
from rig import write

from willownotch.lab.load.edge import Target, run
from willownotch.lab.load.plan import draw
from willownotch.lab.load.record import report, summary
from willownotch.lab.load.settings import Arrivals, LoadSettings
from willownotch.net import http

SECOND = timedelta(seconds=1)
ANSWER = http.write_answer(202)


def serve(pipe, core):
    """The target: answers as many requests as it finds whole; while paused it reads nothing."""
    os.sched_setaffinity(0, {core})
    listener = socket.create_server(("127.0.0.1", 0), backlog=4096)
    listener.setblocking(False)
    pipe.send(listener.getsockname()[1])
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    paused_until = 0.0
    while True:
        if pipe.poll():
            paused_until = pipe.recv()
        if time.monotonic() < paused_until:
            time.sleep(max(0.0, paused_until - time.monotonic()))
        for key, _ in selector.select(0.05):
            if key.fileobj is listener:
                sock, _ = listener.accept()
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(sock, selectors.EVENT_READ)
                continue
            data = key.fileobj.recv(65536)
            if data:
                key.fileobj.send(ANSWER)  # requests here are far below one read each
            else:
                selector.unregister(key.fileobj)
                key.fileobj.close()


def closed(port, rate, seconds):
    """One client that waits for each answer, and counts from when it sent."""
    took, ends = [], time.monotonic() + seconds
    request = http.write_request("POST", "/api", "t", [], b"w" * 500)
    with socket.create_connection(("127.0.0.1", port)) as sock:
        while time.monotonic() < ends:
            began = time.monotonic()
            sock.sendall(request)
            sock.recv(65536)
            took.append(time.monotonic() - began)
            time.sleep(max(0.0, 1 / rate - took[-1]))
    return np.array(took) * 1000


def main():
    """All rates, then the stall."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rates", type=float, nargs="+", default=[500, 2000, 5000, 8000, 12000])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--stall", type=float, default=17.0)
    chosen = parser.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    pipe, theirs = multiprocessing.Pipe()
    server = multiprocessing.Process(target=serve, args=(theirs, cores[-1]), daemon=True)
    server.start()
    port = pipe.recv()
    os.sched_setaffinity(0, {cores[-2]})
    lines = [
        "| messages/s wanted | sent | own lateness p50, p99, most, ms | latency p50, p99, ms | kept |",
        "| --- | --- | --- | --- | --- |",
    ]
    data = {"rates": [], "stall": {}}
    for rate in chosen.rates:
        plan = draw(LoadSettings(duration=chosen.seconds * SECOND, rate=rate))
        found = report(run(plan, Target("127.0.0.1", port, 512, 10**7)), plan.rate(), 5.0)
        late, every = found.schedule.late, found.all
        kept = "yes" if found.schedule.kept else "no"
        data["rates"].append({"rate": rate, "late": [late.p50, late.p99, late.most], "kept": kept})
        lines.append(
            f"| {rate:g} | {found.schedule.sent_rate:.0f} | {late.p50:.2f}, {late.p99:.2f}, "
            f"{late.most:.2f} | {every.p50:.2f}, {every.p99:.2f} | {kept} |"
        )
    plan = draw(LoadSettings(duration=3 * chosen.stall * SECOND, rate=200.0, arrivals=Arrivals.CONSTANT))
    pauses = time.monotonic() + 0.5 + chosen.stall  # LEAD_S, then a stall's length of ordinary service

    def pause():
        time.sleep(max(0.0, pauses - time.monotonic()))
        pipe.send(time.monotonic() + chosen.stall)

    thread = threading.Thread(target=pause)
    thread.start()
    found = summary(run(plan, Target("127.0.0.1", port, 8192, 10**8)).all())
    thread.join()
    pauses = time.monotonic() + chosen.stall
    thread = threading.Thread(target=pause)
    thread.start()
    one = closed(port, 200.0, 3 * chosen.stall)
    thread.join()
    third = chosen.stall * 1000  # the stall is a third of the run: the p99 is 3% of its length before its end
    data["stall"] = {
        "open": [found.p50, found.p99, found.most],
        "closed": [float(np.percentile(one, p)) for p in (50, 99, 100)],
    }
    lines += [
        "",
        f"A stall of {chosen.stall:g} s in a run of {3 * chosen.stall:g} s, 200 messages a second:",
        "",
        "| | p50, ms | p99, ms | most, ms |",
        "| --- | --- | --- | --- |",
        f"| what the stall makes of messages sent on time | | {0.97 * third:.0f} | {third:.0f} |",
        f"| open loop, from the intended time | {found.p50:.2f} | {found.p99:.0f} | {found.most:.0f} |",
        f"| one client that waits for each answer | {np.median(one):.2f} | "
        f"{np.percentile(one, 99):.2f} | {one.max():.0f} |",
    ]
    server.terminate()
    command = f"benchmarks/load_schedule.py --seconds {chosen.seconds:g} --stall {chosen.stall:g}"
    write("load-schedule", command, lines, data)


if __name__ == "__main__":
    main()
