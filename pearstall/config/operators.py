"""The operators' one settings file, in KDL: the OpenAI-style front, the edge, its limits and keys, and logging."""

from __future__ import annotations

import os
import re
import stat
import tomllib
from pathlib import Path

import msgspec

from pearstall.config.kdl import Place, Trouble, Unreadable, read
from pearstall.config.schema import (
    Shape,
    Values,
    address,
    duration,
    fit,
    flag,
    matching,
    moment,
    number,
    one_of,
    size,
    text,
    whole,
)
from pearstall.edge.keepalive import KeepAlive
from pearstall.edge.keeping import Bounds
from pearstall.edge.limits import Limits
from pearstall.edge.settings import EdgeConfig
from pearstall.edge.tokens import NAME, Key, Keyring, decode_secret
from pearstall.net.config import Names, OpenAIConfig

FORM = one_of("platform", "openai")
ID = matching(NAME, "1 to 64 letters, digits, - or _")
ASKS = {
    "model": Shape(args=(text,), props={"class": text}, required=frozenset({"class"}), many=True),
    "class": Shape(args=(text,), props={"deadline": duration(0.001, 3600), "linger": duration(0, 3600)}, many=True),
}
SETTINGS = {
    "servers": Shape(
        props={"form": FORM},
        children={"type": Shape(args=(text,), props={"form": FORM}, required=frozenset({"form"}), many=True)},
    ),
    "openai": Shape(
        props={
            "listen": address, "enabled": flag, "default-class": text, "default-tenant": text,
            "session-from-user": flag, "idempotency": flag,
        },
        required=frozenset({"listen"}),
        children={
            **ASKS,
            "models": Shape(more=text),
            "api-key": Shape(args=(text,), props={"tenant": text}, required=frozenset({"tenant"}), many=True,
                             secret=True),
        },
    ),
    "edge": Shape(
        props={"listen": address, "enabled": flag, "default-class": text},
        required=frozenset({"listen"}),
        children={
            **ASKS,
            "keys": Shape(args=(text,)),
            "linger": Shape(args=(duration(0, 3600),)),
            "drain": Shape(args=(duration(0, 3600),)),
            "keep": Shape(props={"ended": duration(1), "tombstones": duration(1), "sessions": duration(1)}),
            "bounds": Shape(
                props={
                    "ask-bytes": size(4096), "ask-events": whole(16), "device-asks": whole(1),
                    "device-tombstones": whole(1), "all-bytes": size(1 << 20), "sessions": whole(1),
                    "tombstones": whole(1),
                }
            ),
            "limits": Shape(
                children={
                    "device": Shape(props={"rate": number(), "burst": number(1), "running": whole()}),
                    "tenant": Shape(props={"rate": number(), "burst": number(1), "running": whole()}),
                    "running": Shape(args=(whole(),)),
                    "links": Shape(args=(whole(1),)),
                    "arrivals": Shape(
                        props={
                            "rate": number(), "burst": number(1), "ask-part": number(0.01, 1),
                            "longest-wait": duration(0.1, 3600), "spread": number(0, 4),
                        }
                    ),
                }
            ),
            "keep-alive": Shape(
                props={"least": duration(0.05, 3600), "most": duration(0.05, 3600), "trips": number(1, 1e6),
                       "patience": number(1, 1000)}
            ),
            "websocket": Shape(
                props={"deflate": flag, "most-message": size(1024, 16 << 20), "hello-within": duration(0.1, 600)}
            ),
            "poll": Shape(props={"longest": duration(0.1, 600)}),
            "allow-origin": Shape(args=(text,), many=True),
        },
    ),
    "subset": Shape(args=(whole(1, 1_000_000),)),
    "log": Shape(
        props={"form": one_of("json", "console", "off"), "level": one_of("debug", "info", "warning", "error"),
               "flood": number(0, 1e6)}
    ),
}  # fmt: skip
KEYS = {
    "key": Shape(
        args=(ID,), props={"secret": text, "tenant": text, "not-after": moment},
        required=frozenset({"secret"}), many=True, secret=True,
    ),
    "revoke": Shape(args=(ID,), props={"below-epoch": whole(0, 10**9)}, many=True),
}  # fmt: skip


class LogConfig(msgspec.Struct, frozen=True):
    """`flood`: lines of one kind a second, the rest being counted; 0: no bound."""

    form: str = "json"
    level: str = "info"
    flood: float = 50.0


