"""Stand-ins for the cases of the review: clients, model servers, discovery and the platform that starts a router.

They follow the protocol page and use the standard library only. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOCAL = "127.0.0.1"
ROUTER_PATH = "/v1/chat/completions"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PROCESSES: list[subprocess.Popen[bytes]] = []  # all that a case started; none outlives it
TENANTS = {
    "supermarkt-noord": 0.23, "tankstation-zuid": 0.18, "bouwmarkt-west": 0.16, "apotheek-oost": 0.14,
    "boekhandel-centrum": 0.09, "bakkerij-groep": 0.08, "kledingzaak-vier": 0.07, "fietsenwinkel-een": 0.05,
}  # fmt: skip


def disrupted() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return int(probe.getsockname()[1])


def site_settings(**changes: Any) -> dict[str, Any]:
    """The settings of `punten-assistent`, as the wire page prints them, for a router of its own zone."""
    lane = {"dedupScope": "all", "effect": "pure", "lateShare": 0.5, "streamed": True, "window": 5_000_000}
    return {
        "accounts": [{"name": name, "quotaRps": round(80 * share, 1), "share": share}
                     for name, share in TENANTS.items()],
        "az": 0,
        "callers": {"marksRetry": True},
        "charges": {"crossZone": 0.015, "waste": 0.08, "lateFail": 0.03},
        "dcs": ["gent", "antwerpen", "namur", "hasselt"],
        "familyInfo": {"aimUsPer1000PromptTokens": [30000.0, 60000.0], "resume": True,
                       "tokenAim": [100000.0, 50000.0]},
        "groupSize": 4,
        "lanes": [{**lane, "aim": 2_000_000, "hardLimit": 6_000_000, "name": "agent", "value": 5.0},
                  {**lane, "aim": 1_000_000, "hardLimit": 3_000_000, "name": "chat", "value": 3.0}],
        "limits": {"connIdle": 30_000_000, "connectTimeout": 250_000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000,
                   "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfter": 2_000_000, "mayCancel": True,
                   "mayProbe": False, "multiplex": 1, "peers": False, "retryAfter": True, "secondCopies": False},
        "me": 0,
        "membershipMode": "subscribe",
        "models": ["snel", "gewoon"],
        "obligations": {"answerSlack": 16000, "cold": 21_000_000, "coldShare": 0.12, "drainGrace": 500_000,
                        "fall": 2_000_000, "mustAskIn": 10_000_000, "tipMultiple": 3.0},
        "overShareWorth": 0.2,
        "report": {"how": "silent", "names": []},
        "tick": 4000,
        "tier": 0,
        "tiers": ["model-fleet"],
        "weightKind": "rough",
        "workload": "llm",
        "worthBy": "request",
        **changes,
    }  # fmt: skip


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def line(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
        self.file.flush()


# -- HTTP --------------------------------------------------------------------------------------------------


@dataclass
class Message:
    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    first_byte_at: float = 0.0
    whole_at: float = 0.0


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """The head of the next message; None if the connection ends before it."""
    first = await reader.read(1)
    if not first:
        return None
    at = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in head[1:] if line]
    return Message(head[0], {name.strip().lower(): value.strip() for name, _, value in pairs}, b"", at)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    message = await read_head(reader)
    if message is not None:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
        message.whole_at = time.monotonic()
    return message


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(data: Any) -> bytes:
    return b"data: %b\n\n" % (data if isinstance(data, bytes) else json.dumps(data).encode())


# -- model servers -----------------------------------------------------------------------------------------


@dataclass
class Attempt:
    server: str
    txn: str
    remaining: float
    begun_at: float  # the first byte
    whole_at: float  # the last byte
    end: str = "out"
    ended_at: float = 0.0


class ModelServer:
    """Answers each request with a stream. `serve` may be replaced by another behaviour."""

    def __init__(self, name: str, record: Record, zone: str = "gent", first: float = 0.1, gap: float = 0.03,
                 events: int = 10) -> None:  # fmt: skip
        self.name, self.record, self.zone = name, record, zone
        self.first, self.gap, self.events = first, gap, events
        self.port = 0
        self.attempts: list[Attempt] = []
        self.connections = 0
        self.open: set[asyncio.StreamWriter] = set()
        self.since_ms = 0
        self.draining = False
        self.serve: Callable[[ModelServer, Message, Attempt, asyncio.StreamWriter], Awaitable[bool]] = stream_answer
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._connection, LOCAL, self.port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """The process ends: its connections are reset, and new ones are refused."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.open):
            writer.transport.abort()

    def entry(self, status: str = "ready") -> dict[str, Any]:
        return {"name": self.name, "address": f"{LOCAL}:{self.port}", "zone": self.zone, "type": "snel", "group": 0,
                "status": status, "weight": 1.0, "since_ms": self.since_ms}  # fmt: skip

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                attempt = Attempt(self.name, message.headers.get("x-txn", ""),
                                  float(message.headers.get("x-remaining", "0")), message.first_byte_at,
                                  message.whole_at)  # fmt: skip
                self.attempts.append(attempt)
                self.record.line(f"run {attempt.txn} at {self.name} remaining={attempt.remaining}")
                more = await self.serve(self, message, attempt, writer)
                attempt.ended_at = time.monotonic()
                self.record.line(f"end {attempt.txn} at {self.name} {attempt.end}")
                if not more:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            if self.attempts and self.attempts[-1].end == "out":
                self.attempts[-1].end = "left by the router"
        finally:
            self.open.discard(writer)
            writer.close()


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


