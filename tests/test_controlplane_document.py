"""Properties of the document: commits, deltas, digests, conflicts, roll-back."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from willownotch.controlplane.document import (
    BUCKETS,
    DIGEST_BYTES,
    GROUPS,
    MAX_CHANGE_BYTES,
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    MODULUS,
    Change,
    Commit,
    Delta,
    Document,
    DocumentError,
    bucket_of,
    check_change,
    entry_hash,
)

KEYS = st.sampled_from([f"k{n}" for n in range(8)] + ["κ", "a/b.c", "k" * MAX_KEY_BYTES])
VALUES = st.sampled_from([b"1", b"2", b'"three"', b""])


@st.composite
def edits(draw):
    """The keys that one change sets and removes: at least one, and none in both."""
    sets = draw(st.dictionaries(KEYS, VALUES, max_size=4))
    removes = draw(st.lists(KEYS.filter(lambda key: key not in sets), unique=True, max_size=3))
    return (sets, tuple(removes)) if sets or removes else ({"k0": b"1"}, ())


HISTORIES = st.lists(edits(), min_size=1, max_size=12)


def commit_next(document, sets, removes=(), token=1):
    number = document.revision + 1
    change = Change(number.to_bytes(16, "big"), "a", document.revision, sets, removes)
    check_change(change)
    commit = Commit(number, token, change, document.digest_after(change))
    document.commit(commit)
    return commit


def document_of(history, most=4096):
    """A document with a history of commits, and a dict of its entries after each."""
    document, entries, states = Document(most), {}, [{}]
    for sets, removes in history:
        commit_next(document, sets, removes, token=document.token + 1)
        entries = {key: value for key, value in (entries | sets).items() if key not in removes}
        states.append(entries)
    return document, states


def state_of(document):
    return document.revision, document.token, document.digest, document.count, dict(document.items())


@given(HISTORIES)
def test_commits_a_delta_and_a_snapshot_make_the_same_document(history):
    document, states = document_of(history)
    assert dict(document.items()) == states[-1] and document.count == len(states[-1])
    entries = reversed(list(document.items()))
    whole = Document.from_entries(document.revision, document.token, entries, document.digest)
    follower = Document()
    follower.apply(document.delta(0))
    assert state_of(whole) == state_of(document) == state_of(follower) == state_of(document.copy())


@given(HISTORIES, st.data())
def test_any_series_of_deltas_makes_the_same_document(history, data):
    stops = sorted(data.draw(st.sets(st.integers(1, len(history)), max_size=4)) | {len(history)})
    source, follower = Document(), Document()
    for number, (sets, removes) in enumerate(history, 1):
        commit_next(source, sets, removes, token=number)
        if number in stops:
            data = msgspec.msgpack.encode(source.delta(follower.revision))
            follower.apply(msgspec.msgpack.decode(data, type=Delta))
            assert state_of(follower) == state_of(source)


@given(HISTORIES)
def test_a_delta_is_refused_when_it_is_applied_again(history):
    document, _ = document_of(history)
    delta, follower = document.delta(0), Document()
    follower.apply(delta)
    before = state_of(follower)
    with pytest.raises(DocumentError):
        follower.apply(delta)
    assert state_of(follower) == before


@pytest.mark.parametrize("wrong", ["digest", "since", "revision", "token", "entry", "key", "twice"])
@given(history=HISTORIES)
def test_a_wrong_delta_changes_nothing(wrong, history):
    document, _ = document_of(history)
    half = Document()
    half.apply(document_of(history[:-1])[0].delta(0)) if len(history) > 1 else None
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
    half.apply(document.delta(half.revision))  # the right delta still applies
    assert state_of(half) == state_of(document)


@given(HISTORIES)
def test_a_wrong_commit_changes_nothing(history):
    document, _ = document_of(history)
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
        assert state_of(document) == before and document.committed_revision(change.id) is None
    document.commit(right)
    assert document.committed_revision(change.id) == right.revision


@given(HISTORIES, st.data())
def test_edits_to_restore_give_the_entries_of_an_earlier_revision(history, data):
    document, states = document_of(history)
    revision = data.draw(st.integers(0, document.revision))
    sets, removes = document.edits_to_restore(revision)
    if sets or removes:
        commit_next(document, sets, removes, token=document.token)
    assert dict(document.items()) == states[revision]


@given(HISTORIES, edits(), st.data())
def test_a_conflict_names_the_last_commit_that_touched_a_key(history, edit, data):
    document, _ = document_of(history)
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
    document, states = document_of(history)
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
def test_different_states_have_different_digests(history):
    document, states = document_of(history)
    digests = {}
    for revision, entries in enumerate(states):
        whole = Document()
        sets = dict(entries)
        if sets:
            commit_next(whole, sets)
        digests.setdefault(whole.digest, []).append(revision)
    for same in digests.values():
        assert all(states[n] == states[same[0]] for n in same)


def test_a_short_history_reports_what_it_no_longer_has():
    document, _ = document_of([({f"k{n}": b"1"}, ()) for n in range(10)], most=4)
    assert document.oldest() == 6 and document.commits(5) is None and document.delta(5) is None
    assert [commit.revision for commit in document.commits(6)] == [7, 8, 9, 10]
    assert document.delta(10) == Delta(10, 10, document.token, {}, (), document.digest)
    assert document.commits(11) is None
    assert (
        document.committed_revision((6).to_bytes(16, "big")) is None
        and document.committed_revision((7).to_bytes(16, "big")) == 7
    )
    with pytest.raises(DocumentError, match="older than is remembered"):
        document.conflict(Change(bytes(16), "a", 5, {"k0": b"1"}))
    with pytest.raises(DocumentError, match="the last is 10"):
        document.conflict(Change(bytes(16), "a", 11, {"k0": b"1"}))
    with pytest.raises(DocumentError, match="not remembered"):
        document.edits_to_restore(5)
    with pytest.raises(DocumentError):
        document.edits_to_restore(11)


def test_entries_with_another_digest_are_refused():
    document, _ = document_of([({"k0": b"1", "k1": b"2"}, ())])
    with pytest.raises(DocumentError, match="another digest"):
        Document.from_entries(1, 1, [("k0", b"1")], document.digest)


def test_a_copy_is_independent():
    document, _ = document_of([({"k0": b"1"}, ())])
    copy = document.copy()
    commit_next(document, {"k0": b"2"})
    assert copy.get("k0") == b"1" and copy.revision == 1 and copy.commits(0) is None


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (Change(bytes(15), "a", 0, {"k": b"1"}), "16 bytes"),
        (Change(bytes(16), "a", 0, {}), "empty"),
        (Change(bytes(16), "a", 0, {"k": b"1"}, ("k",)), "both set and removed"),
        (Change(bytes(16), "a", 0, {}, ("k", "k")), "twice"),
        (Change(bytes(16), "a", 0, {"": b"1"}), "empty or too long"),
        (Change(bytes(16), "a", 0, {"κ" * (MAX_KEY_BYTES // 2 + 1): b"1"}), "empty or too long"),
        (Change(bytes(16), "a", 0, {"k": bytes(MAX_VALUE_BYTES + 1)}), "up to 65536"),
        (
            Change(bytes(16), "a", 0, {f"k{n}": bytes(MAX_VALUE_BYTES) for n in range(8)}),
            f"up to {MAX_CHANGE_BYTES}",
        ),
    ],
)
def test_bounds_of_a_change(change, message):
    with pytest.raises(DocumentError, match=message):
        check_change(change)


def test_a_change_at_its_bounds_is_valid():
    check_change(Change(bytes(16), "a", 0, {"k" * MAX_KEY_BYTES: bytes(MAX_VALUE_BYTES)}))
