"""Scenarios as KDL files: topology, load, faults, settings of the routers, and variants to compare.

    scenario "platform-day" seconds=40
    world routers=4 servers=20 zones=1
    load "60/s + burst(3x, every 20s, for 3s)"
    class "chat" aim="1s" give-up="3s" prompt=400 wanted=100
    engine slots=16 queue=32
    fault "slow" at="10s" lasts="10s" share=0.15 factor=4
    devices "phones" count=50 link="mobile" every="5s" moves="20s"
    edge arrivals=100 linger="20s"
    variant "no-ejection" { constant "MAX_EJECTION_PERCENT" 0; }

The first variant, `base`, is the scenario without changes.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec

from pearstall.config.kdl import Diagnostic, DocumentError, Place, read
from pearstall.config.schema import NodeValues, Shape, duration, flag, number, one_of, text, validate, whole
from pearstall.edge.client import WIRES
from pearstall.lab.devices import LINKS, Devices
from pearstall.lab.rates import BadRate, Rate, parse_rate, peak_rate
from pearstall.lab.world import FAULTS, Fault, Klass, Scenario, decision_constants

ENGINE = {
    "slots": whole(1, 4096), "queue": whole(0, 100_000), "chunk": whole(16), "step": duration(1e-5, 10),
    "per-prompt": number(0, 1), "per-sequence": number(0, 1), "per-context": number(0, 1), "block": whole(1, 4096),
    "blocks": whole(8), "reuse": flag, "cancel-stops": flag, "cold-time": duration(0, 3600),
    "cold-share": number(0.001, 1), "emit": whole(1, 1024),
}  # fmt: skip
CHANGES = {
    "constant": Shape(args=(text, number(-1e12, 1e12)), many=True),
    "setting": Shape(args=(text, number(-1e12, 1e12)), many=True),
    "engine": Shape(props=ENGINE),
    "load": Shape(args=(text,)),
    "edge": Shape(
        props={
            "linger": duration(0, 3600),
            "keep": duration(1),
            "arrivals": number(0, 1e6),
            "arrivals-burst": number(1, 1e6),
            "ask-part": number(0.01, 1),
            "longest-wait": duration(0.1, 3600),
            "spread": number(0, 4),
            "running": whole(1),
        }
    ),
    "subset": Shape(args=(whole(0, 1_000_000),)),
}
SHAPES = {
    "scenario": Shape(args=(text,), props={"seconds": duration(1, 86400)}),
    "world": Shape(
        props={
            "routers": whole(1, 2000), "servers": whole(1, 50_000), "zones": whole(1, 64), "latency": duration(0, 5),
            "jitter": duration(0, 5), "cross-latency": duration(0, 5), "list-lag": duration(0, 600),
            "tenants": whole(1, 1000), "slowest": number(0.05, 10), "fastest": number(0.05, 10),
            "sockets": whole(64, 1_000_000),
        }
    ),
    "clients": Shape(
        props={"retries": whole(0, 20), "honour-advice": number(0, 1), "notice-after": duration(0, 60)}
    ),
    "class": Shape(
        args=(text,),
        props={
            "aim": duration(0.01, 600), "give-up": duration(0.01, 600), "late-share": number(0, 1),
            "value": number(0, 1e6), "share": number(0, 1e6), "prompt": whole(1), "shared": whole(0),
            "wanted": whole(1), "turns": number(0, 1000), "think": duration(0.01, 3600),
            "token-aim": duration(0, 10), "aim-per-k": duration(0, 600),
        },
        many=True,
    ),
    "fault": Shape(
        args=(one_of(*FAULTS),),
        props={"at": duration(0), "lasts": duration(0), "share": number(0, 1), "count": whole(0), 
               "factor": number(0.01), "zone": text, "every": duration(0.1)},
        required=frozenset({"at"}),
        many=True,
    ),
    "devices": Shape(
        args=(text,),
        props={
            "count": whole(1, 100_000), "link": one_of(*LINKS), "every": duration(0.1, 3600),
            "moves": duration(0, 3600), "sleeps": number(0, 1), "wanted": whole(1, 4096), "prompt": whole(1, 100_000),
            "leaves": number(0, 1), "stays": duration(0.01, 600), "cancels": number(0, 1),
        },
        children={"wires": Shape(more=one_of(*WIRES))},
        many=True,
    ),
    **CHANGES,
    "variant": Shape(args=(text,), children=CHANGES, many=True),
}  # fmt: skip
SETTABLE = ("tick", "maxAttempts", "maxRetryAfter", "mustAskIn", "groupSize")


class Variant(msgspec.Struct):
    name: str
    scenario: Scenario


class Plan(msgspec.Struct):
    """A scenario and the variants compared with it. The first variant is the scenario itself."""

    path: str
    variants: list[Variant]

    @property
    def base(self) -> Scenario:
        return self.variants[0].scenario

    def named(self, name: str) -> Scenario:
        for variant in self.variants:
            if variant.name == name:
                return variant.scenario
        raise KeyError(name)


def read_plan(path: str) -> Plan:
    """Reads a plan; DocumentError lists every error with its position."""
    diagnostics: list[Diagnostic] = []
    nodes = validate(SHAPES, read(Path(path)), path, diagnostics)
    if "load" not in nodes:
        diagnostics.append(Diagnostic(path, Place(1, 1), 'load is missing: it requires a rate such as "60/s"'))
    base = Scenario(name=Path(path).stem)
    if not diagnostics:
        _apply_scenario(base, nodes, path, diagnostics)
    plan = Plan(path, [Variant("base", base)])
    for one in nodes.get("variant", []):
        if diagnostics or not one.args:
            break
        if any(one.args[0] == other.name for other in plan.variants):
            diagnostics.append(Diagnostic(path, one.node.place, f"duplicate variant {one.args[0]!r}"))
            continue
        changed = msgspec.structs.replace(base, settings=dict(base.settings), constants=dict(base.constants))
        _apply_changes(changed, one.children, path, diagnostics)
        plan.variants.append(Variant(one.args[0], changed))
    if diagnostics:
        raise DocumentError(sorted(diagnostics, key=lambda one: (one.place.line, one.place.column)))
    return plan


def _underscored(props: dict[str, Any]) -> dict[str, Any]:
    return {key.replace("-", "_"): value for key, value in props.items()}


def _apply_scenario(
    out: Scenario, nodes: dict[str, list[NodeValues]], path: str, diagnostics: list[Diagnostic]
) -> None:
    for one in nodes.get("scenario", []):
        out.name = one.args[0] if one.args else out.name
        out.seconds = one.props.get("seconds", out.seconds)
    for one in nodes.get("world", []):
        props = _underscored(one.props)
        out.speeds = (props.pop("slowest", out.speeds[0]), props.pop("fastest", out.speeds[1]))
        for key, value in props.items():
            setattr(out, key, value)
    for one in nodes.get("clients", []):
        names = {"retries": "retries", "honour-advice": "honours_advice", "notice-after": "notices_after"}
        for key, value in one.props.items():
            setattr(out, names[key], value)
    classes = [Klass(name=one.args[0], **_underscored(one.props)) for one in nodes.get("class", [])]
    if classes:
        out.classes = classes
    out.faults = [Fault(kind=one.args[0], **_underscored(one.props)) for one in nodes.get("fault", [])]
    for one in nodes.get("devices", []):
        wires = one.child("wires")
        wire_options: dict[str, Any] = {"wires": tuple(wires.args)} if wires is not None and wires.args else {}
        out.devices = [*out.devices, Devices(name=one.args[0], **_underscored(one.props), **wire_options)]
    _apply_changes(out, nodes, path, diagnostics)


def _apply_changes(
    out: Scenario, nodes: dict[str, list[NodeValues]], path: str, diagnostics: list[Diagnostic]
) -> None:
    constant_names = decision_constants()

    for one in nodes.get("load", []):
        try:
            out.rate = parse_rate(one.args[0], Path(path).parent)
            out.most_rate = max(0.001, peak_rate(out.rate, out.seconds))
        except BadRate as error:
            diagnostics.append(Diagnostic(path, one.node.place, f"load: {error}"))
    for one in nodes.get("engine", []):
        out.engine = msgspec.structs.replace(out.engine, **_underscored(one.props))
    for one in nodes.get("edge", []):
        out.edge = msgspec.structs.replace(out.edge, **_underscored(one.props))
    for one in nodes.get("subset", []):
        out.subset = one.args[0]
    for one in nodes.get("constant", []):
        name, value = one.args
        if name not in constant_names:
            diagnostics.append(Diagnostic(path, one.node.place, f"choice.py has no constant {name}"))
        out.constants[name] = value
    for one in nodes.get("setting", []):
        name, value = one.args
        if name not in SETTABLE:
            diagnostics.append(
                Diagnostic(path, one.node.place, f"unknown setting {name}; known settings: {', '.join(SETTABLE)}")
            )
        out.settings[name] = value


def _asks_per_session(klass: Klass, seconds: float) -> float:
    """Returns the mean number of asks of a session within a run of `seconds`: its k-th further turn exists with
    probability exp(-k / turns), and lies within the run only if the session started early enough."""
    turn_interval = klass.wanted * 0.02 + klass.think
    further_turns = range(1, int(seconds / turn_interval) + 1) if klass.turns else ()
    return 1 + sum(math.exp(-k / klass.turns) * (1 - k * turn_interval / seconds) for k in further_turns)


def cost(scenario: Scenario, per_second: float = 22_000.0) -> dict[str, float]:
    """Estimates a run before it starts: asks, callbacks of the event loop and seconds of one core.

    `per_second`: callbacks that a core runs per second, as measured by `benchmarks/laboratory.py`."""
    asks = sum(scenario.rate(n * 0.1) for n in range(int(scenario.seconds * 10))) * 0.1
    asks *= sum(klass.share * _asks_per_session(klass, scenario.seconds) for klass in scenario.classes) / sum(
        klass.share for klass in scenario.classes
    )
    wanted = sum(k.share * k.wanted for k in scenario.classes) / sum(k.share for k in scenario.classes)
    steps = scenario.seconds / 0.02 * min(scenario.servers, max(1.0, asks / scenario.seconds * wanted * 0.02))
    callbacks = asks * (14 + 3 * wanted / scenario.engine.emit) + steps
    for klass in scenario.devices:  # a device's ask takes about as many callbacks as 5 connections
        callbacks += klass.count * scenario.seconds / (klass.every + 1) * (110 + 3 * klass.wanted / 4)
    watches = scenario.routers * scenario.seconds / 2
    callbacks += watches
    return {"asks": math.ceil(asks), "callbacks": math.ceil(callbacks), "core_seconds": callbacks / per_second}


def describe(rate: Rate, seconds: float) -> str:
    values = [rate(n * seconds / 200) for n in range(200)]
    return f"{min(values):.0f} to {max(values):.0f} asks per second, {sum(values) / 200:.0f} on average"
