"""Incremental HTTP/1.1 parsing without I/O: heads, and bodies in every framing. Errors are values, not exceptions."""

from __future__ import annotations

import re
from collections.abc import Set
from dataclasses import dataclass, field

from pearstall.net.buffer import Buffer

MAX_HEAD_BYTES = 32768
HEADER_OVERHEAD_BYTES = 192  # memory of a parsed header beyond its text: two strings and an entry of a table
MAX_CHUNK_LINE_BYTES = 1024  # the line with a chunk's size and its extensions
MAX_CHUNK_BYTES = 4 << 20  # a larger size is treated as corrupted framing, not as gigabytes of data
EARLY_CHECK_BYTES = 4096  # only this much of an incomplete head is checked as it arrives
MAX_HEADER_LINES = 1024
MAX_EMPTY_LINES = 8  # before a request; RFC 9112, 2.2, wants at least one to be ignored
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
REQUEST_LINE = re.compile(r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([01])")
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-9][0-9][0-9])(?: .*)?")
# Possessive: without, a line that fails would be tried again from each of its bytes.
HEADER_LINE = re.compile(r"([!#$%&'*+\-.^_`|~0-9A-Za-z]++):([^\x00-\x08\x0a-\x1f\x7f]*+)\r\n")
HEADER_LINES = re.compile(f"(?:{HEADER_LINE.pattern})*+")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")
CHUNK_START = re.compile(rb"[0-9A-Fa-f]{0,15}(?:[ \t;\r]|$)")
DIGITS = re.compile(rb"[0-9]{1,15}")
CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
METHOD_START = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}(?: |$)")
STATUS_START = b"HTTP/1."
# A repeated header is normally joined into one list; for these, the result would be a value that nobody sent.
SINGLE_HEADERS = {"content-length", "transfer-encoding", "host"}
REQUIRED_READABLE = {"content-length", "transfer-encoding", "connection", "content-type"}

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    408: "Request Timeout", 409: "Conflict", 429: "Too Many Requests", 422: "Unprocessable Content",
    431: "Request Header Fields Too Large", 500: "Internal Server Error",
    502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Malformed:
    """The input is not a valid message. `status` answers a client that sent it."""

    why: str
    status: int = 400


@dataclass(slots=True)
class Head:
    """The head of a request, or of a response if `status` is set. Header names are in lower case."""

    method: str = ""
    target: str = ""
    status: int = 0
    minor: int = 1
    headers: dict[str, str] = field(default_factory=dict)
    text_bytes: int = 0  # of the whole head, as it was received

    @property
    def memory_bytes(self) -> int:
        """An upper estimate of the memory that the head takes, with the copy of its text that a query keeps."""
        return 2 * self.text_bytes + HEADER_OVERHEAD_BYTES * len(self.headers)

    def reduced(self, names: Set[str]) -> Head:
        """The same head with these headers only."""
        kept = {name: value for name, value in self.headers.items() if name in names}
        return Head(self.method, self.target, self.status, self.minor, kept, self.text_bytes)

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        options = [option.strip() for option in self.headers.get("connection", "").lower().split(",")]
        return "close" not in options and (self.minor == 1 or "keep-alive" in options)


@dataclass(slots=True)
class Reply:
    """A complete answer that is sent to a client."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"

    def encode(self, close: bool, id_line: str = "") -> bytes:
        """`id_line`: a header line that identifies the answer, or an empty string."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        if self.body:
            lines.append(f"Content-Type: {self.content_type}")
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        if id_line:
            lines.append(id_line)
        if close:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


class UnknownClass(Reply):
    """Answers a request whose class is not in the settings: an error of the client, with a counter of its own."""


