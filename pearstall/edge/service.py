"""The edge: combines tokens, limits, sessions and the core, for all wires. Uses no sockets.

Devices' requests arrive through `Edge.ask`, `attach`, `acknowledge` and `cancel`. Each returns its outcome as a
value, which the wires encode.
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
from pearstall.edge.sessions import Ask, Note, Reader, Session, Sessions, Tombstone
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
    """No query can be made from an ask. Caught in `Edge.ask`."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem


def digest_of(lane: str, body: bytes) -> bytes:
    """Identifies the content of an ask (BLAKE3, 16 bytes): the same id with another digest is a different ask. It is
    computed on a normalised body, since the same ask may be sent first as JSON and later as MessagePack."""
    with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):  # an invalid body is refused later
        body = msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    return blake3(lane.encode() + b"\0" + body).digest(16)


class Edge:
    """`now`: Unix time, used only for the expiry of tokens; everything else uses the clock of `deadlines`."""

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
        self.on_leaving: Callable[[], None] = lambda: None  # the wires notify their devices

    # -- authentication and settings -----------------------------------------------------------------------

    def authenticate(self, token: str) -> Device | Problem:
        device = self.config.keyring.verify(token, self.now())
        return device if device is not None else self._log_problem(DENIED, "")

    def reload(self, config: EdgeConfig, names: Names) -> None:
        """New keys, limits, bounds and classes apply from now on; existing sessions stay."""
        self.config, self.names = config, names
        self.admission.set_limits(config.limits)
        self.sessions.bounds = config.bounds
        self.front = OpenAIFront(config.asks, self.names, self.core.settings)
        self.sessions.enforce_bounds()
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
        check_storm: bool = True,
    ) -> Ask | Problem:
        """Returns the ask with that id, new or existing, and attaches the reader to it.

        `last`: the highest record number that the device holds. `make`: makes the query, for a caller that a front
        has already admitted by its own limits; otherwise the body is read as that of a chat completion.
        `check_storm`: as for `attach`."""
        session = self.sessions.find(device.id, device.tenant)
        digest = digest_of(lane, body)
        existing = session.find(id) if session is not None else None
        if existing is not None:
            if existing.digest != digest:
                return self._log_problem(
                    Problem("ask_id_reused", "this id names another ask: other body or class", 422),
                    device.id,
                )
            if isinstance(existing, Tombstone):
                return self._tombstone_problem(existing, device.id)
            return self._attach_reader(existing, reader, last, check_storm)
        if last:
            return self._log_problem(UNKNOWN, device.id)
        if self.leaving_at:
            return self._log_problem(LEAVING, device.id)
        opened = self.sessions.open(device.id, device.tenant)
        if isinstance(opened, Problem):
            return self._log_problem(opened, device.id)
        if make is None:
            problem = self.admission.ask(self.deadlines.clock.time(), opened, self.sessions)
            if problem is not None:
                return self._log_problem(problem, device.id)

        def query_of(ask: Ask) -> Query:
            return self._make_query(device, id, lane, body, remaining, ask)

        linger = self.config.bounds.lingers.get(lane or self.config.asks.default_class)
        linger = self.config.bounds.linger if linger is None else linger
        try:
            max_asks = self.config.bounds.key_asks if make is not None else 0
            made = self.sessions.ask(opened, id, digest, linger, make or query_of, max_asks)
        except Refusal as refusal:
            return self._log_problem(refusal.problem, device.id)
        if isinstance(made, Problem):
            return self._log_problem(made, device.id)
        return self._attach_reader(made, reader, 0, check_storm=False)

    def attach(
        self, device: Device, id: str, reader: Reader, last: int, check_storm: bool = True, epoch: int | None = None
    ) -> Ask | Problem:
        """Attaches the reader to an existing ask. `check_storm`: it must pass the storm gate, because no hello of the
        connection did so before. `epoch`: continues a claim of that epoch; refused if a newer claim exists."""
        found = self.find(device, id)
        if isinstance(found, Problem):
            return self._log_problem(found, device.id)
        if isinstance(found, Tombstone):
            return self._tombstone_problem(found, device.id)
        if epoch is not None and epoch != found.epoch:
            return self._log_problem(SUPERSEDED, device.id)
        return self._attach_reader(found, reader, last, check_storm)

    def find(self, device: Device, id: str) -> Ask | Tombstone | Problem:
        session = self.sessions.find(device.id, device.tenant)
        return (session.find(id) if session is not None else None) or UNKNOWN

    def session(self, device: Device) -> Session | Problem:
        return self.sessions.open(device.id, device.tenant)

    def acknowledge(
        self, device: Device, id: str, number: int, reader_or_epoch: Reader | int
    ) -> Final | None | Problem:
        """Returns the final record if it is acknowledged, now or before, and otherwise None. `reader_or_epoch`: the
        connection that reads the ask, or the epoch under which it was read."""
        found = self.find(device, id)
        if isinstance(found, Problem):
            return self._log_problem(found, device.id)
        if isinstance(found, Tombstone):
            return found.final
        if found.epoch != reader_or_epoch if isinstance(reader_or_epoch, int) else found.owner is not reader_or_epoch:
            return self._log_problem(SUPERSEDED, device.id)
        problem = found.acknowledge(number)
        if problem is not None:
            return self._log_problem(problem, device.id)
        return found.final if found.final is not None and number >= found.final.number else None

    def cancel(self, device: Device, id: str) -> Final | Problem:
        """Cancels an ask, from any connection of the device. Returns its final record, which may be older."""
        found = self.find(device, id)
        if isinstance(found, Problem):
            return self._log_problem(found, device.id)
        return found.final if isinstance(found, Tombstone) else found.cancel()

    def arrive(self, device: str, resumes: bool) -> Problem | None:
        """A device connects: returns a problem if the storm gate does not let it in now. Resumes have priority."""
        problem = self.admission.arrive(self.deadlines.clock.time(), resumes)
        return self._log_problem(problem, device) if problem is not None else None

    def _attach_reader(self, ask: Ask, reader: Reader | None, last: int, check_storm: bool) -> Ask | Problem:
        if reader is not None:
            if check_storm and ask.owner is None and (wait := self.arrive(ask.session.device, True)) is not None:
                return wait
            problem = ask.attach(reader, last)
            if problem is not None:
                return self._log_problem(problem, ask.session.device)
        return ask

    def _tombstone_problem(self, tombstone: Tombstone, device: str) -> Problem:
        return self._log_problem(
            Problem("acknowledged", "its answer was acknowledged or given up", 410, 0, tombstone.final), device
        )

    def _make_query(
        self, device: Device, id: str, lane: str, body: bytes, remaining: float | None, ask: Ask
    ) -> Query:
        """Reads the ask as the OpenAI-style front would. The id sent to servers is the device's, after its name."""
        headers = {"x-request-id": f"{device.id}.{id}", "x-org": device.tenant, "x-entity": device.id}
        if lane:
            headers["x-lane"] = lane
        if remaining is not None:
            headers["x-remaining"] = f"{remaining:.6f}"
        read = self.front.read(Head("POST", CHAT, headers=headers), body, self.deadlines.clock.time(), ask)
        if isinstance(read, Reply):
            raise Refusal(Problem("bad_ask", _message(read), read.status))
        read.streams = True  # the log stores events, and the front requests a stream in any case
        if read.txn in self.core.open_ids:
            raise Refusal(Problem("busy", "its last execution is still being ended", 409, 0.2))
        return read

    def _log_problem(self, problem: Problem, device: str) -> Problem:
        self.problems[problem.code] = self.problems.get(problem.code, 0) + 1
        self.note("refused", code=problem.code, device=device, retry_after=round(problem.retry_after, 3))
        return problem

    # -- shutdown ------------------------------------------------------------------------------------------

    def leave(self) -> None:
        """Starts the shutdown: no new asks are accepted; open ones are answered, and connected devices fetch them."""
        if not self.leaving_at:
            self.leaving_at = self.deadlines.clock.time()
            self.on_leaving()

    @property
    def settled(self) -> bool:
        """Whether the program may end: every final record is acknowledged, or no ask runs and `drain` is over."""
        if not self.sessions.unfinished():
            return True
        return self.deadlines.clock.time() - self.leaving_at >= self.config.drain and not self.sessions.running

    def close(self) -> None:
        """Logs each final record that no device has fetched, one event each, before they are lost."""
        for ask in self.sessions.ended():
            assert ask.final is not None
            self.note("final_not_fetched", ask=ask.id, device=ask.session.device, kind=str(ask.final.kind))

    def state(self) -> dict[str, object]:
        usage = self.sessions.usage
        return {
            "sessions": len(self.sessions.by_name), "running": self.sessions.running,
            "unfinished": self.sessions.unfinished(), "tombstones": usage.tombstones, "bytes": usage.bytes,
            "finals": self.sessions.finals, "problems": self.problems,
            "turned_off": self.admission.gate.turned_off,
        }  # fmt: skip


def _message(reply: Reply) -> str:
    try:
        return str(msgspec.json.decode(reply.body)["error"]["message"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "the ask can't be read"