class Operators(msgspec.Struct):
    """What the file says. `places`: class name -> where it is used, for a check against the configuration."""

    path: str
    openai: OpenAIConfig | None = None
    edge: EdgeConfig | None = None
    log: LogConfig = LogConfig()
    subset: int = 0
    classes: list[tuple[str, Place]] = []
    warnings: list[Trouble] = []

    def check(self, names: Names) -> list[Trouble]:
        """Classes that the configuration doesn't have."""
        lanes = {lane.name for lane in names.lanes}
        there = ", ".join(sorted(lanes)) or "none"
        return [
            Trouble(self.path, place, f"no class is called {name!r}; there is {there}")
            for name, place in self.classes
            if name and name not in lanes
        ]


def read_keys(path: Path) -> Keyring:
    """An Unreadable names every trouble; no secret stands in one."""
    nodes = read(path)
    troubles: list[Trouble] = []
    found = fit(KEYS, nodes, str(path), troubles)
    ring = Keyring()
    for one in found.get("key", []):
        if not one.args or one.args[0] is None or one.props.get("secret") is None:
            continue
        id = one.args[0]
        if id in ring.keys:
            troubles.append(Trouble(str(path), one.node.place, f"key {id!r} stands there twice"))
            continue
        try:
            secret = decode_secret(one.props["secret"])
        except ValueError as error:
            troubles.append(Trouble(str(path), one.node.place, f"key {id!r}: secret: {error}"))
            continue
        ring.keys[id] = Key(id, secret, one.props.get("tenant") or "", one.props.get("not-after") or 0.0)
    for one in found.get("revoke", []):
        if one.args and one.args[0] is not None:
            ring.revoked[one.args[0]] = one.props.get("below-epoch", 10**9)
    if troubles:
        raise Unreadable(troubles)
    return ring


def read_operators(path: str) -> Operators:
    """The whole file; an Unreadable names every trouble in it and in the files that it names."""
    if Path(path).suffix == ".toml":
        return _read_toml(path)
    troubles: list[Trouble] = []
    found = fit(SETTINGS, read(Path(path)), path, troubles)
    out = Operators(path)
    form, forms = _server_forms(found.get("servers"))
    for one in found.get("openai", []):
        out.openai = _openai(one, out, form, forms)
    for one in found.get("edge", []):
        if one.props.get("enabled", True):
            out.edge = _edge(one, out, form, forms, troubles)
        else:
            _asks(one, out, form, forms, "")  # closed, and its classes are checked all the same; its keys aren't
    for one in found.get("log", []):
        out.log = LogConfig(**{key: value for key, value in one.props.items() if value is not None})
    for one in found.get("subset", []):
        out.subset = one.args[0] if one.args and one.args[0] else 0
    if troubles:
        raise Unreadable(sorted(troubles, key=lambda one: (one.path, one.place.line, one.place.column)))
    return out


def _server_forms(nodes: list[Values] | None) -> tuple[str, dict[str, str]]:
    if not nodes:
        return "platform", {}
    forms = {one.args[0]: one.props.get("form", "") for one in nodes[0].all("type") if one.args}
    return nodes[0].props.get("form") or "platform", forms


def _asks(one: Values, out: Operators, form: str, forms: dict[str, str], listen: str) -> OpenAIConfig:
    classes, deadlines = {}, {}
    for model in one.all("model"):
        if model.args and model.props.get("class") is not None:
            classes[model.args[0]] = model.props["class"]
            out.classes.append((model.props["class"], model.node.place))
    for klass in one.all("class"):
        if klass.args and klass.args[0] is not None:
            out.classes.append((klass.args[0], klass.node.place))
            if klass.props.get("deadline"):
                deadlines[klass.args[0]] = klass.props["deadline"]
    default = one.props.get("default-class") or ""
    out.classes.append((default, one.node.place))
    models = one.one("models")
    return OpenAIConfig(
        listen=listen,
        default_class=default,
        models=[name for name in models.args if name] if models is not None else [],
        classes=classes,
        deadline_s=deadlines,
        server_form=form,
        server_forms=forms,
    )


