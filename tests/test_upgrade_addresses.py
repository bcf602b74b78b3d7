"""Upgrades of senders that have an address of their own beside the clients': the next process needs it."""

import socket

import harness
import pytest
from harness import Discovery, Host, Sender, until
from meshed import KEYS

LEFT_MS = 20_000


def free_udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def peers_settings(folder, port, _):
    return (
        f"peers {{\n listen 127.0.0.1:{port}\n keys {folder / 'keys'}\n}}\n"
        "usage {\n count yes\n}\nshared {\n budgets yes\n judgements yes\n instances 2\n}\n"
    )


def follow_settings(folder, port, member_port):
    """A follower of a member that is never started."""
    return (
        f"follow {{\n folder {folder / 'follow'}\n keys {folder / 'keys'}\n listen 127.0.0.1:{port}\n"
        f" member m {{\n  address 127.0.0.1:{member_port}\n }}\n}}\n"
    )


@pytest.fixture
def host():
    host = Host()
    yield host
    host.held.set()
    host.close()


@pytest.fixture(params=[peers_settings, follow_settings], ids=["peers", "follow"])
def sender(request, host, tmp_path):
    (tmp_path / "keys").write_text(KEYS, encoding="utf-8")
    discovery = Discovery([host])
    text = request.param(tmp_path, free_udp_port(), free_udp_port())
    sender = Sender(discovery, settings=text).ready()
    yield sender
    sender.close()
    discovery.close()


def test_an_upgrade_needs_no_end_of_the_calls_to_start_with_the_same_addresses(host, sender):
    """The old process kept its datagram address until its calls had ended: the new one gave up and ended."""
    host.held.clear()
    hung, answer = sender.hand_in("fee", left=LEFT_MS)
    assert answer.status == 202
    until(lambda: host.refs() == [hung])
    old, _ = sender.upgrade()
    try:
        sender.ready()
        assert old.poll() is None  # it still has the call
        assert sender.hand_in("status", left=LEFT_MS)[1].status == 202
        host.held.set()
        until(lambda: old.poll() is not None)
        assert old.returncode == 0
        assert sender.process.poll() is None
        assert host.refs().count(hung) == 1
    finally:
        old.kill()
        old.wait(harness.PATIENCE)
        old.stderr.close()
