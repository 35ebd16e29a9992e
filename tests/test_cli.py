"""The command line and the log; the platform's entry point imports none of it."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from pearstall.cli.main import commands, main
from pearstall.config.operators import read_keys
from pearstall.logs import RateLimit, make_logger
from tests.test_config import operators
from tests.test_lists import config_file

ROOT = Path(__file__).parent.parent
NOT_IMPORTED = (
    "click", "ckdl", "structlog", "wsproto", "blake3", "httpx", "websockets", "matplotlib", "h11", "lark", "numpy",
    "pearstall.net.subset", "pearstall.edge", "pearstall.cli", "pearstall.config", "pearstall.lab", "pearstall.logs",
)  # fmt: skip


def call(*arguments: object) -> Result:
    return CliRunner().invoke(commands, [str(argument) for argument in arguments])


def test_the_platforms_entry_point_imports_no_optional_dependency() -> None:
    code = "import sys, pearstall.__main__, pearstall.net.serve; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    names = loaded.stdout.split()
    assert "pearstall.net.core" in names
    assert not [name for name in names if any(name == one or name.startswith(one + ".") for one in NOT_IMPORTED)]


def test_check_reports_every_problem_with_its_position(tmp_path: Path) -> None:
    file = operators(tmp_path, 'openai listen="x" default-class="none"\nlog level="loud"\n')
    (tmp_path / "hosts.csv").write_text("name,address\na,127.0.0.1:1\nb,\n")
    config_path = config_file(tmp_path)
    result = call(
        "check", "--operators", file, "--config", config_path, "--inventory", tmp_path / "hosts.csv", "--json"
    )
    report = json.loads(result.output)
    assert result.exit_code == 1 and not report["ok"]
    places = [(Path(row["file"]).name, row["line"], row["column"]) for row in report["problems"]]
    assert places == [("own.kdl", 1, 1), ("own.kdl", 2, 1), ("hosts.csv", 1, 1)]
    file = operators(tmp_path, 'edge listen="127.0.0.1:1" default-class="none" { keys "keys.kdl"; }\n')
    result = call("check", "--operators", file, "--config", config_path)
    assert result.exit_code == 1 and "own.kdl:1:1: unknown class 'none'" in result.output
    file = operators(tmp_path, 'edge listen="127.0.0.1:1" default-class="chat" { keys "keys.kdl"; }\n')
    result = call("check", "--operators", file, "--config", config_path)
    assert result.exit_code == 0 and "own.kdl: edge" in result.output
    config_path.write_text('{"listen": "127.0.0.1:1",\n "settings": {"lanes": [}')
    result = call("check", "--config", config_path)
    assert result.exit_code == 1 and "config.json:2:" in result.output


def test_keys_are_made_rotated_minted_and_revoked(tmp_path: Path) -> None:
    file = tmp_path / "keys.kdl"
    assert call("keys", "make", file, "--tenant", "shop").exit_code == 0
    assert call("keys", "make", file).exit_code == 1  # an existing file is never overwritten
    assert file.stat().st_mode & 0o777 == 0o600
    before = read_keys(file)
    old = call("keys", "mint", file, "phone-1", "--lifetime", "1h").output.strip()
    now = time.time()
    assert before.verify(old, now) is not None
    assert call("keys", "rotate", file, "--id", "k2", "--tenant", "shop", "--overlap", "1d").exit_code == 0
    after = read_keys(file)
    assert list(after.keys) == ["k1", "k2"] and after.verify(old, now) is not None
    assert 86000 < after.keys["k1"].not_after - now <= 86400 and not after.keys["k2"].not_after
    minted = json.loads(call("keys", "mint", file, "phone-1", "--json").output)
    assert minted["key"] == "k2" and after.verify(minted["token"], now) is not None
    assert call("keys", "revoke", file, "phone-1", "--below-epoch", "2").exit_code == 0
    revoked = read_keys(file)
    assert revoked.verify(old, now) is None and call("keys", "mint", file, "phone-1").exit_code == 1
    fresh = call("keys", "mint", file, "phone-1", "--epoch", "2").output.strip()
    assert revoked.verify(fresh, now) is not None
    assert call("keys", "revoke", file, "phone-1").exit_code == 0
    assert read_keys(file).verify(fresh, now) is None and len(read_keys(file).revoked) == 1
    listed = call("keys", "ls", file)
    assert "k2" in listed.output and "secret" not in listed.output
    secrets = [line.split('secret="')[1].split('"')[0] for line in file.read_text().splitlines() if "secret=" in line]
    shown = listed.output + call("keys", "ls", file, "--json").output + old + fresh
    assert len(secrets) == 2 and not any(secret in shown for secret in secrets)
    for arguments in (
        ["mint", file, "two words"],
        ["mint", file, "d", "--lifetime", "soon"],
        ["ls", tmp_path / "none"],
        ["mint", file, "d", "--key", "none"],
        ["rotate", file, "--id", "k2"],
    ):
        assert call("keys", *arguments).exit_code in (1, 2)


def test_the_demo_succeeds_and_exits_by_itself() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "pearstall", "demo"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "All as it should be." in done.stdout and "byte for byte" in done.stdout


def test_run_and_ask_from_the_command_line(tmp_path: Path) -> None:
    """A router started by `run`, and a device that closes its connection and resumes."""
    from pearstall.lab.rig import free_ports

    ports = free_ports(2)
    file = operators(tmp_path, f'servers form="openai"\nedge listen="127.0.0.1:{ports[0]}" default-class="chat" {{\n'
                     '    keys "keys.kdl"\n}\nlog form="json"\n')  # fmt: skip
    config_path = config_file(tmp_path)
    (tmp_path / "hosts.csv").write_text(f"name,address\na,127.0.0.1:{ports[1]}\n")
    toy = subprocess.Popen([sys.executable, str(ROOT / "examples" / "toy_server.py"), str(ports[1])],
                           stdout=subprocess.PIPE, text=True)  # fmt: skip
    router = subprocess.Popen(
        [sys.executable, "-m", "pearstall", "run", "--config", str(config_path), "--operators", file,
         "--inventory", str(tmp_path / "hosts.csv")], cwd=ROOT, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert toy.stdout is not None and "toy model server" in toy.stdout.readline()
        token = call("keys", "mint", tmp_path / "keys.kdl", "phone").output.strip()
        command = [sys.executable, "-m", "pearstall", "ask", "--url", f"http://127.0.0.1:{ports[0]}", "one two three",
                 "four", "--json", "--drop-after", "2"]  # fmt: skip
        env = os.environ | {"PEARSTALL_TOKEN": token}
        done = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60, check=False)
        rows = [json.loads(line) for line in done.stdout.splitlines()]
        kinds = [row["type"] for row in rows if row.get("code") != "dropped" or row["held"]]
        assert done.returncode == 0, done.stdout + done.stderr
        assert kinds == ["event"] * 2 + ["reconnect"] + ["event"] * 6 + ["final"]
        assert [row["number"] for row in rows if row["type"] == "event"] == list(range(1, 9))
        env["PEARSTALL_TOKEN"] = token[:-1]
        denied = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60, check=False)
        assert denied.returncode == 2 and json.loads(denied.stdout.splitlines()[-1])["code"] == "unauthorized"
        router.terminate()
        _, errors = router.communicate(timeout=60)
        lines = [json.loads(line) for line in errors.splitlines() if line.startswith("{")]
        (final,) = [line for line in lines if line["event"] == "final"]
        assert (final["device"], final["kind"], final["executions"], final["level"]) == ("phone", "served", 1, "info")
        assert token not in errors
    finally:
        for process in (toy, router):
            process.kill()
            process.communicate()


def test_a_flood_of_one_event_is_limited_and_counted_and_secrets_are_removed() -> None:
    out, now = io.StringIO(), [0.0]
    note = make_logger("json", "info", 0, out)
    note("final", ask="a", token="hush", key="hush")
    note("superseded", ask="a")  # below the level
    (line,) = out.getvalue().splitlines()
    assert json.loads(line)["ask"] == "a" and "hush" not in line
    flood = RateLimit(3, lambda: now[0])
    import structlog

    def passes(kind: str) -> object:
        try:
            return flood(None, "info", {"event": kind}).get("left_out", 0)
        except structlog.DropEvent:
            return None

    assert [passes("a") for _ in range(5)] == [0, 0, 0, None, None] and passes("b") == 0
    now[0] = 1.1
    assert passes("a") == 2


def test_invalid_arguments_are_reported_with_a_usage_error(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments in (["nothing"], ["ask"], ["check"], ["keys", "mint"]):
        assert main(arguments) == 2
    assert "Usage" in capsys.readouterr().err
