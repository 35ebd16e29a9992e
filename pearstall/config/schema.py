"""Schemas for KDL documents: the permitted shape of each node, and validation that reports every problem."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from pearstall.config.kdl import Diagnostic, Node

Check = Callable[[Any], Any]
DURATION_UNITS = {"ms": 1e-3, "s": 1.0, "m": 60.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS = {"": 1, "B": 1, "kB": 1000, "KB": 1000, "MB": 10**6, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20,
              "GiB": 1 << 30}  # fmt: skip


def text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a string")
    return value


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("#true or #false")
    return value


def number(minimum: float = 0.0, maximum: float = 1e15) -> Check:
    def check(value: Any) -> float:
        invalid = isinstance(value, bool) or not isinstance(value, int | float)
        if invalid or not minimum <= value <= maximum or not math.isfinite(value):
            raise ValueError(f"a number from {minimum:g} to {maximum:g}")
        return float(value)

    return check


def whole(minimum: int = 0, maximum: int = 10**12) -> Check:
    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise ValueError(f"a whole number from {minimum} to {maximum}")
        return int(value)

    return check


def duration(minimum: float = 0.0, maximum: float = 30 * 86400.0) -> Check:
    """A duration in seconds: a number, or a string with a unit such as "20s", "5m" or "500ms"."""

    def check(value: Any) -> float:
        if isinstance(value, str):
            match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?) ?(ms|s|m|min|h|d)", value)
            value = float(match[1]) * DURATION_UNITS[match[2]] if match else None
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            raise ValueError(f'a time from {minimum:g} to {maximum:g} seconds, such as 20, "20s" or "500ms"')
        return float(value)

    return check


def size(minimum: int = 0, maximum: int = 1 << 40) -> Check:
    """A size in bytes: a whole number, or a string with a unit such as "1MiB"."""

    def check(value: Any) -> int:
        if isinstance(value, str):
            match = re.fullmatch(r"([0-9]+) ?([kKMG]?i?B?)", value)
            value = int(match[1]) * SIZE_UNITS[match[2]] if match and match[2] in SIZE_UNITS else None
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise ValueError(f'a size from {minimum} to {maximum} bytes, such as 4096 or "1MiB"')
        return int(value)

    return check


def one_of(*names: str) -> Check:
    def check(value: Any) -> str:
        if value not in names:
            raise ValueError(" or ".join([", ".join(names[:-1]), names[-1]] if len(names) > 2 else names))
        return str(value)

    return check


def address(value: Any) -> tuple[str, int]:
    host, colon, port = value.strip().rpartition(":") if isinstance(value, str) else ("", "", "")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= 65535:
        raise ValueError('an address and a port, such as "127.0.0.1:8090"')
    return host, int(port)


def timestamp(value: Any) -> float:
    """Unix time of an ISO 8601 timestamp, which is taken as UTC if it names no time zone."""
    try:
        parsed = datetime.fromisoformat(value)
    except (TypeError, ValueError):
        raise ValueError('an ISO 8601 timestamp, such as "2027-01-31T00:00:00Z"') from None
    return (parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp()


def matching(pattern: re.Pattern[str], expected: str) -> Check:
    def check(value: Any) -> str:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            raise ValueError(expected)
        return value

    return check


@dataclass(slots=True, frozen=True)
class Shape:
    """The permitted contents of a node.

    `args` has one check for each required argument, in order; `more` checks any further arguments.
    """

    args: tuple[Check, ...] = ()
    more: Check | None = None
    props: dict[str, Check] = field(default_factory=dict)
    required: frozenset[str] = frozenset()
    children: dict[str, Shape] = field(default_factory=dict)
    many: bool = False  # the node may be repeated
    secret: bool = False  # diagnostics never show its values


@dataclass(slots=True)
class NodeValues:
    """The checked values of a node. A value that failed its check is None."""

    node: Node
    args: list[Any] = field(default_factory=list)
    props: dict[str, Any] = field(default_factory=dict)
    children: dict[str, list[NodeValues]] = field(default_factory=dict)

    def children_named(self, name: str) -> list[NodeValues]:
        return self.children.get(name, [])

    def child(self, name: str) -> NodeValues | None:
        nodes = self.children.get(name)
        return nodes[0] if nodes else None

    def child_arg(self, name: str, default: Any) -> Any:
        """The first argument of the named child, or `default`."""
        child = self.child(name)
        return child.args[0] if child is not None and child.args else default

    def child_props(self, name: str) -> dict[str, Any]:
        """The properties of the named child, with each - in their names replaced by _."""
        child = self.child(name)
        return {key.replace("-", "_"): value for key, value in child.props.items()} if child is not None else {}


def validate(
    shapes: dict[str, Shape], nodes: list[Node], path: str, diagnostics: list[Diagnostic]
) -> dict[str, list[NodeValues]]:
    """Checks nodes against their shapes and returns their values by name.

    Each violation is appended to `diagnostics`, and validation goes on with the rest.
    """
    values: dict[str, list[NodeValues]] = {}
    for node in nodes:
        shape = shapes.get(node.name)
        if shape is None:
            names = ", ".join(sorted(shapes)) or "nothing"
            diagnostics.append(Diagnostic(path, node.place, f"unknown node {node.name!r}; permitted here: {names}"))
            continue
        if node.name in values and not shape.many:
            first = values[node.name][0].node.place
            diagnostics.append(
                Diagnostic(path, node.place, f"duplicate {node.name}: first given on line {first.line}")
            )
            continue
        values.setdefault(node.name, []).append(_validate_node(shape, node, path, diagnostics))
    return values


def _validate_node(shape: Shape, node: Node, path: str, diagnostics: list[Diagnostic]) -> NodeValues:
    values = NodeValues(node)

    def report(message: str) -> None:
        diagnostics.append(Diagnostic(path, node.place, f"{node.name}: {message}"))

    def checked(check: Check, value: Any, name: str) -> Any:
        try:
            return check(value)
        except ValueError as error:
            got = "" if shape.secret else f", got {value!r}"
            report(f"{name}expected {error}{got}")
            return None

    for index, value in enumerate(node.args):
        check = shape.args[index] if index < len(shape.args) else shape.more
        if check is None:
            report(f"expected at most {len(shape.args)} argument{'s' * (len(shape.args) != 1)}, got {len(node.args)}")
            break
        values.args.append(checked(check, value, ""))
    if len(node.args) < len(shape.args):
        report(f"expected {len(shape.args)} argument{'s' * (len(shape.args) != 1)}, got {len(node.args)}")
    for key, value in node.props.items():
        if key not in shape.props:
            names = ", ".join(sorted(shape.props)) or "none"
            report(f"unknown property {key!r}; permitted here: {names}")
        else:
            values.props[key] = checked(shape.props[key], value, f"{key}: ")
    for key in sorted(shape.required - node.props.keys()):
        report(f"{key} is missing")
    values.children = validate(shape.children, node.children, path, diagnostics)
    return values
