"""Fake clients, model servers and routers on loopback sockets, and a helper for parser tests."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, TypeVar

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pearstall.eventlog import EventLog
from pearstall.net.buffer import Buffer
from pearstall.net.config import read_config
from pearstall.net.http1 import Body, Head, Malformed, body_of, read_head
from pearstall.net.serve import Program

T = TypeVar("T")
LOCAL = "127.0.0.1"
PATH = "/v1/chat/completions"
FLOOD = [b"data: %b\n\n" % (b"x" * 60_000)] * 400
cut_settings = hypothesis_settings(derandomize=True, deadline=None, max_examples=120)
cuts = st.lists(st.integers(1, 40), min_size=1, max_size=12)


def feed(data: bytes, sizes: list[int], parse: Callable[[Buffer], T]) -> list[T]:
    """The results of a parser after each piece of the data, which is cut into these sizes repeatedly."""
    buffer, results, at, piece = Buffer(), [], 0, 0
    while at < len(data):
        size = sizes[piece % len(sizes)]
        buffer.add(data[at : at + size])
        results.append(parse(buffer))
        at, piece = at + size, piece + 1
    return results


def setup(**changes: Any) -> dict[str, Any]:
    lane = {"aim": 2_000_000, "hardLimit": 6_000_000, "lateShare": 0.5, "value": 3.0}
    return {
        "lanes": [{"name": "agent", **lane}, {"name": "chat", **lane, "aim": 1_000_000}],
        "accounts": [{"name": "acme", "share": 0.6}, {"name": "other", "share": 0.4}],
        "dcs": ["a", "b"],
        "models": ["m1", "m2"],
        "tick": 4000,
        "membershipMode": "subscribe",
        "limits": {"maxAttempts": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfter": 2_000_000,
                   "connIdle": 30_000_000, "connectTimeout": 250_000},
        "obligations": {"mustAskIn": 1_000_000, "cold": 21_000_000, "coldShare": 0.12, "tipMultiple": 3.0},
    } | changes  # fmt: skip


class PrintedLog:
    """Prints the router's log to the standard error of the test."""

    def write(self, data: bytes) -> int:
        sys.stderr.write(data.decode())
        return len(data)


def free_port() -> int:
    import socket

    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return int(probe.getsockname()[1])


@asynccontextmanager
async def running(
    folder: Path, servers: list[ModelServer], form: str = "platform", discovery: int = 0, **config: Any
) -> AsyncIterator[tuple[Program, dict[str, int]]]:
    """A router on loopback with a platform port and an OpenAI-style port, which lists these servers."""
    ports = {"platform": free_port(), "openai": free_port()}
    hosts = [f"s{n},{LOCAL}:{server.port},a,m1" for n, server in enumerate(servers)]
    (folder / "hosts.csv").write_text("\n".join(["name,address,zone,type", *hosts]))
    (folder / "config.json").write_text(
        json.dumps({"listen": f"{LOCAL}:{ports['platform']}", "seed": "7", "settings": setup(), **config})
    )
    (folder / "openai.toml").write_text(
        f'listen = "{LOCAL}:{ports["openai"]}"\ndefault_class = "chat"\nserver_form = "{form}"\n'
    )
    env = {"EDGE_DISCOVERY": f"{LOCAL}:{discovery}"} if discovery else {}
    inventory = "" if discovery else str(folder / "hosts.csv")
    config_read = read_config(env, str(folder / "openai.toml"), inventory, str(folder / "config.json"))
    program = Program(config_read, log=EventLog(PrintedLog()))
    await program.start()
    try:
        yield program, ports
    finally:
        await program.close()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)


