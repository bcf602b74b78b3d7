"""The 15 s silence: one large partner takes calls and answers none while 30 messages a second come and more.

    .venv/bin/python benchmarks/bodies_silence.py [--runs 2] [--rate 30] [--silence 15]

A real sender, three classes, bodies of 64 KiB and 2 KiB, five other partners beside it. Three settings in
turn: the store as set (`memory 4MB`), memory for all (`memory 1GB`: bodies stay in memory, as before), files
only. Counts outcomes by class from what the stand-ins received, and the peak of the resident
memory over that of the idle sender: of one that has served before, and of one just started.
"""

import argparse
import statistics
import threading
import time

from rig import peak_kb, reset_peak, rss_kb, spread, write

import harness
from harness import Discovery, Host, Sender

STEPS = {
    "memory 4MB": "memory 4MB",
    "memory 1GB (all in memory)": "memory 1GB\n inline 64KiB",
    "files only": "memory 0MB\n inline-low 256\n inline 256",
}
CLASSES = ["order"] * 46 + ["status"] * 43 + ["fee"] * 11  # shares of the traffic
LARGE, SMALL = 64 * 1024, 2 * 1024
SERVED = 30  # messages on each connection before the silence


def serve(sender):
    """A second of ordinary service over all connections and relays, so that what any load takes is there."""

    def client(part):
        with sender.connect() as sock:
            for n in range(SERVED):
                message = sender.message("status", dest=7 + n % 6, body=b"w" * SMALL, ref=f"w{part}-{n:08x}")
                sender.exchange(message, sock)

    clients = [threading.Thread(target=client, args=(part,)) for part in range(8)]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()


def play(setting, size, rate, silence):
    """One run; outcomes by class and memory."""
    hosts = [Host() for _ in range(6)]
    discovery = Discovery(hosts)
    discovery.entries = [discovery.entry(n, host, group=7 + n) for n, host in enumerate(hosts)]
    settings = {
        **harness.SETTINGS,
        "familyInfo": {**harness.SETTINGS["familyInfo"], "slots": 24},
        "policyLimits": {**harness.SETTINGS["policyLimits"], "maxOpen": 2000},
    }
    text = {
        "name": "b0",
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "seed": "5f",
        "limits": {"sockets": 1024, "disk_mb": 200, "memory_mb": 192},
        "settings": settings,
    }
    sender = Sender(text=text, settings=f"bodies {{\n {setting}\n destination-share 100%\n}}\n").ready()
    try:
        for _ in range(20):
            sender.hand_in("status", dest=8, body=b"w" * 100)
        time.sleep(1.0)
        fresh = rss_kb(sender.process.pid)
        serve(sender)
        time.sleep(1.0)
        idle = rss_kb(sender.process.pid)
        reset_peak(sender.process.pid)
        hosts[0].held.clear()
        handed, lock = [], threading.Lock()
        began = time.monotonic()

        def client(part):
            with sender.connect() as sock:
                for n in range(part, int(rate * silence), 8):
                    cls = CLASSES[n * 37 % 100]
                    dest = 7 if n % 5 else 8 + n // 5 % 5  # four in five are for the silent one
                    time.sleep(max(0.0, began + n / rate - time.monotonic()))
                    body = n.to_bytes(4, "big") * (size // 4)
                    ref = f"{part}-{n:08x}"
                    head = sender.exchange(
                        sender.message(
                            cls,
                            dest=dest,
                            body=body,
                            ref=ref,
                            left=({"order": 16000, "status": 28000, "fee": 20000}[cls]),
                        ),
                        sock,
                    )
                    with lock:
                        handed.append((ref, cls, dest, head.status))

        clients = [threading.Thread(target=client, args=(part,)) for part in range(8)]
        for thread in clients:
            thread.start()
        for thread in clients:
            thread.join()
        time.sleep(max(0.0, began + silence - time.monotonic()))
        hosts[0].held.set()
        taken = {ref for ref, _, _, status in handed if status == 202}
        harness.until(
            lambda: taken <= {r for h in hosts for r in h.refs()} | {n["message"] for n in discovery.notices},
            60,
        )
        peak = peak_kb(sender.process.pid)
        time.sleep(0.5)
        seen = {ref: n for h in hosts for ref in h.refs() for n in [h.refs().count(ref)]}
        notices = {n["message"]: n["outcome"] for n in discovery.notices}
        table = {}
        for ref, cls, dest, status in handed:
            where = "silent" if dest == 7 else "others"
            ended = "turned away" if status != 202 else notices.get(ref, "delivered")
            row = table.setdefault(f"{cls} {where}", {})
            row[ended] = row.get(ended, 0) + 1
            if cls == "fee" and seen.get(ref, 0) > 1:
                row["sent twice"] = row.get("sent twice", 0) + 1
        steps = [line.split("bodies: ")[1][:60] for line in sender.lines if "bodies: step" in line]
        return {
            "idle_kb": idle,
            "growth_kb": peak - idle,
            "growth_fresh_kb": peak - fresh,
            "outcomes": table,
            "steps": steps[:6],
        }
    finally:
        sender.close()
        for host in hosts:
            host.close()
        discovery.close()


def main():
    """All settings in turn, several times."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--silence", type=float, default=15.0)
    chosen = parser.parse_args()
    data, lines = (
        [],
        [
            "| bodies | setting | growth over an idle sender, KB: median (range) | " "over a fresh one |",
            "| --- | --- | --- | --- |",
        ],
    )
    for _ in range(chosen.runs):
        for size in (LARGE, SMALL):
            for name, setting in STEPS.items():
                data.append(
                    {"size": size, "setting": name, **play(setting, size, chosen.rate, chosen.silence)}
                )
    outcomes = [
        "",
        "Outcomes by class, median of the runs:",
        "",
        "| bodies | setting | class | outcomes |",
        "| --- | --- | --- | --- |",
    ]
    for size in (LARGE, SMALL):
        for name in STEPS:
            runs = [run for run in data if (run["size"], run["setting"]) == (size, name)]
            lines.append(
                f"| {size} | {name} | {spread([run['growth_kb'] for run in runs])} | "
                f"{spread([run['growth_fresh_kb'] for run in runs])} |"
            )
            for cls in sorted({cls for run in runs for cls in run["outcomes"]}):
                ends = sorted({end for run in runs for end in run["outcomes"].get(cls, {})})
                middle = {
                    end: statistics.median(r["outcomes"].get(cls, {}).get(end, 0) for r in runs)
                    for end in ends
                }
                told = ", ".join(f"{end} {count:g}" for end, count in middle.items())
                outcomes.append(f"| {size} | {name} | {cls} | {told} |")
    write(
        "bodies-silence",
        f"benchmarks/bodies_silence.py --runs {chosen.runs} --rate {chosen.rate:g}",
        [
            f"{chosen.rate:g} messages a second for {chosen.silence:g} s, "
            "four in five for the silent partner.",
            "",
            *lines,
            *outcomes,
        ],
        {"runs": data},
    )


if __name__ == "__main__":
    main()
