"""Mutation testing: plausible mistakes, applied to the real code in memory, which the models must detect.

A mutant replaces a piece of a function's source. The piece must occur exactly once, so that a mutant whose code has
changed fails instead of changing nothing. An undetected mutant shows that a property or an event is missing.
"""

from __future__ import annotations

import inspect
import textwrap
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from importlib import import_module
from typing import Any


class Stale(Exception):
    """Raised if the code that a mutant replaces no longer exists."""


@dataclass(frozen=True, slots=True)
class Mutant:
    """A replacement of `old` by `new` in `where` (module:Class.method).

    `depth` is the number of events within which the search of `shape` must find it.
    """

    name: str
    where: str
    old: str
    new: str
    model: str
    shape: str
    depth: int


CORE, ROUTER, SESSIONS, CLUSTER, DEADLINES = (
    "pearstall.net.core:Core.",
    "pearstall.choice:Router.",
    "pearstall.edge.sessions:",
    "pearstall.net.cluster:Cluster.",
    "pearstall.net.deadlines:",
)
SUBSCRIPTION = "pearstall.discovery:Subscription."
CLIENT_LINK = "pearstall.net.client_link:ClientLink."
MUTANTS = (
    Mutant(
        "the old link isn't closed before a resend",
        CORE + "_give_up",
        "execution.carrier.give_up()",
        "pass",
        "attempt",
        "one",
        3,
    ),
    Mutant("the id isn't freed", CORE + "_release", "self.open_ids.discard(query.txn)", "pass", "attempt", "one", 3),
    Mutant(
        "the Router isn't told of a client that left",
        CORE + "client_gone",
        "self.dispatch(ClientGone(handle))",
        "pass",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "an end is told after it was forgotten",
        CORE + "_end_execution",
        "query.in_flight -= 1",
        "query.in_flight -= 0",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "a broken answer is finished",
        CORE + "ended",
        "answer.cut()",
        "answer.finish(); answer.cut()",
        "attempt",
        "one",
        4,
    ),
    Mutant(
        "a part of an answer passes for none",
        CORE + "received",
        "query.forwarded = True\n            query.body",
        "query.body",
        "attempt",
        "one",
        4,
    ),
    Mutant(
        "the guard stays armed behind a first event",
        CORE + "received",
        "query.guard.cancel()",
        "pass",
        "attempt",
        "one",
        4,
    ),
    Mutant(
        "the time-out of a begun stream stays armed",
        CORE + "received",
        "execution.timeout.cancel()\n        self._watch_stream(execution)",
        "pass",
        "attempt",
        "one",
        4,
    ),
    Mutant(
        "blame doesn't end the query",
        CORE + "ended",
        "query.finished = True\n            answer.blame(end)",
        "answer.blame(end)",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "hurry answers and lets the execution run",
        CORE + "hurry",
        "self.dispatch(ClientGone(query.handle))",
        "pass",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "outcomes don't take their stream off",
        ROUTER + "_on_outcome",
        "replica.streams -= 1",
        "pass",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "the Router forgets what it has out",
        ROUTER + "_on_outcome",
        "self.in_flight -= 1",
        "pass",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "a client that left is not withdrawn",
        ROUTER + "_on_client_gone",
        "self._cancel_in_flight(pending)",
        "pass",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "a draining server stays ready",
        ROUTER + "_on_list",
        "replica.ready = entry.state == State.READY",
        "replica.ready = True",
        "attempt",
        "one",
        3,
    ),
    Mutant(
        "a server that is gone stays",
        ROUTER + "_on_list",
        "if replica is not None:\n                self.replicas.pop(entry.id).ready = False",
        "pass",
        "list",
        "changes",
        4,
    ),
    Mutant(
        "given up, and nothing said",
        ROUTER + "_refuse_or_fail",
        "self.actions.append(Refuse(id, self.settings.max_retry_after, why) if refuse else Fail(id, why))",
        "pass",
        "attempt",
        "one",
        6,
    ),
    Mutant(
        "a snapshot keeps what it doesn't name",
        CLUSTER + "take",
        "self.addresses, self.types, self.names, self.draining = {}, {}, {}, set()",
        "pass",
        "list",
        "changes",
        4,
    ),
    Mutant(
        "an address stays when its server is gone",
        CLUSTER + "_replica",
        "self.addresses.pop(id, None)",
        "pass",
        "list",
        "changes",
        4,
    ),
    Mutant(
        "a broken watch isn't asked for again",
        SUBSCRIPTION + "on_failure",
        "self.open = False",
        "pass",
        "list",
        "broken watch",
        3,
    ),
    Mutant(
        "the index held is one ahead",
        CLUSTER + "take",
        "self.index = update.index",
        "self.index = update.index + 1",
        "list",
        "broken watch",
        4,
    ),
    Mutant(
        "epochs go back",
        SESSIONS + "Ask.attach",
        "self.session.epoch += 1",
        "self.session.epoch -= 1",
        "session",
        "one ask",
        3,
    ),
    Mutant(
        "an acknowledgement beyond the end is taken",
        SESSIONS + "Ask.acknowledge",
        "number <= self.latest",
        "number <= self.latest + 1",
        "session",
        "one ask",
        3,
    ),
    Mutant(
        "one event too many is let go",
        SESSIONS + "Ask._drop_acknowledged",
        "number + 1 - self.first",
        "number + 2 - self.first",
        "session",
        "one ask",
        5,
    ),
    Mutant(
        "the superseded reader isn't told",
        SESSIONS + "Ask.attach",
        "before.superseded(self)",
        "pass",
        "session",
        "one ask",
        3,
    ),
    Mutant(
        "whoever leaves takes the ask along",
        SESSIONS + "Ask.detach",
        "if self.owner is reader:",
        "if True:",
        "session",
        "one ask",
        5,
    ),
    Mutant(
        "an event is given twice",
        SESSIONS + "Ask.after",
        "number + 1 - self.first",
        "number - self.first",
        "session",
        "one ask",
        5,
    ),
    Mutant(
        "the final record has the last event's number",
        SESSIONS + "Ask._end",
        "self.first + len(self.events)",
        "max(1, self.first + len(self.events) - 1)",
        "session",
        "one ask",
        5,
    ),
    Mutant(
        "the core isn't told of a cancel",
        SESSIONS + "Sessions._record_final",
        "if cancel_query and query is not None:",
        "if False:",
        "session",
        "one ask",
        3,
    ),
    Mutant(
        "unloaded bytes stay on the books",
        SESSIONS + "Sessions._drop_events",
        "self.usage.bytes -= ask.log_bytes",
        "pass",
        "session",
        "one ask",
        5,
    ),
    Mutant(
        "a forgotten tombstone stays on the books",
        SESSIONS + "Sessions.forget",
        "self.usage.tombstones -= 1",
        "pass",
        "session",
        "one ask",
        4,
    ),
    Mutant(
        "the sweep isn't armed again",
        SESSIONS + "Sessions.sweep",
        "if self.by_name:\n        self._schedule_sweep()",
        "pass",
        "session",
        "one ask",
        3,
    ),
    Mutant(
        "a full log doesn't hold its link up",
        SESSIONS + "Ask._set_full",
        "self.sessions.upstream.pause(self.query.handle, full)",
        "pass",
        "session",
        "slow readers",
        6,
    ),
    Mutant(
        "a cancelled deadline runs all the same",
        DEADLINES + "Deadline.cancel",
        "self.call = None\n        self.owner",
        "self.owner",
        "attempt",
        "one",
        4,
    ),
    Mutant(
        "a side that is full already holds no new query up",
        CLIENT_LINK + "pass_on",
        "if self.write_paused:",
        "if False:",
        "client",
        "malformed",
        5,
    ),
    Mutant(
        "the core isn't told that a client has gone",
        CLIENT_LINK + "connection_lost",
        "self.holder.client_gone(self.query.handle)",
        "pass",
        "client",
        "HTTP/1.0",
        3,
    ),
    Mutant(
        "bytes of a whole query stay counted",
        CLIENT_LINK + "_release_memory",
        "self.count_memory()",
        "pass",
        "client",
        "HTTP/1.0",
        5,
    ),
    Mutant(
        "a lost link stays among those that owe a query",
        "pearstall.net.client_links:ClientLinks.forget",
        "self.awaiting_request.pop(link, None)",
        "pass",
        "client",
        "HTTP/1.0",
        2,
    ),
    Mutant(
        "a stream's last chunk is forgotten",
        CLIENT_LINK + "finish",
        'self._write(LAST_CHUNK if self.chunked else b"")',
        "pass",
        "client",
        "malformed",
        6,
    ),
    Mutant(
        "a refusal is given twice",
        CLIENT_LINK + "refuse",
        "self._reply(self.front.refused(retry_after))",
        "self._reply(self.front.refused(retry_after)); self._reply(self.front.refused(0))",
        "client",
        "malformed",
        4,
    ),
)


@contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Applies a mutant. Raises Stale unless its piece of code occurs exactly once."""
    module_name, _, path = mutant.where.partition(":")
    module: Any = import_module(module_name)
    class_name, _, method = path.partition(".")
    owner = getattr(module, class_name)
    before = owner.__dict__[method]
    source = textwrap.dedent(inspect.getsource(before))
    if source.count(mutant.old) != 1:
        raise Stale(f"{mutant.name}: {mutant.old!r} occurs {source.count(mutant.old)} times in {mutant.where}")
    namespace: dict[str, Any] = {}
    code = "from __future__ import annotations\n" + source.replace(mutant.old, mutant.new)
    exec(compile(code, mutant.where, "exec"), module.__dict__, namespace)
    setattr(owner, method, namespace[method])
    try:
        yield
    finally:
        setattr(owner, method, before)
