"""A toy platform: discovery with notices, and two south side hosts of one partner system (group 7).

python examples/toy.py                       # discovery on 127.0.0.1:8500, hosts on ports of their own
python examples/toy.py --failing 0.3         # three calls in ten are answered 503
"""

import argparse
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Quiet(BaseHTTPRequestHandler):
    """HTTP/1.1, without a line for each request."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Say nothing."""

    def body(self):
        """The request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", **headers):
        """Send a whole answer."""
        self.send_response(status)
        for name, value in {**headers, "Content-Length": str(len(body))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


class Host(Quiet):
    """A south side host: it takes a moment, then delivers, or refuses now and then."""

    failing = 0.0

    def do_POST(self):  # noqa: N802
        """One call."""
        body = self.body()
        time.sleep(random.uniform(0.05, 0.2))
        status = 503 if random.random() < self.failing else 200
        ref = self.headers["Request-Id"]
        print(f"host {self.server.server_port}: {ref} {status} {body[:60]!r}", flush=True)
        self.answer(status)


class Discovery(Quiet):
    """The list, whole or watched, and notices of ended messages."""

    endpoints: list = []

    def do_GET(self):  # noqa: N802
        """The list. A watch gets it once and then an empty line every two seconds."""
        news = json.dumps({"index": 1, "snapshot": True, "endpoints": self.endpoints}).encode() + b"\n"
        if "watch=1" not in self.path:
            return self.answer(200, news)
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            while True:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(news), news))
                time.sleep(2.0)
                news = b"\n"
        except OSError:
            self.close_connection = True

    def do_POST(self):  # noqa: N802
        """Notices."""
        for line in self.body().splitlines():
            print(f"notice: {line.decode()}", flush=True)
        self.answer(204)


def main():
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, default=8500, help="of discovery; 0 takes a free one")
    parser.add_argument("--failing", type=float, default=0.0, help="share of calls that are refused")
    chosen = parser.parse_args()
    Host.failing = chosen.failing
    hosts = [ThreadingHTTPServer(("127.0.0.1", 0), Host) for _ in range(2)]
    Discovery.endpoints = [
        {
            "name": f"s-{n}",
            "address": f"127.0.0.1:{host.server_port}",
            "zone": "walvis-main",
            "type": "haulier",
            "group": 7,
            "status": "Ready",
            "weight": 10.0,
            "since_ms": 0,
        }
        for n, host in enumerate(hosts)
    ]
    discovery = ThreadingHTTPServer(("127.0.0.1", chosen.port), Discovery)
    for host in hosts:
        threading.Thread(target=host.serve_forever, daemon=True).start()
    print(f"discovery on 127.0.0.1:{discovery.server_port}", flush=True)
    try:
        discovery.serve_forever()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
