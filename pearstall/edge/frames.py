"""The messages between devices and the edge, defined once for both JSON and MessagePack. No I/O.

Every message is a map with a `type`. In MessagePack an event is a binary string. In JSON it is text, unless it is not
valid UTF-8: then it is sent in `data` as base64.
"""

from __future__ import annotations

from typing import Annotated, Protocol

import msgspec

from pearstall.edge.records import Final

Id = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.:-]{1,64}$")]
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


class Position(msgspec.Struct, forbid_unknown_fields=True):
    """`last`: the highest record number of the ask that the device holds; 0: none."""

    ask: Id
    last: Number = 0


# -- from devices ------------------------------------------------------------------------------------------


class Hello(msgspec.Struct, tag="hello", forbid_unknown_fields=True):
    """The first message. `token` may be omitted if the handshake carried it."""

    token: str = ""
    resume: list[Position] = []


class AskFor(msgspec.Struct, tag="ask", forbid_unknown_fields=True):
    """`body`: the body of a chat completion. `remaining`: seconds that the device will wait for the first event."""

    ask: Id
    body: msgspec.Raw
    last: Number = 0
    lane: str = ""
    remaining: Annotated[float, msgspec.Meta(ge=0, le=3600)] | None = None


class Resume(msgspec.Struct, tag="resume", forbid_unknown_fields=True):
    ask: Id
    last: Number = 0


class Ack(msgspec.Struct, tag="ack", forbid_unknown_fields=True):
    """Acknowledges all records up to this number."""

    ask: Id
    number: Number


class Cancel(msgspec.Struct, tag="cancel", forbid_unknown_fields=True):
    ask: Id


class Ping(msgspec.Struct, tag="ping", forbid_unknown_fields=True):
    at: float = 0.0


# -- to devices --------------------------------------------------------------------------------------------


class AskStatus(msgspec.Struct):
    """The state of an ask at the edge, which stores its records `first` to `latest`."""

    ask: str
    state: str
    first: int
    latest: int


class Welcome(msgspec.Struct, tag="welcome"):
    device: str
    asks: list[AskStatus]
    keep_alive_ms: int


class Owned(msgspec.Struct, tag="owned"):
    """The connection reads the ask from now on, under this epoch."""

    ask: str
    epoch: int
    latest: int


class Events(msgspec.Struct, tag="events", omit_defaults=True):
    """Whole events of the answer, unchanged, numbered from `first`."""

    ask: str
    first: int
    text: list[str] = []
    data: list[bytes] = []

    @property
    def events(self) -> list[bytes]:
        return self.data or [text.encode() for text in self.text]


class Ended(msgspec.Struct, tag="final"):
    ask: str
    final: Final


class Superseded(msgspec.Struct, tag="superseded"):
    ask: str
    epoch: int


class Error(msgspec.Struct, tag="error", omit_defaults=True):
    """`final`: the final record of the ask, if there is one."""

    code: str
    detail: str
    ask: str = ""
    retry_after_ms: int = 0
    final: Final | None = None


class Pong(msgspec.Struct, tag="pong"):
    at: float = 0.0


class Leaving(msgspec.Struct, tag="leaving"):
    """The edge is shutting down: it accepts no new asks, and devices should fetch their answers now."""

    within_ms: int


FromDevice = Hello | AskFor | Resume | Ack | Cancel | Ping
ToDevice = Welcome | Owned | Events | Ended | Superseded | Error | Pong | Leaving


class Codec(Protocol):
    name: str
    text: bool

    def decode(self, data: bytes | str) -> FromDevice:
        """Raises a msgspec.DecodeError if the data is not one of the messages."""

    def encode(self, message: ToDevice) -> bytes: ...

    def events(self, ask: str, first: int, events: list[bytes]) -> bytes: ...

    def body(self, raw: msgspec.Raw) -> bytes:
        """The body of an ask as JSON."""


class Json:
    name = "pearstall.json.1"
    text = True

    def __init__(self) -> None:
        self._decoder: msgspec.json.Decoder[FromDevice] = msgspec.json.Decoder(FromDevice)
        self._client: msgspec.json.Decoder[ToDevice] = msgspec.json.Decoder(ToDevice)
        self._encoder = msgspec.json.Encoder()

    def decode(self, data: bytes | str) -> FromDevice:
        return self._decoder.decode(data)

    def encode(self, message: ToDevice | FromDevice) -> bytes:
        return self._encoder.encode(message)

    def events(self, ask: str, first: int, events: list[bytes]) -> bytes:
        try:
            return self._encoder.encode(Events(ask, first, [event.decode() for event in events]))
        except UnicodeDecodeError:
            return self._encoder.encode(Events(ask, first, data=events))

    def body(self, raw: msgspec.Raw) -> bytes:
        return bytes(raw)

    def read(self, data: bytes | str) -> ToDevice:
        """Decodes a message on the device's side."""
        return self._client.decode(data)


class MessagePack:
    name = "pearstall.msgpack.1"
    text = False

    def __init__(self) -> None:
        self._decoder: msgspec.msgpack.Decoder[FromDevice] = msgspec.msgpack.Decoder(FromDevice)
        self._client: msgspec.msgpack.Decoder[ToDevice] = msgspec.msgpack.Decoder(ToDevice)
        self._encoder = msgspec.msgpack.Encoder()

    def decode(self, data: bytes | str) -> FromDevice:
        return self._decoder.decode(data.encode() if isinstance(data, str) else data)

    def encode(self, message: ToDevice | FromDevice) -> bytes:
        return self._encoder.encode(message)

    def events(self, ask: str, first: int, events: list[bytes]) -> bytes:
        return self._encoder.encode(Events(ask, first, data=events))

    def body(self, raw: msgspec.Raw) -> bytes:
        return msgspec.json.encode(msgspec.msgpack.decode(raw))

    def read(self, data: bytes | str) -> ToDevice:
        assert isinstance(data, bytes)
        return self._client.decode(data)


CODECS: dict[str, Json | MessagePack] = {codec.name: codec for codec in (Json(), MessagePack())}
