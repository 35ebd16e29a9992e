"""Parses KDL 2 documents and records the position of every node.

The parser, `ckdl`, reports neither the positions of nodes nor that of a syntax error. A small tokenizer adds both. It
finds the start of each node's name, in document order. For a syntax error it finds the longest run of tokens that
still parses once the open braces are closed; the token after it is reported. The tokens follow the KDL 2.0.0
specification, sections 3.1 to 3.20, github.com/kdl-org/kdl.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ckdl

MAX_FILE_BYTES = 1 << 20
MAX_EXACT_TOKENS = 4000  # in a longer document, a syntax error is located by line, not by token
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
    """A position in a file. Both fields count from 1."""

    line: int
    column: int


@dataclass(slots=True, frozen=True)
class Diagnostic:
    """A problem in a file, and its position."""

    path: str
    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.path}:{self.place.line}:{self.place.column}: {self.message}"


class DocumentError(Exception):
    """A file is invalid. Holds every problem that was found in it."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        super().__init__("; ".join(map(str, diagnostics)))
        self.diagnostics = diagnostics


@dataclass(slots=True)
class Node:
    """A node of a document, with the position of its name."""

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
        match = TOKEN.match(text, at)
        assert match is not None and match.lastgroup is not None
        kind, end = match.lastgroup, match.end()
        if kind == "block":
            end = _block_end(text, at)
        elif kind == "string":
            end = _string_end(text, at, match[0])
        yield Token(kind, at, end)
        at = end


def _block_end(text: str, at: int) -> int:
    """The end of a block comment. Block comments nest."""
    depth = 0
    for match in re.finditer(r"/\*|\*/", text[at:]):
        depth += 1 if match[0] == "/*" else -1
        if not depth:
            return at + match.end()
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


class _NodeStarts:
    """The offset of each node's name, in document order, without the nodes that /- comments out."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.tokens = [token for token in tokens(text) if token.kind not in ("space", "comment", "block", "escline")]
        self.at = 0
        self.offsets: list[int] = []
        self._nodes(False, 0)

    def _nodes(self, commented_out: bool, depth: int) -> None:
        while self.at < len(self.tokens):
            kind = self.tokens[self.at].kind
            if kind in ("newline", "semi"):
                self.at += 1
            elif kind == "close":
                self.at += 1
                if depth:
                    return
            else:
                self._node(commented_out, depth)

    def _node(self, commented_out: bool, depth: int) -> None:
        while self.at < len(self.tokens) and self.tokens[self.at].kind in ("dash", "newline"):
            commented_out = commented_out or self.tokens[self.at].kind == "dash"
            self.at += 1
        if self.at < len(self.tokens) and self.tokens[self.at].kind == "left":
            while self.at < len(self.tokens) and self.tokens[self.at].kind != "right":
                self.at += 1
            self.at += 1
        if self.at < len(self.tokens) and not commented_out:
            self.offsets.append(self.tokens[self.at].start)
        self.at += 1
        slashdashed = False
        while self.at < len(self.tokens):
            kind = self.tokens[self.at].kind
            if kind == "close":
                return
            self.at += 1
            if kind in ("newline", "semi"):
                return
            if kind == "open":
                self._nodes(commented_out or slashdashed, depth + 1)
                if not slashdashed:
                    return
            slashdashed = kind == "dash"


def place_of(text: str, offset: int) -> Place:
    before = text[:offset].replace("\r\n", "\n").replace("\r", "\n")
    return Place(before.count("\n") + 1, len(before) - before.rfind("\n"))


def parse(text: str, path: str = "settings") -> list[Node]:
    """The nodes of a document. Raises DocumentError with the position of a syntax error."""
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError as error:
        raise DocumentError([Diagnostic(path, *_locate_error(text, str(error)))]) from None
    except (ValueError, UnicodeError) as error:
        raise DocumentError([Diagnostic(path, Place(1, 1), f"{error}")]) from None
    offsets = _NodeStarts(text).offsets
    remaining = iter(offsets)
    nodes = [_with_places(node, text, remaining) for node in document.nodes]
    assert next(remaining, None) is None, "the tokenizer found more nodes than the parser"
    return nodes


def _with_places(node: Any, text: str, offsets: Iterator[int]) -> Node:
    place = place_of(text, next(offsets))
    located = Node(node.name, place, list(node.args), dict(node.properties))
    located.children = [_with_places(child, text, offsets) for child in node.children]
    return located


def _locate_error(text: str, parser_message: str) -> tuple[Place, str]:
    """The position of a syntax error, and a message about the token there.

    The error follows the longest run of tokens that parses from the start of the document.
    """
    scanned = list(tokens(text))
    depth, valid = 0, 0
    for number, token in enumerate(scanned):
        depth += {"open": 1, "close": -1}.get(token.kind, 0)
        if depth < 0:
            break
        try_here = token.kind == "newline" or len(scanned) <= MAX_EXACT_TOKENS
        if try_here and _parses(text[: token.end] + "\n" + "}" * depth):
            valid = number + 1
    rest = [token for token in scanned[valid:] if token.kind not in ("space", "newline", "comment", "escline")]
    if not rest:
        if depth > 0:
            open_braces = [token for token in scanned if token.kind == "open"]
            return place_of(text, open_braces[-1].start), "unclosed {"
        return place_of(text, len(text)), parser_message.lower()
    token = rest[0]
    shown = text[token.start : token.end].splitlines()[0][:30]
    if token.kind == "string" and token.end == len(text):
        return place_of(text, token.start), "unterminated string"
    if token.kind == "block" and not text.endswith("*/"):
        return place_of(text, token.start), "unterminated comment"
    if shown in ("true", "false", "null", "inf", "-inf", "nan"):
        return place_of(text, token.start), f"expected #{shown}, got {shown}"
    return place_of(text, token.start), f"unexpected {shown!r} ({parser_message.lower()})"


def _parses(text: str) -> bool:
    try:
        ckdl.parse(text, version=2)
    except (ckdl.ParseError, ValueError):
        return False
    return True


def read(path: Path) -> list[Node]:
    """The nodes of a file. Raises DocumentError if it cannot be read or is no valid document."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise DocumentError([Diagnostic(str(path), Place(1, 1), error.strerror or "cannot be read")]) from None
    if len(data) > MAX_FILE_BYTES:
        raise DocumentError([Diagnostic(str(path), Place(1, 1), f"the file exceeds {MAX_FILE_BYTES} bytes")])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        place = place_of(data[: error.start].decode(errors="replace"), error.start)
        raise DocumentError([Diagnostic(str(path), place, "invalid UTF-8")]) from None
    return parse(text, str(path))
