"""Datagrams between members: sealed, counted, and opened only if they are authentic, recent and not a repeat.

    version 1 | key number 1 | sender's uid 6 | counter 8 | message | tag 16

The tag is BLAKE3 in its keyed mode over all before it. Two keys are valid at a time: the first of the file
seals, both open, so that keys are rolled by adding the new one everywhere, making it the first, and taking
the old one out. A repeat is refused by a window of counters for each sender's process, as IPsec does (RFC
4303, 3.4.3). No clock is needed: a counter begins anew only with a new uid.

What is refused costs one look at its length, its version or its tag, changes nothing and is counted by its
reason.
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
HEAD = Struct("<BB6sQ")
TAG, KEY = 16, 32  # bytes
MAX_DATAGRAM_BYTES = 1400  # bytes of a datagram: within one Ethernet frame, whatever IP and UDP add
WINDOW = 1024  # counters behind the highest seen that may still come: datagrams overtake each other
SENDERS = 4096  # processes whose counters are remembered; the one heard longest ago goes first


class KeysError(ValueError):
    """A keys file cannot be used; the text says why, with the line."""


def read_keys(text: str) -> list[tuple[int, bytes]]:
    """A file of keys, `number hex` a line, number 0 to 255, 64 hexadecimal digits; the first one seals."""
    keys = []
    for line, content in enumerate(text.splitlines(), 1):
        words = content.partition("#")[0].split()
        if not words:
            continue
        try:
            number, key = int(words[0]), bytes.fromhex(words[1])
            if len(words) != 2 or len(key) != KEY or not 0 <= number <= 255:
                raise ValueError
        except (ValueError, IndexError):
            raise KeysError(
                f"{line}:1: no key, allowed: a number from 0 to 255 and {2 * KEY} hexadecimal " "digits"
            ) from None
        if number in [n for n, _ in keys]:
            raise KeysError(f"{line}:1: key {number} stands twice, allowed: once")
        keys.append((number, key))
    if not 1 <= len(keys) <= 2:
        raise KeysError(f"1:1: {len(keys)} keys, allowed: one or two")
    return keys


@dataclass(slots=True)
class Seen:
    """The counters of one sender's process: the highest, and a bit for each of those just below it."""

    highest: int = -1
    bits: int = 0

    def fresh(self, counter: int) -> bool:
        """Whether this counter has not come before; from now on it has."""
        if counter > self.highest:
            self.bits = (self.bits << (counter - self.highest) | 1) & ((1 << WINDOW) - 1)
            self.highest = counter
            return True
        back = self.highest - counter
        if back >= WINDOW or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True


class Seal:
    """Seals and opens for one process. `refused` counts what was not opened, by reason.

    Another kind of frame with the same keys has a `version` of its own, and is none of these.
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
        self._seen: dict[bytes, Seen] = {}

    def rotate_keys(self, keys: list[tuple[int, bytes]]) -> None:
        """Use other keys from now on."""
        self.keys = keys

    def close(self, message: msgspec.Struct) -> bytes:
        """A message as a datagram; `ValueError` if it is too long for one."""
        number, key = self.keys[0]
        head = HEAD.pack(self.version, number, self.uid, self._counter)
        self._counter += 1
        data = head + encode(message)
        if len(data) + TAG > self.most:
            raise ValueError(f"a message of {len(data)} bytes does not fit a frame of {self.most}")
        return data + _tag()(data, key)

    def open(self, data: bytes) -> msgspec.Struct | None:
        """The message of a datagram; None, and a reason counted, if there is none to be trusted."""
        why, message = self._open(data)
        if why:
            self.refused[why] += 1
        return message

    def _open(self, data: bytes) -> tuple[str, msgspec.Struct | None]:
        if len(data) > self.most:
            return "too long", None
        if len(data) <= HEAD.size + TAG:
            return "too short", None
        version, number, uid, counter = HEAD.unpack_from(data)
        if version != self.version:
            return "other version", None
        key = next((key for n, key in self.keys if n == number), None)
        if key is None:
            return "unknown key", None
        if not compare_digest(_tag()(data[:-TAG], key), data[-TAG:]):
            return "not authentic", None
        if uid == self.uid:
            return "own", None
        seen = self._seen.pop(uid, None) or Seen()
        self._seen[uid] = seen  # the last one heard stands last
        if len(self._seen) > SENDERS:
            del self._seen[next(iter(self._seen))]
        if not seen.fresh(counter):
            return "repeat", None
        try:
            return "", self._read(data[HEAD.size : -TAG])
        except (msgspec.DecodeError, UnicodeDecodeError):
            return "unreadable", None


def _tag() -> Callable[[bytes, bytes], bytes]:
    """The keyed hash; its library is loaded with the first datagram."""
    from blake3 import blake3

    return lambda data, key: blake3(data, key=key).digest(length=TAG)