class HeadReader:
    """Reads heads from a buffer as they arrive, one after the other. Each byte is searched and each line is checked
    once, however the head is cut into pieces."""

    __slots__ = ("response", "searched", "checked", "empty_lines")

    def __init__(self, response: bool = False) -> None:
        self.response = response
        self.searched = 0  # bytes at the front of the buffer without an end of a head
        self.checked = 0  # bytes at the front of the buffer that are known to be lines of a head
        self.empty_lines = 0  # skipped before the head

    def read(self, buffer: Buffer) -> Head | Malformed | None:
        """Takes a complete head from the buffer. None: it has not arrived completely, and until it has, nothing else
        may take bytes from the buffer."""
        while not self.response and buffer.peek(2) == b"\r\n":
            if self.empty_lines == MAX_EMPTY_LINES:
                return Malformed("no request line")
            self.empty_lines += 1  # some clients send an additional line end after a body
            buffer.skip(2)
        if not len(buffer) or (not self.response and buffer.peek(2) == b"\r"):
            return None
        end = buffer.find(b"\r\n\r\n", max(0, self.searched - 3), MAX_HEAD_BYTES + 4)
        if end < 0:
            self.searched = len(buffer)
            return self._check_incomplete(buffer)
        self.searched = self.checked = self.empty_lines = 0
        return _parse_head(buffer.take(end + 4)[:-2].decode("latin-1"), self.response)

    def _check_incomplete(self, buffer: Buffer) -> Malformed | None:
        """Garbage is rejected at once: waiting for its end would keep the connection until a timeout."""
        if len(buffer) > MAX_HEAD_BYTES:
            return Malformed("the head is too large", 431)
        if not self.checked:
            start = buffer.peek(66)
            if self.response and not STATUS_START.startswith(start[:7]):
                return Malformed("no status line")
            if not self.response and not METHOD_START.match(start):
                return Malformed("no request line")
        if self.checked >= EARLY_CHECK_BYTES:
            return None
        received = buffer.peek(EARLY_CHECK_BYTES)
        whole_lines = received.rfind(b"\r\n") + 2
        if whole_lines < 2 or whole_lines <= self.checked:
            return None
        lines = received[self.checked : whole_lines].decode("latin-1")
        malformed = _check_lines(lines, self.response, not self.checked)
        self.checked = whole_lines
        return malformed


def read_head(buffer: Buffer, response: bool = False) -> Head | Malformed | None:
    """Takes a complete head from the buffer. None: it has not arrived completely. A HeadReader does less work where a
    head arrives in pieces."""
    return HeadReader(response).read(buffer)


def _check_lines(text: str, response: bool, with_first: bool) -> Malformed | None:
    """Whether these complete lines may be lines of a head. `with_first`: they begin with its first line."""
    if with_first:
        first_line, _, text = text.partition("\r\n")
        first = _parse_first_line(first_line, response)
        if isinstance(first, Malformed):
            return first
    headers = _split_headers(text, response)
    return headers if isinstance(headers, Malformed) else None


def _parse_head(text: str, response: bool) -> Head | Malformed:
    """`text`: all lines of a head, without the empty one at its end."""
    first_line, _, lines = text.partition("\r\n")
    head = _parse_first_line(first_line, response)
    if isinstance(head, Malformed):
        return head
    if lines.count("\r\n") > MAX_HEADER_LINES:
        return Malformed("the head has too many lines", 431)
    headers = _split_headers(lines, response)
    if isinstance(headers, Malformed):
        return headers
    head.text_bytes = len(text)
    repeated: dict[str, list[str]] = {}
    for name, padded_value in headers:
        key, value = name.lower(), padded_value.strip(" \t")
        if key not in head.headers:
            head.headers[key] = value
        elif key in SINGLE_HEADERS or (not response and key.startswith("x-")):
            return Malformed(f"{key} is given twice")
        else:
            repeated.setdefault(key, [head.headers[key]]).append(value)
    for key, values in repeated.items():  # joined once: a join at each line copies the value each time
        head.headers[key] = ", ".join(values)
    return head


def _split_headers(lines: str, response: bool) -> list[tuple[str, str]] | Malformed:
    """Names and values, as they stand in these complete lines."""
    if HEADER_LINES.fullmatch(lines):
        return HEADER_LINE.findall(lines)
    if not response:
        return Malformed("a header is no header")
    readable: list[tuple[str, str]] = []
    for line in lines.split("\r\n")[:-1]:
        name, colon, value = line.partition(":")
        if not colon or not TOKEN.fullmatch(name):
            return Malformed("a header is no header")
        if not CONTROL.search(value):
            readable.append((name, value))
        elif name.lower() in REQUIRED_READABLE:  # any other header does not invalidate an answer
            return Malformed("a header is no header")
    return readable