def _openai(one: Values, out: Operators, form: str, forms: dict[str, str]) -> OpenAIConfig | None:
    listen = one.props.get("listen")
    made = _asks(one, out, form, forms, _written(listen))
    made.enabled = one.props.get("enabled", True)
    made.default_tenant = one.props.get("default-tenant") or ""
    made.session_from_user = one.props.get("session-from-user", True)
    made.idempotency = one.props.get("idempotency", True)
    made.tenants = {key.args[0]: key.props.get("tenant") or "" for key in one.all("api-key") if key.args}
    return made


def _written(listen: tuple[str, int] | None) -> str:
    if listen is None:
        return ""
    return f"[{listen[0]}]:{listen[1]}" if ":" in listen[0] else f"{listen[0]}:{listen[1]}"


def _edge(
    one: Values, out: Operators, form: str, forms: dict[str, str], troubles: list[Trouble]
) -> EdgeConfig | None:
    keys = one.one("keys")
    ring = Keyring()
    if keys is None:
        troubles.append(Trouble(out.path, one.node.place, "edge: keys is missing: a file of keys is wanted"))
    elif keys.args and keys.args[0]:
        file = Path(out.path).parent / keys.args[0]
        try:
            ring = read_keys(file)
            if not ring.keys:
                troubles.append(Trouble(str(file), Place(1, 1), "no key is in there"))
            if os.name == "posix" and stat.S_IMODE(file.stat().st_mode) & 0o077:
                out.warnings.append(Trouble(str(file), Place(1, 1), "others than its owner may read the keys"))
        except Unreadable as error:
            troubles += error.troubles
    keep, bounds = one.of("keep"), one.of("bounds")
    lingers = {
        klass.args[0]: klass.props["linger"]
        for klass in one.all("class")
        if klass.args and klass.props.get("linger") is not None
    }
    for new, old in (("keep", "ended"), ("remember", "tombstones"), ("idle", "sessions")):
        if old in keep:
            bounds[new] = keep[old]
    limits: dict[str, float] = {}
    inner = one.one("limits")
    links = 20_000
    if inner is not None:
        for who in ("device", "tenant"):
            limits |= {f"{who}_{key}": value for key, value in inner.of(who).items()}
        if inner.one("running"):
            limits["running"] = inner.arg("running", 0)
        arrivals = inner.of("arrivals")
        names = {"rate": "arrivals", "burst": "arrivals_burst"}
        limits |= {names.get(key, key): value for key, value in arrivals.items()}
        links = inner.arg("links", links) or links
    alive = one.of("keep-alive")
    socket, poll = one.of("websocket"), one.of("poll")
    if alive.get("least", KeepAlive().least) > alive.get("most", KeepAlive().most):
        place = one.one("keep-alive").node.place  # type: ignore[union-attr]
        troubles.append(Trouble(out.path, place, "keep-alive: least is above most"))
    asks = _asks(one, out, form, forms, "")
    if troubles:
        return None
    bounds["linger"] = one.arg("linger", Bounds().linger)
    return EdgeConfig(
        listen=one.props["listen"],
        keyring=ring,
        asks=asks,
        bounds=Bounds(lingers=lingers, **bounds),
        limits=msgspec.convert(limits, Limits),
        keep_alive=KeepAlive(**alive),
        drain=one.arg("drain", 10.0),
        links=links,
        poll_most=poll.get("longest", 25.0),
        allow_origins=[origin.args[0] for origin in one.all("allow-origin") if origin.args],
        **socket,
    )


def _read_toml(path: str) -> Operators:
    """The form of 0.3, read for one release more."""
    try:
        table = tomllib.loads(Path(path).read_text())
        made = msgspec.convert(table, OpenAIConfig)
    except OSError as error:
        raise Unreadable([Trouble(path, Place(1, 1), error.strerror or "can't be read")]) from None
    except (ValueError, msgspec.ValidationError) as error:
        found = re.search(r"line (\d+), column (\d+)", str(error))
        place = Place(int(found[1]), int(found[2])) if found else Place(1, 1)
        raise Unreadable([Trouble(path, place, " ".join(str(error).split()))]) from None
    for form in (made.server_form, *made.server_forms.values()):
        if form not in ("openai", "platform"):
            raise Unreadable([Trouble(path, Place(1, 1), f"a server's form is openai or platform, not {form!r}")])
    out = Operators(path, openai=made)
    out.classes = [(name, Place(1, 1)) for name in (*made.classes.values(), *made.deadline_s, made.default_class)]
    out.warnings = [Trouble(path, Place(1, 1), "the TOML form goes with the next release; write it as KDL")]
    return out
