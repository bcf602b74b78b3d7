"""Membership in simulated time under loss, partitions and returns; datagrams, and what is refused."""

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
from willownotch.peers.seal import KeysError, Seal, Seen, read_keys
from willownotch.peers.settings import PeersSettings
from willownotch.peers.transport import Budget, UdpTransport
from willownotch.peers.wire import Ping, Rumour, State, Sync, decode, encode

NAMES = [f"m{n}" for n in range(8)]
ALL = set(NAMES)


def joined(seed=1, conditions=None, names=NAMES, most=120.0):
    """A network whose members all know each other, from one seed member."""
    net = Network(seed, conditions)
    for name in names:
        net.add(name, (names[0],) if name != names[0] else ())
    net.until(lambda: net.all_know(set(names)), most)
    net.news.clear()
    return net


def deaths(net):
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
def test_members_find_each_other_and_learn_of_a_death_and_a_return(loss, delay, repeat):
    net = joined(conditions=Conditions(loss, delay, 0.05, repeat))
    net.kill("m3")
    net.until(lambda: net.all_know(ALL - {"m3"}), 120)
    assert {name for _, name in deaths(net)} == {"m3"}  # and of nobody else
    net.add("m3", ("m0",))
    net.until(lambda: net.all_know(ALL), 120)


def test_nobody_is_blamed_on_a_sound_network():
    net = joined()
    net.run(net.now + 300)
    assert net.news == []


@pytest.mark.parametrize("loss", [0.1, 0.2, 0.3])
def test_nobody_dies_of_loss_alone(loss):
    net = joined(conditions=Conditions(loss=loss))
    net.run(net.now + 120)
    assert deaths(net) == []


def test_half_of_all_lost_and_they_still_find_each_other():
    net = joined(conditions=Conditions(loss=0.5), most=300)
    net.conditions.loss = 0.0
    net.until(lambda: net.all_know(ALL), 120)


def test_a_partition_into_halves_heals_by_itself():
    net, half = joined(), set(NAMES[:4])
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


def test_a_one_way_link_is_gone_round():
    """m1 hears m2 and cannot be heard by it: the others ask for it."""
    net = joined()
    net.conditions.cut = lambda a, b: (a, b) == ("m1", "m2")
    net.run(net.now + 120)
    assert deaths(net) == []


def test_who_is_cut_off_blames_itself_before_others():
    """It hears nothing and takes its spans longer, so it declares the others dead later than they do it."""
    net = joined()
    net.conditions.cut = lambda a, b: "m5" in (a, b)
    net.until(
        lambda: net.all_know(ALL - {"m5"})
        or all("m5" not in {m.name for m in net.members[n].alive()} for n in NAMES if n != "m5"),
        120,
    )
    assert net.members["m5"].health > 0
    assert len([1 for who, _ in deaths(net) if who == "m5"]) < 7


def test_who_leaves_is_known_to_have_left():
    net = joined()
    net._carry("m2", net.members["m2"].leave(net.now))
    net.run(net.now + 0.5)
    net.kill("m2")
    net.until(lambda: net.all_know(ALL - {"m2"}), 30)
    net.run(net.now + 60)
    assert {news.change for _, _, news in net.news} == {Change.LEFT}
    assert net.members["m1"].members["m2"].state is State.LEFT
    net.add("m2", ("m0",))
    net.until(lambda: net.all_know(ALL), 60)


def test_a_quick_restart_is_the_same_name_with_a_new_process():
    """Back before anybody missed it, with nothing in hand and an incarnation of 0."""
    net = joined(conditions=Conditions(loss=0.1))
    for _ in range(3):
        back = net.add("m3", ("m0",))
        net.until(
            lambda back=back: all(net.members[n].members["m3"].uid == back.uid for n in NAMES if n != "m3"),
            60,
        )
        net.until(lambda: net.all_know(ALL), 60)


def test_two_that_claim_one_name_are_told_and_one_has_it_everywhere():
    net = joined()
    first = net.members["m4"]
    second = net.add("other", ("m0",), claims="m4", uid=first.uid - 1)
    net.until(lambda: all(net.members[n].members["m4"].uid == second.uid for n in NAMES if n != "m4"), 60)
    assert net.count(Change.CONFLICT) > 0


