"""An HTTP/1.1 parser and writer that work on bytes. They open no socket and know nothing of hand-ins.

One `Parser` reads one direction of one connection. A request whose length is missing, conflicting or too
large raises `BadMessageError`: where its body ends is then unknown, so the connection must be closed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_HEAD_BYTES, MAX_BODY_BYTES, MAX_CHUNK_LINE_BYTES = 16 * 1024, 64 * 1024, 1024
MAX_HEADERS = 100
MAX_EMPTY_LINES = 16  # before a request
# Of a chunked body: bytes that are not data, beyond as many as there are of data. Chunks of one byte cost
# some hundred times the processor time of their data.
MAX_CHUNK_OVERHEAD_BYTES = 256
# How much a head may grow when it is written again for another process: spaces, Host, Content-Length.
REWRITTEN_HEAD_SLACK_BYTES = 256
READ_BYTES = 65536  # asked of a socket at once; half as much costs more rounds of parsing under load
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
# The reason phrase must not hold a second status line: part of one may have come before the call was made,
# and the line of the real answer is then appended to it.
STATUS_LINE = re.compile(rb"HTTP/1\.(\d) (\d{3})(?: (?![^\r\n]*HTTP/1\.)[^\r\n]*)?\Z")
# In a header's value or a body it may be the beginning of an answer behind one that broke off.
EMBEDDED_STATUS_LINE = re.compile(rb"HTTP/1\.\d (\d{3})")
INVALID_VALUE_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class BadMessageError(ValueError):
    """The input is not HTTP as this parser accepts it. `status` is the status to answer with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """A first line and the headers. A request has `method` and `target`, an answer has `status`."""

    minor: int
    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)

    def keeps_alive(self) -> bool:
        """Whether the connection may be used for another exchange."""
        options = [part.strip().lower() for part in self.headers.get("connection", "").split(",")]
        return "close" not in options if self.minor >= 1 else "keep-alive" in options


def read_first_line(line: bytes, answer: bool) -> Head:
    """Parse a request line, or a status line if `answer`."""
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
    head: Head, lines: Iterable[bytes], optional: tuple[bytes, ...] = (), max_headers: int = MAX_HEADERS
) -> None:
    """Parse header lines into `head`. Repeated headers are joined by commas; repeated lengths must agree.

    A header named in `optional` is skipped if its value is invalid: the message is usable without it.
    """
    for count, line in enumerate(lines):
        name, colon, value = line.partition(b":")
        if name.lower() in optional and INVALID_VALUE_BYTES.search(value):
            continue
        if not colon or not TOKEN.match(name) or INVALID_VALUE_BYTES.search(value):
            raise BadMessageError(400, "malformed header line")
        if count >= max_headers:
            raise BadMessageError(431, "too many headers")
        key, text = name.decode().lower(), value.strip(b" \t").decode("latin-1")
        known = head.headers.get(key)
        if known is None or (key in ("content-length", "host") and known == text):
            head.headers[key] = text
        elif key in ("content-length", "host", "request-id", "request-class", "request-timeout-ms"):
            raise BadMessageError(400, f"conflicting {key} headers")
        else:
            head.headers[key] = f"{known}, {text}"


class ChunkedDecoder:
    """Decodes a chunked body as it arrives; `done` after the last chunk and its trailers.

    `max_overhead_bytes` bounds the bytes that are not data, beyond as many as there are of data.
    """

    def __init__(self, max_overhead_bytes: int | None = None) -> None:
        self.done, self.max_overhead_bytes = False, max_overhead_bytes
        self._remaining = 0  # bytes of the current chunk
        self._line_end_due = False  # the line end behind a chunk is still to come
        self._in_trailers = False
        self._trailer_bytes = 0
        self._overhead_bytes = 0  # that are not data, less the bytes of data

    def feed(self, buffer: bytearray) -> bytes:
        """Decode from the front of `buffer`, remove what was used, and return the decoded bytes."""
        out = bytearray()
        while not self.done:
            if self._remaining:
                part = buffer[: self._remaining]
                del buffer[: self._remaining]
                out += part
                self._remaining -= len(part)
                self._overhead_bytes -= len(part)
                self._line_end_due = not self._remaining
                if self._remaining:
                    break
                continue
            end = buffer.find(b"\r\n")
            if end < 0:
                if len(buffer) > MAX_CHUNK_LINE_BYTES:
                    raise BadMessageError(400, "a chunk's line is too long")
                break
            line = bytes(buffer[:end])
            del buffer[: end + 2]
            self._overhead_bytes += end + 2
            if self.max_overhead_bytes is not None and self._overhead_bytes > self.max_overhead_bytes:
                raise BadMessageError(400, "too little data for the number of chunks")
            self._read_line(line)
        return bytes(out)

    def _read_line(self, line: bytes) -> None:
        if self._line_end_due:
            if line:
                raise BadMessageError(400, "a chunk is longer than it said")
            self._line_end_due = False
        elif self._in_trailers:
            self._trailer_bytes += len(line) + 2
            if self._trailer_bytes > MAX_HEAD_BYTES:
                raise BadMessageError(431, "trailers too large")
            self.done = not line
        else:
            size = line.split(b";", 1)[0].strip(b" \t")
            if not re.fullmatch(rb"[0-9a-fA-F]{1,8}", size):
                raise BadMessageError(400, "malformed chunk size")
            self._remaining = int(size, 16)
            self._in_trailers = self._remaining == 0


