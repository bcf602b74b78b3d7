"""The incident of 2026-12-02: clients that keep their connections, and one upgrade after another under load.

Real processes over loopback. A request that was written whole must have its answer, whichever process reads
it.
"""

import signal
import socket
import threading
import time

from harness import PATIENCE, Discovery, Host, Sender, until

from willownotch.net import http

CLIENTS = 24
KILL_AFTER = 3.7  # s from SIGTERM to SIGKILL
UPGRADES = 4


class KeptClient:
    """Sends one request after the other on one connection, and opens a new one only when that was ended."""

    def __init__(self, sender, port, number, pieces):
        self.sender, self.port, self.number, self.pieces = sender, port, number, pieces
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
        """The connection if it goes on, and what kept the answer from coming, if anything did."""
        parser = http.Parser(answer=True)
        try:
            cut = len(data) // 2 if self.pieces else 0
            for piece in filter(None, (data[:cut], data[cut:])):
                sock.sendall(piece)
                if self.pieces:
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


def play(pieces):
    """The requests that had no answer, how many had one, and what the processes said."""
    discovery = Discovery([host := Host()])
    sender = Sender(discovery)
    sender.ready()
    port, said, old_ones = sender.port, [], []
    clients = [KeptClient(sender, port, number, pieces) for number in range(CLIENTS)]
    try:
        for _ in range(UPGRADES):
            before = sum(client.answered for client in clients)
            until(lambda before=before: sum(client.answered for client in clients) > before + 5 * CLIENTS)
            old, lines = sender.upgrade()
            sender.ready()
            said.append(lines)
            old.send_signal(signal.SIGTERM)
            old_ones.append((old, time.monotonic() + KILL_AFTER))
        before = sum(client.answered for client in clients)
        until(lambda: sum(client.answered for client in clients) > before + 5 * CLIENTS)
        for old, ends in old_ones:
            until(lambda old=old, ends=ends: old.poll() is not None or time.monotonic() > ends)
    finally:
        for client in clients:
            client.stop()
        for old, _ in old_ones:
            old.kill()
            old.wait(PATIENCE)
            old.stderr.close()
        for thing in (sender, discovery, host):
            thing.close()
    lost = [fault for client in clients for fault in client.unanswered]
    return lost, sum(client.answered for client in clients), [line for lines in said for line in lines]


def test_kept_connections_have_all_their_answers_across_repeated_upgrades():
    lost, answered, said = play(pieces=False)
    assert not lost, f"{len(lost)} of {answered + len(lost)} without an answer, {lost[:3]}, {said[-12:]}"


def test_requests_in_two_pieces_have_all_their_answers_across_repeated_upgrades():
    lost, answered, said = play(pieces=True)
    assert not lost, f"{len(lost)} of {answered + len(lost)} without an answer, {lost[:3]}, {said[-12:]}"