async def stream_answer(server: ModelServer, message: Message, attempt: Attempt,
                        writer: asyncio.StreamWriter) -> bool:  # fmt: skip
    await asyncio.sleep(server.first)
    out = STREAM_HEAD
    for number in range(server.events):
        last = number == server.events - 1
        delta = {"content": f"{attempt.txn}.{number} "}
        choice = {"index": 0, "delta": delta, "finish_reason": "stop" if last else None}
        writer.write(out + chunk(event({"choices": [choice]})))
        out = b""
        await writer.drain()
        await asyncio.sleep(server.gap)
    usage = {"prompt_tokens": 100, "completion_tokens": server.events,
             "prompt_tokens_details": {"cached_tokens": 0}}  # fmt: skip
    writer.write(chunk(event({"choices": [], "usage": usage})) + chunk(event(b"[DONE]")) + b"0\r\n\r\n")
    await writer.drain()
    attempt.end = "served"
    return True


# -- discovery ---------------------------------------------------------------------------------------------


class Discovery:
    """Whole lists and watches. `form` turns a message into the bytes of one line, or of an indented message."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.StreamWriter] = set()
        self.calls: list[float] = []
        self.form: Callable[[dict[str, Any]], bytes] = lambda message: json.dumps(message).encode()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._connection, LOCAL, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def add(self, *servers: ModelServer) -> None:
        for server in servers:
            self.entries[server.name] = server.entry()

    def snapshot(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, *entries: dict[str, Any]) -> float:
        """Makes a change and writes it to all watches. Returns the time at which it was written."""
        self.index += 1
        for entry in entries:
            self.changes.append((self.index, entry))
            if entry["status"] == "gone":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        message = {"index": self.index, "snapshot": False, "endpoints": list(entries)}
        for writer in list(self.watches):
            self._write(writer, self.form(message))
        states = " ".join(f"{entry['name']}={entry['status']}" for entry in entries)
        self.record.line(f"discovery writes index={self.index} to {len(self.watches)} watches: {states}")
        return time.monotonic()

    def _write(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(chunk(text + b"\n"))

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                target = message.first_line.split(" ")[1]
                self.calls.append(time.monotonic())
                self.record.line(f"discovery is called: {target}")
                if "stream=1" not in target:
                    text = json.dumps(self.snapshot()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                after = target.partition("index=")[2]
                first = self.snapshot()
                if after and int(after) == self.index:
                    first = {"index": self.index, "snapshot": False, "endpoints": []}
                elif after and int(after) < self.index:
                    latest = {entry["name"]: entry for index, entry in self.changes if index > int(after)}
                    first = {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
                self._write(writer, self.form(first))
                self.watches.add(writer)
                beats = asyncio.create_task(self._beats(writer))
                await reader.read()
                beats.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def _beats(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(2.0)
            self._write(writer, b"")


# -- the router --------------------------------------------------------------------------------------------


class Router:
    """One router, started with the `run` command of the deploy file."""

    def __init__(self, folder: Path, name: str, discovery: int, settings: dict[str, Any],
                 known: dict[str, Any] | None = None, **limits: Any) -> None:  # fmt: skip
        self.folder, self.name, self.discovery = folder, name, discovery
        self.settings, self.known = settings, known
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits}
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.config = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.starts = 0

    def write_config(self) -> None:
        self.starts += 1
        text = {"name": self.name, "listen": f"{LOCAL}:{self.port}", "discovery": f"{LOCAL}:{self.discovery}",
                "seed": f"8c1f30d27a5be9{self.starts:02x}", "limits": self.limits, "known": self.known,
                "settings": self.settings}  # fmt: skip
        draft = self.config.with_suffix(".new")
        draft.write_text(json.dumps(text))
        draft.replace(self.config)

    def start(self) -> None:
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        env = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        env |= {"EDGE_NAME": self.name, "EDGE_LISTEN": f"{LOCAL}:{self.port}", "TMPDIR": str(temporary),
                "EDGE_DISCOVERY": f"{LOCAL}:{self.discovery}", "EDGE_CONFIG": str(self.config)}  # fmt: skip
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=log, stderr=log)
        PROCESSES.append(self.process)

    async def ready(self, limit: float = 30.0) -> bool:
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(LOCAL, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head.first_line + " ":
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((line for line in status.splitlines() if line.startswith("VmRSS")), "VmRSS: 0 kB")
        return int(line.split()[1]) / 1024

    def stop(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


# -- clients -----------------------------------------------------------------------------------------------


@dataclass
class Ask:
    txn: str
    router: str
    sent_at: float = 0.0  # its last byte was written
    wait: float = 0.0
    first_event_at: float = 0.0
    answered_at: float = 0.0
    kind: str = "none"  # served, refused, failed, cut, closed; none: nothing came
    status: int = 0
    events: list[str] = field(default_factory=list)

    def late(self) -> float:
        """Seconds from the client's deadline to the final answer; a stream has none once it has begun."""
        if self.first_event_at:
            return self.first_event_at - self.sent_at - self.wait
        return (self.answered_at or time.monotonic()) - self.sent_at - self.wait


