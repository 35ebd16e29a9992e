"""Stand-ins for the cases 6 to 10: clients, model servers, discovery and the platform that starts a router.

Everything listens on 127.0.0.1 and on ports that the system gives. A case calls `play`, which ends what it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_SECONDS = 110.0


class CannotRun(Exception):
    """The case says nothing: something that it needs did not work."""


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form and with the figures of the wire page's example."""
    value: dict[str, Any] = {
        "accounts": [
            {"name": "supermarkt-noord", "quotaRps": 24.0, "share": 0.55},
            {"name": "tankstation-zuid", "quotaRps": 20.0, "share": 0.45},
        ],
        "az": 0,
        "callers": {"marksRetry": True},
        "charges": {"crossZone": 0.015, "lateFail": 0.03, "waste": 0.08},
        "dcs": ["gent", "antwerpen"],
        "familyInfo": {
            "aimUsPer1000PromptTokens": [30000.0, 60000.0],
            "resume": True,
            "tokenAim": [100000.0, 50000.0],
        },
        "groupSize": 4,
        "lanes": [
            {"aim": 2000000, "dedupScope": "all", "effect": "pure", "hardLimit": 6000000, "lateShare": 0.5,
             "name": "agent", "streamed": True, "value": 5.0, "window": 5000000},
            {"aim": 1000000, "dedupScope": "all", "effect": "pure", "hardLimit": 3000000, "lateShare": 0.5,
             "name": "chat", "streamed": True, "value": 3.0, "window": 5000000},
        ],
        "limits": {
            "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000,
            "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfter": 2000000, "mayCancel": True, "mayProbe": False,
            "multiplex": 1, "peers": False, "retryAfter": True, "secondCopies": False,
        },
        "me": 2,
        "membershipMode": "subscribe",
        "models": ["snel", "gewoon"],
        "obligations": {
            "answerSlack": 16000, "cold": 21000000, "coldShare": 0.12, "drainGrace": 500000, "fall": 2000000,
            "mustAskIn": 10000000, "tipMultiple": 3.0,
        },
        "overShareWorth": 0.2,
        "report": {"how": "silent", "names": []},
        "tick": 4000,
        "tier": 0,
        "tiers": ["model-fleet"],
        "weightKind": "rough",
        "workload": "llm",
        "worthBy": "request",
    }  # fmt: skip
    for key, change in changes.items():
        value[key] = {**value[key], **change} if isinstance(change, dict) else change
    return value


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.write(f"disruption: {'yes' if TROUBLE else 'no'}")

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """The first line and the headers of a message; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:] if line}


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Listener:
    """A stand-in that listens on a port of its own."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # its peer has closed, or the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class ModelServer(Listener):
    """A model server of the protocol page. It counts a request when its last byte has arrived."""

    def __init__(self, record: Record, name: str, zone: str = "gent", since_ms: int = 0) -> None:
        super().__init__(record, name)
        self.zone = zone
        self.since_ms = since_ms
        self.status = "ready"
        self.requests: list[tuple[float, str]] = []  # when, and X-Txn
        self.first_token = 0.03
        self.step = 0.01
        self.words = 10
        self.word = "word "

    def entry(self, **changes: Any) -> dict[str, Any]:
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": "snel", "group": 0,
            "status": self.status, "weight": 1.0, "since_ms": self.since_ms, **changes,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (head := await read_head(reader)) is not None:
            await reader.readexactly(int(head[1].get("content-length", "0")))
            txn = head[1].get("x-txn", "")
            self.requests.append((time.monotonic(), txn))
            self.record.write(f"{self.name} got {txn}, X-Remaining {head[1].get('x-remaining')}")
            await self.answer(txn, writer)

    async def answer(self, txn: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.first_token)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for event in self.events(txn):
            writer.write(chunk(event))
            await writer.drain()
            if self.step:
                await asyncio.sleep(self.step)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write(f"{self.name} finished {txn}")

    def events(self, txn: str) -> list[bytes]:
        rows: list[dict[str, Any]] = [
            {"choices": [{"index": 0, "delta": {"content": f"{txn}-{n} {self.word}"}, "finish_reason": None}]}
            for n in range(self.words)
        ]
        rows[-1]["choices"][0]["finish_reason"] = "stop"
        tokens = sum(len(row["choices"][0]["delta"]["content"]) for row in rows) // 4
        usage = {"prompt_tokens": 100, "completion_tokens": tokens, "prompt_tokens_details": {"cached_tokens": 0}}
        rows.append({"choices": [], "usage": usage})
        texts = [json.dumps(row, separators=(",", ":")) for row in rows] + ["[DONE]"]
        return [f"data: {text}\n\n".encode() for text in texts]


