"""`pearstall demo`: the main job, shown on loopback in a few seconds."""

from __future__ import annotations

import asyncio
import json

import click
import httpx
import msgspec

from pearstall.cli.ask import text_of
from pearstall.edge.client import DeviceAsk, DeviceClient
from pearstall.lab.rig import Rig, installation
from pearstall.lab.servers import LOCAL, Behaviour
from pearstall.net.events import payloads

CHAT = "/v1/chat/completions"
WORDS = {"model": "toy", "stream": True, "messages": [{"role": "user", "content": "What are double points?"}]}


def title(text: str) -> None:
    click.secho(f"\n{text}", bold=True)


def line(what: str, text: str) -> None:
    click.echo(f"  {what:<22}{text}")


async def run_demo(seed: int) -> int:
    """0 where all that is shown came out as it should."""
    slow = Behaviour(gap=(0.03, 0.06), events=(14, 14), size=(3, 8))
    faulty = Behaviour(ways={"error": 1.0}, gap=(0.03, 0.06))
    said: list[tuple[str, dict[str, object]]] = []

    def note(event: str, **fields: object) -> None:
        said.append((event, fields))

    async with installation([slow, slow, faulty], seed, 'linger "20s"', note=note) as rig:
        title("An installation on loopback")
        line("model servers", ", ".join(str(server.port) for server in rig.servers) + " (the last one only errs)")
        line("platform front", f"http://{LOCAL}:{rig.ports['platform']}{CHAT}")
        line("OpenAI-style front", f"http://{LOCAL}:{rig.ports['openai']}{CHAT}")
        line("edge", f"{rig.url}  (WebSocket, server-sent events, long polls)")
        good = await _fronts(rig)
        good &= await _cut(rig)
        title("What the router did")
        counters = rig.program.counters
        line("queries", f"{counters.queries}, of them served {counters.served}")
        line("executions", f"{counters.executions}: {counters.outcomes}")
        finals = [fields for event, fields in said if event == "final"]
        line("the edge's log", json.dumps(finals[-1] if finals else {}))
        good &= len(finals) == 2 and not rig.books.doubles
    click.secho("\nAll as it should be." if good else "\nSomething went wrong.", fg="green" if good else "red")
    return 0 if good else 1


async def _fronts(rig: Rig) -> bool:
    title("An ask over each front")
    good = True
    async with httpx.AsyncClient(trust_env=False, timeout=10) as http:
        headers = {"X-Txn": "demo1", "X-Lane": "chat", "X-Org": "shop", "X-Remaining": "5"}
        answer = await http.post(f"http://{LOCAL}:{rig.ports['platform']}{CHAT}", json=WORDS, headers=headers)
        line("platform", f"{answer.status_code}, {len(list(payloads(answer.content)))} events")
        good &= answer.status_code == 200
        whole = {**WORDS, "stream": False}
        keyed = {"Idempotency-Key": "demo-2"}
        url = f"http://{LOCAL}:{rig.ports['openai']}{CHAT}"
        first, second = await asyncio.gather(
            http.post(url, json=whole, headers=keyed), _later(http, url, whole, keyed)
        )
        line(
            "OpenAI-style, whole", f"{second.status_code}, X-Request-Id {second.headers.get('x-request-id', '')[:12]}"
        )
        line("  asked twice by key", f"{first.status_code} then {second.status_code}: one query, the newer has it")
        good &= second.status_code == 200 and first.status_code == 409
    return good


async def _later(http: httpx.AsyncClient, url: str, body: object, headers: dict[str, str]) -> httpx.Response:
    await asyncio.sleep(0.2)
    return await http.post(url, json=body, headers=headers)


class _Cut(DeviceAsk):
    def take(self, first: int, events: list[bytes], now: float) -> None:
        super().take(first, events, now)
        for event in events:
            print(text_of(event), end=" ", flush=True)
        if len(self.events) in (4, 5, 9, 10) and not getattr(self, f"cut{len(self.events) > 6}", False):
            setattr(self, f"cut{len(self.events) > 6}", True)
            raise ConnectionResetError("the link is cut")


async def _cut(rig: Rig) -> bool:
    title("A phone whose link is cut twice, and which comes back over another wire each time")
    client: DeviceClient = rig.device("phone-1")
    held = _Cut("ask-1", {"model": "toy", "messages": WORDS["messages"]})
    for wire in ("ws-msgpack", "sse", "poll"):
        click.secho(f"  {wire}, holding {held.last}: ", nl=False, fg="cyan")
        told = await client.attempt(wire, held)  # type: ignore[arg-type]
        click.echo("" if told is None else f" [{told.code}]")
        if told is None:
            break
        await asyncio.sleep(0.1)
    made = rig.books.by_txn.get("phone-1.ask-1", [])
    served = [one for one in made if one.whole]
    same = bool(served) and served[-1].events == held.events
    line("held", f"{len(held.events)} events, {'byte for byte' if same else 'NOT'} what the server sent")
    line("final record", msgspec.json.encode(held.final).decode())
    line("executions", f"{len(made)} ({', '.join(one.way for one in made)})")
    return same and not held.breaches and held.final is not None
