"""A complete installation on loopback, in one process: stand-in servers, the router and its fronts, keys, devices."""

from __future__ import annotations

import json
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pearstall.edge.client import DeviceClient
from pearstall.edge.service import Edge
from pearstall.edge.tokens import Key, encode_secret, mint, new_secret
from pearstall.lab.servers import LOCAL, Behaviour, ExecutionLog, StandIn
from pearstall.net.config import read_config
from pearstall.net.serve import Program


def free_ports(count: int) -> list[int]:
    """Distinct ports that no process is using at the moment."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((LOCAL, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def platform_settings(**changes: Any) -> dict[str, Any]:
    """Settings in the platform's form: two classes, one tenant and three attempts. `changes` replace whole keys."""
    lane = {"aim": 1_000_000, "hardLimit": 6_000_000, "lateShare": 0.5, "value": 3.0}
    limits = {"maxAttempts": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfter": 2_000_000,
              "connIdle": 30_000_000, "connectTimeout": 250_000}  # fmt: skip
    return {
        "lanes": [{"name": "chat", **lane}, {"name": "agent", **lane, "aim": 2_000_000}],
        "accounts": [{"name": "shop", "share": 1.0}], "dcs": ["here"], "models": ["toy"], "tick": 4000,
        "membershipMode": "subscribe", "limits": limits,
    } | changes  # fmt: skip


EDGE = """
servers form="openai"
openai listen="127.0.0.1:{openai}" default-class="chat" default-tenant="shop" {{
    model "toy" class="chat"
    {openai_more}
}}
edge listen="127.0.0.1:{edge}" default-class="chat" {{
    keys "keys.kdl"
    model "toy" class="chat"
    {more}
}}
log form="off"
"""


def write_keys(path: Path, keys: list[Key], *revoked: str) -> None:
    lines = [f'key "{key.id}" secret="{encode_secret(key.secret)}" tenant="{key.tenant}"' for key in keys]
    path.write_text("\n".join([*lines, *revoked, ""]))
    path.chmod(0o600)


@dataclass(slots=True)
class Rig:
    program: Program
    execution_log: ExecutionLog
    ports: dict[str, int]
    folder: Path
    servers: list[StandIn]
    keys: list[Key] = field(default_factory=list)

    @property
    def edge(self) -> Edge:
        assert self.program.edge is not None
        return self.program.edge.edge

    @property
    def url(self) -> str:
        return f"http://{LOCAL}:{self.ports['edge']}"

    def token(self, device: str, epoch: int = 0, lifetime: float = 3600.0, key: int = 0) -> str:
        return mint(self.keys[key], device, int(time.time() + lifetime), epoch)

    def device(self, name: str, port: int = 0, timeout: float = 10.0) -> DeviceClient:
        url = f"http://{LOCAL}:{port}" if port else self.url
        return DeviceClient(url, self.token(name), timeout=timeout)


@asynccontextmanager
async def installation(
    behaviours: list[Behaviour], seed: int = 1, more: str = "", openai_more: str = "",
    note: Callable[..., None] | None = None, folder: Path | None = None, ports: dict[str, int] | None = None,
    **settings: Any,
) -> AsyncIterator[Rig]:  # fmt: skip
    """`more`, `openai_more`: further nodes of the operators' `edge` and `openai` sections. `note`: receives the
    edge's log, which goes to standard error otherwise."""
    async with AsyncExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="pearstall-")))
        execution_log = ExecutionLog()
        servers = [
            await stack.enter_async_context(StandIn(number, execution_log, behaviour, seed).listening())
            for number, behaviour in enumerate(behaviours)
        ]
        if ports is None:
            ports = dict(zip(("platform", "openai", "edge"), free_ports(3), strict=True))
        rows = [f"s{one.number},{LOCAL}:{one.port},here,toy" for one in servers]
        (folder / "hosts.csv").write_text("\n".join(["name,address,zone,type", *rows, ""]))
        config = {"listen": f"{LOCAL}:{ports['platform']}", "seed": str(seed), "limits": {"sockets": 20_000},
                  "settings": platform_settings(**settings)}  # fmt: skip
        (folder / "config.json").write_text(json.dumps(config))
        keys = [Key("k1", new_secret(), "shop")]
        write_keys(folder / "keys.kdl", keys)
        (folder / "pearstall.kdl").write_text(EDGE.format(**ports, more=more, openai_more=openai_more))
        files = [str(folder / name) for name in ("pearstall.kdl", "hosts.csv", "config.json")]
        program = Program(read_config({}, *files))
        rig = Rig(program, execution_log, ports, folder, servers, keys)
        if note is not None:
            rig.edge.note = rig.edge.sessions.note = note
        await program.start()
        try:
            yield rig
        finally:
            await program.close()
