"""A device: asks over any of the edge's wires, comes back over another, and holds what it was told.

Built on public client libraries (`httpx`, `websockets`), so that each run proves the wires against them. A `Held`
is what the device keeps of an ask, whatever connection it came by; an *attempt* is one connection's part of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any, Literal

import httpx
import msgspec
import websockets
from websockets.asyncio.client import connect
from websockets.exceptions import InvalidHandshake, WebSocketException
from websockets.typing import Subprotocol

from pearstall.edge.frames import (
    CODECS,
    Ack,
    AskFor,
    Cancel,
    Ended,
    Error,
    Events,
    Hello,
    Json,
    MessagePack,
    Owned,
    Position,
    Superseded,
    ToDevice,
    Welcome,
)
from pearstall.edge.records import Final, line_end, split_events
from pearstall.net.events import EventSplitter
from pearstall.net.http1 import Malformed

WireName = Literal["ws-json", "ws-msgpack", "sse", "poll"]
WIRES: tuple[WireName, ...] = ("ws-json", "ws-msgpack", "sse", "poll")
PROTOCOLS = {"ws-json": "pearstall.json.1", "ws-msgpack": "pearstall.msgpack.1"}
ACK_EVERY = 32  # events
MOST_MESSAGE = 4 << 20


class ProblemBody(msgspec.Struct):
    """RFC 9457, with our extension members."""

    type: str = ""
    status: int = 0
    detail: str = ""
    retry_after_ms: int = 0
    final: Final | None = None

    @property
    def code(self) -> str:
        return self.type.rpartition("/")[2]


class Polled(msgspec.Struct):
    ask: str
    epoch: int
    records: list[Events | Ended]


class Opened(msgspec.Struct):
    epoch: int


@dataclass(slots=True)
class Told:
    """Why an attempt ended without the final record."""

    code: str
    detail: str = ""
    retry_after: float = 0.0


@dataclass(slots=True)
class Held:
    """What a device holds of one ask. A breach of the order is noted, never mended."""

    id: str
    body: dict[str, Any]
    lane: str = ""
    remaining: float | None = None
    events: list[bytes] = field(default_factory=list)
    final: Final | None = None
    finals: int = 0  # times that the final record came
    known: bool = False  # the edge has taken it
    epoch: int = 0
    acknowledged: bool = False
    breaches: list[str] = field(default_factory=list)
    moments: list[float] = field(default_factory=list)  # when events came, seconds

    @property
    def last(self) -> int:
        return self.final.number if self.final is not None else len(self.events)

    def take(self, first: int, events: list[bytes], now: float) -> None:
        if first != len(self.events) + 1:
            self.breaches.append(f"events from {first} came, and {len(self.events) + 1} was due")
        if self.final is not None:
            self.breaches.append("events came behind the final record")
        self.events += events
        self.moments += [now] * len(events)

    def end(self, final: Final) -> None:
        self.finals += 1
        if self.final is not None and self.final != final:
            self.breaches.append(f"two final records: {self.final} and {final}")
        if self.final is None and final.number != len(self.events) + 1 and final.reason not in ("room", "away"):
            self.breaches.append(f"final record {final.number} behind {len(self.events)} events")
        self.final = final


def unnumbered(event: bytes) -> tuple[int, bytes]:
    """An event of the stream without the number that the edge gave it."""
    head, newline, rest = event.partition(b"\n")
    if head.startswith(b"id: "):
        return int(head[4:]), rest
    end = line_end(event)
    body, _, number = event[: -2 * len(end)].rpartition(b"id: ")
    return int(number), body + end


class DeviceClient:
    """One device. `url`: where the edge listens, as http://HOST:PORT."""

    def __init__(
        self, url: str, token: str, clock: Callable[[], float] = time.monotonic, patience: float = 10.0
    ) -> None:
        self.url, self.token, self.clock = url.rstrip("/"), token, clock
        self.patience = patience  # seconds without a byte after which a connection is taken for dead

    def http(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            base_url=self.url,
            headers={"Authorization": f"Bearer {self.token}"},
            timeout=httpx.Timeout(self.patience, connect=self.patience),
            trust_env=False,
            verify=self.url.startswith("https"),  # a TLS context costs 10 ms, and plain links need none
        )

    async def attempt(self, wire: WireName, held: Held) -> Told | None:
        """One connection: until the final record is held and acknowledged (None), or something ends it before."""
        try:
            if wire == "sse":
                return await self._sse(held)
            if wire == "poll":
                return await self._poll(held)
            return await self._websocket(wire, held)
        except (httpx.HTTPError, OSError, EOFError, TimeoutError, WebSocketException) as error:
            return Told("dropped", f"{type(error).__name__}: {error}")

    async def fetch(self, held: Held, wires: AsyncIterator[WireName] | None = None, wire: WireName = "sse") -> None:
        """Attempts, one after the other, until the answer is held whole."""
        wait = 0.05
        while True:
            told = await self.attempt(await anext(wires) if wires is not None else wire, held)
            if told is None:
                return
            if told.code in ("unauthorized", "bad_ask", "ask_id_reused", "events_gone", "unknown_ask"):
                raise Refused(told)
            await asyncio.sleep(told.retry_after or wait)
            wait = min(1.0, wait * 2)

    async def cancel(self, held: Held) -> Final | Told:
        async with self.http() as http:
            answer = await http.delete(f"/v1/asks/{held.id}")
            if answer.status_code != 200:
                return _told(answer.status_code, answer.content)
            return msgspec.convert(answer.json()["final"], Final)

    # -- HTTP ----------------------------------------------------------------------------------------------

    def _ask_headers(self, held: Held) -> dict[str, str]:
        headers = {"Idempotency-Key": held.id, "Content-Type": "application/json"}
        if held.lane:
            headers["X-Lane"] = held.lane
        if held.remaining is not None:
            headers["X-Remaining"] = f"{held.remaining:g}"
        return headers

    async def _sse(self, held: Held) -> Told | None:
        async with self.http() as http:
            headers = {"Accept": "text/event-stream", "Last-Event-ID": str(held.last)}
            if held.known:
                request = http.build_request("GET", f"/v1/asks/{held.id}/events", headers=headers)
            else:
                headers |= self._ask_headers(held)
                request = http.build_request(
                    "POST", "/v1/asks", headers=headers, content=msgspec.json.encode(held.body)
                )
            answer = await http.send(request, stream=True)
            try:
                if answer.status_code != 200:
                    return self._problem(held, answer.status_code, await answer.aread())
                held.known = True
                held.epoch = int(answer.headers["Pearstall-Epoch"])
                told = await self._stream(answer, held)
            finally:
                await answer.aclose()
            if told is not None:
                return told
            return await self._acknowledge(http, held)

    async def _stream(self, answer: httpx.Response, held: Held) -> Told | None:
        splitter = EventSplitter()
        async for data in answer.aiter_raw():
            events = splitter.feed(data)
            if isinstance(events, Malformed):
                return Told("dropped", events.why)
            for event in split_events(events):
                if event.startswith(b"event: attached\n") or event.startswith(b":"):
                    continue
                if event.startswith(b"event: superseded\n"):
                    return Told("superseded")
                if event.startswith(b"event: final\n"):
                    held.end(msgspec.json.decode(event.partition(b"\ndata: ")[2], type=Final))
                    return None
                number, body = unnumbered(event)
                held.take(number, [body], self.clock())
        return Told("dropped", "the stream ended before its final record")

    async def _poll(self, held: Held) -> Told | None:
        async with self.http() as http:
            if not held.known:
                answer = await http.post(
                    "/v1/asks", headers=self._ask_headers(held), content=msgspec.json.encode(held.body)
                )
                if answer.status_code != 202:
                    return self._problem(held, answer.status_code, answer.content)
                held.known = True
            epoch: dict[str, str] = {}
            while held.final is None:
                answer = await http.get(
                    f"/v1/asks/{held.id}/poll",
                    params={"after": str(held.last), "wait": f"{self.patience / 2:g}"} | epoch,
                    headers={"Accept": "application/msgpack"},
                )
                if answer.status_code != 200:
                    return self._problem(held, answer.status_code, answer.content)
                polled = msgspec.msgpack.decode(answer.content, type=Polled)
                held.epoch = polled.epoch
                epoch = {"epoch": str(polled.epoch)}
                self._records(held, polled.records)
            return await self._acknowledge(http, held)

    def _records(self, held: Held, records: list[Events | Ended]) -> None:
        for record in records:
            if isinstance(record, Events):
                held.take(record.first, record.events, self.clock())
            else:
                held.end(record.final)

    async def _acknowledge(self, http: httpx.AsyncClient, held: Held) -> Told | None:
        body = {"number": held.last, "epoch": held.epoch}
        answer = await http.post(f"/v1/asks/{held.id}/ack", json=body)
        if answer.status_code not in (200, 204):
            return self._problem(held, answer.status_code, answer.content)
        held.acknowledged = True
        return None

    def _problem(self, held: Held, status: int, body: bytes) -> Told | None:
        told = _told(status, body)
        if told.code == "acknowledged":
            return self._buried(held, told, msgspec.json.decode(body, type=ProblemBody).final)
        return told

    def _buried(self, held: Held, told: Told, final: Final | None) -> Told | None:
        """The edge holds only the final record: that is the end where the device lacks nothing else."""
        if held.final is None and final is not None and final.number == len(held.events) + 1:
            held.end(final)
        held.acknowledged = True
        return None if held.final is not None else Told("events_gone", told.detail)

    # -- WebSocket -----------------------------------------------------------------------------------------

    @contextlib.asynccontextmanager
    async def socket(self, wire: WireName) -> AsyncIterator[tuple[Any, Json | MessagePack]]:
        name = PROTOCOLS[wire]
        try:
            opened = connect(
                self.url.replace("http", "ws", 1) + "/v1/device",
                subprotocols=[Subprotocol(name)],
                compression=None,
                max_size=MOST_MESSAGE,
                open_timeout=self.patience,
                close_timeout=0.2,
                ping_interval=self.patience / 2,
                ping_timeout=self.patience / 2,
                proxy=None,
            )
            async with opened as socket:
                yield socket, CODECS[name]
        except InvalidHandshake as error:
            raise OSError(f"handshake: {error}") from None

    async def _websocket(self, wire: WireName, held: Held) -> Told | None:
        async with self.socket(wire) as (socket, codec):

            async def send(message: Any) -> None:
                data = codec.encode(message)
                await socket.send(data.decode() if codec.text else data)

            resume = [Position(held.id, held.last)] if held.known else []
            await send(Hello(self.token, resume))
            encode = msgspec.json.encode if codec.text else msgspec.msgpack.encode
            acknowledged = held.last
            while True:
                try:
                    message: ToDevice = codec.read(await asyncio.wait_for(socket.recv(), self.patience))
                except websockets.ConnectionClosed as error:
                    return Told("dropped", str(error))
                if isinstance(message, Welcome) and not held.known:
                    body = msgspec.Raw(encode(held.body))
                    await send(AskFor(held.id, body, 0, held.lane, held.remaining))
                elif isinstance(message, Owned):
                    held.known, held.epoch = True, message.epoch
                elif isinstance(message, Events):
                    held.take(message.first, message.events, self.clock())
                    if held.last - acknowledged >= ACK_EVERY:
                        acknowledged = held.last
                        await send(Ack(held.id, acknowledged))
                elif isinstance(message, Ended):
                    held.end(message.final)
                    await send(Ack(held.id, message.final.number))
                    # The connection ends in order: what was sent before its close is read by the edge.
                    held.acknowledged = True
                    return None
                elif isinstance(message, Superseded):
                    return Told("superseded")
                elif isinstance(message, Error):
                    told = Told(message.code, message.detail, message.retry_after_ms / 1000)
                    if message.code == "acknowledged":
                        return self._buried(held, told, message.final)
                    return told

    async def cancel_by_socket(self, wire: WireName, held: Held) -> Final | Told:
        async with self.socket(wire) as (socket, codec):
            for message in (Hello(self.token), Cancel(held.id)):
                data = codec.encode(message)
                await socket.send(data.decode() if codec.text else data)
            while True:
                told = codec.read(await asyncio.wait_for(socket.recv(), self.patience))
                if isinstance(told, Ended):
                    return told.final
                if isinstance(told, Error):
                    return Told(told.code, told.detail)


class Refused(Exception):
    """An ask that no further attempt can bring on."""

    def __init__(self, told: Told) -> None:
        super().__init__(f"{told.code}: {told.detail}")
        self.told = told


def _told(status: int, body: bytes) -> Told:
    try:
        found = msgspec.json.decode(body, type=ProblemBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Told(f"status_{status}")
    return Told(found.code or f"status_{status}", found.detail, found.retry_after_ms / 1000)