class Client:
    """A sound client of one router: one request at a time on a connection, kept between them."""

    number = 0

    def __init__(self, router: Router, record: Record) -> None:
        self.router, self.record = router, record
        self.link: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, lane: str = "agent", wait: float = 2.8, tenant: str = "supermarkt-noord",
                  body: bytes = b"", session: str = "", patience: float = 10.0, headers: str = "",
                  again: str = "") -> Ask:  # fmt: skip
        """`again`: the id of a request that crossed the end of its connection, and is sent once more."""
        Client.number += 1
        asked = Ask(again or f"{Client.number:016x}", self.router.name, wait=wait)
        messages = [{"role": "user", "content": "points of " + asked.txn}]
        text = body or json.dumps({"model": lane, "stream": True, "messages": messages}).encode()
        head = (f"POST {ROUTER_PATH} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {asked.txn}\r\nX-Lane: {lane}\r\n"
                f"X-Org: {tenant}\r\nX-Entity: {session or asked.txn}\r\nX-Remaining: {wait:.3f}\r\n{headers}"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n")  # fmt: skip
        kept = self.link is not None
        try:
            if self.link is None:
                self.link = await asyncio.open_connection(LOCAL, self.router.port)
            reader, writer = self.link
            writer.write(head.encode() + text)
            await writer.drain()
            asked.sent_at = time.monotonic()
            self.record.line(f"sent {asked.txn} to {self.router.name} {lane} wait={wait}")
            await asyncio.wait_for(self._answer(asked, reader), patience)
        except TimeoutError:
            asked.kind = asked.kind if asked.kind != "none" else "none"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            asked.kind = "cut" if asked.events else "closed"
            self.close()
            if kept and not again and not asked.status:
                second = await self.ask(lane, wait, tenant, body, session, patience, headers, asked.txn)
                if second.sent_at:
                    return second
        asked.answered_at = time.monotonic()
        self.record.line(f"got  {asked.txn} {asked.kind} {asked.status} events={len(asked.events)} "
                         f"after={asked.answered_at - (asked.sent_at or asked.answered_at):.3f}")  # fmt: skip
        return asked

    async def _answer(self, asked: Ask, reader: asyncio.StreamReader) -> None:
        head = await read_head(reader)
        if head is None:
            raise ConnectionError
        asked.status = int(head.first_line.split(" ")[1])
        if "chunked" in head.headers.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")), 16):
                data = await reader.readexactly(size + 2)
                asked.first_event_at = asked.first_event_at or time.monotonic()
                asked.events.append(data[:-2].decode("latin-1"))
            await reader.readline()
        else:
            await reader.readexactly(int(head.headers.get("content-length", "0")))
        asked.kind = "served" if asked.status == 200 else "refused" if asked.status in (429, 503) else "failed"
        if "close" in head.headers.get("connection", "").lower():
            self.close()

    def close(self) -> None:
        if self.link is not None:
            self.link[1].close()
            self.link = None


@dataclass
class Deployment:
    servers: list[ModelServer]
    discovery: Discovery
    router: Router


# -- a case ------------------------------------------------------------------------------------------------


def start_stand_in(record: Record, script: Path, *arguments: object) -> subprocess.Popen[bytes]:
    """A stand-in in a process of its own, so that what it does takes no time from the others."""
    process = subprocess.Popen([sys.executable, "-B", str(script), *map(str, arguments)], stderr=record.file)
    PROCESSES.append(process)
    return process


async def small_deployment(folder: Path, record: Record, servers: int = 6, **limits: Any) -> Deployment:
    """Model servers in two zones, discovery, and one of the four routers of `punten-assistent`, ready."""
    fleet = [ModelServer(f"s-{n}", record, "gent" if n % 2 else "antwerpen") for n in range(servers)]
    for server in fleet:
        await server.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.add(*fleet)
    router = Router(folder, "n0", discovery.port, site_settings(), discovery.snapshot(), **limits)
    router.start()
    if not await router.ready():
        raise RuntimeError("the router is not ready after 30 s")
    record.line(f"router {router.name} is ready, memory {router.memory_mb():.0f} MB")
    return Deployment(fleet, discovery, router)


async def sound_clients(
    router: Router, record: Record, count: int, seconds: float, pause: float = 0.2, patience: float = 10.0
) -> list[Ask]:
    """Clients that ask one request after another, each try for 40% of its give-up time."""
    asked: list[Ask] = []
    end = time.monotonic() + seconds

    async def one(number: int) -> None:
        client = Client(router, record)
        lane, wait = ("agent", 2.4) if number % 2 else ("chat", 1.2)
        await asyncio.sleep(pause * number / count)
        while time.monotonic() < end:
            asked.append(await client.ask(lane, wait, session=f"e{number}", patience=patience))
            await asyncio.sleep(pause)
        client.close()

    await asyncio.gather(*(one(number) for number in range(count)))
    return asked


def play(case: Callable[[Path, Record], Awaitable[int]], folder: Path, limit: float = 115.0) -> None:
    """Runs a case with a record and a temporary folder, and exits with its result."""
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="pearstall-review-"))

    def ended(*_: object) -> None:
        raise SystemExit(COULD_NOT_RUN)  # by a signal: what was started is ended below

    async def limited() -> int:
        return await asyncio.wait_for(case(temporary, record), limit)

    signal.signal(signal.SIGTERM, ended)

    try:
        result = asyncio.run(limited())
    except Exception as error:  # the case itself failed: nothing is said of the rule
        record.line(f"the case could not run: {type(error).__name__}: {error}")
        result = COULD_NOT_RUN
    finally:
        for process in PROCESSES:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(temporary, ignore_errors=True)
    record.line(f"result {result}: {['the rule held', 'the rule was broken', 'the case could not run'][result]}")
    sys.exit(result)
