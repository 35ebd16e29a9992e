"""`Idempotency-Key` on the OpenAI-style front, implemented with the device sessions.

The key identifies an ask of the caller (the digest of its API key takes the place of a device). A request repeated
while the first is running takes over: it reads the answer from the first event. A request repeated after the end gets
the same answer, as long as that is stored.
"""

from __future__ import annotations

from collections.abc import Callable

from blake3 import blake3

from pearstall.edge.records import Final, Kind, Problem
from pearstall.edge.service import Edge, Refusal
from pearstall.edge.sessions import Ask
from pearstall.edge.tokens import Device
from pearstall.net.client_link import ClientLink
from pearstall.net.core import Blamed, Query
from pearstall.net.http1 import Head, Reply
from pearstall.net.openai import CHAT, COMPLETIONS, OpenAIFront, error

BATCH_BYTES = 64 * 1024
MAX_KEY_LENGTH = 255
CODES = {"ask_id_reused": "idempotency_key_in_use", "acknowledged": "idempotency_key_expired"}


class IdempotencyKeys:
    """Decides which queries of the OpenAI-style front go through sessions: those with an idempotency key."""

    def __init__(self, edge: Edge) -> None:
        self.edge = edge

    def __call__(self, link: ClientLink, head: Head, body: bytes) -> Callable[[Query], None] | None:
        front = link.front
        key = head.headers.get("idempotency-key", "").strip()
        if not key or not isinstance(front, OpenAIFront) or not front.config.idempotency:
            return None
        if head.path not in (CHAT, COMPLETIONS):
            return None
        return lambda query: self._begin(link, head, body, key, query)

    def _begin(self, link: ClientLink, head: Head, body: bytes, key: str, query: Query) -> None:
        caller = head.headers.get("authorization", "") + "\0" + head.headers.get("x-org", "")
        device = Device("key-" + blake3(caller.encode("latin-1", "replace")).hexdigest(12), "openai")
        reader = LinkReader(link, query)
        link.holder = reader
        if len(key) > MAX_KEY_LENGTH:
            reader.answer_problem(
                Problem("bad_key", f"Idempotency-Key holds {MAX_KEY_LENGTH} characters at most", 400)
            )
            return
        ask_id = blake3(key.encode("latin-1", "replace")).hexdigest(16)

        def make(ask: Ask) -> Query:
            if query.txn and query.txn in self.edge.core.open_ids:
                raise Refusal(Problem("id_in_use", "another query with this X-Request-Id is open", 409))
            query.answer = ask
            return query

        found = self.edge.ask(device, ask_id, head.path, body, reader, make=make)
        if isinstance(found, Problem):
            reader.answer_problem(found)


class LinkReader:
    """Reads an ask for a client connection, which encodes it like the answer to a query of its own."""

    def __init__(self, link: ClientLink, query: Query) -> None:
        self.link, self.query = link, query
        self.ask: Ask | None = None
        self.at = 0
        self.full = False

    # -- sessions.Reader -----------------------------------------------------------------------------------

    def attached(self, ask: Ask, last: int) -> None:
        self.ask, self.at = ask, last
        self.ready(ask)

    def ready(self, ask: Ask) -> None:
        if not self.query.streams and ask.final is None:
            return  # not streamed: until it ends, another attempt may start it over
        while self.ask is ask and not self.full:
            events = ask.after(self.at, BATCH_BYTES)
            if not events:
                break
            self.at += len(events)
            self.link.pass_on(b"".join(events))
            if ask.full:
                ask.acknowledge(self.at)  # too long to store: the answer can't be repeated from its start
        final = ask.final
        if self.ask is ask and final is not None and self.at == final.number - 1 and not self.full:
            self.ask = None
            ask.detach(self)
            self._end(final)

    def superseded(self, ask: Ask) -> None:
        if self.ask is ask:
            self.ask = None
            if self.link.begun:
                self.link.cut()
            else:
                self.answer_problem(Problem("superseded", "another request with this key took its place", 409))

    # -- client_link.Holder --------------------------------------------------------------------------------

    def client_gone(self, handle: int) -> None:
        ask, self.ask = self.ask, None
        if ask is not None:
            ask.detach(self)

    def pause(self, handle: int, paused: bool) -> None:
        self.full = paused
        if not paused and self.ask is not None:
            self.ready(self.ask)

    # ------------------------------------------------------------------------------------------------------

    def _end(self, final: Final) -> None:
        link = self.link
        if final.kind == Kind.SERVED:
            link.finish()
        elif final.kind == Kind.REFUSED:
            link.refuse(final.retry_after_ms * 1000)
        elif final.kind == Kind.BLAMED:
            link.blame(Blamed(final.status, final.body, "application/json"))
        elif final.kind == Kind.FAILED:
            link.fail(final.reason == "timed_out")
        elif link.begun:
            link.cut()
        else:
            link.fail(False)

    def answer_problem(self, problem: Problem) -> None:
        code = CODES.get(problem.code, problem.code)
        kind = "server_error" if problem.status >= 500 else "invalid_request_error"
        reply: Reply = error(problem.status, problem.detail, kind, code)
        if problem.retry_after:
            reply.headers["Retry-After"] = str(max(1, round(problem.retry_after + 0.499)))
            reply.headers["Retry-After-Ms"] = str(int(problem.retry_after * 1000))
        self.link.answer(reply)
