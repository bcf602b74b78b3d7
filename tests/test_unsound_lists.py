"""A list of endpoints with unsound values ends no process, and none after a restart; sound entries hold."""

import json
import signal

import msgspec
import pytest
from harness import Discovery, Host, Sender, until

from willownotch.json_text import MAX_DEPTH, NestingScanner, decode_json
from willownotch.net.watch_decoder import PartialUpdate, WatchDecoder

SOUND = {"name": "s-1", "address": "127.0.0.1:1", "zone": "here", "type": "haulier", "group": 7}
SOUND |= {"status": "Ready", "weight": 20.0, "since_ms": 0}
UNSOUND = {
    "address with an empty label": {"address": "a..b:80"},
    "address with a NUL": {"address": "a\0b:80"},
    "address with a long label": {"address": "a" * 70 + ".b:80"},
    "address of many characters": {"address": "a." * 5000 + "b:80"},
    "address that no codec takes": {"address": "\u20ac\u0130:80"},
    "address with a line end": {"address": "a\r\nb:80"},
    "port zero": {"address": "127.0.0.1:0"},
    "a broadcast address": {"address": "255.255.255.255:9"},
    "negative weight": {"weight": -1.0},
    "huge weight": {"weight": 1e308},
    "weight as text": {"weight": "20"},
    "negative group": {"group": -1},
    "huge group": {"group": 2**62},
    "group as a fraction": {"group": 7.5},
    "unknown status": {"status": "Asleep"},
    "unknown type": {"type": "none"},
    "no name": {"name": ""},
    "long name": {"name": "s" * 100_000},
    "name with a line end": {"name": "s\nx"},
    "name as a number": {"name": 5},
    "negative start": {"since_ms": -1},
    "start beyond all dates": {"since_ms": 2**62},
    "start as text": {"since_ms": "now"},
    "values in values": {"more": json.loads("[" * 60 + "]" * 60)},
}


@pytest.mark.parametrize("whole", [False, True])
def test_unsound_entries_end_no_process_and_hide_no_sound_one(whole):
    host, discovery, other = Host(), None, Host()
    discovery = Discovery([host])
    sender = Sender(discovery)
    try:
        sender.ready()
        for number, unsound in enumerate(UNSOUND.values()):
            entry = {**SOUND, "name": f"u-{number}", "group": 9, **unsound}
            sound = {**SOUND, "name": f"s-{number + 10}", "address": other.address, "group": 100 + number}
            discovery.index += 1
            entries = [entry, sound] + discovery.entries * whole
            discovery.tell(json.dumps({"index": discovery.index, "snapshot": whole, "endpoints": entries}))
            until(lambda n=number: sender.hand_in(dest=100 + n)[1].status == 202 or sender.process.poll())
            sender.hand_in(dest=9, left=500)
            assert sender.process.poll() is None, "".join(sender.lines[-5:])
            assert sender.hand_in()[1].status == 202
        discovery.entries = [*discovery.entries, *({**SOUND, **unsound} for unsound in UNSOUND.values())]
        sender.restart(signal.SIGKILL)
        assert sender.hand_in()[1].status == 202
    finally:
        sender.close()
        discovery.close()


LIST = '{"index":9,"snapshot":false,"endpoints":[],"more":'
UNREADABLE = [
    LIST + "[" * 900 + "]" * 900 + "}",
    LIST + '{"a":' * 50_000 + "1" + "}" * 50_000 + "}",
    "[" * 100_000,
    json.dumps({"index": 2**70, "snapshot": True, "endpoints": []}),
    json.dumps({"index": -1, "snapshot": True, "endpoints": []}),
    '{"index":1e400,"snapshot":true,"endpoints":[]}',
    '{"index":9,"snapshot":true,"endpoints":{}}',
    "null",
]


def test_lists_that_cannot_be_read_end_no_process():
    discovery = Discovery([Host()])
    sender = Sender(discovery)
    try:
        sender.ready()
        for text in UNREADABLE:
            watches = len(discovery.watched)
            for updates in discovery.watch_queues:
                updates.put(text)
            until(lambda w=watches: len(discovery.watched) > w or sender.process.poll() is not None)
            assert sender.process.poll() is None, "".join(sender.lines[-5:])
            assert sender.hand_in()[1].status == 202
    finally:
        sender.close()
        discovery.close()


def test_an_entry_of_wrong_types_leaves_its_host_as_it_was():
    text = json.dumps({"index": 3, "snapshot": True, "endpoints": [SOUND, {"name": "s-2", "group": "x"}]})
    told = []
    (update,), _ = WatchDecoder(told.append).feed(text.encode() + b"\n")
    assert isinstance(update, PartialUpdate) and update.unread == ["s-2"] and len(told) == 1
    assert [entry.name for entry in update.endpoints] == ["s-1"]


def test_a_list_of_many_closing_lines_is_decoded_once():
    """Each line that ended with a brace had all lines before it decoded again."""
    lines = b'{"index":1,"snapshot":true,"endpoints":[' + b'\n{"name":"a"\n}\n,' * 50_000
    decoder = WatchDecoder()
    assert decoder.feed(lines) == ([], True)
    with pytest.raises(msgspec.DecodeError):
        decoder.feed(b"]]}\n")


@pytest.mark.parametrize("kind", ["[", '{"a":'])
def test_json_is_decoded_to_a_bounded_depth(kind):
    ends = {"[": "]", '{"a":': "1}"}[kind]
    text = kind * MAX_DEPTH + ends[:-1] + ends[-1] * MAX_DEPTH
    assert decode_json(text) is not None
    with pytest.raises(msgspec.DecodeError):
        decode_json(kind + text + ends[-1])
    assert decode_json(json.dumps("[{" * 1000)) == "[{" * 1000
    assert decode_json(json.dumps('"\\[{' * 1000)) == '"\\[{' * 1000


def test_text_of_strings_without_an_end_is_scanned_once():
    """Each quote in it began another search to its end: 4 MB would have taken hours."""
    for text in (b'"' + b'\\"' * 1_000_000, b'["' + b"\\" * 1_000_001, b'"' * 1_000_001):
        NestingScanner().feed(text)
