"""The edge: tokens, limits, sessions and the core put together, for every wire alike. No sockets in here.

Whatever a device wants comes through `Edge.ask`, `attach`, `acknowledge` and `cancel`; each gives back a value that
says what came of it. The wires word it.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from random import Random

import msgspec
from blake3 import blake3

from pearstall.edge.limits import Admission
from pearstall.edge.records import Final, Problem
from pearstall.edge.sessions import Ask, Note, Reader, Session, Sessions, Tomb
from pearstall.edge.settings import EdgeConfig
from pearstall.edge.tokens import Device
from pearstall.net.config import Names
from pearstall.net.core import Core, Query
from pearstall.net.deadlines import Deadlines
from pearstall.net.http1 import Head, Reply
from pearstall.net.openai import CHAT, OpenAIFront

DENIED = Problem("unauthorized", "a valid device token is wanted", 401)
UNKNOWN = Problem("unknown_ask", "no such ask of this device is remembered", 404)
SUPERSEDED = Problem("superseded", "a newer connection reads this ask", 409)
LEAVING = Problem("leaving", "the edge is about to end; ask at another", 503, 1.0)


class Refusal(Exception):
    """An ask that can't be made into a query; stops in `Edge.ask`."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem


def digest_of(lane: str, body: bytes) -> bytes:
    """Names what was asked: the same id with another digest is another ask (BLAKE3, 16 bytes). Of the body's
    meaning, not its bytes: the same ask comes as MessagePack after it came as JSON."""
    with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):  # such a one is refused later
        body = msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    return blake3(lane.encode() + b"\0" + body).digest(16)


