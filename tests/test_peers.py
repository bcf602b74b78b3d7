"""Membership in simulated time under loss, partitions and restarts; datagram authentication and limits."""

import secrets
import socket
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willownotch.peers import seal
from willownotch.peers.core import MAX_MESSAGE_BYTES, Change, Membership, MembershipEvent, Send
from willownotch.peers.lossy import Conditions, Network
from willownotch.peers.node import Node
from willownotch.peers.rumours import Rumours, max_transmissions
from willownotch.peers.seal import KeysError, ReplayWindow, Seal, read_keys
from willownotch.peers.settings import PeersSettings
from willownotch.peers.transport import Budget, UdpTransport
from willownotch.peers.wire import Ping, Rumour, State, Sync, decode, encode

NAMES = [f"m{n}" for n in range(8)]
ALL = set(NAMES)


def joined_network(seed=1, conditions=None, names=NAMES, most=120.0):
    """A network whose members all know each other after joining through one seed member."""
    net = Network(seed, conditions)
    for name in names:
        net.add(name, (names[0],) if name != names[0] else ())
    net.until(lambda: net.all_know(set(names)), most)
    net.news.clear()
    return net


def reported_deaths(net):
    """Pairs of observing and dead member."""
    return [(who, news.name) for _, who, news in net.news if news.change is Change.DIED]


@pytest.mark.parametrize(
    ("loss", "delay", "repeat"),
    [
        (0.0, 0.001, 0.0),
        (0.2, 0.001, 0.0),
        (0.2, 0.3, 0.0),
        (0.0, 0.001, 0.5),
        (0.3, 0.05, 0.1),
    ],
)
def test_members_discover_each_other_and_detect_a_death_and_a_return(loss, delay, repeat):
    net = joined_network(conditions=Conditions(loss, delay, 0.05, repeat))
    net.kill("m3")
    net.until(lambda: net.all_know(ALL - {"m3"}), 120)
    assert {name for _, name in reported_deaths(net)} == {"m3"}  # and no other
    net.add("m3", ("m0",))
    net.until(lambda: net.all_know(ALL), 120)


def test_no_member_is_suspected_on_a_network_without_faults():
    net = joined_network()
    net.run(net.now + 300)
    assert net.news == []


@pytest.mark.parametrize("loss", [0.1, 0.2, 0.3])
def test_loss_alone_makes_no_member_dead(loss):
    net = joined_network(conditions=Conditions(loss=loss))
    net.run(net.now + 120)
    assert reported_deaths(net) == []


def test_members_discover_each_other_with_half_of_the_datagrams_lost():
    net = joined_network(conditions=Conditions(loss=0.5), most=300)
    net.conditions.loss = 0.0
    net.until(lambda: net.all_know(ALL), 120)


def test_a_partition_into_halves_heals_by_itself():
    net, half = joined_network(), set(NAMES[:4])
    net.conditions.cut = lambda a, b: (a in half) != (b in half)
    net.until(
        lambda: all(
            {m.name for m in net.members[n].alive()} | {n} == (half if n in half else ALL - half)
            for n in NAMES
        ),
        300,
    )
    net.run(net.now + 60)
    net.conditions.cut = lambda a, b: False
    net.until(lambda: net.all_know(ALL), 120)


def test_indirect_probes_bypass_a_link_that_is_cut_one_way():
    """m1 receives from m2, but nothing from m1 reaches m2; the other members probe on their behalf."""
    net = joined_network()
    net.conditions.cut = lambda a, b: (a, b) == ("m1", "m2")
    net.run(net.now + 120)
    assert reported_deaths(net) == []


def test_an_isolated_member_lowers_its_own_health_first():
    """It receives nothing and lengthens its timeouts, so its verdicts on others come late."""
    net = joined_network()
    net.conditions.cut = lambda a, b: "m5" in (a, b)
    net.until(
        lambda: net.all_know(ALL - {"m5"})
        or all("m5" not in {m.name for m in net.members[n].alive()} for n in NAMES if n != "m5"),
        120,
    )
    assert net.members["m5"].health > 0
    assert len([1 for who, _ in reported_deaths(net) if who == "m5"]) < 7


