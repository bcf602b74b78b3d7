"""A list of endpoints with unsound values ends no process, and none after a restart; sound entries hold."""

import json

import msgspec
import pytest
from harness import Discovery, Host, Sender, until

from willownotch.json_text import MAX_DEPTH, decode_json
from willownotch.net.watch_decoder import PartialUpdate, WatchDecoder

SOUND = {"name": "s-1", "address": "127.0.0.1:1", "zone": "here", "type": "haulier", "group": 7}
SOUND |= {"status": "Ready", "weight": 20.0, "since_ms": 0}
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
