"""WebSocket (RFC 6455) on wsproto, with one protocol state machine per connection.

A connection sends `hello` first, with a token there or in its handshake. After that it may ask, resume, acknowledge
and cancel. Records of the asks that it owns are written as fast as the connection takes them. Close codes give the
cause (RFC 6455, 7.4; codes from 4000 on are our own).
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec
from wsproto.connection import Connection, ConnectionType
from wsproto.events import BytesMessage, CloseConnection, Message, TextMessage
from wsproto.events import Ping as PingFrame
from wsproto.events import Pong as PongFrame
from wsproto.extensions import Extension, PerMessageDeflate
from wsproto.frame_protocol import CloseReason, FrameDecoder, FrameProtocol, Opcode, RsvBits
from wsproto.utilities import LocalProtocolError, RemoteProtocolError, generate_accept_token

from pearstall.edge.frames import (
    CODECS,
    Ack,
    AskFor,
    AskStatus,
    Cancel,
    Ended,
    Error,
    Hello,
    Json,
    Leaving,
    MessagePack,
    Owned,
    Ping,
    Pong,
    Resume,
    Superseded,
    ToDevice,
    Welcome,
)
from pearstall.edge.keepalive import KeepAliveMonitor
from pearstall.edge.link import EdgeLink
from pearstall.edge.records import Problem
from pearstall.edge.sessions import Ask
from pearstall.edge.tokens import Device
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import Head

PROTOCOL_ERROR, UNSUPPORTED, BAD_DATA, TOO_BIG, TRY_LATER = 1002, 1003, 1007, 1009, 1013
UNAUTHORIZED, NO_HELLO, SILENT = 4401, 4408, 4409
MAX_OWNED = 64  # maximum number of asks that one connection reads at once
BATCH_BYTES = 16 * 1024  # maximum bytes of events in one message


class Deflate(PerMessageDeflate):
    """Per-message deflate (RFC 7692), which corrects two faults of wsproto 1.3: there, a control frame between the
    fragments of a message ends its decompression, and the size of a decompressed message is unlimited."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__()
        self.max_bytes = max_bytes
        self.control = False

    def frame_inbound_header(
        self, proto: FrameDecoder | FrameProtocol, opcode: Opcode, rsv: RsvBits, payload_length: int
    ) -> CloseReason | RsvBits:
        self.control = opcode.iscontrol()
        if self.control:
            return CloseReason.PROTOCOL_ERROR if rsv.rsv1 else RsvBits(True, False, False)
        return super().frame_inbound_header(proto, opcode, rsv, payload_length)

    def frame_inbound_payload_data(self, proto: FrameDecoder | FrameProtocol, data: bytes) -> bytes | CloseReason:
        if self.control or not self._inbound_compressed or self._decompressor is None:
            return data
        try:
            out = self._decompressor.decompress(bytes(data), self.max_bytes + 1)
        except zlib.error:
            return CloseReason.INVALID_FRAME_PAYLOAD_DATA
        return CloseReason.MESSAGE_TOO_BIG if self._decompressor.unconsumed_tail else out

    def frame_inbound_complete(self, proto: FrameDecoder | FrameProtocol, fin: bool) -> bytes | CloseReason | None:
        return None if self.control else super().frame_inbound_complete(proto, fin)


def accept(head: Head, deflate: int) -> tuple[bytes, str, list[Extension]] | str:
    """The response to a handshake (RFC 6455, 4.2), with the negotiated subprotocol and extensions; or what is wrong
    with the handshake. `deflate`: maximum size in bytes of a decompressed message; 0: no compression."""
    headers = head.headers
    if "upgrade" not in headers.get("connection", "").lower():
        return "Connection: Upgrade is missing"
    if headers.get("sec-websocket-version") != "13":
        return "Sec-WebSocket-Version: 13 is wanted"
    key = headers.get("sec-websocket-key", "")
    if len(key) != 24:
        return "Sec-WebSocket-Key is missing"
    offered = [word.strip() for word in headers.get("sec-websocket-protocol", "").split(",") if word.strip()]
    chosen = next((name for name in offered if name in CODECS), "" if offered else "pearstall.json.1")
    if not chosen:
        return f"Sec-WebSocket-Protocol: one of {', '.join(CODECS)} is wanted"
    lines = [
        "HTTP/1.1 101 Switching Protocols", "Upgrade: websocket", "Connection: Upgrade",
        f"Sec-WebSocket-Accept: {generate_accept_token(key.encode()).decode()}",
    ]  # fmt: skip
    if offered:
        lines.append(f"Sec-WebSocket-Protocol: {chosen}")
    extensions: list[Extension] = []
    offer = headers.get("sec-websocket-extensions", "")
    if deflate and "permessage-deflate" in offer:
        extension = Deflate(deflate)
        agreed = extension.accept(offer.split(",")[0])
        if agreed is not None:
            extensions.append(extension)
            lines.append("Sec-WebSocket-Extensions: permessage-deflate" + (f"; {agreed}" if agreed is not True
                         and agreed else ""))  # fmt: skip
    return "\r\n".join([*lines, "", ""]).encode(), chosen, extensions


