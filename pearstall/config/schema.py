"""What a KDL document may hold: shapes of nodes, checked with every trouble named and none hidden by another."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from pearstall.config.kdl import Node, Trouble

Check = Callable[[Any], Any]
UNITS = {"ms": 1e-3, "s": 1.0, "m": 60.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
SIZES = {"": 1, "B": 1, "kB": 1000, "KB": 1000, "MB": 10**6, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20,
         "GiB": 1 << 30}  # fmt: skip


def text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a text")
    return value


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("#true or #false")
    return value


def number(least: float = 0.0, most: float = 1e15) -> Check:
    def check(value: Any) -> float:
        bad = isinstance(value, bool) or not isinstance(value, int | float)
        if bad or not least <= value <= most or not math.isfinite(value):
            raise ValueError(f"a number from {least:g} to {most:g}")
        return float(value)

    return check


def whole(least: int = 0, most: int = 10**12) -> Check:
    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ValueError(f"a whole number from {least} to {most}")
        return int(value)

    return check


def duration(least: float = 0.0, most: float = 30 * 86400.0) -> Check:
    """Seconds: a number of them, or a text with a unit as in "20s", "5m", "500ms"."""

    def check(value: Any) -> float:
        if isinstance(value, str):
            found = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?) ?(ms|s|m|min|h|d)", value)
            value = float(found[1]) * UNITS[found[2]] if found else None
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise ValueError(f'a time from {least:g} to {most:g} seconds, as in 20, "20s" or "500ms"')
        return float(value)

    return check


def size(least: int = 0, most: int = 1 << 40) -> Check:
    """Bytes: a number of them, or a text with a unit as in "1MiB"."""

    def check(value: Any) -> int:
        if isinstance(value, str):
            found = re.fullmatch(r"([0-9]+) ?([kKMG]?i?B?)", value)
            value = int(found[1]) * SIZES[found[2]] if found and found[2] in SIZES else None
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ValueError(f'a size from {least} to {most} bytes, as in 4096 or "1MiB"')
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
        raise ValueError('an address and a port, as in "127.0.0.1:8090"')
    return host, int(port)


def moment(value: Any) -> float:
    """Unix time of an ISO 8601 moment; UTC where no zone is named."""
    try:
        made = datetime.fromisoformat(value)
    except (TypeError, ValueError):
        raise ValueError('a moment, as in "2027-01-31T00:00:00Z"') from None
    return (made if made.tzinfo else made.replace(tzinfo=UTC)).timestamp()


def matching(pattern: re.Pattern[str], wanted: str) -> Check:
    def check(value: Any) -> str:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            raise ValueError(wanted)
        return value

    return check


@dataclass(slots=True, frozen=True)
class Shape:
    """What a node may hold. `args`: one check each, in order; `more`: for all beyond them."""

    args: tuple[Check, ...] = ()
    more: Check | None = None
    props: dict[str, Check] = field(default_factory=dict)
    required: frozenset[str] = frozenset()
    children: dict[str, Shape] = field(default_factory=dict)
    many: bool = False  # the node may stand there several times
    secret: bool = False  # its values are never repeated in a trouble


@dataclass(slots=True)
class Values:
    """A node that fits its shape."""

    node: Node
    args: list[Any] = field(default_factory=list)
    props: dict[str, Any] = field(default_factory=dict)
    children: dict[str, list[Values]] = field(default_factory=dict)

    def all(self, name: str) -> list[Values]:
        return self.children.get(name, [])

    def one(self, name: str) -> Values | None:
        found = self.children.get(name)
        return found[0] if found else None

    def arg(self, name: str, otherwise: Any) -> Any:
        """The first argument of that child."""
        found = self.one(name)
        return found.args[0] if found is not None and found.args else otherwise

    def of(self, name: str) -> dict[str, Any]:
        """The properties of that child, with - as _."""
        found = self.one(name)
        return {key.replace("-", "_"): value for key, value in found.props.items()} if found is not None else {}


def fit(shapes: dict[str, Shape], nodes: list[Node], path: str, troubles: list[Trouble]) -> dict[str, list[Values]]:
    """The nodes by name; what doesn't fit goes to `troubles`, and the rest is read on."""
    out: dict[str, list[Values]] = {}
    for node in nodes:
        shape = shapes.get(node.name)
        if shape is None:
            names = ", ".join(sorted(shapes)) or "nothing"
            troubles.append(Trouble(path, node.place, f"no node is called {node.name!r} here; there is {names}"))
            continue
        if node.name in out and not shape.many:
            first = out[node.name][0].node.place
            troubles.append(Trouble(path, node.place, f"{node.name} stands at line {first.line} already"))
            continue
        out.setdefault(node.name, []).append(_fit_one(shape, node, path, troubles))
    return out


def _fit_one(shape: Shape, node: Node, path: str, troubles: list[Trouble]) -> Values:
    made = Values(node)

    def say(what: str) -> None:
        troubles.append(Trouble(path, node.place, f"{node.name}: {what}"))

    def taken(check: Check, value: Any, name: str) -> Any:
        try:
            return check(value)
        except ValueError as error:
            got = "" if shape.secret else f", not {value!r}"
            say(f"{name}{error} is wanted{got}")
            return None

    for at, value in enumerate(node.args):
        check = shape.args[at] if at < len(shape.args) else shape.more
        if check is None:
            say(f"{len(shape.args)} argument{'s' * (len(shape.args) != 1)} at most, not {len(node.args)}")
            break
        made.args.append(taken(check, value, ""))
    if len(node.args) < len(shape.args):
        say(f"{len(shape.args)} argument{'s' * (len(shape.args) != 1)} wanted, not {len(node.args)}")
    for key, value in node.props.items():
        if key not in shape.props:
            names = ", ".join(sorted(shape.props)) or "none"
            say(f"no property is called {key!r}; there is {names}")
        else:
            made.props[key] = taken(shape.props[key], value, f"{key}: ")
    for key in sorted(shape.required - node.props.keys()):
        say(f"{key} is missing")
    made.children = fit(shape.children, node.children, path, troubles)
    return made