class Wire:
    """One end of a connection, read with the parsers of the project."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.buffer = reader, writer, Buffer()

    async def more(self) -> bool:
        data = await self.reader.read(65536)
        self.buffer.add(data)
        return bool(data)

    async def head(self, response: bool) -> Head | None:
        while (head := read_head(self.buffer, response)) is None:
            if not await self.more():
                return None
        assert isinstance(head, Head), head
        return head

    async def body(self, head: Head) -> tuple[bytes, bool]:
        """The body, and whether it was complete."""
        body = body_of(head)
        assert isinstance(body, Body)
        data = b""
        while True:
            part = body.feed(self.buffer)
            assert not isinstance(part, Malformed), part
            data += part
            if body.done:
                return data, True
            if not await self.more():
                return data, False


def stream(form: str, chat: bool = True) -> list[bytes]:
    """The events of one answer, as the public description of each form defines them."""
    kind = "chat.completion.chunk" if chat else "text_completion"
    base = {"id": "c1", "object": kind, "created": 5, "model": "chat"} if form == "openai" else {}
    rows: list[dict[str, Any]] = []
    for word, end in (("hello", None), ("there", None), ("!", "stop")):
        part: dict[str, Any] = {"delta": {"content": word}} if chat else {"text": word}
        rows.append({**base, "choices": [{"index": 0, "finish_reason": end, **part}]})
    usage = {"prompt_tokens": 9, "completion_tokens": 3, "prompt_tokens_details": {"cached_tokens": 4}}
    rows.append({**base, "choices": [], "usage": usage})
    return [b"data: %b\n\n" % json.dumps(row).encode() for row in rows] + [b"data: [DONE]\n\n"]


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
# Sent in place of the start of an answer, after which the connection stays open.
MALFORMED_ANSWERS = {
    "noise": b"\x07\x93 no line and no end",
    "late noise": b"HTTP/1.1 200 OK\r\nno header\r\nA: b\r\n",
    "endless": b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 9000,
    "ahead": b"HTTP/1.1 103 Early\r\n\r\n" * 99,
    "no size": HEAD + b"zz",
    "3 GB": HEAD + b"c0000000\r\ndata: x\n\ndata: y\n\n",
    "short": HEAD + b"4\r\ndata: x\n\n\r\n",
    "long": HEAD + b"15\r\ndata: x\r\n9\r\ndata: y\n\n\r\n",
    "empty": HEAD + b"0\r\n\r\n",
}
# Valid answers with something additional before, within or after them.
ANSWERS_WITH_EXTRAS = {
    "1xx": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n",
    "report": HEAD[:-2] + b"X-Load: \x01\x02;;=\r\n\r\n",
    "second": b"",
}


class ModelServer:
    """Follows its script, one word per request, and serves normally after its end."""

    def __init__(self, form: str, *script: str) -> None:
        self.form, self.script = form, list(script)
        self.seen: list[tuple[Head, bytes]] = []
        self.in_flight = self.max_in_flight = self.connections = 0
        self.port = 0
        self.go_on = asyncio.Event()
        self.event_received = asyncio.Semaphore(0)  # released once the client has received an event
        self.open: set[asyncio.StreamWriter] = set()

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[ModelServer]:
        server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            self.go_on.set()
            server.close()
            for writer in self.open:
                writer.close()
            await until(lambda: not self.open)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        wire = Wire(reader, writer)
        try:
            while (head := await wire.head(False)) is not None:
                body, _ = await wire.body(head)
                self.seen.append((head, body))
                self.in_flight += 1
                self.max_in_flight = max(self.max_in_flight, self.in_flight)
                try:
                    if not await self._answer(wire, self.script.pop(0) if self.script else "serve"):
                        return
                finally:
                    self.in_flight -= 1
        except ConnectionError:
            pass
        finally:
            writer.close()
            self.open.discard(writer)

    async def _answer(self, wire: Wire, step: str) -> bool:
        writer = wire.writer
        if step == "silent":
            await wire.more()  # until the router closes
            return False
        if step == "reset":
            return False
        if step == "blame":
            head = "HTTP/1.1 400 Bad\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n"
            writer.write(head.encode() + b'{"error":"no mud"}')
            return True
        if step == "hold error":
            await self.go_on.wait()
            step = "error"
        if step in ("error", "away"):
            status = "500 Oops" if step == "error" else "503 Busy"
            mark = "X-Turned-Away: 1\r\n" if step == "away" and self.form == "platform" else ""
            writer.write(f"HTTP/1.1 {status}\r\n{mark}Content-Length: 0\r\n\r\n".encode())
            return True
        if step == "hold":
            await self.go_on.wait()
        if step == "half an event":  # only the end of the connection ends this answer
            opening = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            writer.write(opening + b"data: x\n\ndata: {")
            await writer.drain()
            return False
        if step in MALFORMED_ANSWERS or step.startswith("then "):
            malformed = MALFORMED_ANSWERS[step.removeprefix("then ")]
            if step.startswith("then "):  # malformed after a first event
                malformed = HEAD + b"9\r\ndata: x\n\n\r\n" + malformed.removeprefix(HEAD)
            writer.write(malformed)
            await wire.more()  # the connection stays open
            return False
        events = stream(self.form, self.seen[-1][0].path == PATH)
        if step == "flood":
            events = FLOOD
        if step == "late second" and self.connections == 1:
            writer.write(HEAD + b"9\r\ndata: z\n\n\r\n0\r\n\r\n")  # to a request that was already answered
        writer.write(ANSWERS_WITH_EXTRAS["report"] if step == "report" else ANSWERS_WITH_EXTRAS.get(step, b"") + HEAD)
        for number, event in enumerate(events):
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if step == "half" and number == 1:
                await writer.drain()
                return False
            if step == "wait" and number == 0:
                await self.go_on.wait()
            if step == "one by one":
                await self.event_received.acquire()
        writer.write(b"0\r\n\r\n")
        if step == "second":
            writer.write(HEAD + b"9\r\ndata: z\n\n\r\n0\r\n\r\n")
        await writer.drain()
        return True


class Client:
    """A client of either front, which reuses its connection."""

    def __init__(self, front: str, port: int, name: str = "t") -> None:
        self.front, self.port, self.name, self.count = front, port, name, 0
        self.wire: Wire | None = None

    async def connect(self) -> Wire:
        if self.wire is None:
            self.wire = Wire(*await asyncio.open_connection(LOCAL, self.port))
        return self.wire

    async def send(self, wait: float = 6.0, **fields: Any) -> None:
        self.count += 1
        content = [{"role": "system", "content": "be kind"}, {"role": "user", "content": "hi"}]
        body = json.dumps({"model": "chat", "stream": True, "messages": content, **fields}).encode()
        headers = {"X-Txn": f"{self.name}{self.count}", "X-Lane": "chat", "X-Org": "acme", "X-Entity": "e1",
                 "X-Labels": "prompt_len=50"}  # fmt: skip
        if self.front == "openai":
            headers = {"X-Request-Id": f"{self.name}{self.count}", "Authorization": "Bearer k"}
        lines = [f"POST {PATH} HTTP/1.1", "Host: x", f"X-Remaining: {wait}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        wire = await self.connect()
        wire.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def answer(self) -> tuple[str, Head, bytes]:
        """served, refused, failed or cut, with the head and the body."""
        wire = await self.connect()
        head = await wire.head(True)
        assert head is not None
        body, whole = await wire.body(head)
        if not whole or not head.keep_alive:
            self.close()
        kind = {200: "served" if whole else "cut", 503: "refused", 429: "refused"}
        return kind.get(head.status, "failed"), head, body

    async def ask(self, wait: float = 6.0, **fields: Any) -> tuple[str, Head, bytes]:
        await self.send(wait, **fields)
        return await self.answer()

    def close(self) -> None:
        if self.wire is not None:
            self.wire.writer.close()
            self.wire = None
