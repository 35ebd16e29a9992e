"""A reload under load applies the whole configuration, or refuses all of it with one line that names the field."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from pearstall.interface import Result
from pearstall.net.config import Named
from pearstall.net.reconfigure import NEW, previous_numbers
from pearstall.net.serve import Program
from pearstall.settings import settings_from_wire
from tests.net_support import Client, ModelServer, running, setup, until
from tests.support import MS, Gateway, S, refused, settings

LANE = {"aim": 2_000_000, "hardLimit": 6_000_000, "lateShare": 0.5, "value": 3.0}


def write_settings(folder: Path, **changes: Any) -> None:
    path = folder / "config.json"
    path.write_text(json.dumps(json.loads(path.read_text()) | {"settings": setup(**changes)}))


class LaneClient(Client):
    """A client whose requests name a class."""

    async def ask_in(self, lane: str, **fields: Any) -> int:
        wire = await self.connect()
        body = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "hi"}]}).encode()
        self.count += 1
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Txn: {self.name}{self.count}\r\nX-Lane: {lane}\r\n"
            f"X-Org: acme\r\nX-Remaining: 3.0\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        wire.writer.write(head.encode() + body)
        return (await self.answer())[1].status


def classes_in_use(program: Program) -> list[int]:
    """The aims of the open requests' classes, in milliseconds."""
    return [call.klass.aim // MS for call in program.core.router.pending.values()]


def test_classes_in_another_order_keep_their_meaning(tmp_path: Path) -> None:
    """Matched by number instead of name, one class would be served under the other's deadlines."""

    async def scene() -> None:
        async with ModelServer("platform", "hold").listening() as server:
            async with running(tmp_path, [server]) as (program, ports):
                before = Client("platform", ports["platform"], "before")
                await before.send()
                await until(lambda: len(server.seen) == 1)
                assert classes_in_use(program) == [1000]  # chat
                write_settings(tmp_path, lanes=list(reversed(setup()["lanes"])))
                program.reload()
                assert program.counters.reloads == 1
                assert classes_in_use(program) == [1000]  # the open request keeps its class
                client = LaneClient("platform", ports["platform"], "after")
                assert await client.ask_in("agent") == 200
                assert await client.ask_in("chat") == 200
                server.go_on.set()
                assert (await before.answer())[0] == "served"
            assert program.core.settings.classes[0].aim == 1_000_000

    asyncio.run(scene())


@pytest.mark.parametrize("front", ["platform", "openai"])
def test_a_class_that_was_added_is_served_and_one_that_was_removed_is_unknown(front: str, tmp_path: Path) -> None:
    """Requests of a new class were answered as malformed even after a reload."""

    async def scene() -> None:
        async with ModelServer("platform").listening() as server, running(tmp_path, [server]) as (program, ports):
            client = LaneClient("platform", ports[front])
            assert await client.ask_in("report") == 400 and program.counters.unknown_class == 1
            write_settings(tmp_path, lanes=[{"name": "chat", **LANE}, {"name": "report", **LANE}])
            program.reload()
            assert await client.ask_in("report") == 200 and await client.ask_in("chat") == 200
            assert await client.ask_in("agent") == 400
            assert (program.counters.unknown_class, program.counters.malformed) == (2, 0)

    asyncio.run(scene())


def test_limits_and_tenants_apply_from_the_reload_on(tmp_path: Path) -> None:
    async def scene() -> None:
        limits = setup()["limits"] | {"maxAttempts": 1, "connectTimeout": 90_000, "connIdle": 10_000_000}
        failing = ModelServer("platform", "error", "error", "error", "error", "serve")
        async with failing.listening() as server, running(tmp_path, [server]) as (program, ports):
            client = Client("platform", ports["platform"])
            assert (await client.ask())[0] != "served" and len(server.seen) == 3
            accounts = [{"name": "third", "share": 0.5}, {"name": "acme", "share": 0.5}]
            write_settings(tmp_path, limits=limits, accounts=accounts)
            program.reload()
            assert (await client.ask())[0] != "served" and len(server.seen) == 4
            assert program.servers.connect_limit == pytest.approx(0.09)
            assert program.servers.idle_limit == pytest.approx(7.0)
            assert program.core.settings.tenant_shares == (0.5, 0.5)
            assert len(program.core.router.tenant_request_share) == 2
            assert (await client.ask())[0] == "served"

    asyncio.run(scene())


BAD: list[tuple[dict[str, Any], str]] = [
    ({"lanes": []}, "settings.lanes"),
    ({"lanes": [{"name": "chat", **LANE}, {"name": "chat", **LANE}]}, "settings.lanes[1].name"),
    ({"lanes": [{"name": "chat", **LANE}, {"name": "new", **LANE, "hardLimit": -1}]}, "settings.lanes[1].hardLimit"),
    ({"lanes": [{"name": "chat", **LANE, "effect": "odd"}]}, "settings.lanes[0].effect"),
    ({"lanes": [{"name": "chat", **LANE, "value": "much"}]}, "settings.lanes[0].value"),
    ({"accounts": [{"name": "acme", "share": 0.5}] * 2}, "settings.accounts[1].name"),
    ({"limits": {"maxAttempts": 0}}, "settings.maxAttempts"),
    ({"dcs": ["a", "b", "c"]}, "settings.dcs"),
    ({"models": ["m2", "m1"]}, "settings.models"),
    ({"groupSize": 77}, "settings.groupSize"),
]


@pytest.mark.parametrize(("changes", "field"), BAD)
def test_a_refused_configuration_changes_nothing_and_is_reported_in_one_line(
    changes: dict[str, Any], field: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scene() -> None:
        async with ModelServer("platform").listening() as server, running(tmp_path, [server]) as (program, ports):
            current = program.config
            path = tmp_path / "config.json"
            good = json.loads(path.read_text())
            path.write_text(json.dumps(good | {"limits": {"sockets": 300}, "settings": setup(**changes)}))
            capsys.readouterr()
            program.reload()
            rows = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
            (refusal,) = [row for row in rows if row["event"] != "server_list"]  # the inventory is read again as well
            assert refusal["event"] == "reload_refused" and field in refusal["why"]
            assert program.config is current and program.counters.reload_failures == 1
            assert program.clients.max_links > 300 and program.core.settings is current.settings
            assert await LaneClient("platform", ports["platform"]).ask_in("agent") == 200

    asyncio.run(scene())


def test_a_null_in_a_list_of_the_classes_counts_as_absent() -> None:
    family = {"tokenAim": [None, 50_000], "aimUsPer1000PromptTokens": [30_000]}
    read = settings_from_wire(json.dumps(setup(familyInfo=family)).encode())
    assert [klass.token_aim for klass in read.classes] == [0.0, 50_000.0]
    assert [klass.aim_per_1000_tokens for klass in read.classes] == [30_000.0, 0.0]


def test_previous_numbers_are_found_by_name() -> None:
    before = [Named("a"), Named("b"), Named("c")]
    assert previous_numbers(before, [Named("c"), Named("new"), Named("a")]) == [2, NEW, 0]
    assert previous_numbers([], before) == [NEW] * 3


# -- the decisions -----------------------------------------------------------------------------------------

ONE: dict[str, Any] = {"aim": 1 * S, "give_up": 3 * S, "late_worth": 0.5, "worth": 1.0}
TWO: dict[str, Any] = {"aim": 2 * S, "give_up": 6 * S, "late_worth": 0.0, "worth": 5.0}
SHARES = {"tenant_shares": [0.7, 0.3]}


def test_estimates_of_a_class_follow_its_name_and_open_requests_keep_their_class() -> None:
    gateway = Gateway(settings(ONE, TWO, **SHARES), 4)
    router = gateway.router
    for _ in range(3):  # requests of the second class miss their aim
        id, _ = gateway.request(class_index=1)
        gateway.outcome(id, Result.TIMEOUT, took=S, done=True)
    open_call, _ = gateway.request(class_index=0)
    missed = router.states[1].on_time_share
    router.reconfigure(settings(TWO, TWO, ONE, tenant_shares=[0.2, 0.5, 0.3]), [1, -1, 0], [1, -1, 0])
    assert router.states[0].on_time_share == missed < router.states[1].on_time_share
    assert router.states[2].in_flight == 1 and router.pending[open_call].klass.aim == 1 * S
    assert router.tenant_request_share[1] == 0.5 and len(router.tenant_request_share) == 3
    gateway.first_token(open_call)
    gateway.outcome(open_call, Result.OK)
    assert router.states[2].in_flight == 0 and not router.pending
    id, actions = gateway.request(class_index=2)
    assert not refused(actions) and router.pending[id].klass.aim == 1 * S


def test_a_removed_class_ends_its_open_requests_and_accepts_no_others() -> None:
    gateway = Gateway(settings(ONE, TWO), 4)
    id, _ = gateway.request(class_index=1)
    gateway.router.reconfigure(settings(ONE), [0], [])
    gateway.outcome(id, Result.ERROR)  # retried under its previous class
    assert len(gateway.attempts[id]) == 2
    gateway.first_token(id)
    gateway.outcome(id, Result.OK)
    assert refused(gateway.request(class_index=1)[1]) and not gateway.router.pending
    gateway.serve()