class Discovery(Listener):
    """Discovery of the protocol page: a whole list, or a watch with one object a line and an empty line every 2 s.

    `answer_delay`: how long a call waits for its turn.
    """

    def __init__(self, record: Record, servers: list[ModelServer], name: str = "discovery") -> None:
        super().__init__(record, name)
        self.index = 41
        self.entries = {server.name: server.entry() for server in servers}
        self.changed_at = dict.fromkeys(self.entries, self.index)  # the version of each entry's last change
        self.watches: set[asyncio.Queue[dict[str, Any]]] = set()
        self.answer_delay = 0.0
        self.calls: list[float] = []
        self.told: dict[str, float] = {}  # when a change was written to a watch, by name and status

    def message(self, names: list[str], snapshot: bool) -> dict[str, Any]:
        rows = [self.entries[name] for name in names if not (snapshot and self.entries[name]["status"] == "gone")]
        return {"index": self.index, "snapshot": snapshot, "endpoints": rows}

    def encode(self, message: dict[str, Any]) -> bytes:
        return json.dumps(message).encode() + b"\n"

    def change(self, entry: dict[str, Any]) -> None:
        self.index += 1
        self.entries[entry["name"]] = entry
        self.changed_at[entry["name"]] = self.index
        self.record.write(f"{self.name} has index {self.index}: {entry['name']} is {entry['status']}")
        for watch in self.watches:
            watch.put_nowait(self.message([entry["name"]], False))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (head := await read_head(reader)) is not None:
            target = head[0].split(" ")[1]
            self.calls.append(time.monotonic())
            self.record.write(f"{self.name} was called: {target}")
            if self.answer_delay:
                await asyncio.sleep(self.answer_delay)
            if "stream=1" not in target:
                body = json.dumps(self.message(list(self.entries), True)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                continue
            await self.watch(target, writer)

    async def write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(chunk(line))
        await writer.drain()

    async def watch(self, target: str, writer: asyncio.StreamWriter) -> None:
        _, known, after = target.partition("index=")
        if known:
            names = [name for name, index in self.changed_at.items() if index > int(after)]
            first = self.message(names, False)
        else:
            first = self.message(list(self.entries), True)
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.watches.add(queue)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            message: dict[str, Any] | None = first
            while True:
                await self.write_line(writer, self.encode(message) if message is not None else b"\n")
                for row in message["endpoints"] if message is not None else ():
                    self.told.setdefault(f"{row['name']} {row['status']}", time.monotonic())
                    self.record.write(f"{self.name} wrote: {row['name']} is {row['status']}")
                try:
                    message = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    message = None
        finally:
            self.watches.discard(queue)


class Router:
    """A router as the platform starts it: the `run` line of the deploy file, by /bin/sh, from the root."""

    def __init__(self, record: Record, folder: Path, values: dict[str, Any], discovery: str, **more: Any) -> None:
        self.record = record
        self.folder = folder
        self.port = free_port()
        self.discovery = discovery
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / "router.log"
        self.config = folder / "config.json"
        self.values = {
            "name": "n3", "listen": f"127.0.0.1:{self.port}", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": values, **more,
        }  # fmt: skip
        self.write_config(self.values)

    def write_config(self, values: dict[str, Any]) -> None:
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(values), encoding="utf-8")
        fresh.replace(self.config)

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary), "EDGE_NAME": "n3",
            "EDGE_LISTEN": f"127.0.0.1:{self.port}", "EDGE_DISCOVERY": self.discovery,
            "EDGE_CONFIG": str(self.config),
        }  # fmt: skip
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip
        self.record.write(f"router started, process {self.process.pid}")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.write(f"signal {number} to the router")
        self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def ready(self, limit: float = 10.0) -> None:
        """Waits until /_health answers 200, as the front does."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if not self.running:
                raise CannotRun("the router has ended")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record.write("/_health answers 200")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun("the router was not ready in time")

    async def end(self) -> None:
        if self.running and self.process is not None:
            self.process.kill()
            await self.process.wait()


def request(txn: str, lane: str = "chat", remaining: float = 3.0, **headers: str) -> bytes:
    """A client's request, in the form of the protocol page."""
    body = json.dumps(
        {"model": lane, "stream": True, "max_tokens": 800, "messages": [{"role": "user", "content": f"ask {txn}"}]}
    ).encode()
    lines = [
        "POST /v1/chat/completions HTTP/1.1", "Host: backend.local", f"X-Txn: {txn}", f"X-Lane: {lane}",
        "X-Org: supermarkt-noord", f"X-Entity: e{txn}", f"X-Remaining: {remaining:.3f}",
        "X-Labels: prompt_len=100,prefix_len=0,max_out=800", *(f"{name}: {value}" for name, value in headers.items()),
        "Content-Type: application/json", f"Content-Length: {len(body)}", "", "",
    ]  # fmt: skip
    return "\r\n".join(lines).encode() + body


