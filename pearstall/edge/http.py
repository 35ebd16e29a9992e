"""The edge over plain HTTP: asks by POST, answers as a stream of server-sent events or by long polls.

    POST   /v1/asks                  Idempotency-Key: ID; the body is that of a chat completion
    GET    /v1/asks                  lists the device's asks
    GET    /v1/asks/ID/events        text/event-stream; Last-Event-ID, or ?after=N
    GET    /v1/asks/ID/poll?after=N&wait=S&epoch=E    E: the epoch of the previous poll, if any
    POST   /v1/asks/ID/ack           {"number": N, "epoch": E}
    DELETE /v1/asks/ID               cancels
    GET    /v1/device                upgrades to a WebSocket

Problems are encoded by RFC 9457. Event streams follow WHATWG HTML, 9.2; a record's number is its `id`.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec

from pearstall.edge.frames import CODECS, AskStatus, Ended, Events
from pearstall.edge.link import EdgeLink
from pearstall.edge.records import Final, Problem, line_end
from pearstall.edge.service import LEAVING
from pearstall.edge.sessions import Ask
from pearstall.edge.tokens import NAME, Device
from pearstall.edge.websocket import WebSocketWire, accept
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import (
    LAST_CHUNK,
    Body,
    Head,
    HeadReader,
    Malformed,
    Reply,
    body_of,
    chunk,
)
from pearstall.net.pending import pending
from pearstall.net.platform import decimal

ASKS, DEVICE, HEALTH = "/v1/asks", "/v1/device", "/_health"
REQUEST_TIMEOUT = 10.0  # seconds to receive a whole request: these connections are slow
IDLE_TIMEOUT = 60.0  # seconds between two requests
BATCH_BYTES = 16 * 1024
POLL_BYTES = 256 * 1024
PROBLEMS = "https://pearstall.example/problems/"
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nX-Accel-Buffering: no\r\n"
    "Transfer-Encoding: chunked\r\nConnection: close\r\nPearstall-Epoch: "
)


class AckBody(msgspec.Struct, forbid_unknown_fields=True):
    number: int
    epoch: int


def problem_reply(problem: Problem) -> Reply:
    """A problem by RFC 9457, with the final record and the retry advice as extension members."""
    body: dict[str, object] = {
        "type": PROBLEMS + problem.code, "title": problem.code.replace("_", " "),
        "status": problem.status, "detail": problem.detail,
    }  # fmt: skip
    reply = Reply(problem.status, b"", {}, "application/problem+json")
    if problem.retry_after:
        body["retry_after_ms"] = int(problem.retry_after * 1000)
        reply.headers["Retry-After"] = str(math.ceil(problem.retry_after))
    if problem.status == 401:
        reply.headers["WWW-Authenticate"] = "Bearer"
    if problem.final is not None:
        body["final"] = problem.final
    reply.body = msgspec.json.encode(body)
    return reply


def sse_event(number: int, event: bytes) -> bytes:
    """Adds the number to an event. The last `id` field of an event counts, so ours goes last if it has one."""
    if b"id" not in event:
        return b"id: %d\n%b" % (number, event)
    end = line_end(event)
    return b"%bid: %d%b%b" % (event[: -len(end)], number, end, end)


def sse_final(final: Final) -> bytes:
    return b"event: final\nid: %d\ndata: %b\n\n" % (final.number, msgspec.json.encode(final))


class HttpWire:
    """The requests of a device on one connection, one after the other."""

    def __init__(self, link: EdgeLink) -> None:
        self.link, self.edge = link, link.edge
        self.head_reader = HeadReader()
        self.head: Head | None = None
        self.body: Body | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.reading: Stream | Poll | None = None
        self.request_begun = False
        self.requests_answered = 0

    def received(self, buffer: Buffer) -> None:
        while len(buffer) and not self.link.closing and self.link.wire is self and self.reading is None:
            if self.head is None:
                if not self.request_begun:
                    self.request_begun = True
                    self.link.set_timer(REQUEST_TIMEOUT, self._too_slow)
                head = self.head_reader.read(buffer)
                if head is None:
                    return
                if isinstance(head, Malformed):
                    self.reply(problem_reply(Problem("malformed", head.why, head.status)), last=True)
                    return
                body = body_of(head)
                if isinstance(body, Malformed):
                    self.reply(problem_reply(Problem("malformed", body.why, body.status)), last=True)
                    return
                self.head, self.body = head, body
                self.parts, self.size = [], 0
                if head.headers.get("expect", "").lower() == "100-continue" and not body.done:
                    self.link.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            assert self.body is not None
            data = self.body.feed(buffer)
            if isinstance(data, Malformed):
                self.reply(problem_reply(Problem("malformed", data.why, data.status)), last=True)
                return
            self.parts.append(data)
            self.size += len(data)
            if max(self.size, self.body.left) > self.edge.config.most_message:
                self.reply(problem_reply(Problem("too_large", "the body is too large", 413)), last=True)
                return
            if not self.body.done:
                return
            self.link.set_timer(0)
            self._request(self.head, b"".join(self.parts))

    def writable(self) -> None:
        if self.reading is not None:
            self.reading.writable()

    def lost(self) -> None:
        if self.reading is not None:
            self.reading.lost()

    def leaving(self) -> None:
        """Closes an idle connection, but not a new one, nor one with an unread request."""
        transport = self.link.transport
        idle = self.requests_answered and self.reading is None and self.head is None and not self.request_begun
        if idle and transport is not None and not pending(transport):
            self.link.close()

    def _too_slow(self) -> None:
        self.reply(problem_reply(Problem("too_slow", "the request has not come whole", 408)), last=True)

    def reply(self, reply: Reply, last: bool = False) -> None:
        head = self.head
        last = last or (head is not None and not head.keep_alive) or bool(self.edge.leaving_at)
        if head is not None and head.method == "HEAD":
            reply.body = b""
        origin = head.headers.get("origin", "") if head is not None else ""
        if origin and origin in self.edge.config.allow_origins:
            reply.headers |= {"Access-Control-Allow-Origin": origin, "Vary": "Origin"}
        self.link.write(reply.encode(last))
        self.end_request(last)

    def end_request(self, last: bool) -> None:
        self.head, self.body, self.reading, self.request_begun = None, None, None, False
        self.requests_answered += 1
        self.parts, self.size = [], 0
        if last:
            self.link.close()
        else:
            self.link.set_timer(IDLE_TIMEOUT)

    # -- requests ------------------------------------------------------------------------------------------

    def _request(self, head: Head, body: bytes) -> None:
        path, query = head.path, dict(parse_qsl(head.target.partition("?")[2]))
        if path == HEALTH:
            self.reply(Reply(200 if self.edge.front.ready and not self.edge.leaving_at else 503))
            return
        token = head.headers.get("authorization", "").removeprefix("Bearer ").strip()
        if path == DEVICE:
            self._upgrade(head, token)
            return
        if head.method == "OPTIONS" and head.headers.get("origin", "") in self.edge.config.allow_origins:
            allowed = {
                "Access-Control-Allow-Methods": "GET, POST, DELETE", "Access-Control-Max-Age": "600",
                "Access-Control-Allow-Headers":
                    "Authorization, Content-Type, Idempotency-Key, Last-Event-ID, X-Lane, X-Remaining",
            }  # fmt: skip
            self.reply(Reply(204, b"", allowed))
            return
        device = self.edge.authenticate(token)
        if isinstance(device, Problem):
            self.reply(problem_reply(device))
            return
        if path == ASKS:
            self._asks(device, head, body)
            return
        id, _, action = path.removeprefix(ASKS + "/").partition("/")
        route = ROUTES.get(action) if path.startswith(ASKS + "/") and id else None
        if route is None:
            self.reply(problem_reply(Problem("no_such_path", f"nothing is at {path}", 404)))
        elif head.method != route[0]:
            reply = problem_reply(Problem("method_not_allowed", f"{route[0]} is wanted", 405))
            reply.headers["Allow"] = route[0]
            self.reply(reply)
        else:
            route[1](self, device, id, head, body, query)

    def _upgrade(self, head: Head, token: str) -> None:
        if head.headers.get("upgrade", "").lower() != "websocket":
            reply = problem_reply(Problem("upgrade_wanted", "a WebSocket is at this path", 426))
            reply.headers["Upgrade"] = "websocket"
            self.reply(reply)
            return
        if self.edge.leaving_at:
            self.reply(problem_reply(LEAVING), last=True)
            return
        agreed = accept(head, self.edge.config.deflate and self.edge.config.most_message)
        if isinstance(agreed, str):
            self.reply(problem_reply(Problem("bad_handshake", agreed, 400)))
            return
        answer, name, extensions = agreed
        self.link.write(answer)
        self.link.wire = WebSocketWire(self.link, CODECS[name], token, extensions)
        if len(self.link.buffer):
            self.link.read()

    def _asks(self, device: Device, head: Head, body: bytes) -> None:
        if head.method == "GET":
            session = self.edge.sessions.find(device.id, device.tenant)
            asks = (session.asks or {}).values() if session is not None else ()
            rows = [AskStatus(ask.id, ask.state.name.lower(), ask.first, ask.latest) for ask in asks]
            self.reply(Reply(200, msgspec.json.encode({"asks": rows})))
            return
        if head.method != "POST":
            reply = problem_reply(Problem("method_not_allowed", "GET or POST is wanted", 405))
            reply.headers["Allow"] = "GET, POST"
            self.reply(reply)
            return
        id = head.headers.get("idempotency-key", "").strip('"')
        if not NAME.fullmatch(id.replace(".", "_").replace(":", "_")):
            self.reply(problem_reply(Problem(
                "no_key", "Idempotency-Key: 1 to 64 letters, digits or . : _ - are wanted", 400)))  # fmt: skip
            return
        remaining = None
        if "x-remaining" in head.headers:
            remaining = decimal(head.headers["x-remaining"])
            if remaining is None:
                self.reply(problem_reply(Problem("bad_ask", "X-Remaining is no number of seconds", 400)))
                return
        streams = "text/event-stream" in head.headers.get("accept", "")
        stream = Stream(self) if streams else None
        last = self._position(head, {}) if streams else 0
        if isinstance(last, Problem):
            self.reply(problem_reply(last))
            return
        made = self.edge.ask(device, id, head.headers.get("x-lane", ""), body, stream, last, remaining)
        if isinstance(made, Problem):
            self.reply(problem_reply(made))
        elif stream is None:
            row = AskStatus(made.id, made.state.name.lower(), made.first, made.latest)
            self.reply(Reply(202, msgspec.json.encode(row), {"Location": f"{ASKS}/{made.id}/events"}))

    def _position(self, head: Head, query: dict[str, str]) -> int | Problem:
        text = head.headers.get("last-event-id") or query.get("after") or "0"
        if not text.isascii() or not text.isdigit() or len(text) > 15:
            return Problem("bad_position", f"the number of a record is wanted, not {text[:20]!r}", 400)
        return int(text)

    def _events(self, device: Device, id: str, head: Head, body: bytes, query: dict[str, str]) -> None:
        last = self._position(head, query)
        found = last if isinstance(last, Problem) else self.edge.attach(device, id, Stream(self), last)
        if isinstance(found, Problem):
            self.reply(problem_reply(found))

    def _poll(self, device: Device, id: str, head: Head, body: bytes, query: dict[str, str]) -> None:
        last, wait = self._position(head, query), decimal(query.get("wait", "0"))
        if wait is None:
            last = Problem("bad_wait", "wait: a number of seconds is wanted", 400)
        if isinstance(last, Problem):
            self.reply(problem_reply(last))
            return
        as_msgpack = "application/msgpack" in head.headers.get("accept", "")
        poll = Poll(self, min(wait or 0.0, self.edge.config.poll_most), as_msgpack)
        # A poll carries on the epoch of the previous one. Otherwise an old connection that keeps polling would take
        # the ask back from a newer one again and again.
        text = query.get("epoch", "")
        epoch = int(text) if text.isascii() and text.isdigit() and len(text) < 16 else None
        found = self.edge.attach(device, id, poll, last, epoch=epoch)
        if isinstance(found, Problem):
            self.reply(problem_reply(found))

    def _ack(self, device: Device, id: str, head: Head, body: bytes, query: dict[str, str]) -> None:
        try:
            ack = msgspec.json.decode(body, type=AckBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.reply(problem_reply(Problem("bad_ack", str(error), 400)))
            return
        done = self.edge.acknowledge(device, id, ack.number, ack.epoch)
        if isinstance(done, Problem):
            self.reply(problem_reply(done))
        elif done is None:
            self.reply(Reply(204))
        else:
            self.reply(Reply(200, msgspec.json.encode({"ask": id, "final": done})))

    def _cancel(self, device: Device, id: str, head: Head, body: bytes, query: dict[str, str]) -> None:
        final = self.edge.cancel(device, id)
        if isinstance(final, Problem):
            self.reply(problem_reply(final))
        else:
            self.reply(Reply(200, msgspec.json.encode({"ask": id, "final": final})))


Route = Callable[[HttpWire, Device, str, Head, bytes, dict[str, str]], None]
ROUTES: dict[str, tuple[str, Route]] = {
    "": ("DELETE", HttpWire._cancel),
    "events": ("GET", HttpWire._events),
    "poll": ("GET", HttpWire._poll),
    "ack": ("POST", HttpWire._ack),
}


class Stream:
    """Reads an ask as server-sent events, up to its final record."""

    def __init__(self, wire: HttpWire) -> None:
        self.wire, self.link, self.edge = wire, wire.link, wire.edge
        self.ask: Ask | None = None
        self.at = 0  # the number of the last record written
        self.done = False
        self.last_write = self.edge.deadlines.clock.time()

    def attached(self, ask: Ask, last: int) -> None:
        self.ask, self.at = ask, last
        self.wire.reading = self
        first_event = b'event: attached\ndata: {"epoch":%d}\n\n' % ask.epoch
        self.link.write(f"{STREAM_HEAD}{ask.epoch}\r\n\r\n".encode() + chunk(first_event))
        self._send_keep_alive()
        self.ready(ask)

    def ready(self, ask: Ask) -> None:
        if self.ask is not ask:
            return
        wrote = False
        while not self.link.full and not self.done:
            events = ask.after(self.at, BATCH_BYTES)
            if not events:
                break
            out = [sse_event(number, event) for number, event in enumerate(events, self.at + 1)]
            self.link.write(chunk(b"".join(out)))
            self.at += len(events)
            wrote = True
        final = ask.final
        if final is not None and self.at == final.number - 1 and not self.link.full and not self.done:
            self.at = final.number
            self._end(sse_final(final))
        elif wrote:
            self.last_write = self.edge.deadlines.clock.time()

    def writable(self) -> None:
        if self.ask is not None and not self.done:
            self.ready(self.ask)

    def superseded(self, ask: Ask) -> None:
        if not self.done:
            self._end(b'event: superseded\ndata: {"epoch":%d}\n\n' % ask.epoch)

    def lost(self) -> None:
        self.done = True
        if self.ask is not None:
            self.ask.detach(self)

    def _send_keep_alive(self) -> None:
        """Sends a comment after a silent interval: a device can't tell a silent connection from a dead one."""
        silence = self.edge.deadlines.clock.time() - self.last_write
        least = self.edge.config.keep_alive.least
        if silence >= least and not self.link.full:
            self.link.write(chunk(b":\n\n"))
            silence = 0.0
        self.link.set_timer(max(0.05, least - silence), self._send_keep_alive)

    def _end(self, last: bytes) -> None:
        self.done = True
        self.link.write(chunk(last) + LAST_CHUNK)
        if self.ask is not None:
            self.ask.detach(self)
        self.wire.end_request(last=True)