def encode_frame(data: bytes, text: bool) -> bytes:
    """Encodes one message of a server as one unmasked frame (RFC 6455, 5.2). Encoding by wsproto's events, which is
    used for everything else, costs eleven times as much, and would be paid for each event that is passed on."""
    opcode, size = 0x81 if text else 0x82, len(data)
    if size < 126:
        return bytes((opcode, size)) + data
    if size < 1 << 16:
        return bytes((opcode, 126, size >> 8, size & 255)) + data
    return bytes((opcode, 127)) + size.to_bytes(8, "big") + data


class WebSocketWire:
    """One device's connection, which reads the asks that it owns."""

    def __init__(self, link: EdgeLink, codec: Json | MessagePack, token: str, extensions: list[Extension]) -> None:
        self.link, self.edge, self.codec, self.token = link, link.edge, codec, token
        self.socket = Connection(ConnectionType.SERVER, extensions)
        self.uncompressed = not extensions  # whether frames can be encoded without wsproto
        self.device: Device | None = None
        self.owned: dict[str, Ask] = {}
        self.sent: dict[str, int] = {}  # ask -> the highest number written
        self.parts: list[Any] = []
        self.size = 0
        self.ended = False
        clock = link.edge.deadlines.clock
        self.clock = clock.time
        self.keep_alive = KeepAliveMonitor(link.edge.config.keep_alive, clock.time())
        link.set_timer(link.edge.config.hello_within, lambda: self.close(NO_HELLO, "no hello came"))

    # -- Wire ----------------------------------------------------------------------------------------------

    def received(self, buffer: Buffer) -> None:
        self.keep_alive.received(self.clock())
        try:
            self.socket.receive_data(buffer.take(len(buffer)))
            for event in self.socket.events():
                self._event(event)
                if self.ended:
                    return
        except RemoteProtocolError as error:
            self.close(PROTOCOL_ERROR, str(error)[:100])

    def writable(self) -> None:
        """Writes the asks in turn, so that a long answer doesn't delay a short one."""
        for ask in list(self.owned.values()):
            if self.link.full or self.ended:
                return
            self.ready(ask)

    def lost(self) -> None:
        self.ended = True
        owned, self.owned = self.owned, {}
        for ask in owned.values():
            ask.detach(self)

    def leaving(self) -> None:
        self.send(Leaving(int(self.edge.config.drain * 1000)))

    # -- sessions.Reader -----------------------------------------------------------------------------------

    def attached(self, ask: Ask, last: int) -> None:
        self.owned[ask.id] = ask
        self.sent[ask.id] = last
        self.send(Owned(ask.id, ask.epoch, ask.latest))
        self.ready(ask)

    def ready(self, ask: Ask) -> None:
        at = self.sent.get(ask.id)
        if at is None:
            return
        while not self.link.full and not self.ended:
            events = ask.after(at, BATCH_BYTES)
            if not events:
                break
            self._write(self.codec.events(ask.id, at + 1, events))
            at += len(events)
            self.sent[ask.id] = at
        final = ask.final
        if final is not None and at == final.number - 1 and not self.link.full:
            self.sent[ask.id] = final.number
            self.send(Ended(ask.id, final))

    def superseded(self, ask: Ask) -> None:
        self._drop(ask.id)
        self.send(Superseded(ask.id, ask.epoch))

    # -- messages ------------------------------------------------------------------------------------------

    def _event(self, event: Any) -> None:
        if isinstance(event, Message):
            self.size += len(event.data)
            if self.size > self.edge.config.most_message:
                self.close(TOO_BIG, f"messages hold {self.edge.config.most_message} bytes at most")
                return
            self.parts.append(event.data)
            if event.message_finished:
                data = self.parts[0] if len(self.parts) == 1 else type(event.data)().join(self.parts)
                self.parts, self.size = [], 0
                if isinstance(event, TextMessage if self.codec.text else BytesMessage):
                    self._message(data)
                else:
                    self.close(UNSUPPORTED, f"{'text' if self.codec.text else 'binary'} messages are wanted")
        elif isinstance(event, PingFrame):
            self._frame(event.response())
        elif isinstance(event, PongFrame):
            self.keep_alive.pong_received(self.clock())
        elif isinstance(event, CloseConnection):
            self._frame(event.response())
            self.ended = True
            self.link.close()

    def _message(self, data: bytes | str) -> None:
        try:
            message = self.codec.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.close(BAD_DATA, f"no message of ours: {error}"[:100])
            return
        if self.device is None:
            if isinstance(message, Hello):
                self._hello(message)
            else:
                self.close(UNAUTHORIZED, "hello comes first")
        elif isinstance(message, AskFor):
            if message.ask not in self.owned and len(self.owned) >= MAX_OWNED:
                self._problem(Problem("too_many_asks", "this connection reads enough asks", 429), message.ask)
                return
            try:
                body = self.codec.body(message.body)
            except (msgspec.DecodeError, TypeError) as error:
                self._problem(Problem("bad_ask", f"body: {error}", 400), message.ask)
                return
            self._report_failure(
                self.edge.ask(
                    self.device,
                    message.ask,
                    message.lane,
                    body,
                    self,
                    message.last,
                    message.remaining,
                    check_storm=False,
                ),
                message.ask,
            )
        elif isinstance(message, Resume):
            self._resume(message.ask, message.last)
        elif isinstance(message, Ack):
            done = self.edge.acknowledge(self.device, message.ask, message.number, self)
            if isinstance(done, Problem):
                self._problem(done, message.ask)
            elif done is not None:
                self._drop(message.ask)
        elif isinstance(message, Cancel):
            ended = self.edge.cancel(self.device, message.ask)
            if isinstance(ended, Problem):
                self._problem(ended, message.ask)
            elif message.ask not in self.owned:
                self.send(Ended(message.ask, ended))
        elif isinstance(message, Ping):
            self.send(Pong(message.at))

    def _hello(self, hello: Hello) -> None:
        device = self.edge.authenticate(hello.token or self.token)
        if isinstance(device, Problem):
            self._problem(device, "")
            self.close(UNAUTHORIZED, device.code)
            return
        session = self.edge.sessions.find(device.id, device.tenant)
        wait = self.edge.arrive(device.id, bool(hello.resume or (session is not None and session.asks)))
        if wait is not None:
            self._problem(wait, "")
            self.close(TRY_LATER, wait.code)
            return
        self.device = device
        statuses = []
        for ask in ((session.asks or {}) if session is not None else {}).values():
            statuses.append(AskStatus(ask.id, ask.state.name.lower(), ask.first, ask.latest))
        self.send(Welcome(device.id, statuses, int(self.keep_alive.interval * 1000)))
        for position in hello.resume[:MAX_OWNED]:
            self._resume(position.ask, position.last, check_storm=False)
        if self.edge.leaving_at:
            self.leaving()
        self._check_keep_alive()

    def _resume(self, id: str, last: int, check_storm: bool = True) -> None:
        assert self.device is not None
        self._report_failure(self.edge.attach(self.device, id, self, last, check_storm), id)

    def _report_failure(self, found: Ask | Problem, id: str) -> None:
        if isinstance(found, Problem):
            self._problem(found, id)

    def _drop(self, id: str) -> None:
        self.owned.pop(id, None)
        self.sent.pop(id, None)

    def _problem(self, problem: Problem, id: str) -> None:
        self.send(Error(problem.code, problem.detail, id, int(problem.retry_after * 1000), problem.final))

    # -- the connection ------------------------------------------------------------------------------------

    def send(self, message: ToDevice) -> None:
        self._write(self.codec.encode(message))

    def _write(self, data: bytes) -> None:
        if self.ended:
            return
        if self.uncompressed:
            self.link.write(encode_frame(data, self.codec.text))
        else:
            self._frame(TextMessage(data.decode()) if self.codec.text else BytesMessage(data))

    def _frame(self, event: Any) -> None:
        try:
            self.link.write(self.socket.send(event))
        except LocalProtocolError:
            self.ended = True  # the connection has been closed meanwhile

    def close(self, code: int, why: str) -> None:
        if not self.ended:
            self._frame(CloseConnection(code, why.encode()[:120].decode(errors="ignore")))
            self.ended = True
            self.link.close()

    def _check_keep_alive(self) -> None:
        action, wait = self.keep_alive.next_action(self.clock())
        if action == "dead":
            # Half open: nothing is received any more. Its asks are away from now on, until the device reconnects.
            self.edge.note(
                "link_dead", device=self.device.id if self.device else "", within=self.keep_alive.answer_timeout
            )
            self.close(SILENT, "no answer to a ping")
            self.link.abort()
            return
        if action == "ping":
            self.keep_alive.ping(self.clock())
            self._frame(PingFrame(b"p"))
            wait = self.keep_alive.answer_timeout
        self.link.set_timer(max(wait, 0.01), self._check_keep_alive)