def test_two_halves_find_each_other_though_their_only_seed_is_gone_for_good():
    net = joined(names=NAMES[:3])
    net.kill("m0")
    net.conditions.cut = lambda a, b: {a, b} == {"m1", "m2"}
    net.until(lambda: all(not net.members[n].alive() for n in ("m1", "m2")), 600)
    net.conditions.cut = lambda a, b: False
    net.until(lambda: net.all_know({"m1", "m2"}), 60)


@pytest.mark.parametrize("offset", [-5.0, 5.0, 1e6])
def test_clocks_need_not_agree(offset):
    net = Network(2)
    for n, name in enumerate(NAMES):
        net.add(name, ("m0",) if n else (), offset=offset if n % 2 else 0.0)
    net.until(lambda: net.all_know(ALL), 60)
    net.kill("m3")
    net.until(lambda: net.all_know(ALL - {"m3"}), 60)


def test_the_same_seed_tells_the_same_story():
    stories = []
    for _ in range(2):
        net = joined(seed=7, conditions=Conditions(loss=0.3))
        net.run(net.now + 30)
        stories.append([(at, who, news) for at, who, news in net.news])
    assert stories[0] == stories[1] != []


def test_every_state_tells_why():
    net = joined()
    net.kill("m3")
    net.until(lambda: net.all_know(ALL - {"m3"}), 60)
    whys = {net.members[n].members["m3"].why for n in NAMES if n != "m3"}
    assert any("not refuted" in why for why in whys)
    assert all(why for why in whys)


# Rumours


def rumour(name, incarnation=0, state=State.ALIVE):
    return Rumour(name, state, incarnation, 1, "10.0.0.1", 1, "x")


def test_each_rumour_rides_so_often_and_a_newer_one_takes_its_place():
    rumours = Rumours()
    rumours.add(rumour("a"))
    rumours.add(rumour("b"))
    rumours.add(rumour("a", 1))
    ridden = [r for _ in range(10) for r in rumours.take(1000, 3)]
    assert sorted((r.name, r.incarnation) for r in ridden) == [("a", 1)] * 3 + [("b", 0)] * 3
    assert len(rumours) == 0


@pytest.mark.parametrize(("members", "often"), [(1, 4), (9, 4), (10, 8), (99, 8), (1000, 16)])
def test_how_often_grows_with_the_logarithm(members, often):
    assert max_transmissions(members, 4) == often


@given(st.lists(st.tuples(st.text(max_size=60), st.integers(0, 2**40)), max_size=200))
def test_what_rides_fits(named):
    rumours = Rumours()
    for name, incarnation in named:
        rumours.add(rumour(name, incarnation))
    assert sum(len(encode(r)) for r in rumours.take(500, 3)) <= 500


def test_no_message_outgrows_a_datagram():
    """A whole state of 300 members goes over in pieces."""
    member = Membership("me", ("10.0.0.1", 1), 1, PeersSettings(), Random(1))
    member.start(0.0)
    whole = tuple(rumour(f"member-{n:04}") for n in range(300))
    sent = []
    for at in range(0, 300, 20):
        sent += member.receive(1.0, ("10.0.0.1", 2), Sync("x", at == 280, whole[at : at + 20]))
    pieces = [a.message for a in sent if isinstance(a, Send)]
    assert all(len(encode(p)) <= MAX_MESSAGE_BYTES for p in pieces)
    assert {r.name for p in pieces for r in p.rumours} >= {r.name for r in whole}


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
def test_no_rumour_can_make_a_member_think_itself_gone_or_step_back(said):
    """Whatever is told, a member's incarnation and those that it holds of one process never fall."""
    member = Membership("me", ("10.0.0.1", 1), 1, PeersSettings(), Random(1))
    member.start(0.0)
    for at, (name, state, incarnation, uid) in enumerate(said):
        before, own = dict((n, (m.uid, m.incarnation)) for n, m in member.members.items()), member.incarnation
        news = member.receive(
            float(at) / 100,
            ("10.0.0.1", 2),
            Sync("a", False, (Rumour(name, state, incarnation, uid, "10.0.0.1", uid, "b"),)),
        )
        assert member.incarnation >= own
        if name == "me" and uid == 1 and state is not State.ALIVE:
            assert member.incarnation > incarnation
        for other, (old_uid, old) in before.items():
            held = member.members[other]
            assert held.uid != old_uid or held.incarnation >= old
        assert all(isinstance(n, MembershipEvent | Send) for n in news)


