"""`pearstall demo`: shows the main features on loopback in a few seconds."""

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

CHAT_PATH = "/v1/chat/completions"
CHAT_REQUEST = {"model": "toy", "stream": True, "messages": [{"role": "user", "content": "What are double points?"}]}


def print_title(text: str) -> None:
    click.secho(f"\n{text}", bold=True)


def print_row(label: str, text: str) -> None:
    click.echo(f"  {label:<22}{text}")


async def run_demo(seed: int) -> int:
    """Returns the exit code: 0 if every step had the expected result."""
    slow = Behaviour(gap=(0.03, 0.06), events=(14, 14), size=(3, 8))
    faulty = Behaviour(outcome_weights={"error": 1.0}, gap=(0.03, 0.06))
    noted: list[tuple[str, dict[str, object]]] = []

    def note(event: str, **fields: object) -> None:
        noted.append((event, fields))

    async with installation([slow, slow, faulty], seed, 'linger "20s"', note=note) as rig:
        print_title("An installation on loopback")
        print_row(
            "model servers",
            ", ".join(str(server.port) for server in rig.servers) + " (the last one only returns errors)",
        )
        print_row("platform front", f"http://{LOCAL}:{rig.ports['platform']}{CHAT_PATH}")
        print_row("OpenAI-style front", f"http://{LOCAL}:{rig.ports['openai']}{CHAT_PATH}")
        print_row("edge", f"{rig.url}  (WebSocket, server-sent events, long polling)")
        passed = await _show_fronts(rig)
        passed &= await _show_reconnects(rig)
        print_title("What the router did")
        counters = rig.program.counters
        print_row("queries", f"{counters.queries}, of which served {counters.served}")
        print_row("executions", f"{counters.executions}: {counters.outcomes}")
        finals = [fields for event, fields in noted if event == "final"]
        print_row("the edge's log", json.dumps(finals[-1] if finals else {}))
        passed &= len(finals) == 2 and not rig.execution_log.overlapping
    click.secho(
        "\nAll as it should be." if passed else "\nA step did not have the expected result.",
        fg="green" if passed else "red",
    )
    return 0 if passed else 1


async def _show_fronts(rig: Rig) -> bool:
    print_title("A request over each front")
    passed = True
    async with httpx.AsyncClient(trust_env=False, timeout=10) as http:
        headers = {"X-Txn": "demo1", "X-Lane": "chat", "X-Org": "shop", "X-Remaining": "5"}
        answer = await http.post(
            f"http://{LOCAL}:{rig.ports['platform']}{CHAT_PATH}", json=CHAT_REQUEST, headers=headers
        )
        print_row("platform", f"{answer.status_code}, {len(list(payloads(answer.content)))} events")
        passed &= answer.status_code == 200
        unstreamed = {**CHAT_REQUEST, "stream": False}
        key_headers = {"Idempotency-Key": "demo-2"}
        url = f"http://{LOCAL}:{rig.ports['openai']}{CHAT_PATH}"
        first, second = await asyncio.gather(
            http.post(url, json=unstreamed, headers=key_headers), _post_later(http, url, unstreamed, key_headers)
        )
        print_row(
            "OpenAI-style, whole", f"{second.status_code}, X-Request-Id {second.headers.get('x-request-id', '')[:12]}"
        )
        print_row(
            "  same key sent twice",
            f"{first.status_code} then {second.status_code}: one query, answered to the newer request",
        )
        passed &= second.status_code == 200 and first.status_code == 409
    return passed


async def _post_later(http: httpx.AsyncClient, url: str, body: object, headers: dict[str, str]) -> httpx.Response:
    await asyncio.sleep(0.2)
    return await http.post(url, json=body, headers=headers)


class _InterruptedAsk(DeviceAsk):
    """Prints the events, and loses its connection twice."""

    def take(self, first: int, events: list[bytes], now: float) -> None:
        super().take(first, events, now)
        for event in events:
            print(text_of(event), end=" ", flush=True)
        if len(self.events) in (4, 5, 9, 10) and not getattr(self, f"cut{len(self.events) > 6}", False):
            setattr(self, f"cut{len(self.events) > 6}", True)
            raise ConnectionResetError("the demo closes the connection")


async def _show_reconnects(rig: Rig) -> bool:
    print_title("A phone that loses its connection twice, and resumes over another transport each time")
    client: DeviceClient = rig.device("phone-1")
    device_ask = _InterruptedAsk("ask-1", {"model": "toy", "messages": CHAT_REQUEST["messages"]})
    for wire in ("ws-msgpack", "sse", "poll"):
        click.secho(f"  {wire}, after {device_ask.last} events: ", nl=False, fg="cyan")
        failure = await client.attempt(wire, device_ask)  # type: ignore[arg-type]
        click.echo("" if failure is None else f" [{failure.code}]")
        if failure is None:
            break
        await asyncio.sleep(0.1)
    executions = rig.execution_log.by_txn.get("phone-1.ask-1", [])
    served = [execution for execution in executions if execution.whole]
    identical = bool(served) and served[-1].events == device_ask.events
    print_row(
        "received", f"{len(device_ask.events)} events, {'byte for byte' if identical else 'NOT'} what the server sent"
    )
    print_row("final record", msgspec.json.encode(device_ask.final).decode())
    print_row("executions", f"{len(executions)} ({', '.join(execution.outcome for execution in executions)})")
    return identical and not device_ask.breaches and device_ask.final is not None
