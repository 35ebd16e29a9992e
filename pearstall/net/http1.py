"""HTTP/1.1, incremental and without I/O: heads, bodies in every framing. Errors are values."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from pearstall.net.buffer import Buffer

LARGEST_HEAD = 32768
LARGEST_LINE = 1024  # of a chunk's size, with its extensions
LARGEST_CHUNK = 4 << 20  # a size that claims gigabytes is a broken one, and would pass for endless data
CLOSELY = 4096  # a head up to here has every line read as it comes; of a longer one only the latest
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([01])")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9][0-9])(?: .*)?")
SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")
CHUNK_START = re.compile(rb"[0-9A-Fa-f]{0,15}(?:[ \t;\r]|$)")
DIGITS = re.compile(rb"[0-9]{1,15}")
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
METHOD_START = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}(?: |$)")
STATUS_START = b"HTTP/1."
# Given twice, each would be joined to something that nobody sent.
ONCE = {"content-length", "transfer-encoding", "host"}
FRAMING = {"content-length", "transfer-encoding", "connection", "content-type"}

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    408: "Request Timeout", 409: "Conflict", 429: "Too Many Requests", 422: "Unprocessable Content",
    431: "Request Header Fields Too Large", 500: "Internal Server Error",
    502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Malformed:
    """What came is no message; `status` is what a client that sent it is told."""

    why: str
    status: int = 400


@dataclass(slots=True)
class Head:
    """Of a request, or of a response where `status` is set. Names of headers are in lower case."""

    method: str = ""
    target: str = ""
    status: int = 0
    minor: int = 1
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def keeps(self) -> bool:
        """Whether the connection stays open after this message."""
        words = [word.strip() for word in self.headers.get("connection", "").lower().split(",")]
        return "close" not in words and (self.minor == 1 or "keep-alive" in words)


@dataclass(slots=True)
class Reply:
    """A whole answer of ours."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"

    def encode(self, close: bool, name: str = "") -> bytes:
        """`name`: a header line that names the answer, or nothing."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        if self.body:
            lines.append(f"Content-Type: {self.content_type}")
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        if name:
            lines.append(name)
        if close:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


class UnknownClass(Reply):
    """To a request whose class is not in the settings: its client's fault, counted by itself."""


def read_head(buffer: Buffer, response: bool = False) -> Head | Malformed | None:
    """Takes a whole head from the buffer; None: it has not all come."""
    while not response and buffer.peek(2) == b"\r\n":
        buffer.skip(2)  # some clients end a body with an empty line of their own
    if not len(buffer) or (not response and buffer.peek(2) == b"\r"):
        return None
    end = buffer.find(b"\r\n\r\n", 0, LARGEST_HEAD + 4)
    if end < 0:
        if len(buffer) > LARGEST_HEAD:
            return Malformed("the head is too large", 431)
        # Garbage shows at once; waiting for the end of a head would leave it hanging until a deadline.
        start = buffer.peek(66)
        if response and not STATUS_START.startswith(start[:7]):
            return Malformed("no status line")
        if not response and not METHOD_START.match(start):
            return Malformed("no request line")
        come = buffer.peek(CLOSELY)
        if b"\r\n" not in come:
            return None
        found = _lines(come.split(b"\r\n")[:-1], response)
        return found if isinstance(found, Malformed) else None
    return _lines(buffer.take(end + 4)[:-4].split(b"\r\n"), response)


def _lines(lines: list[bytes], response: bool) -> Head | Malformed:
    head = _first_line(lines[0], response)
    if isinstance(head, Malformed):
        return head
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            return Malformed("a header is no header")
        key, text = name.decode("ascii").lower(), value.strip(b" \t").decode("latin-1")
        if CONTROL.search(value):
            if response and key not in FRAMING:
                continue  # a report that can't be read spoils no good answer
            return Malformed("a header is no header")
        if key in head.headers:
            if key in ONCE or (not response and key.startswith("x-")):
                return Malformed(f"{key} is given twice")
            text = f"{head.headers[key]}, {text}"
        head.headers[key] = text
    return head


def _first_line(line: bytes, response: bool) -> Head | Malformed:
    if response:
        match = STATUS_LINE.fullmatch(line)
        return Head(status=int(match[2]), minor=int(match[1])) if match else Malformed("no status line")
    match = REQUEST_LINE.fullmatch(line)
    if not match:
        return Malformed("no request line")
    return Head(match[1].decode("ascii"), match[2].decode("ascii"), minor=int(match[3]))


class Body:
    """Reads one body from the buffer as it comes; `done` once its end was read."""

    __slots__ = ("left", "chunked", "until_close", "done", "in_trailer", "data_end", "trailer", "spoilt")

    def __init__(self, length: int = 0, chunked: bool = False, until_close: bool = False) -> None:
        self.left = length
        self.chunked = chunked
        self.until_close = until_close
        self.in_trailer = False
        self.data_end = False  # a chunk's data was read, its line end was not
        self.trailer = 0
        self.spoilt: Malformed | None = None
        self.done = not (length or chunked or until_close)

    def feed(self, buffer: Buffer) -> bytes | Malformed:
        """What the buffer holds of it, without the framing."""
        if self.spoilt is not None:
            return self.spoilt
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
        while not self.done:
            if self.left:
                data = buffer.take(self.left)
                if not data:
                    break
                self.left -= len(data)
                parts.append(data)
                self.data_end = self.left == 0
                continue
            if self.data_end:
                if len(buffer) < 2:
                    break
                if buffer.take(2) != b"\r\n":
                    return self._spoilt(parts, Malformed("a chunk without its end"))
                self.data_end = False
            end = buffer.find(b"\r\n", 0, LARGEST_LINE + 2)
            if end < 0:
                if len(buffer) > LARGEST_LINE or not CHUNK_START.match(buffer.peek(16)):
                    return self._spoilt(parts, Malformed("a chunk's line can't be read"))
                break
            line = buffer.take(end + 2)[:-2]
            if self.in_trailer:
                self.trailer += len(line)
                if self.trailer > LARGEST_HEAD:
                    return self._spoilt(parts, Malformed("the trailer is too large", 431))
                self.done = not line
                continue
            size, _, _ = line.partition(b";")
            if not SIZE.fullmatch(size.strip(b" \t")):
                return self._spoilt(parts, Malformed("a chunk without a size"))
            self.left = int(size, 16)
            if self.left > LARGEST_CHUNK:
                return self._spoilt(parts, Malformed("a chunk that is too large", 413))
            self.in_trailer = self.left == 0
        return b"".join(parts)

    def _spoilt(self, parts: list[bytes], why: Malformed) -> bytes | Malformed:
        """What came whole before it is given first; `spoilt` tells why nothing follows."""
        self.spoilt = why
        return b"".join(parts) if parts else why


def body_of(head: Head) -> Body | Malformed:
    """The framing of the body that follows this head."""
    coding, length = head.headers.get("transfer-encoding"), head.headers.get("content-length")
    if head.status in (204, 304) or 100 <= head.status < 200:
        return Body()
    if coding is not None:
        # Both together is how requests are smuggled past a router.
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