# Datagrams

KEYS = [(1, secrets.token_bytes(32)), (2, secrets.token_bytes(32))]
PING = Ping(1, "b", "a")


def test_what_is_sealed_opens_once():
    ours, theirs = Seal(1, KEYS), Seal(2, KEYS)
    data = ours.close(PING)
    assert theirs.open(data) == PING
    assert theirs.open(data) is None
    assert dict(theirs.refused) == {"repeat": 1}


def test_keys_are_rolled_with_no_gap():
    """Each step on one member at a time: whatever the other has, both hear each other."""
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
def test_what_is_not_authentic_is_refused_and_counted(change, why):
    theirs = Seal(2, KEYS)
    assert theirs.open(change(Seal(1, KEYS).close(PING))) is None
    assert dict(theirs.refused) == {why: 1}


def test_an_authentic_datagram_that_cannot_be_read_is_refused():
    ours, theirs = Seal(1, KEYS), Seal(2, KEYS)
    data = ours.close(PING)[: -seal.TAG] + b"\xc1"
    data += seal._tag()(data, KEYS[0][1])
    assert (theirs.open(data), dict(theirs.refused)) == (None, {"unreadable": 1})
    assert Seal(1, KEYS).open(ours.close(PING)) is None  # a member's own, come back to it


@given(st.binary(max_size=1500))
def test_no_bytes_do_harm(data):
    assert Seal(2, KEYS).open(data) is None


@given(st.lists(st.integers(0, 3000), max_size=200))
def test_no_counter_is_taken_twice(counters):
    seen, taken = Seen(), []
    for counter in counters:
        if seen.fresh(counter):
            taken.append(counter)
    assert len(taken) == len(set(taken))
    if counters and max(counters) < seal.WINDOW:
        assert set(taken) == set(counters)  # out of order, and none is lost


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("", "1:1: 0 keys, allowed: one or two"),
        ("1 abc", "1:1: no key"),
        ("x " + "0" * 64, "1:1: no key"),
        ("300 " + "0" * 64, "1:1: no key"),
        ("1 " + "0" * 62, "1:1: no key"),
        ("\n1", "2:1: no key"),
        ("1 " + "0" * 64 + "\n1 " + "1" * 64, "2:1: key 1 stands twice"),
        ("\n".join(f"{n} " + "0" * 64 for n in range(3)), "1:1: 3 keys"),
    ],
)
def test_keys_that_cannot_be_used(text, wrong):
    with pytest.raises(KeysError, match=wrong):
        read_keys(text)


def test_a_file_of_keys():
    assert read_keys(f"# new\n7 {'ab' * 32}  # since May\n\n1 {'00' * 32}\n") == [
        (7, b"\xab" * 32),
        (1, bytes(32)),
    ]


def test_messages_pass_the_wire_unchanged():
    for message in [PING, Sync("a", True, (rumour("b", 3, State.LEFT),))]:
        assert decode(encode(message)) == message


# The bound on bytes


def test_no_more_bytes_a_second_are_sent_than_allowed():
    budget, sent = Budget(1000, 0.0), 0
    for n in range(1000):
        sent += 100 * budget.spend(n * 0.01, 100)
    assert 10_000 <= sent <= 11_000  # ten seconds, and the bucket that was full at first


def test_what_travels_on_top_leaves_a_reserve_for_the_membership():
    budget = Budget(1000, 0.0)
    assert sum(budget.spend(0.0, 100, 0.25) for _ in range(20)) == 7
    assert sum(budget.spend(0.0, 100) for _ in range(20)) == 3


def test_what_is_over_the_budget_is_dropped_and_counted():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        member = Membership("m0", sock.getsockname(), 1, PeersSettings(), Random(1))
        transport = UdpTransport(sock, Node(member), Seal(1, [(1, bytes(32))]), 100, lambda text: None)
        transport._carry([Send(sock.getsockname(), Ping(1, "m1", "m0"))] * 10)
        assert transport.traffic["sent"] + transport.traffic["over budget"] == 10
        assert transport.traffic["sent bytes"] <= 100
        assert transport.traffic["sent"] > 0
