"""HTTP/1.1 as bytes: a parser that is fed and a writer. It opens no socket and knows no message.

One `Parser` reads one side of one connection. It guards against what loses framing: a request whose length
is missing, conflicting or too large is a `BadMessageError`, after which the connection must be closed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_HEAD_BYTES, MAX_BODY_BYTES, MAX_CHUNK_LINE_BYTES = (
    16 * 1024,
    64 * 1024,
    1024,
)  # bytes: a head, a body, a chunk-size line
HEADERS_MOST = 100
REWRITTEN_HEAD_SLACK_BYTES = 256  # what a head may grow by as it is written again: spaces, a host, a length
READ_BYTES = 65536  # bytes asked of a socket at a time; at half of it, floods cost more rounds of parsing
REASONS = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/(\d)\.(\d)\Z")
# No second status line in its text: part of one may have come before the call, and garbles what comes after.
STATUS_LINE = re.compile(rb"HTTP/1\.(\d) (\d{3})(?: (?![^\r\n]*HTTP/1\.)[^\r\n]*)?\Z")
BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class BadMessageError(ValueError):
    """What came is no HTTP that is taken here. `status` is the answer that it deserves."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """First line and headers. A request has `method` and `target`, an answer has `status`."""

    minor: int
    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)

    def keeps_alive(self) -> bool:
        """Whether the connection may carry another exchange."""
        options = [part.strip().lower() for part in self.headers.get("connection", "").split(",")]
        return "close" not in options if self.minor >= 1 else "keep-alive" in options


def read_first_line(line: bytes, answer: bool) -> Head:
    """The request line or the status line."""
    if answer:
        found = STATUS_LINE.match(line)
        if not found:
            raise BadMessageError(400, "malformed status line")
        return Head(int(found[1]), status=int(found[2]))
    found = REQUEST_LINE.match(line)
    if not found:
        raise BadMessageError(400, "malformed request line")
    if found[3] != b"1":
        raise BadMessageError(505, "only HTTP/1.0 and HTTP/1.1 are spoken here")
    return Head(int(found[4]), method=found[1].decode(), target=found[2].decode())


def read_headers(
    head: Head, lines: Iterable[bytes], optional: tuple[bytes, ...] = (), most: int = HEADERS_MOST
) -> None:
    """The header lines into the head. A list given twice is joined; a length given twice must agree.

    An optional one is left out where its value cannot be read: it spoils no message that is good without it.
    """
    for count, line in enumerate(lines):
        name, colon, value = line.partition(b":")
        if name.lower() in optional and BAD_VALUE.search(value):
            continue
        if not colon or not TOKEN.match(name) or BAD_VALUE.search(value):
            raise BadMessageError(400, "malformed header line")
        if count >= most:
            raise BadMessageError(431, "too many headers")
        key, text = name.decode().lower(), value.strip(b" \t").decode("latin-1")
        known = head.headers.get(key)
        if known is None or (key in ("content-length", "host") and known == text):
            head.headers[key] = text
        elif key in ("content-length", "host", "request-id", "request-class", "request-timeout-ms"):
            raise BadMessageError(400, f"conflicting {key} headers")
        else:
            head.headers[key] = f"{known}, {text}"


class Chunks:
    """Decodes a chunked body as it comes; `done` once the last chunk and its trailers are in."""

    def __init__(self) -> None:
        self.done = False
        self._left = 0  # of the current chunk
        self._after = False  # the line end behind a chunk is still to come
        self._trailers = False
        self._trailer_bytes = 0

    def feed(self, buffer: bytearray) -> bytes:
        """Take what can be decoded off the front of the buffer."""
        out = bytearray()
        while not self.done:
            if self._left:
                part = buffer[: self._left]
                del buffer[: self._left]
                out += part
                self._left -= len(part)
                self._after = not self._left
                if self._left:
                    break
                continue
            end = buffer.find(b"\r\n")
            if end < 0:
                if len(buffer) > MAX_CHUNK_LINE_BYTES:
                    raise BadMessageError(400, "a chunk's line is too long")
                break
            line = bytes(buffer[:end])
            del buffer[: end + 2]
            self._line(line)
        return bytes(out)

    def _line(self, line: bytes) -> None:
        if self._after:
            if line:
                raise BadMessageError(400, "a chunk is longer than it said")
            self._after = False
        elif self._trailers:
            self._trailer_bytes += len(line) + 2
            if self._trailer_bytes > MAX_HEAD_BYTES:
                raise BadMessageError(431, "trailers too large")
            self.done = not line
        else:
            size = line.split(b";", 1)[0].strip(b" \t")
            if not re.fullmatch(rb"[0-9a-fA-F]{1,8}", size):
                raise BadMessageError(400, "malformed chunk size")
            self._left = int(size, 16)
            self._trailers = self._left == 0


class Parser:
    """Reads requests, or answers, off one connection, one after the other.

    `feed` takes bytes; `next` gives a (head, body) once one is whole. `head` is set as soon as a head is in
    and `begun` while a message is partly in. A `stream` gives an answer's body out by `body_part` instead.
    """

    def __init__(
        self,
        answer: bool,
        body_most: int = MAX_BODY_BYTES,
        stream: bool = False,
        optional: tuple[bytes, ...] = (),
    ) -> None:
        self.answer, self.body_most, self.stream, self.optional = answer, body_most, stream, optional
        self.slack = 0  # bytes and lines of a head that another process's writer may have added
        self.buffer = bytearray()
        self.eof = False
        self._reset()

    def _reset(self) -> None:
        self.head: Head | None = None
        self.status = 0  # of an answer, known from its first line on
        self._body = bytearray()
        self._left: int | None = None  # bytes of a body of known length; None: until the connection ends
        self._chunks: Chunks | None = None
        self._searched = 0

    @property
    def begun(self) -> bool:
        """Whether part of a message is in."""
        return self.head is not None or bool(self.buffer)

    def feed(self, data: bytes) -> None:
        """Take bytes off the connection; none at all is its end."""
        self.buffer += data
        self.eof = self.eof or not data

    def next(self) -> tuple[Head, bytes] | None:
        """The next whole message, if it is in."""
        if not self.read_head() or self.stream:
            return None
        self._body += self.body_part()
        if len(self._body) > self.body_most:
            raise BadMessageError(413, "body too large")
        if not self.body_done():
            return None
        head, body = self.head, bytes(self._body)
        self._reset()
        return head, body

    def read_head(self) -> bool:
        """Whether a head is in, read now if it has become whole; an answer's 1xx heads are passed over."""
        while self.head is None:
            if self.answer and not self.status:
                self._early_status()
            while not self.answer and self.buffer.startswith(b"\r\n"):
                del self.buffer[:2]  # an empty line before a request is passed over, however it was cut
                self._searched = 0
            end = self.buffer.find(b"\r\n\r\n", max(0, self._searched - 3))
            if max(end, len(self.buffer) if end < 0 else 0) > MAX_HEAD_BYTES + self.slack:
                raise BadMessageError(431, "head too large")
            if end < 0:
                self._searched = len(self.buffer)
                return False
            lines = bytes(self.buffer[:end]).split(b"\r\n")
            del self.buffer[: end + 4]
            head = read_first_line(lines[0], self.answer)
            read_headers(head, lines[1:], self.optional, HEADERS_MOST + self.slack)
            if self.answer and 100 <= head.status < 200:
                self._reset()
                continue
            self._framing(head)
            self.head = head
        return True

    def _early_status(self) -> None:
        end = self.buffer.find(b"\r\n")
        if end >= 0:
            self.status = read_first_line(bytes(self.buffer[:end]), True).status

    def _framing(self, head: Head) -> None:
        """How long the body is. Two ways to say it are refused: they are how requests are smuggled."""
        coding, length = head.headers.get("transfer-encoding"), head.headers.get("content-length")
        if coding is not None:
            if coding.strip().lower() != "chunked":
                raise BadMessageError(501, "unknown transfer coding")
            if length is not None:
                raise BadMessageError(400, "both a length and a transfer coding")
            self._chunks = Chunks()
        elif length is not None:
            if not re.fullmatch(r"[0-9]{1,12}", length):
                raise BadMessageError(400, "malformed content-length")
            self._left = int(length)
            if self._left > self.body_most:
                raise BadMessageError(413, "body too large")
        elif not self.answer:
            if head.method in ("POST", "PUT", "PATCH"):
                raise BadMessageError(411, "a length is needed")
            self._left = 0
        if self.answer and (head.status in (204, 304)):
            self._left, self._chunks = 0, None

    def body_part(self) -> bytes:
        """What is in of the body and was not given out before."""
        if self._chunks is not None:
            return self._chunks.feed(self.buffer)
        count = len(self.buffer) if self._left is None else min(self._left, len(self.buffer))
        part = bytes(self.buffer[:count])
        del self.buffer[:count]
        if self._left is not None:
            self._left -= count
        return part

    def body_done(self) -> bool:
        """Whether the body is whole."""
        if self._chunks is not None:
            return self._chunks.done
        return self.eof if self._left is None else self._left == 0

    def until_close(self) -> bool:
        """Whether the body ends only with the connection."""
        return self._chunks is None and self._left is None


def write_head(first: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """A first line and headers; what would break out of its line is refused."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    text = "\r\n".join(lines)
    if text.count("\r\n") != len(lines) - 1 or "\n" in text.replace("\r\n", ""):
        raise ValueError("a line end inside a header")
    return (text + "\r\n\r\n").encode("latin-1")


def write_request(
    method: str, target: str, host: str, headers: Iterable[tuple[str, str]], body: bytes | None = None
) -> bytes:
    """A whole request."""
    length = () if body is None else (("Content-Length", str(len(body))),)
    return write_head(f"{method} {target} HTTP/1.1", [("Host", host), *headers, *length]) + (body or b"")


def write_answer(status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    """A whole answer."""
    length = [] if status in (100, 204) else [("Content-Length", str(len(body)))]
    return write_head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", [*headers, *length]) + body