def test_a_member_that_leaves_is_recorded_as_left():
    net = joined_network()
    net._carry("m2", net.members["m2"].leave(net.now))
    net.run(net.now + 0.5)
    net.kill("m2")
    net.until(lambda: net.all_know(ALL - {"m2"}), 30)
    net.run(net.now + 60)
    assert {news.change for _, _, news in net.news} == {Change.LEFT}
    assert net.members["m1"].members["m2"].state is State.LEFT
    net.add("m2", ("m0",))
    net.until(lambda: net.all_know(ALL), 60)


def test_a_quick_restart_replaces_the_process_under_the_same_name():
    """It restarts before its end was detected, without stored state and with incarnation 0."""
    net = joined_network(conditions=Conditions(loss=0.1))
    for _ in range(3):
        back = net.add("m3", ("m0",))
        net.until(
            lambda back=back: all(net.members[n].members["m3"].uid == back.uid for n in NAMES if n != "m3"),
            60,
        )
        net.until(lambda: net.all_know(ALL), 60)


def test_of_two_processes_with_one_name_all_members_choose_the_same_and_report_a_conflict():
    net = joined_network()
    first = net.members["m4"]
    second = net.add("other", ("m0",), claims="m4", uid=first.uid - 1)
    net.until(lambda: all(net.members[n].members["m4"].uid == second.uid for n in NAMES if n != "m4"), 60)
    assert net.count(Change.CONFLICT) > 0


def test_a_partition_heals_although_the_only_seed_is_dead():
    net = joined_network(names=NAMES[:3])
    net.kill("m0")
    net.conditions.cut = lambda a, b: {a, b} == {"m1", "m2"}
    net.until(lambda: all(not net.members[n].alive() for n in ("m1", "m2")), 600)
    net.conditions.cut = lambda a, b: False
    net.until(lambda: net.all_know({"m1", "m2"}), 60)


@pytest.mark.parametrize("offset", [-5.0, 5.0, 1e6])
def test_clocks_may_differ(offset):
    net = Network(2)
    for n, name in enumerate(NAMES):
        net.add(name, ("m0",) if n else (), offset=offset if n % 2 else 0.0)
    net.until(lambda: net.all_know(ALL), 60)
    net.kill("m3")
    net.until(lambda: net.all_know(ALL - {"m3"}), 60)


def test_the_same_seed_gives_the_same_run():
    runs = []
    for _ in range(2):
        net = joined_network(seed=7, conditions=Conditions(loss=0.3))
        net.run(net.now + 30)
        runs.append([(at, who, news) for at, who, news in net.news])
    assert runs[0] == runs[1] != []


def test_every_state_has_a_reason():
    net = joined_network()
    net.kill("m3")
    net.until(lambda: net.all_know(ALL - {"m3"}), 60)
    reasons = {net.members[n].members["m3"].why for n in NAMES if n != "m3"}
    assert any("not refuted" in reason for reason in reasons)
    assert all(reason for reason in reasons)


# Rumours


def rumour(name, incarnation=0, state=State.ALIVE):
    return Rumour(name, state, incarnation, 1, "10.0.0.1", 1, "x")


def test_a_rumour_is_sent_a_fixed_number_of_times_and_replaced_by_a_newer_one():
    rumours = Rumours()
    rumours.add(rumour("a"))
    rumours.add(rumour("b"))
    rumours.add(rumour("a", 1))
    sent = [r for _ in range(10) for r in rumours.take(1000, 3)]
    assert sorted((r.name, r.incarnation) for r in sent) == [("a", 1)] * 3 + [("b", 0)] * 3
    assert len(rumours) == 0


@pytest.mark.parametrize(("members", "times"), [(1, 4), (9, 4), (10, 8), (99, 8), (1000, 16)])
def test_the_number_of_transmissions_grows_with_the_logarithm_of_the_members(members, times):
    assert max_transmissions(members, 4) == times


