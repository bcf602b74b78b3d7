"""Keep-alive clients under load during several upgrades in a row, as in the incident of 2026-12-02.

Real processes over loopback. A request that was written completely must be answered, whichever process reads
it.
"""

import signal
import socket
import threading
import time

from harness import PATIENCE, Discovery, Host, Sender, until

from willownotch.net import http

CLIENTS = 24
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL
UPGRADES = 4


class KeepAliveClient:
    """Sends one request after the other on a connection, and reconnects only when it was closed."""

    def __init__(self, sender, port, number, in_pieces):
        self.sender, self.port, self.number, self.in_pieces = sender, port, number, in_pieces
        self.answered, self.unanswered = 0, []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join(PATIENCE)

    def _run(self):
        sock, count = None, 0
        while not self._stop.is_set():
            if sock is None:
                sock = socket.create_connection(("127.0.0.1", self.port), PATIENCE)
            count += 1
            ref = f"{self.number:04x}{count:012x}"
            data = self.sender.request("POST", "/api", self.sender.headers("status", ref=ref), b"hello")
            sock, outcome = self._exchange(sock, data)
            if outcome is None:
                self.answered += 1
            else:
                self.unanswered.append((ref, outcome))

    def _exchange(self, sock, data):
        """Return the connection if it stays open, and the error if the request was not answered."""
        parser = http.Parser(answer=True)
        try:
            cut = len(data) // 2 if self.in_pieces else 0
            for piece in filter(None, (data[:cut], data[cut:])):
                sock.sendall(piece)
                if self.in_pieces:
                    self._stop.wait(0.002)
            while (found := parser.next()) is None:
                if parser.eof:
                    raise ConnectionResetError("the connection ended")
                parser.feed(sock.recv(65536))
        except OSError as fault:
            sock.close()
            return None, repr(fault)
        if found[0].keeps_alive():
            return sock, None
        sock.close()
        return None, None


def run_upgrades(in_pieces):
    """Return the unanswered requests, the number of answered ones, and the log lines of the old processes."""
    discovery = Discovery([host := Host()])
    sender = Sender(discovery)
    sender.ready()
    port, log_lines, old_processes = sender.port, [], []
    clients = [KeepAliveClient(sender, port, number, in_pieces) for number in range(CLIENTS)]
    try:
        for _ in range(UPGRADES):
            before = sum(client.answered for client in clients)
            until(lambda before=before: sum(client.answered for client in clients) > before + 5 * CLIENTS)
            old, lines = sender.upgrade()
            sender.ready()
            log_lines.append(lines)
            old.send_signal(signal.SIGTERM)
            old_processes.append((old, time.monotonic() + KILL_AFTER_S))
        before = sum(client.answered for client in clients)
        until(lambda: sum(client.answered for client in clients) > before + 5 * CLIENTS)
        for old, deadline in old_processes:
            until(lambda old=old, deadline=deadline: old.poll() is not None or time.monotonic() > deadline)
    finally:
        for client in clients:
            client.stop()
        for old, _ in old_processes:
            old.kill()
            old.wait(PATIENCE)
            old.stderr.close()
        for thing in (sender, discovery, host):
            thing.close()
    lost = [fault for client in clients for fault in client.unanswered]
    return lost, sum(client.answered for client in clients), [line for lines in log_lines for line in lines]


def test_keep_alive_connections_get_all_answers_across_repeated_upgrades():
    lost, answered, log_lines = run_upgrades(in_pieces=False)
    assert not lost, f"{len(lost)} of {answered + len(lost)} without an answer, {lost[:3]}, {log_lines[-12:]}"


def test_requests_in_two_pieces_get_all_answers_across_repeated_upgrades():
    lost, answered, log_lines = run_upgrades(in_pieces=True)
    assert not lost, f"{len(lost)} of {answered + len(lost)} without an answer, {lost[:3]}, {log_lines[-12:]}"
