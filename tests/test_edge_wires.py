"""The wires on loopback sockets, against public clients: `websockets`, `httpx` and `openai`."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
from collections.abc import Coroutine
from typing import Any

import httpx
import msgspec
import pytest
import websockets
from openai import AsyncOpenAI
from websockets.asyncio.client import connect
from websockets.typing import Subprotocol

from pearstall.edge.client import WIRES, AttemptFailure, DeviceAsk, DeviceClient, WireName, split_number
from pearstall.edge.http import sse_event
from pearstall.edge.records import Final, Kind
from pearstall.edge.tokens import Key, new_secret
from pearstall.lab.ledger import Ledger
from pearstall.lab.rig import Rig, installation, write_keys
from pearstall.lab.servers import LOCAL, Behaviour
from tests.net_support import until

STEADY = Behaviour(first=(0.0, 0.0), gap=(0.002, 0.002), events=(12, 12))
SLOW = Behaviour(first=(0.0, 0.0), gap=(0.05, 0.05), events=(400, 400))
BODY: dict[str, Any] = {"model": "toy", "messages": [{"role": "user", "content": "hi"}]}
UNLIMITED = "limits { device rate=0 running=0; arrivals rate=0; }\n"
# Only for tests in which no device has to answer within these times.
FAST_KEEP_ALIVE = UNLIMITED + 'keep-alive least="100ms" most="300ms"\n'


def run(scene: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(60):
            await scene

    asyncio.run(bounded())


class InterruptedAsk(DeviceAsk):
    """A device ask whose connection is lost after some events."""

    leave_at = 3

    def take(self, first: int, events: list[bytes], now: float) -> None:
        super().take(first, events, now)
        if len(self.events) >= self.leave_at:
            self.leave_at = 10**9
            raise ConnectionResetError("interrupted")


@pytest.mark.parametrize("first", WIRES)
@pytest.mark.parametrize("second", WIRES)
def test_an_answer_begun_on_one_wire_is_finished_on_another(first: WireName, second: WireName) -> None:
    async def scene() -> None:
        async with installation([STEADY], more=UNLIMITED) as rig:
            ledger, ask = Ledger(rig.execution_log), InterruptedAsk("a", BODY)
            ledger.record_ask("d", ask)
            rig.edge.sessions.note = ledger.note
            device = rig.device("d")
            failure = await device.attempt(first, ask)
            assert isinstance(failure, AttemptFailure) and failure.code == "dropped" and ask.final is None
            assert await device.attempt(second, ask) is None
            assert not ledger.check() and len(rig.execution_log.by_txn["d.a"]) == 1
            assert ask.final == Final(15, Kind.SERVED) and ask.finals == 1
            await until(lambda: not rig.edge.sessions.unfinished())
            # Much later, from a device that has lost its records.
            again = await device.attempt(first, DeviceAsk("a", BODY))
            assert isinstance(again, AttemptFailure) and again.code == "events_gone"

    run(scene())


@pytest.mark.parametrize("wire", WIRES)
def test_the_last_of_two_connections_owns_the_ask(wire: WireName) -> None:
    async def scene() -> None:
        async with installation([SLOW], more=UNLIMITED) as rig:
            device, old, new = rig.device("d"), DeviceAsk("a", BODY), DeviceAsk("a", BODY)
            task = asyncio.create_task(device.attempt(wire, old))
            await until(lambda: len(old.events) > 2)
            other = asyncio.create_task(take_over(device, new, old))
            failure = await task
            # Guards against an old poller that takes the ask back from a newer connection with each poll.
            assert isinstance(failure, AttemptFailure) and failure.code == "superseded"
            refused = await httpx_post(rig, "/v1/asks/a/ack", {"number": 1, "epoch": old.epoch})
            assert refused.status_code == 409 and refused.json()["title"] == "superseded"
            await until(lambda: len(new.events) > len(old.events))
            final = await device.cancel(new)
            assert isinstance(final, Final) and final.kind == Kind.CANCELLED
            assert await other is None and new.final == final and not new.breaches
            assert await device.cancel_by_socket("ws-msgpack", new) == final
            await until(lambda: not len(rig.program.core.queries))

    run(scene())


async def take_over(device: DeviceClient, new: DeviceAsk, old: DeviceAsk) -> AttemptFailure | None:
    """Resumes from the events of the old connection, which may still be receiving meanwhile."""
    while True:
        new.events, new.accepted = list(old.events), True
        failure = await device.attempt("ws-json", new)
        if failure is None or failure.code != "events_gone":
            return failure


async def httpx_post(rig: Rig, path: str, body: Any, **headers: str) -> httpx.Response:
    named = {"Authorization": f"Bearer {rig.token('d')}"} | {k.replace("_", "-"): v for k, v in headers.items()}
    async with httpx.AsyncClient(base_url=rig.url, headers=named, trust_env=False) as http:
        return await http.post(path, json=body)


def test_problems_follow_rfc_9457_and_reveal_nothing_without_a_valid_token() -> None:
    async def scene() -> None:
        async with installation([STEADY], more=UNLIMITED) as rig, httpx.AsyncClient(base_url=rig.url) as http:
            good = {"Authorization": f"Bearer {rig.token('d')}"}
            await http.post("/v1/asks", json=BODY, headers={**good, "Idempotency-Key": "a"})
            denied = []
            for token in ("", "x", rig.token("d")[:-3], rig.token("d", lifetime=-5), rig.token("e")):
                invalid = {"Authorization": f"Bearer {token}".strip()}
                denied += [await http.get(f"/v1/asks/{id}/events", headers=invalid) for id in ("a", "b")]
            assert {answer.status_code for answer in denied[:8]} == {401}
            assert len({answer.content for answer in denied[:8]}) == 1
            assert {answer.status_code for answer in denied[8:]} == {404}  # another device's token
            cases: list[tuple[str, str, dict[str, str], Any, int, str]] = [
                ("POST", "/v1/asks", {}, BODY, 400, "no_key"),
                ("POST", "/v1/asks", {"Idempotency-Key": "a b"}, BODY, 400, "no_key"),
                ("POST", "/v1/asks", {"Idempotency-Key": "z"}, {"model": "toy"}, 400, "bad_ask"),
                ("POST", "/v1/asks", {"Idempotency-Key": "z", "X-Lane": "none"}, BODY, 400, "bad_ask"),
                ("POST", "/v1/asks", {"Idempotency-Key": "z", "X-Remaining": "soon"}, BODY, 400, "bad_ask"),
                ("POST", "/v1/asks", {"Idempotency-Key": "a"}, {**BODY, "n": 2}, 422, "ask_id_reused"),
                ("GET", "/v1/asks/a/events", {"Last-Event-ID": "x"}, None, 400, "bad_position"),
                ("GET", "/v1/asks/a/events", {"Last-Event-ID": "999"}, None, 409, "bad_position"),
                ("GET", "/v1/asks/none/poll", {}, None, 404, "unknown_ask"),
                ("GET", "/v1/asks/a/poll?wait=x", {}, None, 400, "bad_wait"),
                ("POST", "/v1/asks/a/ack", {}, {"number": "x"}, 400, "bad_ack"),
                ("PUT", "/v1/asks", {}, None, 405, "method_not_allowed"),
                ("GET", "/v1/asks/a", {}, None, 405, "method_not_allowed"),
                ("GET", "/v1/else", {}, None, 404, "no_such_path"),
                ("GET", "/v1/device", {}, None, 426, "upgrade_wanted"),
                ("POST", "/v1/asks", {"Idempotency-Key": "z"}, {**BODY, "user": "x" * 400_000}, 413, "too_large"),
            ]
            for method, path, headers, body, status, code in cases:
                answer = await http.request(method, path, headers=good | headers, json=body)
                problem = answer.json()
                assert (answer.status_code, problem["type"].rpartition("/")[2]) == (status, code), (path, problem)
                assert answer.headers["content-type"] == "application/problem+json"
                assert problem["status"] == status and problem["detail"]
            listed = (await http.get("/v1/asks", headers=good)).json()["asks"]
            assert [row["ask"] for row in listed] == ["a"] and (await http.get("/_health")).status_code == 200

    run(scene())


def test_refusals_carry_a_retry_time() -> None:
    async def scene() -> None:
        more = "limits { device rate=0.01 burst=1 running=1; arrivals rate=0; }\n"
        async with installation([SLOW], more=more) as rig:
            device = rig.device("d")
            other = asyncio.create_task(device.attempt("ws-json", ask := DeviceAsk("a", BODY)))
            await until(lambda: bool(ask.events))
            answer = await httpx_post(rig, "/v1/asks", BODY, Idempotency_Key="b")
            assert answer.status_code == 429 and answer.json()["title"] == "device concurrency"
            await device.cancel(ask)
            assert await other is None
            answer = await httpx_post(rig, "/v1/asks", BODY, Idempotency_Key="b")
            assert answer.json()["title"] == "device rate" and 0 < answer.json()["retry_after_ms"] <= 100_000
            assert 1 <= int(answer.headers["retry-after"]) <= 100

    run(scene())


def socket_to(rig: Rig, *names: str, **more: Any) -> Any:
    wanted = [Subprotocol(name) for name in names or ("pearstall.json.1",)]
    url = rig.url.replace("http", "ws") + "/v1/device"
    given: dict[str, Any] = {"compression": None, **more}
    return connect(url, subprotocols=wanted, proxy=None, **given)


def test_close_codes_tell_the_cause() -> None:
    async def scene() -> None:
        more = UNLIMITED + 'websocket hello-within="200ms" most-message="2KiB"\n'
        async with installation([STEADY], more=more) as rig:
            good = json.dumps({"type": "hello", "token": rig.token("d")})
            for sent, code in (
                ([], 4401 + 7), ([json.dumps({"type": "hello", "token": "x"})], 4401),
                ([json.dumps({"type": "ping"})], 4401), ([good, "{"], 1007), ([good, b"{}"], 1003),
                ([good, '{"type":"ack","ask":"a"}'], 1007), ([good, "x" * 5000], 1009),
            ):  # fmt: skip
                async with socket_to(rig) as socket:
                    for message in sent:
                        await socket.send(message)
                    with pytest.raises(websockets.ConnectionClosed):
                        while True:
                            await socket.recv()
                    assert socket.close_code == code, (sent, socket.close_reason)
            with pytest.raises(websockets.InvalidStatus):
                async with socket_to(rig, "other.1"):
                    pass
            assert rig.program.counters.exceptions == 0

    run(scene())


def test_fragments_and_control_frames_between_them_are_one_message_and_deflate_is_agreed_on() -> None:
    async def scene() -> None:
        more = UNLIMITED + "websocket deflate=#true\n"
        async with installation([STEADY], more=more) as rig, socket_to(rig, compression="deflate") as socket:
            hello = json.dumps({"type": "hello", "token": rig.token("d")})

            async def parts() -> Any:
                yield hello[:9]
                yield hello[9:20]
                await (await socket.ping())  # between two fragments
                yield hello[20:]

            await socket.send(parts())
            assert json.loads(await socket.recv())["type"] == "welcome"
            assert "permessage-deflate" in str(socket.response.headers["Sec-WebSocket-Extensions"])
            await socket.send(json.dumps({"type": "ask", "ask": "a", "body": BODY}))
            while (message := json.loads(await socket.recv()))["type"] != "final":
                pass
            assert message["final"]["kind"] == "served"
            for number in range(3):  # several messages, each after a control frame
                await (await socket.ping())
                await socket.send(json.dumps({"type": "ping", "at": number}))
                assert json.loads(await socket.recv()) == {"type": "pong", "at": number}
            await socket.send(json.dumps({"type": "ping", "at": 7}))
            assert json.loads(await socket.recv()) == {"type": "pong", "at": 7}

    run(scene())


def test_a_small_message_that_inflates_without_end_is_too_big() -> None:
    async def scene() -> None:
        more = UNLIMITED + 'websocket deflate=#true most-message="16KiB"\n'
        async with installation([STEADY], more=more) as rig, socket_to(rig, compression="deflate") as socket:
            await socket.send(" " * 10_000_000)
            with pytest.raises(websockets.ConnectionClosed):
                await socket.recv()
            assert socket.close_code == 1009

    run(scene())


def test_a_half_open_link_is_found_dead_and_its_ask_goes_on_elsewhere() -> None:
    async def scene() -> None:
        async with installation([SLOW], more=FAST_KEEP_ALIVE) as rig:
            notes: list[str] = []
            rig.edge.note = lambda event, **fields: notes.append(event)
            reader, writer = await asyncio.open_connection(LOCAL, rig.ports["edge"])
            writer.write(
                b"GET /v1/device HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
            )
            await reader.readuntil(b"\r\n\r\n")
            for message in ({"type": "hello", "token": rig.token("d")}, {"type": "ask", "ask": "a", "body": BODY}):
                text = json.dumps(message).encode()  # with a mask of zeros
                writer.write(b"\x81" + bytes([0x80 | len(text)]) + bytes(4) + text)
            await until(lambda: "link_dead" in notes)  # it answers no pings
            ask = DeviceAsk("a", BODY, accepted=True)
            assert rig.edge.sessions.running == 1
            task = asyncio.create_task(rig.device("d").attempt("sse", ask))
            await until(lambda: len(ask.events) > 3)
            assert not ask.breaches and isinstance(await rig.device("d").cancel(ask), Final)
            assert await task is None
            writer.close()

    run(scene())


def test_a_slow_reader_pauses_only_its_own_server_link() -> None:
    """The device reads nothing: the log of its ask fills up, only the connection to its server is paused."""

    async def scene() -> None:
        flood = Behaviour(first=(0, 0), gap=(0, 0), events=(3000, 3000), size=(2000, 2000))
        more = UNLIMITED + 'linger "400ms"\nbounds ask-bytes="64KiB"\n'
        async with installation([flood], more=more) as rig:
            reader, writer = await asyncio.open_connection(LOCAL, rig.ports["edge"], limit=1024)
            writer.write(
                f"POST /v1/asks HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {rig.token('d')}\r\n"
                f"Idempotency-Key: a\r\nAccept: text/event-stream\r\n"
                f"Content-Length: {len(json.dumps(BODY))}\r\n\r\n{json.dumps(BODY)}".encode()
            )
            await until(lambda: any(ask.full for s in rig.edge.sessions for ask in (s.asks or {}).values()))
            assert rig.edge.sessions.usage.bytes < 600_000
            await until(lambda: rig.edge.sessions.finals == {"cut": 1})  # only `linger` ends it
            (ask,) = [ask for s in rig.edge.sessions for ask in (s.asks or {}).values()]
            assert ask.final is not None and ask.final.reason == "log_full"
            writer.close()

    run(scene())


def test_sighup_rotates_keys_and_limits_without_ending_a_session() -> None:
    async def scene() -> None:
        async with installation([SLOW], more=UNLIMITED) as rig:
            device, ask = rig.device("d"), DeviceAsk("a", BODY)
            task = asyncio.create_task(device.attempt("ws-json", ask))
            await until(lambda: len(ask.events) > 1)
            old = rig.token("d")
            rig.keys.append(Key("k2", new_secret(), "shop"))
            write_keys(rig.folder / "keys.kdl", rig.keys[1:], 'revoke "stolen"')
            asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, rig.program.reload)
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: rig.program.counters.reloads == 1)
            count = len(ask.events)
            await until(lambda: len(ask.events) > count)  # the session continues
            assert isinstance(failure := await DeviceClient(rig.url, old).cancel(ask), AttemptFailure)
            assert failure.code == "unauthorized"
            stolen = DeviceClient(rig.url, rig.token("stolen", key=1))
            denied = await stolen.attempt("poll", DeviceAsk("b", BODY))
            assert isinstance(denied, AttemptFailure) and denied.code == "unauthorized"
            assert isinstance(await DeviceClient(rig.url, rig.token("d", key=1)).cancel(ask), Final)
            assert await task is None
            (rig.folder / "keys.kdl").write_text(
                'key "k2" secret="cut'
            )  # a truncated file: the current settings stay
            rig.program.reload()
            assert rig.program.counters.reload_failures == 1 and list(rig.edge.config.keyring.keys) == ["k2"]

    run(scene())


def test_sigterm_notifies_devices_and_waits_for_those_that_are_away() -> None:
    async def scene() -> None:
        async with installation([Behaviour(gap=(0.02, 0.02), events=(12, 12))], more=UNLIMITED + "drain 5\n") as rig:
            away, there = InterruptedAsk("a", BODY), DeviceAsk("b", BODY)
            device = rig.device("d")
            await device.attempt("ws-json", away)
            task = asyncio.create_task(device.attempt("sse", there))
            async with socket_to(rig) as socket:
                await socket.send(json.dumps({"type": "hello", "token": rig.token("d")}))
                assert json.loads(await socket.recv())["type"] == "welcome"
                await until(lambda: bool(there.events))
                rig.program.leave()
                while (message := json.loads(await socket.recv()))["type"] != "leaving":
                    pass
                assert message["within_ms"] == 5000
            failure = await device.attempt("poll", DeviceAsk("c", BODY))
            assert isinstance(failure, AttemptFailure) and failure.code == "leaving" and failure.retry_after
            assert await task is None and there.final is not None
            assert not rig.program.ended.is_set()
            assert await device.attempt("sse", away) is None and away.final == Final(15, Kind.SERVED)
            await rig.program.ended.wait()

    run(scene())


def test_idempotency_keys_share_one_query_on_the_openai_style_front() -> None:
    async def scene() -> None:
        steady = Behaviour(gap=(0.01, 0.01), events=(12, 12))
        async with installation([steady], more=UNLIMITED) as rig:
            client = AsyncOpenAI(api_key="k", base_url=f"http://{LOCAL}:{rig.ports['openai']}/v1", max_retries=0)
            body = {"model": "toy", "messages": BODY["messages"]}
            key = {"Idempotency-Key": "one"}
            create = client.chat.completions.with_raw_response.create
            stream = await client.chat.completions.create(**body, stream=True, extra_headers=key)
            await anext(aiter(stream))
            await stream.close()  # the connection is lost in mid-stream
            again = [part async for part in await client.chat.completions.create(
                **body, stream=True, extra_headers=key)]  # fmt: skip
            text = "".join(part.choices[0].delta.content or "" for part in again if part.choices)
            assert text.startswith("0:x") and again[-2].choices[0].finish_reason == "stop"
            assert rig.program.counters.queries == 1
            whole = await create(**body, extra_headers={"Idempotency-Key": "two", "X-Request-Id": "mine"})
            same = await create(**body, extra_headers={"Idempotency-Key": "two"})
            assert whole.http_response.content == same.http_response.content
            assert whole.http_response.headers["x-request-id"] == "mine"
            assert same.http_response.headers["x-request-id"] and rig.program.counters.queries == 2
            async with httpx.AsyncClient() as http:
                url = f"http://{LOCAL}:{rig.ports['openai']}/v1/chat/completions"
                other = await http.post(url, json={**body, "n": 2}, headers=key)
                assert other.status_code == 200  # the same key of another caller
                signed = key | {"Authorization": "Bearer k"}
                other = await http.post(url, json={**body, "n": 2}, headers=signed)
                assert (other.status_code, other.json()["error"]["code"]) == (422, "idempotency_key_in_use")
                assert other.headers["x-request-id"]
            await client.close()

    run(scene())


def test_an_unstreamed_answer_by_key_is_retried_after_its_stream_broke() -> None:
    async def scene() -> None:
        breaks = Behaviour(outcome_weights={"break": 1.0}, events=(6, 6))
        async with installation([breaks, STEADY, STEADY], seed=3, more=UNLIMITED) as rig:
            async with httpx.AsyncClient(timeout=30) as http:
                url = f"http://{LOCAL}:{rig.ports['openai']}/v1/chat/completions"
                for number in range(8):
                    answer = await http.post(url, json=BODY, headers={"Idempotency-Key": f"k{number}"})
                    assert answer.status_code == 200, answer.text
                    content = answer.json()["choices"][0]["message"]["content"]
                    assert [int(part.partition(":")[0]) for part in numbered_parts(content)] == list(range(12))
            assert rig.program.counters.outcomes["reset"] and rig.program.counters.served == 8

    run(scene())


def numbered_parts(content: str) -> list[str]:
    return [part for part in content.replace("x", " ").split() if ":" in part]


@pytest.mark.parametrize(
    "event", [b"data: a\n\n", b"event: m\nid: 77\ndata: a\n\n", b"data: id\r\n\r\n", b": id\r\r"]
)
def test_the_number_of_an_event_is_the_last_id_and_can_be_removed(event: bytes) -> None:
    numbered = sse_event(5, event)
    ids = [line for line in re.split(rb"[\r\n]+", numbered) if line.startswith(b"id:")]
    assert ids[-1] == b"id: 5" and split_number(numbered) == (5, event)


def test_messages_decode_strictly() -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(b'{"number":1,"kind":"odd"}', type=Final)