@given(st.lists(st.tuples(st.text(max_size=60), st.integers(0, 2**40)), max_size=200))
def test_piggybacked_rumours_stay_within_the_room(drawn):
    rumours = Rumours()
    for name, incarnation in drawn:
        rumours.add(rumour(name, incarnation))
    assert sum(len(encode(r)) for r in rumours.take(500, 3)) <= 500


def test_no_message_exceeds_a_datagram():
    """The full state of 300 members is sent in several messages."""
    member = Membership("me", ("10.0.0.1", 1), 1, PeersSettings(), Random(1))
    member.start(0.0)
    whole = tuple(rumour(f"member-{n:04}") for n in range(300))
    sent = []
    for at in range(0, 300, 20):
        sent += member.receive(1.0, ("10.0.0.1", 2), Sync("x", at == 280, whole[at : at + 20]))
    pieces = [a.message for a in sent if isinstance(a, Send)]
    assert all(len(encode(p)) <= MAX_MESSAGE_BYTES for p in pieces)
    assert {r.name for p in pieces for r in p.rumours} >= {r.name for r in whole}


def test_a_move_is_reported_with_the_address_before():
    # The event named the new address.
    member = Membership("me", ("10.0.0.1", 1), 1, PeersSettings(), Random(1))
    member.start(0.0)
    reported = []
    for at, port in enumerate((7, 8)):
        known = Rumour("a", State.ALIVE, at, 5, "10.0.0.1", port, "a")
        reported += member.receive(float(at), ("10.0.0.1", port), Sync("a", False, (known,)))
    moves = [e.why for e in reported if isinstance(e, MembershipEvent) and e.change is Change.MOVED]
    assert moves == [f"from {('10.0.0.1', 7)}"]


@settings(max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["me", "a", "b"]),
            st.sampled_from(list(State)),
            st.integers(0, 4),
            st.integers(1, 3),
        ),
        max_size=30,
    )
)
def test_rumours_neither_kill_their_receiver_nor_lower_an_incarnation(drawn):
    """Whatever rumours come, a member's own incarnation and those that it knows of one process never fall."""
    member = Membership("me", ("10.0.0.1", 1), 1, PeersSettings(), Random(1))
    member.start(0.0)
    for at, (name, state, incarnation, uid) in enumerate(drawn):
        before, own = dict((n, (m.uid, m.incarnation)) for n, m in member.members.items()), member.incarnation
        actions = member.receive(
            float(at) / 100,
            ("10.0.0.1", 2),
            Sync("a", False, (Rumour(name, state, incarnation, uid, "10.0.0.1", uid, "b"),)),
        )
        assert member.incarnation >= own
        if name == "me" and uid == 1 and state is not State.ALIVE:
            assert member.incarnation > incarnation
        for other, (old_uid, old) in before.items():
            known = member.members[other]
            assert known.uid != old_uid or known.incarnation >= old
        assert all(isinstance(action, MembershipEvent | Send) for action in actions)


# Datagrams

KEYS = [(1, secrets.token_bytes(32)), (2, secrets.token_bytes(32))]
PING = Ping(1, "b", "a")


def test_a_datagram_is_accepted_once():
    ours, theirs = Seal(1, KEYS), Seal(2, KEYS)
    data = ours.close(PING)
    assert theirs.open(data) == PING
    assert theirs.open(data) is None
    assert dict(theirs.refused) == {"repeat": 1}


def test_keys_are_rotated_without_interruption():
    """At each step of a rotation, members with the keys before and after it accept each other's datagrams."""
    old, new = KEYS
    for ours, theirs in [
        ([old], [old]),
        ([old, new], [old]),
        ([old, new], [old, new]),
        ([new, old], [old, new]),
        ([new, old], [new, old]),
        ([new], [new, old]),
        ([new], [new]),
    ]:
        a, b = Seal(1, ours), Seal(2, theirs)
        assert b.open(a.close(PING)) == PING and a.open(b.close(PING)) == PING


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (lambda d: b"", "too short"),
        (lambda d: d[:30], "too short"),
        (lambda d: d + b"x" * 1400, "too long"),
        (lambda d: b"\x02" + d[1:], "other version"),
        (lambda d: d[:1] + b"\x09" + d[2:], "unknown key"),
        (lambda d: d[:1] + b"\x02" + d[2:], "not authentic"),
        (lambda d: d[:-1] + bytes([d[-1] ^ 1]), "not authentic"),
        (lambda d: d[:20] + bytes([d[20] ^ 1]) + d[21:], "not authentic"),
    ],
)
def test_datagrams_that_fail_a_check_are_rejected_and_counted(change, why):
    theirs = Seal(2, KEYS)
    assert theirs.open(change(Seal(1, KEYS).close(PING))) is None
    assert dict(theirs.refused) == {why: 1}


