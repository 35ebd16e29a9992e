"""Rates over time as expressions, in a small grammar on lark.

    60/s
    60/s + burst(4x, every 20s, for 3s)
    diurnal(20/s, 100/s, period 60s) + flash(at 30s, 200/s, for 5s)
    ramp(10/s, 80/s, over 40s)
    trace("arrivals.csv")

A rate is a function from seconds since the start to asks per second. `burst` multiplies the expression before it.
"""

from __future__ import annotations

import csv
import math
from bisect import bisect_right
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, Tree, UnexpectedInput, v_args
from lark.exceptions import VisitError

Rate = Callable[[float], float]
GRAMMAR = r"""
start: sum
?sum: term (ADD term)*
?term: atom ("*" NUMBER)*
?atom: rate | shape | "(" sum ")"
rate: NUMBER "/" UNIT
shape: NAME "(" [argument ("," argument)*] ")"
argument: KEY? (factor | rate | time | STRING)
factor: NUMBER "x"
time: NUMBER TIME
ADD: "+" | "-"
UNIT: "min" | "s" | "h"
TIME: "ms" | "min" | "s" | "h"
KEY: "every" | "for" | "at" | "over" | "period"
NAME: /[a-z]+/
STRING: /"[^"\n]*"/
NUMBER: /[0-9]+(\.[0-9]+)?/
%import common.WS
%ignore WS
"""
PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True)
SECONDS = {"ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}


class BadRate(ValueError):
    """An invalid rate expression. `column` counts from 1."""

    def __init__(self, what: str, text: str, column: int) -> None:
        super().__init__(f"{what}\n    {text}\n    {' ' * (column - 1)}^")
        self.what, self.column = what, column


class _Shape:
    """A shape's arguments; checks their kinds and keys, so that an error can point at the column."""

    def __init__(self, name: str, arguments: list[tuple[str, str, Any, int]], column: int) -> None:
        self.name, self.arguments, self.column = name, arguments, column

    def take(self, text: str, *parameters: tuple[str, str, Any]) -> list[Any]:
        """Returns the values of `parameters`: key (or empty), kind, and default (None: required)."""
        remaining = list(self.arguments)
        out = []
        for key, kind, default in parameters:
            result = next((one for one in remaining if one[0] == key and one[1] == kind), None)
            if result is None:
                if default is None:
                    what = f"{key + ' ' if key else ''}{kind}"
                    raise BadRate(f"{self.name} requires a {what}", text, self.column)
                out.append(default)
            else:
                remaining.remove(result)
                out.append(result[2])
        if remaining:
            raise BadRate(f"{self.name} has no such parameter", text, remaining[0][3])
        return out


@v_args(inline=True)
class _Reader(Transformer[Token, Any]):
    def __init__(self, text: str, folder: Path) -> None:
        super().__init__()
        self.text, self.folder = text, folder

    def start(self, result: Any) -> Any:
        return result

    def rate(self, number: Token, unit: Token) -> Rate:
        value = float(number) / SECONDS[unit]
        return lambda t: value

    def factor(self, number: Token) -> tuple[str, float, int]:
        return "factor", float(number), number.column or 1

    def time(self, number: Token, unit: Token) -> tuple[str, float, int]:
        return "time", float(number) * SECONDS[unit], number.column or 1

    def argument(self, *parts: Any) -> tuple[str, str, Any, int]:
        key = str(parts[0]) if isinstance(parts[0], Token) and parts[0].type == "KEY" else ""
        value = parts[-1]
        column = (parts[0].column or 1) if isinstance(parts[0], Token) else 1
        if isinstance(value, Token):
            return key, "file", value[1:-1], column
        if callable(value):
            return key, "rate", value, column
        kind, number, at = value
        return key, kind, number, column if key else at

    def shape(self, name: Token, *arguments: Any) -> Any:
        shape = _Shape(str(name), [one for one in arguments if one is not None], name.column or 1)
        text = self.text
        if name == "burst":
            factor, every, lasts = shape.take(
                text, ("", "factor", None), ("every", "time", None), ("for", "time", None)
            )
            return _Burst(factor, every, lasts)
        if name == "flash":
            at, rate, lasts = shape.take(text, ("at", "time", None), ("", "rate", None), ("for", "time", None))
            return lambda t: rate(t) if at <= t < at + lasts else 0.0
        if name == "ramp":
            first, last, over = _two_rates(shape, text, "over")
            return lambda t: first(t) + (last(t) - first(t)) * min(1.0, t / over)
        if name == "diurnal":
            lowest, highest, period = _two_rates(shape, text, "period")
            return lambda t: lowest(t) + (highest(t) - lowest(t)) * (1 - math.cos(2 * math.pi * t / period)) / 2
        if name == "trace":
            (file,) = shape.take(text, ("", "file", None))
            return _trace(self.folder / file, text, name.column or 1)
        raise BadRate(f"unknown shape {name}; known shapes: burst, flash, ramp, diurnal, trace", text, shape.column)

    def term(self, first: Any, *factors: Token) -> Rate:
        product = math.prod(float(one) for one in factors)
        return lambda t: first(t) * product

    def sum(self, *parts: Any) -> Rate:
        result: Rate | None = None if isinstance(parts[0], _Burst) else parts[0]
        if result is None:
            raise BadRate("a burst must follow the expression that it multiplies", self.text, 1)
        for sign, part in zip(parts[1::2], parts[2::2], strict=True):
            result = _combined(result, str(sign), part)
        return result


class _Burst:
    def __init__(self, factor: float, every: float, lasts: float) -> None:
        self.factor, self.every, self.lasts = factor, every, lasts

    def extra(self, t: float) -> float:
        """The burst is in the last part of each period, so that a run starts at the base rate."""
        return self.factor - 1 if t % self.every >= self.every - self.lasts else 0.0


def _combined(first: Rate, sign: str, part: Any) -> Rate:
    if isinstance(part, _Burst):
        return lambda t: first(t) * (1 + part.extra(t))
    if sign == "-":
        return lambda t: max(0.0, first(t) - part(t))
    return lambda t: first(t) + part(t)


def _two_rates(shape: _Shape, text: str, key: str) -> tuple[Rate, Rate, float]:
    rates = [one[2] for one in shape.arguments if one[1] == "rate" and not one[0]]
    times = [one[2] for one in shape.arguments if one[1] == "time" and one[0] == key]
    if len(rates) != 2 or len(times) != 1 or len(shape.arguments) != 3 or not times[0]:
        raise BadRate(f"{shape.name} requires two rates and {key} time", text, shape.column)
    return rates[0], rates[1], times[0]


def _trace(file: Path, text: str, column: int) -> Rate:
    """Reads rows of seconds and asks per second; each rate applies until the next row."""
    try:
        with file.open(newline="") as rows:
            points = sorted(
                (float(row[0]), float(row[1])) for row in csv.reader(rows) if row and row[0][:1].isdigit()
            )
    except (OSError, ValueError, IndexError) as error:
        raise BadRate(f"{file}: {getattr(error, 'strerror', None) or error}", text, column) from None
    if not points:
        raise BadRate(f"{file}: no rows of seconds and rate", text, column)
    times = [at for at, _ in points]
    return lambda t: points[max(0, bisect_right(times, t) - 1)][1]


def parse_rate(text: str, folder: Path = Path(".")) -> Rate:
    """Parses a rate expression; BadRate points at the column of the error."""
    try:
        tree: Tree[Token] = PARSER.parse(text)
        result = _Reader(text, folder).transform(tree)
    except UnexpectedInput as error:
        ended = getattr(getattr(error, "token", None), "type", "") == "$END"
        column = len(text) + 1 if ended or not error.column or error.column < 0 else error.column
        raise BadRate("unexpected input", text, column) from None
    except VisitError as error:
        if isinstance(error.orig_exc, BadRate):
            raise error.orig_exc from None
        raise
    if isinstance(result, _Burst):
        raise BadRate("a burst must follow the expression that it multiplies", text, 1)
    return result  # type: ignore[no-any-return]


def peak_rate(rate: Rate, seconds: float) -> float:
    """Returns the highest rate within that time, sampled every 50 ms."""
    return max(rate(n * 0.05) for n in range(int(seconds / 0.05) + 1))
