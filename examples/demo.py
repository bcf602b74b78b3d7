"""The whole way of a message on one machine: `make demo`.

Starts the example platform and a sender, hands a few messages in, shows each delivered, and ends both.
Exits with 0 only if every message arrived.
"""

import http.client
import json
import queue
import re
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

ROOT = Path(__file__).parent.parent
PATIENCE = 20.0  # s; for each step
MESSAGES = [
    ("slot-status", None, "gate 4 is open"),
    ("slot-order", None, "crane 2, 06:30, one box"),
    ("fee-payment", "booking-1", "charge 120"),
    ("fee-payment", "booking-1", "refund 20"),
]


def start(*command, pipe):
    """A process and the lines it says, as a queue."""
    process = subprocess.Popen([sys.executable, *command], cwd=ROOT, text=True, **{pipe: subprocess.PIPE})
    lines = queue.SimpleQueue()
    stream = getattr(process, pipe)
    threading.Thread(target=lambda: [lines.put(line.rstrip()) for line in stream], daemon=True).start()
    return process, lines


def line(lines, pattern, patience=PATIENCE):
    """The next line that a pattern is found in; all lines on the way are shown."""
    while True:
        text = lines.get(timeout=patience)
        print("   ", text)
        if found := re.search(pattern, text):
            return found


def main():
    """Play it, and end what was started."""
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            print("the example platform: discovery and two hosts of partner system 7")
            toy, toy_lines = start("-u", "examples/toy.py", "--port", "0", pipe="stdout")
            processes.append(toy)
            discovery = line(toy_lines, r"discovery on (\S+)")[1]
            config = json.loads((ROOT / "examples" / "config.json").read_text(encoding="utf-8"))
            config.update(listen="127.0.0.1:0", discovery=discovery, state=str(Path(folder) / "state"))
            file = Path(folder) / "config.json"
            file.write_text(json.dumps(config), encoding="utf-8")
            print("the sender")
            sender, sender_lines = start(
                "-m",
                "willownotch",
                "serve",
                "--config",
                str(file),
                "--settings",
                "examples/willownotch.conf",
                pipe="stderr",
            )
            processes.append(sender)
            port = int(line(sender_lines, r"listening on [\d.]+:(\d+)")[1])
            while ask(port, "GET", "/health/ready") != 200:
                pass
            print("four messages are handed in")
            for number, (name, key, text) in enumerate(MESSAGES):
                headers = {
                    "Request-Id": f"demo-{number}",
                    "Request-Class": name,
                    "Tenant": "dune-carriers",
                    "Request-Timeout-Ms": "8000",
                    "X-Consignee": "dest=7",
                    "Idempotency-Key": f"demo-key-{number}",
                }
                target = f"/api?thread={key}" if key else "/api"
                print(f"    demo-{number} {name}: {ask(port, 'POST', target, text, headers)}")
            print("and delivered")
            missing = {f"demo-{number}" for number in range(len(MESSAGES))}
            while missing:
                missing.discard(line(toy_lines, r"(demo-\d) 200")[1])
            print("every message has arrived: done")
        finally:
            for process in processes:
                process.kill()
                process.wait()


def ask(port, method, target, body=None, headers=None):
    """One request's status."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=PATIENCE)
    try:
        connection.request(method, target, body, headers or {})
        return connection.getresponse().status
    finally:
        connection.close()


if __name__ == "__main__":
    main()
