"""The document's rules, as properties: commits, differences, digests, conflicts, roll-back."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from willownotch.controlplane.document import (
    BUCKETS,
    CHANGE_MOST,
    DIGEST_BYTES,
    GROUPS,
    KEY_MOST,
    MODULUS,
    VALUE_MOST,
    Change,
    Commit,
    Delta,
    Document,
    DocumentError,
    bucket_of,
    check_change,
    entry_hash,
)

KEYS = st.sampled_from([f"k{n}" for n in range(8)] + ["κ", "a/b.c", "k" * KEY_MOST])
VALUES = st.sampled_from([b"1", b"2", b'"three"', b""])


@st.composite
def edits(draw):
    """What one change sets and removes: never the same key in both, never nothing."""
    sets = draw(st.dictionaries(KEYS, VALUES, max_size=4))
    removes = draw(st.lists(KEYS.filter(lambda key: key not in sets), unique=True, max_size=3))
    return (sets, tuple(removes)) if sets or removes else ({"k0": b"1"}, ())


HISTORIES = st.lists(edits(), min_size=1, max_size=12)


def committed(document, sets, removes=(), token=1):
    number = document.revision + 1
    change = Change(number.to_bytes(16, "big"), "a", document.revision, sets, removes)
    check_change(change)
    commit = Commit(number, token, change, document.digest_after(change))
    document.commit(commit)
    return commit


def grown(history, most=4096):
    """A document by its commits, and its entries after each, by a plain dict."""
    document, plain, states = Document(most), {}, [{}]
    for sets, removes in history:
        committed(document, sets, removes, token=document.token + 1)
        plain = {key: value for key, value in (plain | sets).items() if key not in removes}
        states.append(plain)
    return document, states


def state_of(document):
    return document.revision, document.token, document.digest, document.count, dict(document.items())


@given(HISTORIES)
def test_commits_deltas_and_the_whole_come_to_the_same(history):
    document, states = grown(history)
    assert dict(document.items()) == states[-1] and document.count == len(states[-1])
    entries = reversed(list(document.items()))
    whole = Document.whole(document.revision, document.token, entries, document.digest)
    follower = Document()
    follower.apply(document.delta(0))
    assert state_of(whole) == state_of(document) == state_of(follower) == state_of(document.copy())


@given(HISTORIES, st.data())
def test_any_path_of_deltas_makes_the_same_digest(history, data):
    stops = sorted(data.draw(st.sets(st.integers(1, len(history)), max_size=4)) | {len(history)})
    source, follower = Document(), Document()
    for number, (sets, removes) in enumerate(history, 1):
        committed(source, sets, removes, token=number)
        if number in stops:
            data = msgspec.msgpack.encode(source.delta(follower.revision))
            follower.apply(msgspec.msgpack.decode(data, type=Delta))
            assert state_of(follower) == state_of(source)


@given(HISTORIES)
def test_a_delta_that_was_applied_is_refused_when_it_is_repeated(history):
    document, _ = grown(history)
    delta, follower = document.delta(0), Document()
    follower.apply(delta)
    before = state_of(follower)
    with pytest.raises(DocumentError):
        follower.apply(delta)
    assert state_of(follower) == before


@pytest.mark.parametrize("wrong", ["digest", "since", "revision", "token", "entry", "key", "twice"])
@given(history=HISTORIES)
def test_a_wrong_delta_changes_nothing(wrong, history):
    document, _ = grown(history)
    half = Document()
    half.apply(grown(history[:-1])[0].delta(0)) if len(history) > 1 else None
    delta = document.delta(half.revision)
    replace = msgspec.structs.replace
    delta = {
        "digest": replace(delta, digest=bytes(DIGEST_BYTES - 1) + bytes([delta.digest[-1] ^ 1])),
        "since": replace(delta, since=delta.since + 1),
        "revision": replace(delta, revision=half.revision),
        "token": replace(delta, token=half.token - 1),
        "entry": replace(delta, sets={**delta.sets, "k0": b"another"}),
        "key": replace(delta, sets={**delta.sets, "not there": b"1"}),
        "twice": replace(delta, removes=("k0", "k0", *delta.removes), digest=b"x" * DIGEST_BYTES),
    }[wrong]
    before = state_of(half)
    with pytest.raises(DocumentError):
        half.apply(delta)
    assert state_of(half) == before
    half.apply(document.delta(half.revision))  # and it can still go on
    assert state_of(half) == state_of(document)


@given(HISTORIES)
def test_a_wrong_commit_changes_nothing(history):
    document, _ = grown(history)
    change = Change(bytes(16), "a", document.revision, {"k0": b"new"})
    right = Commit(document.revision + 1, document.token, change, document.digest_after(change))
    replace = msgspec.structs.replace
    before = state_of(document)
    for wrong in (
        replace(right, revision=right.revision + 1),
        replace(right, revision=document.revision),
        replace(right, token=document.token - 1),
        replace(right, digest=bytes(DIGEST_BYTES)),
    ):
        with pytest.raises(DocumentError):
            document.commit(wrong)
        assert state_of(document) == before and document.found(change.id) is None
    document.commit(right)
    assert document.found(change.id) == right.revision


@given(HISTORIES, st.data())
def test_undo_gives_the_entries_of_an_earlier_revision(history, data):
    document, states = grown(history)
    revision = data.draw(st.integers(0, document.revision))
    sets, removes = document.edits_to_restore(revision)
    if sets or removes:
        committed(document, sets, removes, token=document.token)
    assert dict(document.items()) == states[revision]


@given(HISTORIES, edits(), st.data())
def test_a_conflict_names_the_last_commit_that_touched_a_key(history, edit, data):
    document, _ = grown(history)
    base = data.draw(st.integers(0, document.revision))
    change = Change(bytes(16), "b", base, *edit)
    keys = set(edit[0]) | set(edit[1])
    touched = [
        number
        for number, (sets, removes) in enumerate(history, 1)
        if number > base and keys & (set(sets) | set(removes))
    ]
    found = document.conflict(change)
    assert (found.revision if found else None) == (touched[-1] if touched else None)


@given(HISTORIES)
def test_digests_of_groups_and_buckets_are_those_of_their_entries(history):
    document, states = grown(history)
    sums = [0] * BUCKETS
    for key, value in states[-1].items():
        sums[bucket_of(key)] = (sums[bucket_of(key)] + entry_hash(key, value)) % MODULUS
    assert int.from_bytes(document.digest, "big") == sum(sums) % MODULUS
    for group in range(GROUPS):
        part = sums[group * GROUPS : (group + 1) * GROUPS]
        assert [int.from_bytes(one, "big") for one in document.buckets(group)] == part
        assert int.from_bytes(document.groups()[group], "big") == sum(part) % MODULUS
    assert {key: value for n in range(BUCKETS) if sums[n] for key, value in document.bucket(n).items()} == (
        states[-1]
    )


@given(HISTORIES)
def test_a_digest_tells_any_two_different_states_apart(history):
    document, states = grown(history)
    digests = {}
    for revision, entries in enumerate(states):
        whole = Document()
        sets = dict(entries)
        if sets:
            committed(whole, sets)
        digests.setdefault(whole.digest, []).append(revision)
    for same in digests.values():
        assert all(states[n] == states[same[0]] for n in same)


def test_what_a_short_history_forgets_is_said():
    document, _ = grown([({f"k{n}": b"1"}, ()) for n in range(10)], most=4)
    assert document.oldest() == 6 and document.commits(5) is None and document.delta(5) is None
    assert [commit.revision for commit in document.commits(6)] == [7, 8, 9, 10]
    assert document.delta(10) == Delta(10, 10, document.token, {}, (), document.digest)
    assert document.commits(11) is None
    assert document.found((6).to_bytes(16, "big")) is None and document.found((7).to_bytes(16, "big")) == 7
    with pytest.raises(DocumentError, match="older than is remembered"):
        document.conflict(Change(bytes(16), "a", 5, {"k0": b"1"}))
    with pytest.raises(DocumentError, match="the last is 10"):
        document.conflict(Change(bytes(16), "a", 11, {"k0": b"1"}))
    with pytest.raises(DocumentError, match="not remembered"):
        document.edits_to_restore(5)
    with pytest.raises(DocumentError):
        document.edits_to_restore(11)


def test_a_whole_document_of_another_digest_is_refused():
    document, _ = grown([({"k0": b"1", "k1": b"2"}, ())])
    with pytest.raises(DocumentError, match="another digest"):
        Document.whole(1, 1, [("k0", b"1")], document.digest)


def test_a_copy_stands_apart():
    document, _ = grown([({"k0": b"1"}, ())])
    copy = document.copy()
    committed(document, {"k0": b"2"})
    assert copy.get("k0") == b"1" and copy.revision == 1 and copy.commits(0) is None


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (Change(bytes(15), "a", 0, {"k": b"1"}), "16 bytes"),
        (Change(bytes(16), "a", 0, {}), "empty"),
        (Change(bytes(16), "a", 0, {"k": b"1"}, ("k",)), "both set and removed"),
        (Change(bytes(16), "a", 0, {}, ("k", "k")), "twice"),
        (Change(bytes(16), "a", 0, {"": b"1"}), "empty or too long"),
        (Change(bytes(16), "a", 0, {"κ" * (KEY_MOST // 2 + 1): b"1"}), "empty or too long"),
        (Change(bytes(16), "a", 0, {"k": bytes(VALUE_MOST + 1)}), "up to 65536"),
        (Change(bytes(16), "a", 0, {f"k{n}": bytes(VALUE_MOST) for n in range(8)}), f"up to {CHANGE_MOST}"),
    ],
)
def test_bounds_of_a_change(change, said):
    with pytest.raises(DocumentError, match=said):
        check_change(change)


def test_a_change_at_its_bounds_is_taken():
    check_change(Change(bytes(16), "a", 0, {"k" * KEY_MOST: bytes(VALUE_MOST)}))
