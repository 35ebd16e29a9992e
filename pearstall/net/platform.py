"""The platform's wire formats: its front for clients, and its form of model server."""

from __future__ import annotations

import re
from functools import lru_cache
from hashlib import blake2b

import msgspec

from pearstall.net.config import Names
from pearstall.net.core import Answer, Query
from pearstall.net.http1 import Head, Malformed, Reply, UnknownClass

PATH = "/v1/chat/completions"
HEALTH = "/_health"
MAX_WAIT_SECONDS = 3600.0
CACHED_NAMES = 1024  # with their hashes
# All other headers of a client are forwarded to the model server, like the idempotency key of a class that has one.
# These are hop-by-hop headers (RFC 9110, 7.6.1), headers that the router sets itself, and headers for it only.
# accept-encoding is among them because the router reads the events of answers, so they must not be compressed.
NOT_FORWARDED = frozenset(
    (
        *("connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te"),
        *("trailer", "transfer-encoding", "upgrade", "host", "expect", "content-length", "content-type"),
        *("accept-encoding", "x-txn", "x-remaining", "x-lane", "x-org", "x-entity", "x-labels", "x-resent"),
    )
)
CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*(\d{1,12})')
LABEL = re.compile(r"(?:^|,)\s*+(prefix|prompt_len|prefix_len)\s*+=([^,]*+)")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")


def number_of(name: str) -> int:
    """A stable hash of a name: the same at every router and after every restart. 0 for an empty name."""
    if not name:
        return 0
    # Only short names are cached: clients choose the names, and memory must stay bounded.
    return _cached_hash(name) if len(name) <= 64 else _hash(name)


def _hash(name: str) -> int:
    return int.from_bytes(blake2b(name.encode("latin-1", "replace"), digest_size=8).digest(), "little") or 1


_cached_hash = lru_cache(maxsize=CACHED_NAMES)(_hash)


def decimal(text: str) -> float | None:
    return float(text) if DECIMAL.fullmatch(text.strip()) else None


class JsonObject(msgspec.Struct):
    """A body only has to be an object here; its content is validated by the model servers."""


class Labels:
    """The key=value pairs of an X-Labels header that are used."""

    def __init__(self, header: str) -> None:
        self.values = {key: value.strip() for key, value in LABEL.findall(header)}

    def number(self, key: str, default: float) -> float:
        value = decimal(self.values.get(key, ""))
        return default if value is None else value


def end_to_end_headers(head: Head) -> str:
    """The header lines of a request that are forwarded to the model server."""
    hop_by_hop = {name.strip().lower() for name in head.headers.get("connection", "").split(",")}
    return "".join(
        f"{name}: {value}\r\n"
        for name, value in head.headers.items()
        if name not in NOT_FORWARDED and name not in hop_by_hop
    )


class PlatformFront:
    def __init__(self, names: Names) -> None:
        self.ready = False
        self.adopt(names)

    def adopt(self, names: Names) -> None:
        """Sets the names of classes and tenants."""
        self.lanes = {lane.name: number for number, lane in enumerate(names.lanes)}
        self.tenants = {account.name: number for number, account in enumerate(names.accounts)}

    def direct_reply(self, head: Head) -> Reply | None:
        if head.path == HEALTH:
            if head.method not in ("GET", "HEAD"):
                return Reply(405, b"only GET\n", {"Allow": "GET"}, "text/plain")
            return Reply(200 if self.ready else 503)
        if head.path != PATH:
            return Reply(404, b"no such path\n", {}, "text/plain")
        if head.method != "POST":
            return Reply(405, b"only POST\n", {"Allow": "POST"}, "text/plain")
        return None

    def read(self, head: Head, body: bytes, received_at: float, answer: Answer) -> Query | Reply:
        headers = head.headers
        txn, lane = headers.get("x-txn", ""), self.lanes.get(headers.get("x-lane", ""))
        wait = decimal(headers.get("x-remaining", ""))
        if not txn:
            return self.malformed(Malformed("X-Txn is missing"))
        if lane is None:
            return self.unknown_class("X-Lane names no class")
        if wait is None:
            return self.malformed(Malformed("X-Remaining is no number of seconds"))
        try:
            msgspec.json.decode(body, type=JsonObject)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return self.malformed(Malformed("the body is no JSON object"))
        labels = Labels(headers.get("x-labels", ""))
        return Query(
            class_index=lane,
            deadline=received_at + min(wait, MAX_WAIT_SECONDS),
            answer=answer,
            method=head.method,
            target=head.target,
            body=body,
            headers=end_to_end_headers(head),
            txn=txn,
            unique_id=True,
            prompt_tokens=labels.number("prompt_len", len(body) / 4),
            session=number_of(headers.get("x-entity", "")),
            prefix=number_of(labels.values.get("prefix", "")),
            prefix_tokens=labels.number("prefix_len", 0.0),
            tenant=self.tenants.get(headers.get("x-org", ""), len(self.tenants)),
            repeated=headers.get("x-resent", "").strip() == "1",
        )

    def id_header_line(self, head: Head | None) -> str:
        return ""

    def malformed(self, why: Malformed) -> Reply:
        return Reply(why.status, why.why.encode() + b"\n", {}, "text/plain")

    def unknown_class(self, why: str) -> Reply:
        return UnknownClass(400, why.encode() + b"\n", {}, "text/plain")

    def refused(self, retry_after: int) -> Reply:
        return Reply(503, b"", {"Retry-After": f"{retry_after / 1e6:.3f}"} if retry_after else {})

    def failed(self, timed_out: bool) -> Reply:
        return Reply(504 if timed_out else 502)

    def complete_answer(self, query: Query, events: bytes) -> Reply:
        return Reply(200, events, {}, "text/event-stream")


class PlatformServer:
    """The wire form of the platform's model servers."""

    def request(self, query: Query, address: tuple[str, int], timeout: float) -> bytes:
        head = (
            f"{query.method} {query.target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            f"X-Txn: {query.txn}\r\nX-Remaining: {max(0.001, timeout):.3f}\r\n"
            f"{query.headers}Content-Type: application/json\r\nContent-Length: {len(query.body)}\r\n\r\n"
        )
        return head.encode("latin-1") + query.body

    def turned_away(self, head: Head) -> bool:
        return head.status in (503, 504) and head.headers.get("x-turned-away", "").strip() == "1"

    def blames_query(self, head: Head) -> bool:
        """A client error is the fault of the query: retried, it would get healthy servers ejected."""
        return 400 <= head.status < 500 and head.status not in (408, 429)

    def kept_tokens(self, events: bytes) -> int | None:
        if b'"usage"' not in events:
            return None
        found = CACHED_TOKENS.findall(events)
        return int(found[-1]) if found else None
