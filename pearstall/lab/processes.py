"""A real router process on loopback, for tests and soaks that signal, kill and restart it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from pearstall.lab.rig import free_ports
from pearstall.lab.servers import LOCAL
from pearstall.net.buffer import Buffer
from pearstall.net.http1 import Head, read_head

ROOT = Path(__file__).parent.parent.parent
ROUTER = ("-m", "pearstall")
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n"
POLL_SECONDS = 0.02
EXIT_SECONDS = 10.0


class RouterProcess:
    """One router. `launcher`: arguments of the interpreter; `fault_shim` in place of the router injects faults."""

    def __init__(
        self,
        folder: Path,
        config: Mapping[str, Any],
        launcher: Sequence[str] = ROUTER,
        env: Mapping[str, str] | None = None,
    ) -> None:
        self.folder = folder
        self.port = free_ports(1)[0]
        self.config = dict(config)
        self.launcher = launcher
        self.env = dict(env or {})
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / "router.log"
        self.config_path = folder / "config.json"

    def write_config(self, **changes: Any) -> None:
        """Replaces the file atomically, as an operator's tool does."""
        self.config.update(changes)
        draft = self.config_path.with_suffix(".new")
        draft.write_text(json.dumps({"listen": f"{LOCAL}:{self.port}", "seed": "7", **self.config}))
        draft.replace(self.config_path)

    def start(self) -> None:
        self.write_config()
        env = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(self.config_path), "PYTHONPATH": str(ROOT), **self.env}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen([sys.executable, *self.launcher], cwd=ROOT, stderr=log, env=env)

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Sends SIGKILL and waits until the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(EXIT_SECONDS)

    @property
    def exit_code(self) -> int | None:
        return None if self.process is None else self.process.poll()

    def peak_bytes(self) -> int:
        """The most that the process has had resident; 0: it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")]
        return int(sizes[0]) * 1024 if sizes else 0

    def log(self) -> str:
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    async def health(self) -> int:
        """The status of its health check; 0: no answer."""
        try:
            reader, writer = await asyncio.open_connection(LOCAL, self.port)
        except OSError:
            return 0
        try:
            writer.write(HEALTH_REQUEST)
            buffer = Buffer()
            while (head := read_head(buffer, response=True)) is None:
                data = await reader.read(4096)
                if not data:
                    return 0
                buffer.add(data)
            return head.status if isinstance(head, Head) else 0
        except OSError:
            return 0
        finally:
            writer.close()

    async def until_health(self, status: int, seconds: float) -> None:
        async with asyncio.timeout(seconds):
            while await self.health() != status:
                await asyncio.sleep(POLL_SECONDS)

    async def until_listening(self, seconds: float) -> None:
        async with asyncio.timeout(seconds):
            while not await self.health():
                await asyncio.sleep(POLL_SECONDS)