class Poll:
    """Reads an ask once: the records that there are, or the first ones that arrive within `wait` seconds."""

    def __init__(self, wire: HttpWire, wait: float, as_msgpack: bool) -> None:
        self.wire, self.link = wire, wire.link
        self.wait, self.as_msgpack = wait, as_msgpack
        self.ask: Ask | None = None
        self.at = 0  # the number of the last record that the device holds
        self.epoch = 0

    def attached(self, ask: Ask, last: int) -> None:
        self.ask, self.at, self.epoch = ask, last, ask.epoch
        self.wire.reading = self
        self.ready(ask)
        if self.ask is not None:
            if self.wait:
                self.link.set_timer(self.wait, self.answer)
            else:
                self.answer()

    def ready(self, ask: Ask) -> None:
        if self.ask is ask and (ask.latest > self.at):
            self.answer()

    def answer(self) -> None:
        ask, self.ask = self.ask, None
        if ask is None:
            return
        records: list[Events | Ended] = []
        events = ask.after(self.at, POLL_BYTES)
        if events:
            records.append(Events(ask.id, self.at + 1, data=events))
            if not self.as_msgpack:
                with contextlib.suppress(UnicodeDecodeError):  # otherwise they stay in `data`, as base64
                    records = [Events(ask.id, self.at + 1, [event.decode() for event in events])]
        if ask.final is not None and self.at + len(events) == ask.final.number - 1:
            records.append(Ended(ask.id, ask.final))
        ask.detach(self)
        body = {"ask": ask.id, "epoch": self.epoch, "records": records}
        if self.as_msgpack:
            self.wire.reply(Reply(200, msgspec.msgpack.encode(body), {}, "application/msgpack"))
        else:
            self.wire.reply(Reply(200, msgspec.json.encode(body)))
        if not self.link.closing and len(self.link.buffer):
            self.link.read()

    def writable(self) -> None:
        pass  # the answer is written in one piece

    def superseded(self, ask: Ask) -> None:
        if self.ask is not None:
            self.ask = None
            self.wire.reply(problem_reply(Problem("superseded", "a newer connection reads this ask", 409)))

    def lost(self) -> None:
        ask, self.ask = self.ask, None
        if ask is not None:
            ask.detach(self)
