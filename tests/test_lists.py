"""The configuration, inventories, and discovery's watch."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from pearstall.interface import ReplicaList
from pearstall.net.config import ConfigError, Limits, read_config
from pearstall.net.inventory import BadList, HostList, read_csv, read_host_list, read_yaml
from pearstall.net.platform import number_of
from tests.net_support import LOCAL, Client, ModelServer, Wire, free_port, running, setup, until

ROOT = Path(__file__).parent.parent
INDENTED_ENTRIES = 12_000
CHANGE_COUNTS_SECONDS = 6.0  # after it was made, whether or not the router has read it
GOOD: dict[str, Any] = {"name": "s1", "address": "127.0.0.1:7070", "zone": "a", "type": "m1", "group": 3}


def message(*entries: object, **changes: Any) -> bytes:
    return json.dumps({"index": 4, "snapshot": True, "endpoints": entries} | changes).encode()


@pytest.mark.parametrize(
    "bad",
    [{}, 7, None, GOOD | {"name": ""}, GOOD | {"address": "x"}, GOOD | {"address": "1.2.3.4:99999"},
     GOOD | {"status": "dancing"}, GOOD | {"status": "gone"}, GOOD | {"since_ms": "soon"}],
)  # fmt: skip
def test_a_bad_entry_is_skipped_and_counted(bad: object) -> None:
    found = read_host_list(message(bad, GOOD, {"name": "s2", "address": "127.0.0.1:1", "new": 1}))
    assert isinstance(found, HostList)
    assert ([host.name for host in found.hosts], found.skipped) == (["s1", "s2"], 1)


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b'{"index":1}', b"\xff\xfe", message(index="x")])
def test_an_invalid_list_is_reported_as_a_value(data: bytes) -> None:
    assert isinstance(read_host_list(data), BadList)


YAML_LIST = "hosts:\n  - {name: s1, address: '127.0.0.1:7070', zone: a, weight: 2}\n  - {name: s2}\n"
YAML_GROUPS = """
all:
  vars: {ansible_port: 7070, type: m1}
  children:
    gent:
      vars: {zone: a}
      hosts:
        s1: {ansible_host: 127.0.0.1, weight: 2}
        s2: {ansible_port: none-such}
