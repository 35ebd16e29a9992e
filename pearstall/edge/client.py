"""A device client: asks over any of the edge's wires, reconnects over any other, and stores the records it receives.

It is built on public client libraries (`httpx`, `websockets`), so that each run tests the wires against them. A
`DeviceAsk` is the device's side of an ask, across all its connections; an *attempt* is one of those connections.
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
MAX_MESSAGE_BYTES = 4 << 20


class ProblemBody(msgspec.Struct):
    """A problem by RFC 9457, with our extension members."""

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
class AttemptFailure:
    """Why an attempt ended without the final record. `retry_after`: seconds."""

    code: str
    detail: str = ""
    retry_after: float = 0.0


@dataclass(slots=True)
class DeviceAsk:
    """What a device has received of one ask. `breaches` collects violations of the record order; none is repaired."""

    id: str
    body: dict[str, Any]
    lane: str = ""
    remaining: float | None = None
    events: list[bytes] = field(default_factory=list)
    final: Final | None = None
    finals: int = 0  # how often the final record was received
    accepted: bool = False  # the edge has accepted the ask
    epoch: int = 0
    acknowledged: bool = False
    breaches: list[str] = field(default_factory=list)
    event_times: list[float] = field(default_factory=list)  # when each event was received, in seconds

    @property
    def last(self) -> int:
        return self.final.number if self.final is not None else len(self.events)

    def take(self, first: int, events: list[bytes], now: float) -> None:
        if first != len(self.events) + 1:
            self.breaches.append(f"events from {first} were received, and {len(self.events) + 1} was expected")
        if self.final is not None:
            self.breaches.append("events were received after the final record")
        self.events += events
        self.event_times += [now] * len(events)

    def end(self, final: Final) -> None:
        self.finals += 1
        if self.final is not None and self.final != final:
            self.breaches.append(f"two final records: {self.final} and {final}")
        if self.final is None and final.number != len(self.events) + 1 and final.reason not in ("room", "away"):
            self.breaches.append(f"final record {final.number} after {len(self.events)} events")
        self.final = final


def split_number(event: bytes) -> tuple[int, bytes]:
    """Splits an event of the stream into the number that the edge added and the original event."""
    head, newline, rest = event.partition(b"\n")
    if head.startswith(b"id: "):
        return int(head[4:]), rest
    end = line_end(event)
    body, _, number = event[: -2 * len(end)].rpartition(b"id: ")
    return int(number), body + end


class DeviceClient:
    """One device. `url`: where the edge listens, as http://HOST:PORT."""

    def __init__(
        self, url: str, token: str, clock: Callable[[], float] = time.monotonic, timeout: float = 10.0
    ) -> None:
        self.url, self.token, self.clock = url.rstrip("/"), token, clock
        self.timeout = timeout  # seconds without any data after which a connection is taken for dead

    def http(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            base_url=self.url,
            headers={"Authorization": f"Bearer {self.token}"},
            timeout=httpx.Timeout(self.timeout, connect=self.timeout),
            trust_env=False,
            verify=self.url.startswith("https"),  # a TLS context takes 10 ms, and plain connections need none
        )

    async def attempt(self, wire: WireName, ask: DeviceAsk) -> AttemptFailure | None:
        """Makes one connection. Returns None once the final record is acknowledged, or why it ended before that."""
        try:
            if wire == "sse":
                return await self._sse(ask)
            if wire == "poll":
                return await self._poll(ask)
            return await self._websocket(wire, ask)
        except (httpx.HTTPError, OSError, EOFError, TimeoutError, WebSocketException) as error:
            return AttemptFailure("dropped", f"{type(error).__name__}: {error}")

    async def fetch(
        self, ask: DeviceAsk, wires: AsyncIterator[WireName] | None = None, wire: WireName = "sse"
    ) -> None:
        """Makes attempts until the whole answer has been received."""
        wait = 0.05
        while True:
            failure = await self.attempt(await anext(wires) if wires is not None else wire, ask)
            if failure is None:
                return
            if failure.code in ("unauthorized", "bad_ask", "ask_id_reused", "events_gone", "unknown_ask"):
                raise AskRejected(failure)
            await asyncio.sleep(failure.retry_after or wait)
            wait = min(1.0, wait * 2)

    async def cancel(self, ask: DeviceAsk) -> Final | AttemptFailure:
        async with self.http() as http:
            answer = await http.delete(f"/v1/asks/{ask.id}")
            if answer.status_code != 200:
                return _failure_of(answer.status_code, answer.content)
            return msgspec.convert(answer.json()["final"], Final)

    # -- HTTP ----------------------------------------------------------------------------------------------

    def _ask_headers(self, ask: DeviceAsk) -> dict[str, str]:
        headers = {"Idempotency-Key": ask.id, "Content-Type": "application/json"}
        if ask.lane:
            headers["X-Lane"] = ask.lane
        if ask.remaining is not None:
            headers["X-Remaining"] = f"{ask.remaining:g}"
        return headers

    async def _sse(self, ask: DeviceAsk) -> AttemptFailure | None:
        async with self.http() as http:
            headers = {"Accept": "text/event-stream", "Last-Event-ID": str(ask.last)}
            if ask.accepted:
                request = http.build_request("GET", f"/v1/asks/{ask.id}/events", headers=headers)
            else:
                headers |= self._ask_headers(ask)
                request = http.build_request(
                    "POST", "/v1/asks", headers=headers, content=msgspec.json.encode(ask.body)
                )
            answer = await http.send(request, stream=True)
            try:
                if answer.status_code != 200:
                    return self._problem(ask, answer.status_code, await answer.aread())
                ask.accepted = True
                ask.epoch = int(answer.headers["Pearstall-Epoch"])
                failure = await self._stream(answer, ask)
            finally:
                await answer.aclose()
            if failure is not None:
                return failure
            return await self._acknowledge(http, ask)

    async def _stream(self, answer: httpx.Response, ask: DeviceAsk) -> AttemptFailure | None:
        splitter = EventSplitter()
        async for data in answer.aiter_raw():
            events = splitter.feed(data)
            if isinstance(events, Malformed):
                return AttemptFailure("dropped", events.why)
            for event in split_events(events):
                if event.startswith(b"event: attached\n") or event.startswith(b":"):
                    continue
                if event.startswith(b"event: superseded\n"):
                    return AttemptFailure("superseded")
                if event.startswith(b"event: final\n"):
                    ask.end(msgspec.json.decode(event.partition(b"\ndata: ")[2], type=Final))
                    return None
                number, body = split_number(event)
                ask.take(number, [body], self.clock())
        return AttemptFailure("dropped", "the stream ended before its final record")

    async def _poll(self, ask: DeviceAsk) -> AttemptFailure | None:
        async with self.http() as http:
            if not ask.accepted:
                answer = await http.post(
                    "/v1/asks", headers=self._ask_headers(ask), content=msgspec.json.encode(ask.body)
                )
                if answer.status_code != 202:
                    return self._problem(ask, answer.status_code, answer.content)
                ask.accepted = True
            epoch: dict[str, str] = {}
            while ask.final is None:
                answer = await http.get(
                    f"/v1/asks/{ask.id}/poll",
                    params={"after": str(ask.last), "wait": f"{self.timeout / 2:g}"} | epoch,
                    headers={"Accept": "application/msgpack"},
                )
                if answer.status_code != 200:
                    return self._problem(ask, answer.status_code, answer.content)
                polled = msgspec.msgpack.decode(answer.content, type=Polled)
                ask.epoch = polled.epoch
                epoch = {"epoch": str(polled.epoch)}
                self._records(ask, polled.records)
            return await self._acknowledge(http, ask)

    def _records(self, ask: DeviceAsk, records: list[Events | Ended]) -> None:
        for record in records:
            if isinstance(record, Events):
                ask.take(record.first, record.events, self.clock())
            else:
                ask.end(record.final)

    async def _acknowledge(self, http: httpx.AsyncClient, ask: DeviceAsk) -> AttemptFailure | None:
        body = {"number": ask.last, "epoch": ask.epoch}
        answer = await http.post(f"/v1/asks/{ask.id}/ack", json=body)
        if answer.status_code not in (200, 204):
            return self._problem(ask, answer.status_code, answer.content)
        ask.acknowledged = True
        return None

    def _problem(self, ask: DeviceAsk, status: int, body: bytes) -> AttemptFailure | None:
        failure = _failure_of(status, body)
        if failure.code == "acknowledged":
            return self._take_tombstone(ask, failure, msgspec.json.decode(body, type=ProblemBody).final)
        return failure

    def _take_tombstone(self, ask: DeviceAsk, failure: AttemptFailure, final: Final | None) -> AttemptFailure | None:
        """The edge stores only the final record, which completes the ask if the device lacks nothing else."""
        if ask.final is None and final is not None and final.number == len(ask.events) + 1:
            ask.end(final)
        ask.acknowledged = True
        return None if ask.final is not None else AttemptFailure("events_gone", failure.detail)

    # -- WebSocket -----------------------------------------------------------------------------------------

    @contextlib.asynccontextmanager
    async def socket(self, wire: WireName) -> AsyncIterator[tuple[Any, Json | MessagePack]]:
        name = PROTOCOLS[wire]
        try:
            opened = connect(
                self.url.replace("http", "ws", 1) + "/v1/device",
                subprotocols=[Subprotocol(name)],
                compression=None,
                max_size=MAX_MESSAGE_BYTES,
                open_timeout=self.timeout,
                close_timeout=0.2,
                ping_interval=self.timeout / 2,
                ping_timeout=self.timeout / 2,
                proxy=None,
            )
            async with opened as socket:
                yield socket, CODECS[name]
        except InvalidHandshake as error:
            raise OSError(f"handshake: {error}") from None

    async def _websocket(self, wire: WireName, ask: DeviceAsk) -> AttemptFailure | None:
        async with self.socket(wire) as (socket, codec):

            async def send(message: Any) -> None:
                data = codec.encode(message)
                await socket.send(data.decode() if codec.text else data)

            resume = [Position(ask.id, ask.last)] if ask.accepted else []
            await send(Hello(self.token, resume))
            encode = msgspec.json.encode if codec.text else msgspec.msgpack.encode
            acknowledged = ask.last
            while True:
                try:
                    message: ToDevice = codec.read(await asyncio.wait_for(socket.recv(), self.timeout))
                except websockets.ConnectionClosed as error:
                    return AttemptFailure("dropped", str(error))
                if isinstance(message, Welcome) and not ask.accepted:
                    body = msgspec.Raw(encode(ask.body))
                    await send(AskFor(ask.id, body, 0, ask.lane, ask.remaining))
                elif isinstance(message, Owned):
                    ask.accepted, ask.epoch = True, message.epoch
                elif isinstance(message, Events):
                    ask.take(message.first, message.events, self.clock())
                    if ask.last - acknowledged >= ACK_EVERY:
                        acknowledged = ask.last
                        await send(Ack(ask.id, acknowledged))
                elif isinstance(message, Ended):
                    ask.end(message.final)
                    await send(Ack(ask.id, message.final.number))
                    # The connection is closed in order, so the edge reads what was sent before the close.
                    ask.acknowledged = True
                    return None
                elif isinstance(message, Superseded):
                    return AttemptFailure("superseded")
                elif isinstance(message, Error):
                    failure = AttemptFailure(message.code, message.detail, message.retry_after_ms / 1000)
                    if message.code == "acknowledged":
                        return self._take_tombstone(ask, failure, message.final)
                    return failure

    async def cancel_by_socket(self, wire: WireName, ask: DeviceAsk) -> Final | AttemptFailure:
        async with self.socket(wire) as (socket, codec):
            for message in (Hello(self.token), Cancel(ask.id)):
                data = codec.encode(message)
                await socket.send(data.decode() if codec.text else data)
            while True:
                answer = codec.read(await asyncio.wait_for(socket.recv(), self.timeout))
                if isinstance(answer, Ended):
                    return answer.final
                if isinstance(answer, Error):
                    return AttemptFailure(answer.code, answer.detail)


class AskRejected(Exception):
    """An ask that no further attempt can complete."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(f"{failure.code}: {failure.detail}")
        self.failure = failure


def _failure_of(status: int, body: bytes) -> AttemptFailure:
    try:
        found = msgspec.json.decode(body, type=ProblemBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return AttemptFailure(f"status_{status}")
    return AttemptFailure(found.code or f"status_{status}", found.detail, found.retry_after_ms / 1000)