class Answer:
    """What a client got: the status, the bytes of the body without framing, and whether the last chunk came."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.whole = False
        self.error = ""
        self.at = 0.0

    def __str__(self) -> str:
        end = "whole" if self.whole else f"not whole ({self.error or 'closed'})"
        return f"{self.status or 'no answer'}, {len(self.body)} bytes, {end}"


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer to its end, or to that of the connection."""
    answer = Answer()
    try:
        head = await read_head(reader)
        if head is not None:
            answer.status = int(head[0].split(" ")[1])
            if head[1].get("transfer-encoding") == "chunked":
                while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                answer.body = await reader.readexactly(int(head[1].get("content-length", "0")))
            answer.whole = True
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    answer.at = time.monotonic()
    return answer


async def ask(record: Record, port: int, txn: str, lane: str = "chat", remaining: float = 3.0) -> Answer:
    """A client that sends one request on a new connection and reads the answer."""
    answer = Answer()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError as error:
        answer.error = f"connect: {error.strerror}"
        record.write(f"client {txn}: {answer.error}")
        return answer
    record.write(f"client {txn}: sent")
    writer.write(request(txn, lane, remaining))
    try:
        answer = await asyncio.wait_for(read_answer(reader), remaining + 40)
    except TimeoutError:
        answer.error = "nothing came"
    writer.close()
    record.write(f"client {txn}: {answer}")
    return answer


def play(case: Callable[[Record, Path], Awaitable[bool]], script: str) -> None:
    """Runs a case; it returns whether the rule held. Exits with 0, 1 or 2."""
    folder = Path(script).resolve().parent
    record = Record(folder)
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(case(record, Path(temporary)), LIMIT_SECONDS))
            result = HELD if held else BROKEN
        except (CannotRun, TimeoutError, OSError) as error:
            record.write(f"the case could not run: {type(error).__name__} {error}")
        log = Path(temporary) / "router.log"
        if log.exists():
            record.file.write("\nThe router's log:\n" + log.read_text(encoding="utf-8", errors="replace"))
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result]
    record.write(verdict)
    print(f"{folder.name}: {verdict}")
    sys.exit(result)