class Edge:
    """`now`: Unix time, for the tokens' expiry only; everything else runs on the deadlines' clock."""

    def __init__(
        self, config: EdgeConfig, names: Names, core: Core, deadlines: Deadlines, note: Note, seed: int,
        now: Callable[[], float] = time.time,
    ) -> None:  # fmt: skip
        self.config, self.names, self.core, self.deadlines = config, names, core, deadlines
        self.note, self.now = note, now
        self.sessions = Sessions(core, deadlines, config.bounds, note)
        self.admission = Admission(config.limits, Random(seed))
        self.front = OpenAIFront(config.asks, names, core.settings)
        self.leaving_at = 0.0
        self.problems: dict[str, int] = {}
        self.told_leaving: Callable[[], None] = lambda: None  # the wires tell their devices

    # -- who speaks ----------------------------------------------------------------------------------------

    def authenticate(self, token: str) -> Device | Problem:
        device = self.config.keyring.verify(token, self.now())
        return device if device is not None else self._say(DENIED, "")

    def reload(self, config: EdgeConfig, names: Names) -> None:
        """New keys, limits, bounds and classes hold for what comes from now on; sessions stay."""
        self.config, self.names = config, names
        self.admission.change(config.limits)
        self.sessions.bounds = config.bounds
        self.front = OpenAIFront(config.asks, self.names, self.core.settings)
        self.sessions.make_room()
        self.note("edge_reloaded", keys=sorted(config.keyring.keys), revoked=len(config.keyring.revoked))

    # -- asks ----------------------------------------------------------------------------------------------

    def ask(
        self,
        device: Device,
        id: str,
        lane: str,
        body: bytes,
        reader: Reader | None,
        last: int = 0,
        remaining: float | None = None,
        make: Callable[[Ask], Query] | None = None,
        storm: bool = True,
    ) -> Ask | Problem:
        """The ask of that id: a new one, or the one that is remembered, which the reader then reads.

        `last`: the highest record number that the device holds. `make`: another way to the query, for a caller
        that a front has let in by its own limits; else the body is read as a chat completion's. `storm`: as with
        `attach`."""
        session = self.sessions.find(device.id, device.tenant)
        digest = digest_of(lane, body)
        held = session.find(id) if session is not None else None
        if held is not None:
            if held.digest != digest:
                return self._say(
                    Problem("ask_id_reused", "this id names another ask: other body or class", 422), device.id
                )
            if isinstance(held, Tomb):
                return self._buried(held, device.id)
            return self._read(held, reader, last, storm)
        if last:
            return self._say(UNKNOWN, device.id)
        if self.leaving_at:
            return self._say(LEAVING, device.id)
        opened = self.sessions.open(device.id, device.tenant)
        if isinstance(opened, Problem):
            return self._say(opened, device.id)
        if make is None:
            problem = self.admission.ask(self.deadlines.clock.time(), opened, self.sessions)
            if problem is not None:
                return self._say(problem, device.id)

        def query_of(ask: Ask) -> Query:
            return self._query(device, id, lane, body, remaining, ask)

        linger = self.config.bounds.lingers.get(lane or self.config.asks.default_class)
        linger = self.config.bounds.linger if linger is None else linger
        try:
            most = self.config.bounds.key_asks if make is not None else 0
            made = self.sessions.ask(opened, id, digest, linger, make or query_of, most)
        except Refusal as refusal:
            return self._say(refusal.problem, device.id)
        if isinstance(made, Problem):
            return self._say(made, device.id)
        return self._read(made, reader, 0, storm=False)

    def attach(
        self, device: Device, id: str, reader: Reader, last: int, storm: bool = True, epoch: int | None = None
    ) -> Ask | Problem:
        """`storm`: it comes through the storm gate by itself, not behind a hello that did. `epoch`: goes on
        with a claim of that epoch, and takes nothing from a newer one."""
        found = self.find(device, id)
        if isinstance(found, Problem):
            return self._say(found, device.id)
        if isinstance(found, Tomb):
            return self._buried(found, device.id)
        if epoch is not None and epoch != found.epoch:
            return self._say(SUPERSEDED, device.id)
        return self._read(found, reader, last, storm)

    def find(self, device: Device, id: str) -> Ask | Tomb | Problem:
        session = self.sessions.find(device.id, device.tenant)
        return (session.find(id) if session is not None else None) or UNKNOWN

    def session(self, device: Device) -> Session | Problem:
        return self.sessions.open(device.id, device.tenant)

    def acknowledge(self, device: Device, id: str, number: int, by: Reader | int) -> Final | None | Problem:
        """`by`: the connection that reads it, or the epoch under which it did. The final record, once it is
        acknowledged; the same again for one acknowledged before."""
        found = self.find(device, id)
        if isinstance(found, Problem):
            return self._say(found, device.id)
        if isinstance(found, Tomb):
            return found.final
        if found.epoch != by if isinstance(by, int) else found.owner is not by:
            return self._say(SUPERSEDED, device.id)
        problem = found.acknowledge(number)
        if problem is not None:
            return self._say(problem, device.id)
        return found.final if found.final is not None and number >= found.final.number else None

    def cancel(self, device: Device, id: str) -> Final | Problem:
        """Any connection of the device may: the record that stands is given, whichever came first."""
        found = self.find(device, id)
        if isinstance(found, Problem):
            return self._say(found, device.id)
        return found.final if isinstance(found, Tomb) else found.cancel()

    def arrive(self, device: str, resumes: bool) -> Problem | None:
        """A device connects: whether the storm gate lets it in now. Those that come back go first."""
        problem = self.admission.arrive(self.deadlines.clock.time(), resumes)
        return self._say(problem, device) if problem is not None else None

    def _read(self, ask: Ask, reader: Reader | None, last: int, storm: bool) -> Ask | Problem:
        if reader is not None:
            if storm and ask.owner is None and (wait := self.arrive(ask.session.device, True)) is not None:
                return wait
            problem = ask.attach(reader, last)
            if problem is not None:
                return self._say(problem, ask.session.device)
        return ask

    def _buried(self, tomb: Tomb, device: str) -> Problem:
        return self._say(
            Problem("acknowledged", "its answer was acknowledged or given up", 410, 0, tomb.final), device
        )

    def _query(self, device: Device, id: str, lane: str, body: bytes, remaining: float | None, ask: Ask) -> Query:
        """As the OpenAI-style front reads it. The servers' id is the device's own, with its name before it."""
        headers = {"x-request-id": f"{device.id}.{id}", "x-org": device.tenant, "x-entity": device.id}
        if lane:
            headers["x-lane"] = lane
        if remaining is not None:
            headers["x-remaining"] = f"{remaining:.6f}"
        read = self.front.read(Head("POST", CHAT, headers=headers), body, self.deadlines.clock.time(), ask)
        if isinstance(read, Reply):
            raise Refusal(Problem("bad_ask", _message(read), read.status))
        read.streams = True  # the log holds events; the front has asked for a stream in any case
        if read.txn in self.core.open_ids:
            raise Refusal(Problem("busy", "its last execution is still being ended", 409, 0.2))
        return read

    def _say(self, problem: Problem, device: str) -> Problem:
        self.problems[problem.code] = self.problems.get(problem.code, 0) + 1
        self.note("refused", code=problem.code, device=device, retry_after=round(problem.retry_after, 3))
        return problem

    # -- the end -------------------------------------------------------------------------------------------

    def leave(self) -> None:
        """Asked to end: nothing new is taken; what was is answered, and fetched where its device is there."""
        if not self.leaving_at:
            self.leaving_at = self.deadlines.clock.time()
            self.told_leaving()

    @property
    def settled(self) -> bool:
        """Whether the program may end: every final record is held by its device, or has waited long enough."""
        if not self.sessions.unfinished():
            return True
        return self.deadlines.clock.time() - self.leaving_at >= self.config.drain and not self.sessions.running

    def close(self) -> None:
        """What nobody came for is named, one event each, before it goes."""
        for ask in self.sessions.ended():
            assert ask.final is not None
            self.note("final_not_fetched", ask=ask.id, device=ask.session.device, kind=str(ask.final.kind))

    def state(self) -> dict[str, object]:
        held = self.sessions.held
        return {
            "sessions": len(self.sessions.by_name), "running": self.sessions.running,
            "unfinished": self.sessions.unfinished(), "tombstones": held.tombstones, "bytes": held.bytes,
            "finals": self.sessions.finals, "problems": self.problems,
            "turned_off": self.admission.gate.turned_off,
        }  # fmt: skip


def _message(reply: Reply) -> str:
    try:
        return str(msgspec.json.decode(reply.body)["error"]["message"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "the ask can't be read"
