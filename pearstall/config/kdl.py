"""KDL 2 documents with the place of every node.

`ckdl` parses; it tells neither where a node stands nor where it gave up. A small scanner of tokens adds both: it
finds where each node's name begins, in the order of the document, and for an error it looks for the longest run of
tokens that still parses once its open braces are closed: what comes next is the culprit. KDL 2.0.0 specification,
sections 3.1 to 3.20 (tokens), github.com/kdl-org/kdl.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ckdl

LARGEST = 1 << 20  # bytes of a file
MOST_TRIED = 4000  # tokens whose place is looked for exactly; beyond, by the line
TOKEN = re.compile(
    r"""(?P<newline>\r\n|[\r\n\x85\x0b\x0c\u2028\u2029])
    |(?P<space>[ \t\ufeff\xa0\u1680\u2000-\u200a\u202f\u205f\u3000]+)
    |(?P<comment>//[^\r\n\x85\x0b\x0c\u2028\u2029]*)
    |(?P<block>/\*)
    |(?P<dash>/-)
    |(?P<escline>\\[ \t]*(?://[^\r\n]*)?(?:\r\n|[\r\n]|$))
    |(?P<string>\#+\"\"\"|\#+\"|\"\"\"|\")
    |(?P<open>\{)|(?P<close>\})|(?P<left>\()|(?P<right>\))|(?P<equals>=)|(?P<semi>;)
    |(?P<word>[^\s\"{}()=;\\/]+(?:/(?![/*-])[^\s\"{}()=;\\/]*)*|.)""",
    re.VERBOSE,
)


@dataclass(slots=True, frozen=True)
class Place:
    """Counted from 1."""

    line: int
    column: int


@dataclass(slots=True, frozen=True)
class Trouble:
    """One thing wrong with a file, and where."""

    path: str
    place: Place
    what: str

    def __str__(self) -> str:
        return f"{self.path}:{self.place.line}:{self.place.column}: {self.what}"


class Unreadable(Exception):
    """Every trouble found in a file."""

    def __init__(self, troubles: list[Trouble]) -> None:
        super().__init__("; ".join(map(str, troubles)))
        self.troubles = troubles


@dataclass(slots=True)
class Node:
    name: str
    place: Place
    args: list[Any] = field(default_factory=list)
    props: dict[str, Any] = field(default_factory=dict)
    children: list[Node] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Token:
    kind: str
    start: int
    end: int


def tokens(text: str) -> Iterator[Token]:
    at = 0
    while at < len(text):
        found = TOKEN.match(text, at)
        assert found is not None and found.lastgroup is not None
        kind, end = found.lastgroup, found.end()
        if kind == "block":
            end = _block_end(text, at)
        elif kind == "string":
            end = _string_end(text, at, found[0])
        yield Token(kind, at, end)
        at = end


def _block_end(text: str, at: int) -> int:
    """Comments nest."""
    depth = 0
    for found in re.finditer(r"/\*|\*/", text[at:]):
        depth += 1 if found[0] == "/*" else -1
        if not depth:
            return at + found.end()
    return len(text)


def _string_end(text: str, at: int, opening: str) -> int:
    hashes = opening.count("#")
    quotes = opening.lstrip("#")
    at += len(opening)
    if hashes:
        end = text.find(quotes + "#" * hashes, at)
        return end + len(quotes) + hashes if end >= 0 else len(text)
    while at < len(text):
        if text[at] == "\\":
            at += 2
        elif text.startswith(quotes, at):
            return at + len(quotes)
        else:
            at += 1
    return len(text)


class _Places:
    """Where each node's name begins, in the order in which the document has them; dropped nodes aside."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.all = [token for token in tokens(text) if token.kind not in ("space", "comment", "block", "escline")]
        self.at = 0
        self.found: list[int] = []
        self._nodes(False, 0)

    def _nodes(self, dropped: bool, depth: int) -> None:
        while self.at < len(self.all):
            kind = self.all[self.at].kind
            if kind in ("newline", "semi"):
                self.at += 1
            elif kind == "close":
                self.at += 1
                if depth:
                    return
            else:
                self._node(dropped, depth)

    def _node(self, dropped: bool, depth: int) -> None:
        while self.at < len(self.all) and self.all[self.at].kind in ("dash", "newline"):
            dropped = dropped or self.all[self.at].kind == "dash"
            self.at += 1
        if self.at < len(self.all) and self.all[self.at].kind == "left":
            while self.at < len(self.all) and self.all[self.at].kind != "right":
                self.at += 1
            self.at += 1
        if self.at < len(self.all) and not dropped:
            self.found.append(self.all[self.at].start)
        self.at += 1
        dashed = False
        while self.at < len(self.all):
            kind = self.all[self.at].kind
            if kind == "close":
                return
            self.at += 1
            if kind in ("newline", "semi"):
                return
            if kind == "open":
                self._nodes(dropped or dashed, depth + 1)
                if not dashed:
                    return
            dashed = kind == "dash"


def place_of(text: str, offset: int) -> Place:
    before = text[:offset].replace("\r\n", "\n").replace("\r", "\n")
    return Place(before.count("\n") + 1, len(before) - before.rfind("\n"))


def parse(text: str, path: str = "settings") -> list[Node]:
    """The nodes of a document; an Unreadable tells where it is none."""
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError as error:
        raise Unreadable([Trouble(path, *_culprit(text, str(error)))]) from None
    except (ValueError, UnicodeError) as error:
        raise Unreadable([Trouble(path, Place(1, 1), f"{error}")]) from None
    places = _Places(text).found
    count = iter(places)
    nodes = [_located(node, text, count) for node in document.nodes]
    assert next(count, None) is None, "the scanner found more nodes than the parser"
    return nodes


def _located(node: Any, text: str, places: Iterator[int]) -> Node:
    place = place_of(text, next(places))
    made = Node(node.name, place, list(node.args), dict(node.properties))
    made.children = [_located(child, text, places) for child in node.children]
    return made


def _culprit(text: str, why: str) -> tuple[Place, str]:
    """Where the longest good beginning ends, and what stands there."""
    all = list(tokens(text))
    depth, good = 0, 0
    for number, token in enumerate(all):
        depth += {"open": 1, "close": -1}.get(token.kind, 0)
        if depth < 0:
            break
        step = token.kind == "newline" or len(all) <= MOST_TRIED
        if step and _parses(text[: token.end] + "\n" + "}" * depth):
            good = number + 1
    rest = [token for token in all[good:] if token.kind not in ("space", "newline", "comment", "escline")]
    if not rest:
        if depth > 0:
            opened = [token for token in all if token.kind == "open"]
            return place_of(text, opened[-1].start), "a { that is never closed"
        return place_of(text, len(text)), why.lower()
    token = rest[0]
    what = text[token.start : token.end].splitlines()[0][:30]
    if token.kind == "string" and token.end == len(text):
        return place_of(text, token.start), "a string without its end"
    if token.kind == "block" and not text.endswith("*/"):
        return place_of(text, token.start), "a comment without its end"
    if what in ("true", "false", "null", "inf", "-inf", "nan"):
        return place_of(text, token.start), f"#{what} is wanted, not {what}"
    return place_of(text, token.start), f"{what!r} is not understood here ({why.lower()})"


def _parses(text: str) -> bool:
    try:
        ckdl.parse(text, version=2)
    except (ckdl.ParseError, ValueError):
        return False
    return True


def read(path: Path) -> list[Node]:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise Unreadable([Trouble(str(path), Place(1, 1), error.strerror or "can't be read")]) from None
    if len(data) > LARGEST:
        raise Unreadable([Trouble(str(path), Place(1, 1), f"larger than {LARGEST} bytes")])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        place = place_of(data[: error.start].decode(errors="replace"), error.start)
        raise Unreadable([Trouble(str(path), place, "no UTF-8")]) from None
    return parse(text, str(path))