def test_an_authentic_datagram_that_cannot_be_decoded_is_rejected():
    ours, theirs = Seal(1, KEYS), Seal(2, KEYS)
    data = ours.close(PING)[: -seal.TAG_BYTES] + b"\xc1"
    data += seal._tag()(data, KEYS[0][1])
    assert (theirs.open(data), dict(theirs.refused)) == (None, {"unreadable": 1})
    assert Seal(1, KEYS).open(ours.close(PING)) is None  # its own datagram


@given(st.binary(max_size=1500))
def test_arbitrary_bytes_are_rejected(data):
    assert Seal(2, KEYS).open(data) is None


@given(st.lists(st.integers(0, 3000), max_size=200))
def test_no_counter_is_accepted_twice(counters):
    window, accepted = ReplayWindow(), []
    for counter in counters:
        if window.accept(counter):
            accepted.append(counter)
    assert len(accepted) == len(set(accepted))
    if counters and max(counters) < seal.REPLAY_WINDOW:
        assert set(accepted) == set(counters)  # accepted in any order


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("", "1:1: 0 keys, allowed: one or two"),
        ("1 abc", "1:1: not a key"),
        ("x " + "0" * 64, "1:1: not a key"),
        ("300 " + "0" * 64, "1:1: not a key"),
        ("1 " + "0" * 62, "1:1: not a key"),
        ("\n1", "2:1: not a key"),
        ("1 " + "0" * 64 + "\n1 " + "1" * 64, "2:1: key 1 appears twice"),
        ("\n".join(f"{n} " + "0" * 64 for n in range(3)), "1:1: 3 keys"),
    ],
)
def test_invalid_keys_files_are_rejected(text, wrong):
    with pytest.raises(KeysError, match=wrong):
        read_keys(text)


def test_a_valid_keys_file_is_read():
    assert read_keys(f"# new\n7 {'ab' * 32}  # since May\n\n1 {'00' * 32}\n") == [
        (7, b"\xab" * 32),
        (1, bytes(32)),
    ]


def test_messages_survive_encoding_and_decoding():
    for message in [PING, Sync("a", True, (rumour("b", 3, State.LEFT),))]:
        assert decode(encode(message)) == message


# The budget of bytes


def test_the_budget_bounds_the_bytes_per_second():
    budget, sent = Budget(1000, 0.0), 0
    for n in range(1000):
        sent += 100 * budget.spend(n * 0.01, 100)
    assert 10_000 <= sent <= 11_000  # ten seconds, and the initially full bucket


def test_layers_leave_a_reserve_for_the_membership():
    budget = Budget(1000, 0.0)
    assert sum(budget.spend(0.0, 100, 0.25) for _ in range(20)) == 7
    assert sum(budget.spend(0.0, 100) for _ in range(20)) == 3


def test_datagrams_over_the_budget_are_dropped_and_counted():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        member = Membership("m0", sock.getsockname(), 1, PeersSettings(), Random(1))
        transport = UdpTransport(sock, Node(member), Seal(1, [(1, bytes(32))]), 100, lambda text: None)
        transport._carry_out([Send(sock.getsockname(), Ping(1, "m1", "m0"))] * 10)
        assert transport.traffic["sent"] + transport.traffic["over budget"] == 10
        assert transport.traffic["sent bytes"] <= 100
        assert transport.traffic["sent"] > 0
