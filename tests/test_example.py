"""Runs the example folder as its README describes, on free ports."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

from pearstall.edge.tokens import Key, new_secret
from pearstall.lab.rig import write_keys
from tests.net_support import LOCAL, Client, free_port

ROOT = Path(__file__).parent.parent


def test_the_example_answers_in_one_body_and_streamed(tmp_path: Path) -> None:
    ports = {old: str(free_port()) for old in ("7070", "7101", "7102", "8081", "8090")}
    write_keys(tmp_path / "keys.kdl", [Key("k1", new_secret(), "shop")])
    for name in ("config.json", "hosts.yaml", "pearstall.kdl"):
        text = (ROOT / "examples" / name).read_text()
        for old, new in ports.items():
            text = text.replace(old, new)
        (tmp_path / name).write_text(text)
    toy_servers = [[str(ROOT / "examples" / "toy_server.py"), ports[old]] for old in ("7101", "7102")]
    files = [str(tmp_path / name) for name in ("config.json", "hosts.yaml", "pearstall.kdl")]
    router = ["-m", "pearstall", "--config", files[0], "--inventory", files[1], "--operators", files[2]]
    processes = [
        subprocess.Popen([sys.executable, *arguments], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        for arguments in [*toy_servers, router]
    ]

    async def scene() -> None:
        for old in ("7101", "7102", "7070", "8081"):
            async with asyncio.timeout(60):
                while True:
                    try:
                        (await asyncio.open_connection(LOCAL, int(ports[old])))[1].close()
                        break
                    except OSError:
                        await asyncio.sleep(0.05)
        openai = Client("openai", int(ports["8081"]))
        kind, _, body = await openai.ask(model="toy", stream=False)
        assert kind == "served"
        assert json.loads(body)["choices"][0]["message"]["content"] == "You said: hi"
        kind, _, body = await openai.ask(model="toy")
        assert kind == "served" and body.endswith(b"data: [DONE]\n\n")
        assert (await Client("platform", int(ports["7070"])).ask())[0] == "served"

    try:
        asyncio.run(scene())
        processes[2].send_signal(signal.SIGTERM)
        _, errors = processes[2].communicate(timeout=60)
        (counters,) = [line for line in errors.decode().splitlines() if line.startswith("counters ")]
        assert json.loads(counters.removeprefix("counters "))["served"] == 3
    finally:
        for process in processes:
            process.kill()
            process.communicate()