def _parse_first_line(line: str, response: bool) -> Head | Malformed:
    if response:
        match = STATUS_LINE.fullmatch(line)
        return Head(status=int(match[2]), minor=int(match[1])) if match else Malformed("no status line")
    match = REQUEST_LINE.fullmatch(line)
    if not match:
        return Malformed("no request line")
    return Head(match[1], match[2], minor=int(match[3]))


class Body:
    """Reads one body from the buffer as it arrives; `done` once its end was read."""

    __slots__ = ("left", "chunked", "until_close", "done", "in_trailer", "chunk_end_pending", "trailer_size", "error",
                 "unread_lines")  # fmt: skip

    def __init__(self, length: int = 0, chunked: bool = False, until_close: bool = False) -> None:
        self.left = length
        self.chunked = chunked
        self.until_close = until_close
        self.in_trailer = False
        self.chunk_end_pending = False  # a chunk's data was read, the line end behind it was not
        self.trailer_size = 0  # bytes
        self.error: Malformed | None = None
        self.unread_lines = False  # the last call stopped at its limit; the buffer contains more
        self.done = not (length or chunked or until_close)

    def feed(self, buffer: Buffer, max_lines: int | None = None) -> bytes | Malformed:
        """The part of the body that the buffer contains, without the framing. At most `max_lines` lines of framing
        are read; `unread_lines` tells that there are more."""
        self.unread_lines = False
        if self.error is not None:
            return self.error
        if self.done:
            return b""
        if self.until_close:
            return buffer.take(len(buffer))
        if not self.chunked:
            data = buffer.take(self.left)
            self.left -= len(data)
            self.done = self.left == 0
            return data
        parts: list[bytes] = []
        lines = 0
        while not self.done:
            if lines == max_lines:
                self.unread_lines = True
                break
            if self.left:
                data = buffer.take(self.left)
                if not data:
                    break
                self.left -= len(data)
                parts.append(data)
                self.chunk_end_pending = self.left == 0
                continue
            if self.chunk_end_pending:
                if len(buffer) < 2:
                    break
                if buffer.take(2) != b"\r\n":
                    return self._set_error(parts, Malformed("a chunk without its end"))
                self.chunk_end_pending = False
            end = buffer.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES + 2)
            if end < 0:
                if len(buffer) > MAX_CHUNK_LINE_BYTES or not CHUNK_START.match(buffer.peek(16)):
                    return self._set_error(parts, Malformed("a chunk's line can't be read"))
                break
            line = buffer.take(end + 2)[:-2]
            lines += 1
            if self.in_trailer:
                self.trailer_size += len(line)
                if self.trailer_size > MAX_HEAD_BYTES:
                    return self._set_error(parts, Malformed("the trailer is too large", 431))
                self.done = not line
                continue
            size, _, _ = line.partition(b";")
            if not CHUNK_SIZE.fullmatch(size.strip(b" \t")):
                return self._set_error(parts, Malformed("a chunk without a size"))
            self.left = int(size, 16)
            if self.left > MAX_CHUNK_BYTES:
                return self._set_error(parts, Malformed("a chunk that is too large", 413))
            self.in_trailer = self.left == 0
        return b"".join(parts)

    def _set_error(self, parts: list[bytes], why: Malformed) -> bytes | Malformed:
        """Returns the data before the error if there is any; the next call returns the error itself."""
        self.error = why
        return b"".join(parts) if parts else why


def body_of(head: Head) -> Body | Malformed:
    """A reader for the body that follows this head, by its framing."""
    coding, length = head.headers.get("transfer-encoding"), head.headers.get("content-length")
    if head.status in (204, 304) or 100 <= head.status < 200:
        return Body()
    if coding is not None:
        # Both headers together are a vector for request smuggling.
        if coding.lower() != "chunked" or length is not None or head.minor == 0:
            return Malformed("a framing that is not understood")
        return Body(chunked=True)
    if length is not None:
        if not DIGITS.fullmatch(length.encode("latin-1")):
            return Malformed("a length that is no number")
        return Body(int(length))
    return Body(until_close=bool(head.status))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