"""
CSV = "Name, Address, Zone, Weight\n# a remark\ns1, 127.0.0.1:7070, a, 2\ns2\ns1,127.0.0.1:1,a,1\n\n"


@pytest.mark.parametrize(("read", "text", "skipped"), [(read_yaml, YAML_LIST, 1), (read_yaml, YAML_GROUPS, 1),
                                                       (read_csv, CSV, 2)])  # fmt: skip
def test_an_inventory_is_read_as_configuration_tools_write_it(read: Any, text: str, skipped: int) -> None:
    found = read(text)
    assert isinstance(found, HostList) and found.skipped == skipped
    (host,) = found.hosts
    assert (host.name, host.address, host.zone, host.weight) == ("s1", "127.0.0.1:7070", "a", 2.0)


@pytest.mark.parametrize(("read", "text"), [(read_yaml, "a: [1"), (read_yaml, "7"), (read_yaml, "a: 7"),
                                            (read_csv, ""), (read_csv, "a,b\n1,2\n")])  # fmt: skip
def test_an_invalid_inventory_is_reported_as_a_value(read: Any, text: str) -> None:
    assert isinstance(read(text), BadList)


def test_an_inventory_that_becomes_unreadable_keeps_the_current_list(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(ModelServer("platform").listening())
            program, ports = await stack.enter_async_context(running(tmp_path, [server]))
            (tmp_path / "hosts.csv").write_text("nonsense")
            program.reload()
            assert (await Client("platform", ports["platform"]).ask())[0] == "served"
            assert program.counters.list_failures == 1

    asyncio.run(scene())


class Discovery:
    """Answers each watch with the next script of lines, then keeps the connection open and sends nothing."""

    def __init__(self, *scripts: list[bytes]) -> None:
        self.scripts, self.asked = list(scripts), list[str]()
        self.more = asyncio.Event()

    async def link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await Wire(reader, writer).head(False)
        assert head is not None
        self.asked.append(head.target)
        lines = self.scripts.pop(0) if self.scripts else None
        if lines is None:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for line in lines:
                if line == b"end":
                    break
                if line == b"wait":
                    await self.more.wait()
                    continue
                writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
            else:
                await reader.read()
        writer.close()


def test_the_watch_reports_changes_at_once_and_resumes_from_the_current_index(tmp_path: Path) -> None:
    async def scene() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(ModelServer("platform").listening())
            ready_entry = GOOD | {"address": f"{LOCAL}:{server.port}", "since_ms": 5000}
            drained = message(ready_entry | {"status": "draining"}, {"nonsense": 1}, index=5, snapshot=False)
            first = [message(ready_entry), b"", b"wait", drained, b"end"]
            discovery = Discovery(first, [b"broken"], [message(ready_entry, index=9)])
            listener = await asyncio.start_server(discovery.link, LOCAL, 0)
            port = listener.sockets[0].getsockname()[1]
            program, _ = await stack.enter_async_context(running(tmp_path, [], discovery=port))
            events: list[Any] = []
            handle = program.core.router.handle
            program.core.router.handle = lambda now, event: events.append(event) or handle(now, event)  # type: ignore
            await until(lambda: bool(program.cluster.addresses))
            id = number_of("s1")
            assert program.core.router.replicas[id].ready
            discovery.more.set()
            await until(lambda: not program.core.router.replicas[id].ready)
            await until(lambda: program.cluster.index == 9)
            path = "/catalog/members?stream=1"
            assert discovery.asked == [path, f"{path}&index=5", f"{path}&index=5"]
            lists = [event for event in events if isinstance(event, ReplicaList)]
            starts = {entry.started for event in lists for entry in event.replicas}
            assert len(starts) == 1 and program.core.router.replicas[id].ready  # reported several times, one start
            assert program.counters.list_entries_skipped == 1 and program.counters.list_failures == 2
            listener.close()

    asyncio.run(scene())


def test_of_entries_under_one_name_the_last_counts() -> None:
    found = read_host_list(message(GOOD, {**GOOD, "name": "s2"}, {**GOOD, "status": "draining"}))
    assert isinstance(found, HostList) and found.skipped == 1
    assert {host.name: host.status for host in found.hosts} == {"s1": "draining", "s2": "ready"}


@pytest.mark.parametrize("form", ["one line", "lines", "lines indented further", "broken off"])
def test_a_message_may_be_indented_over_lines_but_not_break_off(form: str, tmp_path: Path) -> None:
    """Heartbeats after half a message would keep a watch alive whose change is lost."""

    async def scene() -> None:
        cut, whole = form == "broken off", message(GOOD, index=6)
        indented = json.dumps(json.loads(whole), indent=1).encode()
        indented_further = b"  " + indented.replace(b"\n", b"\n  ")
        forms = {"one line": b"  " + whole, "lines": indented, "lines indented further": indented_further}
        discovery = Discovery([forms.get(form, indented[:60]), b"", b""], [message(GOOD, index=7)])
        listener = await asyncio.start_server(discovery.link, LOCAL, 0)
        port = listener.sockets[0].getsockname()[1]
        async with running(tmp_path, [], discovery=port) as (program, _):
            await until(lambda: program.cluster.index == (7 if cut else 6))
            assert program.counters.list_failures == cut and len(discovery.asked) == 1 + cut
        listener.close()

    asyncio.run(scene())


def test_a_long_indented_list_is_read_before_its_changes_count(tmp_path: Path) -> None:
    """Each line was joined to all lines before it, which copied the whole message for every line."""

    async def scene() -> None:
        entries = [GOOD | {"name": f"s{number}"} for number in range(INDENTED_ENTRIES)]
        lines = json.dumps(json.loads(message(*entries, index=6)), indent=8).encode().split(b"\n")
        blocks = [b"\n".join(lines[at : at + 1000]) for at in range(0, len(lines), 1000)]
        listener = await asyncio.start_server(Discovery(blocks).link, LOCAL, 0)
        port = listener.sockets[0].getsockname()[1]
        began_at = time.monotonic()
        async with running(tmp_path, [], discovery=port) as (program, _):
            await until(lambda: program.cluster.index == 6)
            assert time.monotonic() - began_at < CHANGE_COUNTS_SECONDS
            assert len(program.cluster.addresses) == INDENTED_ENTRIES
        listener.close()

    asyncio.run(scene())


def test_a_silent_watch_fails_and_is_opened_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pearstall.net.cluster.WATCH_SILENCE_SECONDS", 0.1)

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            discovery = Discovery([message(GOOD, index=6)], [])
            listener = await asyncio.start_server(discovery.link, LOCAL, 0)
            port = listener.sockets[0].getsockname()[1]
            program, _ = await stack.enter_async_context(running(tmp_path, [], discovery=port))
            await until(lambda: len(discovery.asked) >= 2)
            assert discovery.asked[1].endswith("&index=6") and program.counters.list_failures >= 1
            assert number_of("s1") in program.cluster.addresses  # the current list stays
            listener.close()

    asyncio.run(scene())


def test_sighup_switches_to_discovery_at_a_new_address_and_drops_no_request(tmp_path: Path) -> None:
    """The environment still names the old address, and a new discovery may start its index anew. A file that can't be
    read changes nothing; without the switch, the old address would be watched until the program ends."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            servers = [await stack.enter_async_context(ModelServer("platform").listening()) for _ in "ab"]
            servers[0].script = ["wait"]
            lists = [message({**GOOD, "name": f"s{n}", "address": f"{LOCAL}:{server.port}"}, index=9 - n)
                     for n, server in enumerate(servers)]  # fmt: skip
            old, new = Discovery([lists[0]]), Discovery([lists[1]])
            ports = []
            for discovery in (old, new):
                listener = await asyncio.start_server(discovery.link, LOCAL, 0)
                ports.append(listener.sockets[0].getsockname()[1])
                stack.callback(listener.close)
            program, fronts = await stack.enter_async_context(running(tmp_path, [], discovery=ports[0]))
            await until(lambda: bool(program.cluster.addresses))
            client = Client("platform", fronts["platform"])
            await client.send()
            await until(lambda: len(servers[0].seen) == 1)
            path = tmp_path / "config.json"
            good = json.loads(path.read_text())
            for text in ('{"half', json.dumps(good | {"settings": 3}), json.dumps(good)):
                path.write_text(text)
                program.reload()
            assert program.cluster.discovery == (LOCAL, ports[0]) and len(old.asked) == 1
            for _ in "ab":  # the second reload changes nothing
                path.write_text(json.dumps(good | {"discovery": f"{LOCAL}:{ports[1]}"}))
                program.reload()
            await until(lambda: number_of("s1") in program.cluster.addresses)
            assert (program.counters.reloads, program.counters.reload_failures) == (3, 2)
            assert new.asked == ["/catalog/members?stream=1"] and len(old.asked) == 1
            servers[0].go_on.set()
            assert (await client.answer())[0] == "served"
            assert (await client.ask())[0] == "served" and len(servers[1].seen) == 1

    asyncio.run(scene())