class Parser:
    """Parses the requests, or with `answer` the answers, of one connection, one after the other.

    `feed` takes bytes; `next` returns (head, body) when a message is complete. `head` is set as soon as a
    head is complete, and `begun` is true while part of a message is in. With `stream`, `body_part` returns an
    answer's body as it arrives, and `next` returns nothing.

    The body of a request with a length is best read straight into `body_space`, which holds it once.
    """

    def __init__(
        self,
        answer: bool,
        max_body_bytes: int = MAX_BODY_BYTES,
        stream: bool = False,
        optional: tuple[bytes, ...] = (),
    ) -> None:
        self.answer, self.max_body_bytes, self.stream, self.optional = (
            answer,
            max_body_bytes,
            stream,
            optional,
        )
        self.slack = 0  # extra bytes and lines allowed in a head that another process has rewritten
        self.buffer = bytearray()
        self.eof = False
        self._reset()

    def _reset(self) -> None:
        self.head: Head | None = None
        self.status = 0  # of an answer, set once its first line is in
        self._body = bytearray()
        self._remaining: int | None = None  # bytes of the body; None: until the connection ends
        self._chunks: ChunkedDecoder | None = None
        self._searched_to = 0
        self._lines, self._counted_to = 0, 0  # line ends of a head so far, and where to go on counting
        self._empty_lines = 0  # before the head
        self._space: bytearray | None = None  # for the body of a request with a length
        self._filled = 0  # bytes of it

    @property
    def begun(self) -> bool:
        """Whether part of a message is in, but not all of it."""
        return self.head is not None or bool(self.buffer)

    def feed(self, data: bytes) -> None:
        """Add bytes from the connection; empty `data` is its end."""
        self.buffer += data
        self.eof = self.eof or not data

    def next(self) -> tuple[Head, bytes] | None:
        """The head and body of the next message if it is complete, else None."""
        if not self.read_head() or self.stream:
            return None
        if self._has_length():
            return self._next_with_length()
        self._body += self.body_part()
        if len(self._body) > self.max_body_bytes:
            raise BadMessageError(413, "body too large")
        if not self.body_done():
            return None
        head, body = self.head, bytes(self._body)
        self._reset()
        return head, body

    def _has_length(self) -> bool:
        """Whether this is a request whose body has a stated length."""
        return not self.answer and self._chunks is None and self._remaining is not None

    def _next_with_length(self) -> tuple[Head, bytes] | None:
        """As `next`, for a request whose body has a stated length."""
        if self._space is None:
            if len(self.buffer) < self._remaining:
                return None
            with memoryview(self.buffer) as view:
                body = bytes(view[: self._remaining])
            del self.buffer[: self._remaining]
        else:
            self._fill_space()
            if self._filled < len(self._space):
                return None
            body, self._space = bytes(self._space), None
        head = self.head
        self._reset()
        return head, body

    def _fill_space(self) -> None:
        """Move what was fed into the space for the body."""
        count = min(len(self.buffer), len(self._space) - self._filled)
        self._space[self._filled : self._filled + count] = self.buffer[:count]
        del self.buffer[:count]
        self._filled += count

    def body_space(self) -> memoryview | None:
        """Where the next bytes of a request's body belong, if nothing else can come before its end.

        Read into it, and tell `received` how many bytes came.
        """
        if self.head is None or not self._has_length():
            return None
        if self._space is None:
            self._space = bytearray(self._remaining)
            self._fill_space()
        return memoryview(self._space)[self._filled :]

    def received(self, count: int) -> None:
        """Record that so many bytes were read into `body_space`; 0 is the connection's end."""
        self._filled += count
        self.eof = self.eof or not count

    def memory_needed(self) -> int:
        """The bytes that are held for the message that is being read, all of its body included, if known."""
        length = self._remaining if self.head is not None and self._has_length() else 0
        return len(self.buffer) + len(self._body) + length

    def read_head(self) -> bool:
        """Parse the head if it is complete; whether there is one. The 1xx heads of an answer are skipped."""
        while self.head is None:
            if self.answer and not self.status:
                self._read_early_status()
            while not self.answer and self.buffer.startswith(b"\r\n"):
                # An empty line before a request is skipped, also if it came in two reads.
                del self.buffer[:2]
                self._searched_to = self._counted_to = 0
                self._empty_lines += 1
                if self._empty_lines > MAX_EMPTY_LINES:
                    raise BadMessageError(400, "too many empty lines before a request")
            end = self.buffer.find(b"\r\n\r\n", max(0, self._searched_to - 3))
            if max(end, len(self.buffer) if end < 0 else 0) > MAX_HEAD_BYTES + self.slack:
                raise BadMessageError(431, "head too large")
            # Counted before the head is complete: its lines as objects take many times its bytes.
            self._lines += self.buffer.count(b"\r\n", self._counted_to, end if end >= 0 else len(self.buffer))
            if self._lines > MAX_HEADERS + 1 + self.slack and not self.answer:
                raise BadMessageError(431, "too many headers")
            if end < 0:
                self._searched_to = len(self.buffer)
                self._counted_to = max(0, len(self.buffer) - 1)  # a line end may be cut in two
                return False
            lines = bytes(self.buffer[:end]).split(b"\r\n")
            del self.buffer[: end + 4]
            head = read_first_line(lines[0], self.answer)
            read_headers(head, lines[1:], self.optional, MAX_HEADERS + self.slack)
            if self.answer and 100 <= head.status < 200:
                self._reset()
                continue
            self._set_framing(head)
            self.head = head
        return True

    def _read_early_status(self) -> None:
        """Set `status` as soon as the first line is complete: it may be all that arrives of an answer."""
        end = self.buffer.find(b"\r\n")
        if end >= 0:
            self.status = read_first_line(bytes(self.buffer[:end]), True).status

    def _set_framing(self, head: Head) -> None:
        """Determine where the body ends. Two lengths at once are refused: they allow request smuggling."""
        coding, length = head.headers.get("transfer-encoding"), head.headers.get("content-length")
        if coding is not None:
            if coding.strip().lower() != "chunked":
                raise BadMessageError(501, "unknown transfer coding")
            if length is not None:
                raise BadMessageError(400, "both a length and a transfer coding")
            self._chunks = ChunkedDecoder(None if self.answer else MAX_CHUNK_OVERHEAD_BYTES)
        elif length is not None:
            if not re.fullmatch(r"[0-9]{1,12}", length):
                raise BadMessageError(400, "malformed content-length")
            self._remaining = int(length)
            if self._remaining > self.max_body_bytes:
                raise BadMessageError(413, "body too large")
        elif not self.answer:
            if head.method in ("POST", "PUT", "PATCH"):
                raise BadMessageError(411, "a length is needed")
            self._remaining = 0
        if self.answer and (head.status in (204, 304)):
            self._remaining, self._chunks = 0, None

    def body_part(self) -> bytes:
        """The bytes of the body that have arrived since the last call."""
        if self._chunks is not None:
            return self._chunks.feed(self.buffer)
        count = len(self.buffer) if self._remaining is None else min(self._remaining, len(self.buffer))
        part = bytes(self.buffer[:count])
        del self.buffer[:count]
        if self._remaining is not None:
            self._remaining -= count
        return part

    def body_done(self) -> bool:
        """Whether the body is complete."""
        if self._chunks is not None:
            return self._chunks.done
        return self.eof if self._remaining is None else self._remaining == 0

    def until_close(self) -> bool:
        """Whether the body's end is the end of the connection."""
        return self._chunks is None and self._remaining is None


def write_head(first_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Encode a first line and headers. Raises `ValueError` if one of them holds a line end."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    text = "\r\n".join(lines)
    if text.count("\r\n") != len(lines) - 1 or "\n" in text.replace("\r\n", ""):
        raise ValueError("a line end inside a header")
    return (text + "\r\n\r\n").encode("latin-1")


def write_request(
    method: str, target: str, host: str, headers: Iterable[tuple[str, str]], body: bytes | None = None
) -> bytes:
    """Encode a request."""
    length = () if body is None else (("Content-Length", str(len(body))),)
    return write_head(f"{method} {target} HTTP/1.1", [("Host", host), *headers, *length]) + (body or b"")


def write_answer(status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    """Encode an answer."""
    length = [] if status in (100, 204) else [("Content-Length", str(len(body)))]
    return write_head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", [*headers, *length]) + body
