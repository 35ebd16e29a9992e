"""The edge's costs: memory per session and ask, resumes per second, CPU per event, and a reconnect storm.

    python benchmarks/edge.py [--sizes 1000,10000,50000] [--storm 2000] [--json] [--plots FOLDER]

Memory is the growth of the process's resident set, each size in its own process. CPU per event is compared within one
run: the same stream passes through the platform's front and through each wire of the edge. Clients run outside the
measured process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

import msgspec  # noqa: E402

from benchmarks.common import cpu, main, resident, run_in_new_process  # noqa: E402
from pearstall.edge.frames import CODECS, Ack, AskFor, Ended, Error, Events, Hello, Position, Welcome  # noqa: E402
from pearstall.edge.keeping import Bounds  # noqa: E402
from pearstall.edge.records import Problem  # noqa: E402
from pearstall.edge.tokens import Device  # noqa: E402
from pearstall.lab.rig import installation  # noqa: E402
from pearstall.lab.servers import LOCAL, Behaviour  # noqa: E402
from pearstall.net.core import Query  # noqa: E402
from tests.edge_support import Reader, Scene, body, event  # noqa: E402

OPEN = 'limits { device rate=0 running=0; arrivals rate=0; }\nbounds device-asks=1000 ask-bytes="8MiB"\n'
SCRIPT = str(Path(__file__))


# -- memory ------------------------------------------------------------------------------------------------


def memory(what: str, count: int) -> dict[str, Any]:
    """Bytes per item of one kind: `idle` sessions, `tombstone`s, or `finished` asks of 20 unread events."""
    scene = Scene(Bounds(sessions=count + 9, tombstones=count + 9, keep=1e6, remember=1e6, idle=1e6))
    edge, payload = scene.edge, body()
    scene.notes = _DiscardingList()  # type: ignore[assignment]

    class Upstream:
        def take(self, query: Query) -> int:
            return 0

        def client_gone(self, handle: int) -> None: ...

        def pause(self, handle: int, paused: bool) -> None: ...

    scene.sessions.upstream = Upstream()
    devices = [f"device-{number:08d}" for number in range(count)]
    for warm in range(3):
        _add_item(scene, edge, f"warm-{warm}", payload, "finished")
    before = resident()
    began = time.perf_counter()
    for name in devices:
        _add_item(scene, edge, name, payload, what)
    seconds = time.perf_counter() - began
    return {
        "what": what,
        "count": count,
        "bytes_each": (resident() - before) / count,
        "us_each": seconds / count * 1e6,
    }


class _DiscardingList(list[Any]):
    def append(self, item: Any) -> None: ...


def _add_item(scene: Scene, edge: Any, name: str, payload: bytes, what: str) -> None:
    device = Device(name, "shop")
    if what == "idle":
        assert not isinstance(edge.session(device), Problem)
        return
    ask = edge.ask(device, "ask-1", "", payload, None, 0, 5.0)
    assert not isinstance(ask, Problem), ask
    for number in range(20):
        ask.pass_on(event(number) + b"")
    ask.finish()
    if what == "tombstone":
        reader = Reader()
        ask.attach(reader, 0)
        ask.acknowledge(21)


def resumes(sessions: int, count: int) -> dict[str, Any]:
    """Resumes of running asks per second of CPU, without sockets: the cost of the sessions themselves."""
    scene = Scene(Bounds(sessions=sessions + 1))
    payload, random = body(), Random(1)
    devices = [Device(f"device-{number:08d}", "shop") for number in range(sessions)]
    scene.sessions.upstream = _AcceptingUpstream()
    for device in devices:
        ask = scene.edge.ask(device, "a", "", payload, None, 0, 5.0)
        assert not isinstance(ask, Problem)
        ask.pass_on(b"".join(event(n) for n in range(10)))
    chosen = [random.choice(devices) for _ in range(count)]
    began = cpu()
    for device in chosen:
        scene.edge.attach(device, "a", Reader(), 5)
    return {"sessions": sessions, "per_second": count / (cpu() - began)}


class _AcceptingUpstream:
    def take(self, query: Query) -> int:
        return 0

    def client_gone(self, handle: int) -> None: ...

    def pause(self, handle: int, paused: bool) -> None: ...


# -- CPU per event ------------------------------------------------------------------------------------------


async def serve(events: int, asks: int) -> dict[str, Any]:
    """This process is the router. Servers and clients run in other processes and report when they have finished."""
    out: dict[str, Any] = {}
    steady = Behaviour(first=(0, 0), gap=(0, 0), events=(events, events), size=(60, 60))
    server = await _child("server", str(events))
    assert server.stdout is not None
    port = int((await server.stdout.readline()).decode())
    async with installation([steady], more=OPEN) as rig:
        (rig.folder / "hosts.csv").write_text(f"name,address,zone,type\ns0,{LOCAL}:{port},here,toy\n")
        rig.program.reload()
        tokens = json.dumps([rig.token(f"d{n}") for n in range(8)])
        for round in range(3):
            for wire in ("platform", "ws-json", "ws-msgpack", "sse"):
                target = rig.ports["platform" if wire == "platform" else "edge"]
                client = await _child("client", wire, str(target), str(asks), tokens, str(round))
                assert client.stdout is not None
                assert (await client.stdout.readline()) == b"ready\n"
                before = cpu()
                assert client.stdin is not None
                client.stdin.write(b"go\n")
                received = json.loads((await client.stdout.readline()).decode())
                used = cpu() - before
                await client.wait()
                assert received["events"] == asks * (events + 2), (wire, received)
                out.setdefault(wire, []).append(used / received["events"] * 1e6)
        counters = rig.program.counters
        assert counters.broken == counters.failed == 0
    server.terminate()
    await server.wait()
    best = {wire: min(values) for wire, values in out.items()}
    return {
        "us_an_event": best,
        "ratio": {wire: best[wire] / best["platform"] for wire in best if wire != "platform"},
    }


async def _child(*words: str) -> asyncio.subprocess.Process:
    env = os.environ | {"PYTHONPATH": str(ROOT)}
    return await asyncio.create_subprocess_exec(
        sys.executable, SCRIPT, "--part", *words, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        env=env, limit=1 << 20,
    )  # fmt: skip


async def server_part(events: int) -> None:
    """Answers each request with the same events, one write per event, as a model server does."""
    row = {"choices": [{"index": 0, "delta": {"content": "x" * 60}, "finish_reason": None}]}
    event = b"data: %b\n\n" % json.dumps(row).encode()
    last = b"data: [DONE]\n\n"
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def link(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                asked = await reader.readuntil(b"\r\n\r\n")
                length = int(asked.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
                await reader.readexactly(length)
                writer.write(head)
                for data in (*[event] * (events + 1), last):
                    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                    await asyncio.sleep(0.0005)
                writer.write(b"0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(link, LOCAL, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


async def client_part(wire: str, port: int, asks: int, tokens: list[str], round: str) -> None:
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    received = await asyncio.gather(
        *(_client(wire, port, asks // len(tokens), token, f"{wire}-{round}-{n}") for n, token in enumerate(tokens))
    )
    print(json.dumps({"events": sum(received)}), flush=True)


async def _client(wire: str, port: int, asks: int, token: str, name: str) -> int:
    text = body().decode()
    total = 0
    if wire in ("platform", "sse"):
        reader, writer = await asyncio.open_connection(LOCAL, port)
        for number in range(asks):
            named = (
                f"X-Txn: {name}-{number}\r\nX-Lane: chat\r\nX-Org: shop\r\nX-Remaining: 5\r\n"
                if wire == "platform"
                else f"Authorization: Bearer {token}\r\nIdempotency-Key: {name}-{number}\r\n"
                "Accept: text/event-stream\r\n"
            )
            path = "/v1/chat/completions" if wire == "platform" else "/v1/asks"
            writer.write(
                f"POST {path} HTTP/1.1\r\nHost: x\r\n{named}Content-Length: {len(text)}\r\n\r\n{text}".encode()
            )
            data = b""
            while not data.endswith(b"\r\n0\r\n\r\n"):
                more = await reader.read(65536)
                assert more, data[-300:]
                data += more
            total += data.count(b"data: ") - (2 if wire == "sse" else 0)  # the edge adds two events: attached, final
            if wire == "sse":
                writer.close()
                reader, writer = await asyncio.open_connection(LOCAL, port)
        return total
    from websockets.asyncio.client import connect
    from websockets.typing import Subprotocol

    names = {"ws-json": "pearstall.json.1", "ws-msgpack": "pearstall.msgpack.1"}
    codec = CODECS[names[wire]]
    encode = msgspec.json.encode if codec.text else msgspec.msgpack.encode

    def packed(message: Any) -> str | bytes:
        data = codec.encode(message)
        return data.decode() if codec.text else data

    url = f"ws://{LOCAL}:{port}/v1/device"
    async with connect(url, subprotocols=[Subprotocol(codec.name)], compression=None, proxy=None) as socket:
        await socket.send(packed(Hello(token)))
        for number in range(asks):
            id = f"{name}-{number}"
            await socket.send(packed(AskFor(id, msgspec.Raw(encode(json.loads(text))))))
            while True:
                message = codec.read(await socket.recv())
                assert not isinstance(message, Error), message
                if isinstance(message, Events):
                    total += len(message.events)
                elif isinstance(message, Ended):
                    await socket.send(packed(Ack(id, message.final.number)))
                    break
    return total


# -- reconnect storm -----------------------------------------------------------------------------------------------


async def storm(devices: int, resuming: float) -> dict[str, Any]:
    """All devices reconnect within a second, as after a cell outage; those turned off retry after the advised wait.
    Measures the times until the answers are received, and how many connections were turned off."""
    from websockets.asyncio.client import connect
    from websockets.exceptions import ConnectionClosed
    from websockets.typing import Subprotocol

    logging.disable()
    slow = Behaviour(first=(0.1, 0.2), gap=(0.2, 0.2), events=(15, 15))
    more = (
        "limits { device rate=0 running=0; running 20000; "
        'arrivals rate=400 burst=200 ask-part=0.5 longest-wait="20s"; }\n'
        'linger "60s"\nkeep-alive least="10s" most="45s"\nwebsocket hello-within="30s"\n'
    )
    codec = CODECS["pearstall.msgpack.1"]
    random = Random(7)
    finished: dict[str, list[float]] = {"resumes": [], "asks": []}
    turned_off = 0

    async with installation([slow] * 8, more=more) as rig:
        url = rig.url.replace("http", "ws") + "/v1/device"
        count = int(devices * resuming)
        payload = msgspec.Raw(msgspec.msgpack.encode(json.loads(body())))
        gate = rig.edge.admission.gate
        limits, gate.limits = gate.limits, msgspec.structs.replace(gate.limits, arrivals=0.0)
        opened = asyncio.Semaphore(200)

        async def connect_before(number: int) -> None:
            async with opened:
                socket = await connect(url, subprotocols=[Subprotocol(codec.name)], compression=None, proxy=None)
                await socket.send(codec.encode(Hello(rig.token(f"d{number}"))))
                await socket.send(codec.encode(AskFor("a", payload)))
                while not isinstance(codec.read(await socket.recv()), Events):
                    pass
                socket.transport.abort()  # the cell fails

        await asyncio.gather(*(connect_before(number) for number in range(count)))
        gate.limits = limits
        began = time.perf_counter()

        async def reconnect(number: int) -> None:
            nonlocal turned_off
            await asyncio.sleep(random.random())
            resumes = number < count
            while True:
                wait = 0.2
                try:
                    async with connect(
                        url, subprotocols=[Subprotocol(codec.name)], compression=None, proxy=None, open_timeout=30
                    ) as socket:
                        resume = [Position("a", 1)] if resumes else []
                        await socket.send(codec.encode(Hello(rig.token(f"d{number}"), resume)))
                        while True:
                            message = codec.read(await socket.recv())
                            if isinstance(message, Welcome) and not resumes:
                                await socket.send(codec.encode(AskFor("a", payload)))
                            elif isinstance(message, Error):
                                turned_off += 1
                                wait = message.retry_after_ms / 1000
                                break
                            elif isinstance(message, Ended):
                                finished["resumes" if resumes else "asks"].append(time.perf_counter() - began)
                                await socket.send(codec.encode(Ack("a", message.final.number)))
                                return
                except (OSError, ConnectionClosed):
                    pass
                await asyncio.sleep(wait)

        await asyncio.gather(*(reconnect(number) for number in range(devices)))
        kinds = dict(rig.edge.sessions.finals)
    out: dict[str, Any] = {"devices": devices, "turned_off": turned_off, "finals": kinds}
    for name, times in finished.items():
        times.sort()
        out[name] = {"count": len(times), "median_s": times[len(times) // 2], "last_s": times[-1]}
    out["times"] = finished
    return out


# ----------------------------------------------------------------------------------------------------------


def measure(arguments: argparse.Namespace) -> dict[str, Any]:
    sizes = [int(size) for size in arguments.sizes.split(",")]
    result: dict[str, Any] = {"memory": [], "resumes": []}
    for size in sizes:
        for what in ("idle", "finished", "tombstone"):
            print(f"memory of {size} {what}", file=sys.stderr, flush=True)
            result["memory"].append(run_in_new_process(SCRIPT, "--part", "memory", what, str(size)))
        result["resumes"].append(run_in_new_process(SCRIPT, "--part", "resumes", str(size), "20000"))
    print("CPU per event", file=sys.stderr, flush=True)
    result["cpu"] = run_in_new_process(SCRIPT, "--part", "serve", "100", str(arguments.asks))
    print(f"reconnect storm of {arguments.storm} devices", file=sys.stderr, flush=True)
    result["storm"] = run_in_new_process(SCRIPT, "--part", "storm", str(arguments.storm))
    return result


def show(result: dict[str, Any]) -> None:
    for row in result["memory"]:
        print(f"{row['what']:>10} x {row['count']:>6}: {row['bytes_each']:7.0f} bytes, {row['us_each']:6.1f} us each")
    for row in result["resumes"]:
        print(f"resumes at {row['sessions']:>6} sessions: {row['per_second']:,.0f} per second of CPU")
    for wire, value in result["cpu"]["us_an_event"].items():
        ratio = result["cpu"]["ratio"].get(wire, 1.0)
        print(f"{wire:>10}: {value:5.1f} us of CPU per event, {ratio:.2f} times the platform's front")
    storm = result["storm"]
    print(f"storm of {storm['devices']} devices: {storm['turned_off']} turned off, {storm['finals']}")
    for name in ("resumes", "asks"):
        row = storm[name]
        print(f"  {row['count']} {name}: median {row['median_s']:.1f} s, last {row['last_s']:.1f} s")


def plot(result: dict[str, Any], folder: Path) -> None:
    from pearstall.lab.plots import figure, save, shares

    drawing, (left, right) = figure(columns=2)
    for what in ("idle", "finished", "tombstone"):
        rows = [row for row in result["memory"] if row["what"] == what]
        left.plot([row["count"] for row in rows], [row["bytes_each"] for row in rows], marker="o", label=what)
    left.set_xscale("log")
    left.set_xlabel("sessions")
    left.set_ylabel("bytes each")
    left.set_ylim(bottom=0)
    left.legend()
    for name in ("resumes", "asks"):
        shares(right, result["storm"]["times"][name], "seconds after the cell recovered")
    right.legend(["resumes", "new asks"])
    save(drawing, folder / "edge.svg")


def part(words: list[str]) -> None:
    what, *rest = words
    if what == "memory":
        print(json.dumps(memory(rest[0], int(rest[1]))))
    elif what == "resumes":
        print(json.dumps(resumes(int(rest[0]), int(rest[1]))))
    elif what == "serve":
        print(json.dumps(asyncio.run(serve(int(rest[0]), int(rest[1])))))
    elif what == "server":
        asyncio.run(server_part(int(rest[0])))
    elif what == "client":
        asyncio.run(client_part(rest[0], int(rest[1]), int(rest[2]), json.loads(rest[3]), rest[4]))
    elif what == "storm":
        print(json.dumps(asyncio.run(storm(int(rest[0]), 0.75))))


def options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--sizes", default="1000,10000,50000")
    parser.add_argument("--asks", type=int, default=80, help="asks per wire, for the CPU per event")
    parser.add_argument("--storm", type=int, default=2000)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--part"]:
        part(sys.argv[2:])
    else:
        main(str(__doc__), measure, show, plot, options)