@pytest.mark.parametrize("leaving_first", [False, True])
def test_sighup_with_other_classes_and_sigterm_in_either_order_answer_accepted_requests(
    leaving_first: bool, tmp_path: Path
) -> None:
    """Requests in flight are answered under the classes they arrived with, whichever signal comes first."""

    async def scene() -> None:
        async with AsyncExitStack() as stack:
            server = await stack.enter_async_context(ModelServer("platform", "wait").listening())
            program, ports = await stack.enter_async_context(running(tmp_path, [server]))
            client = Client("platform", ports["platform"])
            waiting = asyncio.create_task(client.ask())
            await until(lambda: any(query.forwarded for query in program.core.queries))
            raw = json.loads((tmp_path / "config.json").read_text())
            raw["settings"]["lanes"][1] |= {"value": 0, "aim": 0}
            raw["settings"]["lanes"][0]["name"] = "other"
            (tmp_path / "config.json").write_text(json.dumps(raw))
            for signal_ in (program.leave, program.reload) if leaving_first else (program.reload, program.leave):
                signal_()
            server.go_on.set()
            assert (await waiting)[0] == "served"
            assert (await client.ask())[0] == "served"  # under its previous class
            assert program.counters.reloads == 1 and program.counters.exceptions == 0
            client.close()

    asyncio.run(scene())


