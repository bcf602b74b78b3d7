"""Authenticated datagrams between members. A datagram is accepted if it is authentic and not a replay.

    version 1 | key number 1 | sender's uid 6 | counter 8 | message | tag 16

The numbers are bytes. The tag is BLAKE3 in its keyed mode over everything before it; the message is not
encrypted. Up to two keys are valid at a time: the first one of the file signs, both verify. To rotate keys,
add the new key on all members, make it the first one everywhere, then remove the old one. Replays are
detected by a window of counters for each sending process, as in IPsec (RFC 4303, 3.4.3). This needs no clock,
as the counter restarts only with a new uid.

Rejected datagrams are counted by reason. One that fails the checks of length, version, key or tag changes no
other state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from hmac import compare_digest
from struct import Struct

import msgspec

from willownotch.peers.wire import decode, encode

VERSION = 1
HEADER = Struct("<BB6sQ")
TAG_BYTES, KEY_BYTES = 16, 32
MAX_DATAGRAM_BYTES = 1400  # with any IP and UDP headers it fits into one Ethernet frame
REPLAY_WINDOW = 1024  # counters below the highest that are still accepted, as datagrams may be reordered
MAX_SENDERS = 4096  # processes whose counters are kept; the one not heard from for longest is evicted


class KeysError(ValueError):
    """A keys file is not valid; the message gives the line and the reason."""


def read_keys(text: str) -> list[tuple[int, bytes]]:
    """The keys of a keys file, the signing key first.

    Each line is `number hex`: a number from 0 to 255 and 64 hexadecimal digits. `#` begins a comment.
    """
    keys = []
    for line, content in enumerate(text.splitlines(), 1):
        words = content.partition("#")[0].split()
        if not words:
            continue
        try:
            number, key = int(words[0]), bytes.fromhex(words[1])
            if len(words) != 2 or len(key) != KEY_BYTES or not 0 <= number <= 255:
                raise ValueError
        except (ValueError, IndexError):
            raise KeysError(
                f"{line}:1: not a key, allowed: a number from 0 to 255 and {2 * KEY_BYTES} hexadecimal "
                "digits"
            ) from None
        if number in [n for n, _ in keys]:
            raise KeysError(f"{line}:1: key {number} appears twice, allowed: once")
        keys.append((number, key))
    if not 1 <= len(keys) <= 2:
        raise KeysError(f"1:1: {len(keys)} keys, allowed: one or two")
    return keys


@dataclass(slots=True)
class ReplayWindow:
    """The counters seen of one process: the highest, and a bit for each of those just below it."""

    highest: int = -1
    bits: int = 0

    def accept(self, counter: int) -> bool:
        """Marks a counter as seen; False if it was seen before or is too old to tell."""
        if counter > self.highest:
            self.bits = (self.bits << (counter - self.highest) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = counter
            return True
        back = self.highest - counter
        if back >= REPLAY_WINDOW or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True


class Seal:
    """Signs and verifies the datagrams of one process. `refused` counts rejected ones by reason.

    Frames of another kind can use the same keys under a `version` of their own, which keeps them apart.
    """

    def __init__(
        self,
        uid: int,
        keys: list[tuple[int, bytes]],
        read: Callable[[bytes], msgspec.Struct] = decode,
        version: int = VERSION,
        most: int = MAX_DATAGRAM_BYTES,
    ) -> None:
        self.uid, self.keys, self._read = uid.to_bytes(6, "little"), keys, read
        self.version, self.most = version, most
        self.refused: Counter[str] = Counter()
        self._counter = 0
        self._windows: dict[bytes, ReplayWindow] = {}

    def rotate_keys(self, keys: list[tuple[int, bytes]]) -> None:
        """Replaces the keys."""
        self.keys = keys

    def close(self, message: msgspec.Struct) -> bytes:
        """A message as a signed datagram; `ValueError` if it is longer than `most` bytes."""
        number, key = self.keys[0]
        header = HEADER.pack(self.version, number, self.uid, self._counter)
        self._counter += 1
        data = header + encode(message)
        if len(data) + TAG_BYTES > self.most:
            raise ValueError(f"a message of {len(data)} bytes does not fit a frame of {self.most}")
        return data + _tag()(data, key)

    def open(self, data: bytes) -> msgspec.Struct | None:
        """The message of a datagram; None if it is rejected, with the reason counted in `refused`."""
        why, message = self._open(data)
        if why:
            self.refused[why] += 1
        return message

    def _open(self, data: bytes) -> tuple[str, msgspec.Struct | None]:
        """The reason for a rejection (empty if there is none), and the message."""
        if len(data) > self.most:
            return "too long", None
        if len(data) <= HEADER.size + TAG_BYTES:
            return "too short", None
        version, number, uid, counter = HEADER.unpack_from(data)
        if version != self.version:
            return "other version", None
        key = next((key for n, key in self.keys if n == number), None)
        if key is None:
            return "unknown key", None
        if not compare_digest(_tag()(data[:-TAG_BYTES], key), data[-TAG_BYTES:]):
            return "not authentic", None
        if uid == self.uid:
            return "own", None
        window = self._windows.pop(uid, None) or ReplayWindow()
        self._windows[uid] = window  # moved to the end: the first one is the one to evict
        if len(self._windows) > MAX_SENDERS:
            del self._windows[next(iter(self._windows))]
        if not window.accept(counter):
            return "repeat", None
        try:
            return "", self._read(data[HEADER.size : -TAG_BYTES])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError):
            return "unreadable", None


def _tag() -> Callable[[bytes, bytes], bytes]:
    """The keyed hash function. Its library is imported with the first datagram, not at start."""
    from blake3 import blake3

    return lambda data, key: blake3(data, key=key).digest(length=TAG_BYTES)
