"""Reads the operators' settings file (KDL): OpenAI-style front, edge with its limits and keys, and logging."""

from __future__ import annotations

import os
import re
import stat
import tomllib
from pathlib import Path

import msgspec

from pearstall.config.kdl import Diagnostic, DocumentError, Place, read
from pearstall.config.schema import (
    NodeValues,
    Shape,
    address,
    duration,
    flag,
    matching,
    number,
    one_of,
    size,
    text,
    timestamp,
    validate,
    whole,
)
from pearstall.edge.keepalive import KeepAlive
from pearstall.edge.keeping import Bounds
from pearstall.edge.limits import Limits
from pearstall.edge.settings import EdgeConfig
from pearstall.edge.tokens import NAME, Key, Keyring, decode_secret
from pearstall.net.config import Names, OpenAIConfig

FORM = one_of("platform", "openai")
KEY_ID = matching(NAME, "1 to 64 letters, digits, - or _")
CLASS_SHAPES = {
    "model": Shape(args=(text,), props={"class": text}, required=frozenset({"class"}), many=True),
    "class": Shape(args=(text,), props={"deadline": duration(0.001, 3600), "linger": duration(0, 3600)}, many=True),
}
SETTINGS_SHAPES = {
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
            **CLASS_SHAPES,
            "models": Shape(more=text),
            "api-key": Shape(args=(text,), props={"tenant": text}, required=frozenset({"tenant"}), many=True,
                             secret=True),
        },
    ),
    "edge": Shape(
        props={"listen": address, "enabled": flag, "default-class": text},
        required=frozenset({"listen"}),
        children={
            **CLASS_SHAPES,
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
KEY_FILE_SHAPES = {
    "key": Shape(
        args=(KEY_ID,), props={"secret": text, "tenant": text, "not-after": timestamp},
        required=frozenset({"secret"}), many=True, secret=True,
    ),
    "revoke": Shape(args=(KEY_ID,), props={"below-epoch": whole(0, 10**9)}, many=True),
}  # fmt: skip


class LogConfig(msgspec.Struct, frozen=True):
    """Logging settings.

    `flood` limits the lines per second of one event kind; further lines are only counted. 0 sets no limit.
    """

    form: str = "json"
    level: str = "info"
    flood: float = 50.0


class OperatorSettings(msgspec.Struct):
    """The contents of the settings file.

    `classes` lists each class that the file names, with its position, for `check`.
    """

    path: str
    openai: OpenAIConfig | None = None
    edge: EdgeConfig | None = None
    log: LogConfig = LogConfig()
    subset: int = 0
    classes: list[tuple[str, Place]] = []
    warnings: list[Diagnostic] = []

    def check(self, names: Names) -> list[Diagnostic]:
        """Reports the classes that the configuration does not define."""
        defined = {lane.name for lane in names.lanes}
        listed = ", ".join(sorted(defined)) or "none"
        return [
            Diagnostic(self.path, place, f"unknown class {name!r}; defined classes: {listed}")
            for name, place in self.classes
            if name and name not in defined
        ]


def read_keys(path: Path) -> Keyring:
    """The keys of a key file. Raises DocumentError with every problem; its messages never show a secret."""
    document = read(path)
    diagnostics: list[Diagnostic] = []
    nodes_by_name = validate(KEY_FILE_SHAPES, document, str(path), diagnostics)
    ring = Keyring()
    for entry in nodes_by_name.get("key", []):
        if not entry.args or entry.args[0] is None or entry.props.get("secret") is None:
            continue
        key_id = entry.args[0]
        if key_id in ring.keys:
            diagnostics.append(Diagnostic(str(path), entry.node.place, f"key {key_id!r} is defined twice"))
            continue
        try:
            secret = decode_secret(entry.props["secret"])
        except ValueError as error:
            diagnostics.append(Diagnostic(str(path), entry.node.place, f"key {key_id!r}: secret: {error}"))
            continue
        ring.keys[key_id] = Key(key_id, secret, entry.props.get("tenant") or "", entry.props.get("not-after") or 0.0)
    for entry in nodes_by_name.get("revoke", []):
        if entry.args and entry.args[0] is not None:
            ring.revoked[entry.args[0]] = entry.props.get("below-epoch", 10**9)
    if diagnostics:
        raise DocumentError(diagnostics)
    return ring


def read_operators(path: str) -> OperatorSettings:
    """The settings of a file. Raises DocumentError with every problem in it and in the key file that it names."""
    if Path(path).suffix == ".toml":
        return _read_toml(path)
    diagnostics: list[Diagnostic] = []
    nodes_by_name = validate(SETTINGS_SHAPES, read(Path(path)), path, diagnostics)
    settings = OperatorSettings(path)
    form, forms = _server_forms(nodes_by_name.get("servers"))
    for entry in nodes_by_name.get("openai", []):
        settings.openai = _openai(entry, settings, form, forms)
    for entry in nodes_by_name.get("edge", []):
        if entry.props.get("enabled", True):
            settings.edge = _edge(entry, settings, form, forms, diagnostics)
        else:
            # The classes of a disabled edge are checked; its keys are not read.
            _class_settings(entry, settings, form, forms, "")
    for entry in nodes_by_name.get("log", []):
        settings.log = LogConfig(**{key: value for key, value in entry.props.items() if value is not None})
    for entry in nodes_by_name.get("subset", []):
        settings.subset = entry.args[0] if entry.args and entry.args[0] else 0
    if diagnostics:
        raise DocumentError(
            sorted(diagnostics, key=lambda problem: (problem.path, problem.place.line, problem.place.column))
        )
    return settings


def _server_forms(nodes: list[NodeValues] | None) -> tuple[str, dict[str, str]]:
    """The default form of model servers, and the form of each type of server."""
    if not nodes:
        return "platform", {}
    forms = {
        server_type.args[0]: server_type.props.get("form", "")
        for server_type in nodes[0].children_named("type")
        if server_type.args
    }
    return nodes[0].props.get("form") or "platform", forms


def _class_settings(
    front: NodeValues, settings: OperatorSettings, form: str, forms: dict[str, str], listen: str
) -> OpenAIConfig:
    """The settings that both fronts share. Records each class that they name in `settings.classes`."""
    classes, deadlines = {}, {}
    for model in front.children_named("model"):
        if model.args and model.props.get("class") is not None:
            classes[model.args[0]] = model.props["class"]
            settings.classes.append((model.props["class"], model.node.place))
    for klass in front.children_named("class"):
        if klass.args and klass.args[0] is not None:
            settings.classes.append((klass.args[0], klass.node.place))
            if klass.props.get("deadline"):
                deadlines[klass.args[0]] = klass.props["deadline"]
    default = front.props.get("default-class") or ""
    settings.classes.append((default, front.node.place))
    models = front.child("models")
    return OpenAIConfig(
        listen=listen,
        default_class=default,
        models=[name for name in models.args if name] if models is not None else [],
        classes=classes,
        deadline_s=deadlines,
        server_form=form,
        server_forms=forms,
    )


def _openai(front: NodeValues, settings: OperatorSettings, form: str, forms: dict[str, str]) -> OpenAIConfig | None:
    listen = front.props.get("listen")
    config = _class_settings(front, settings, form, forms, _format_address(listen))
    config.enabled = front.props.get("enabled", True)
    config.default_tenant = front.props.get("default-tenant") or ""
    config.session_from_user = front.props.get("session-from-user", True)
    config.idempotency = front.props.get("idempotency", True)
    config.tenants = {
        key.args[0]: key.props.get("tenant") or "" for key in front.children_named("api-key") if key.args
    }
    return config


def _format_address(listen: tuple[str, int] | None) -> str:
    if listen is None:
        return ""
    return f"[{listen[0]}]:{listen[1]}" if ":" in listen[0] else f"{listen[0]}:{listen[1]}"


def _edge(
    front: NodeValues, settings: OperatorSettings, form: str, forms: dict[str, str], diagnostics: list[Diagnostic]
) -> EdgeConfig | None:
    keys = front.child("keys")
    ring = Keyring()
    if keys is None:
        diagnostics.append(
            Diagnostic(settings.path, front.node.place, "edge: keys is missing: expected the path of a key file")
        )
    elif keys.args and keys.args[0]:
        file = Path(settings.path).parent / keys.args[0]
        try:
            ring = read_keys(file)
            if not ring.keys:
                diagnostics.append(Diagnostic(str(file), Place(1, 1), "the file holds no key"))
            if os.name == "posix" and stat.S_IMODE(file.stat().st_mode) & 0o077:
                settings.warnings.append(
                    Diagnostic(str(file), Place(1, 1), "users other than its owner may read the keys")
                )
        except DocumentError as error:
            diagnostics += error.diagnostics
    keep, bounds = front.child_props("keep"), front.child_props("bounds")
    lingers = {
        klass.args[0]: klass.props["linger"]
        for klass in front.children_named("class")
        if klass.args and klass.props.get("linger") is not None
    }
    for bound, prop in (("keep", "ended"), ("remember", "tombstones"), ("idle", "sessions")):
        if prop in keep:
            bounds[bound] = keep[prop]
    limits: dict[str, float] = {}
    limits_node = front.child("limits")
    links = 20_000
    if limits_node is not None:
        for scope in ("device", "tenant"):
            limits |= {f"{scope}_{key}": value for key, value in limits_node.child_props(scope).items()}
        if limits_node.child("running"):
            limits["running"] = limits_node.child_arg("running", 0)
        arrivals = limits_node.child_props("arrivals")
        field_names = {"rate": "arrivals", "burst": "arrivals_burst"}
        limits |= {field_names.get(key, key): value for key, value in arrivals.items()}
        links = limits_node.child_arg("links", links) or links
    keep_alive = front.child_props("keep-alive")
    websocket, poll = front.child_props("websocket"), front.child_props("poll")
    if keep_alive.get("least", KeepAlive().least) > keep_alive.get("most", KeepAlive().most):
        place = front.child("keep-alive").node.place  # type: ignore[union-attr]
        diagnostics.append(Diagnostic(settings.path, place, "keep-alive: least exceeds most"))
    class_settings = _class_settings(front, settings, form, forms, "")
    if diagnostics:
        return None
    bounds["linger"] = front.child_arg("linger", Bounds().linger)
    return EdgeConfig(
        listen=front.props["listen"],
        keyring=ring,
        asks=class_settings,
        bounds=Bounds(lingers=lingers, **bounds),
        limits=msgspec.convert(limits, Limits),
        keep_alive=KeepAlive(**keep_alive),
        drain=front.child_arg("drain", 10.0),
        links=links,
        poll_most=poll.get("longest", 25.0),
        allow_origins=[origin.args[0] for origin in front.children_named("allow-origin") if origin.args],
        **websocket,
    )


def _read_toml(path: str) -> OperatorSettings:
    """Reads the TOML form of release 0.3, which this release still supports."""
    try:
        table = tomllib.loads(Path(path).read_text())
        parsed = msgspec.convert(table, OpenAIConfig)
    except OSError as error:
        raise DocumentError([Diagnostic(path, Place(1, 1), error.strerror or "cannot be read")]) from None
    except (ValueError, msgspec.ValidationError) as error:
        match = re.search(r"line (\d+), column (\d+)", str(error))
        place = Place(int(match[1]), int(match[2])) if match else Place(1, 1)
        raise DocumentError([Diagnostic(path, place, " ".join(str(error).split()))]) from None
    for form in (parsed.server_form, *parsed.server_forms.values()):
        if form not in ("openai", "platform"):
            raise DocumentError(
                [Diagnostic(path, Place(1, 1), f"expected openai or platform as the form of a server, got {form!r}")]
            )
    settings = OperatorSettings(path, openai=parsed)
    settings.classes = [
        (name, Place(1, 1)) for name in (*parsed.classes.values(), *parsed.deadline_s, parsed.default_class)
    ]
    settings.warnings = [
        Diagnostic(path, Place(1, 1), "the TOML form will be removed in the next release; convert the file to KDL")
    ]
    return settings