def config_file(folder: Path, **changes: Any) -> Path:
    path = folder / "config.json"
    port = free_port()
    whole = {"listen": f"{LOCAL}:{port}", "discovery": f"{LOCAL}:1", "seed": "8c1f", "settings": setup()}
    path.write_text(json.dumps(whole | changes))
    return path


@pytest.mark.parametrize(
    "changes",
    [{"listen": "nowhere"}, {"listen": ""}, {"seed": "xyz"}, {"settings": {}}, {"settings": 3},
     {"settings": setup(tick="soon")}, {"limits": {"sockets": "many"}}, {"discovery": ""}],
)  # fmt: skip
def test_an_invalid_configuration_is_reported_in_one_line(changes: dict[str, Any], tmp_path: Path) -> None:
    with pytest.raises(ConfigError) as raised:
        read_config({}, config=str(config_file(tmp_path, **changes)))
    assert "\n" not in str(raised.value) and str(raised.value)


def test_a_key_that_is_null_counts_as_absent(tmp_path: Path) -> None:
    """Settings may list unused keys with null as their value."""
    nulls = {"limits": {"maxAttempts": None, "connIdle": None}, "charges": None, "accounts": None, "tick": None}
    lane = {"name": "chat", "aim": 1, "hardLimit": 2, "window": None, "effect": None, "value": None}
    path = config_file(tmp_path, name=None, limits=None, known=None, settings=setup(lanes=[lane], **nulls))
    found = read_config({}, config=str(path))
    absent: dict[str, Any] = {"limits": {}, "accounts": [], "tick": 1000}
    lane = {"name": "chat", "aim": 1, "hardLimit": 2}
    path = config_file(tmp_path, settings=setup(lanes=[lane], **absent))
    assert found.settings == read_config({}, config=str(path)).settings and found.limits == Limits()


def test_errors_in_the_old_form_of_the_openai_front_are_reported(tmp_path: Path) -> None:
    given = str(config_file(tmp_path))
    assert read_config({}, config=given).openai_listen is None
    for text in ("listen = 7", 'listen = "127.0.0.1:1"\ndefault_class = "none"', "what", 'other = "1"',
                 'listen = "127.0.0.1:1"\nserver_form = "carrier pigeon"'):  # fmt: skip
        (tmp_path / "bad.toml").write_text(text)
        with pytest.raises(ConfigError):
            read_config({}, str(tmp_path / "bad.toml"), "", given)


def start(*words: str, **env: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "pearstall", *words]
    return subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True, env=os.environ | env)


def test_the_program_ends_with_one_line_if_it_cannot_start(tmp_path: Path) -> None:
    for words in ([], ["--config", str(tmp_path / "none")]):
        _, errors = start(*words, EDGE_CONFIG="").communicate(timeout=60)
        assert errors.startswith("pearstall: ") and errors.count("\n") == 1


def test_the_program_prints_its_counters_on_a_signal_and_at_its_end(tmp_path: Path) -> None:
    (tmp_path / "hosts.yaml").write_text(YAML_LIST)
    given = config_file(tmp_path)
    port = int(json.loads(given.read_text())["listen"].rpartition(":")[2])
    process = start("--config", str(given), "--inventory", str(tmp_path / "hosts.yaml"))
    assert process.stderr is not None

    async def healthy() -> None:
        async with asyncio.timeout(60):
            while True:
                try:
                    reader, writer = await asyncio.open_connection(LOCAL, port)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.write(b"GET /_health HTTP/1.1\r\n\r\n")
                head = await Wire(reader, writer).head(True)
                assert head is not None and head.status == 200
                writer.close()
                return

    asyncio.run(healthy())
    for number in (signal.SIGUSR1, signal.SIGTERM):
        process.send_signal(number)
        line = next(line for line in process.stderr if line.startswith("counters "))
        assert json.loads(line.removeprefix("counters "))["client_links"] == 1
    assert process.wait(timeout=60) == 0
