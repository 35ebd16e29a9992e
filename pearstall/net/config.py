"""The configuration of one router, decoded with msgspec. An invalid one raises a ConfigError with a one-line text."""

from __future__ import annotations

import errno
import os
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import msgspec

from pearstall.interface import Settings
from pearstall.net.inventory import HostList, read_host_list
from pearstall.settings import settings_from_wire

if TYPE_CHECKING:  # the platform's `run` has no such file, and imports none of this
    from pearstall.config.operators import OperatorSettings
    from pearstall.edge.settings import EdgeConfig

T = TypeVar("T")
TRANSIENT_ERRORS = frozenset(
    {errno.EIO, errno.EINTR, errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ESTALE, errno.ETIMEDOUT}
)
Positive = Annotated[float, msgspec.Meta(gt=0)]


class ConfigError(Exception):
    """Its text is one line for operators. `transient`: reading the file may succeed if tried again."""

    def __init__(self, text: str, transient: bool = False) -> None:
        super().__init__(text)
        self.transient = transient


class Named(msgspec.Struct):
    name: str = ""


class LinkLimits(msgspec.Struct, rename="camel"):
    conn_idle: Positive = 30_000_000
    connect_timeout: Positive = 1_000_000


class Family(msgspec.Struct):
    resume: bool = False  # clients request the rest of a stream that broke


class Names(msgspec.Struct):
    """The configuration's names of classes, tenants, zones and kinds, in the order of their numbers."""

    lanes: list[Named] = []
    accounts: list[Named] = []
    dcs: list[str] = []
    models: list[str] = []
    limits: LinkLimits = msgspec.field(default_factory=LinkLimits)
    family: Family = msgspec.field(default_factory=Family, name="familyInfo")


class Limits(msgspec.Struct):
    cores: Positive = 1.0
    memory_mb: Positive = 192
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class OpenAIConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The OpenAI-style front, from the operators' file. `server_form`: openai or platform."""

    listen: str
    enabled: bool = True
    default_class: str = ""
    default_tenant: str = ""
    session_from_user: bool = True  # without a session header, the body's `user` identifies the session
    models: list[str] = []  # what /v1/models lists; empty: the models that `classes` names
    classes: dict[str, str] = {}  # model -> class
    deadline_s: dict[str, Positive] = {}  # class -> wait for the first token; default: the class's give_up
    tenants: dict[str, str] = {}  # API key -> tenant
    idempotency: bool = True  # requests with one Idempotency-Key run once, through the device sessions
    server_form: str = "platform"
    server_forms: dict[str, str] = {}  # host type -> form, where it differs from server_form


class RawConfig(msgspec.Struct):
    """The configuration file, before it is checked."""

    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    known: msgspec.Raw = msgspec.Raw(b"null")  # decoded entry by entry
    settings: msgspec.Raw = msgspec.Raw(b"null")


class Source(msgspec.Struct, frozen=True):
    """What a configuration was read from, for reloads."""

    env: dict[str, str] = {}
    operators: str = ""
    inventory: str = ""
    config: str = ""


class Config(msgspec.Struct):
    name: str
    listen: tuple[str, int] | None
    discovery: tuple[str, int] | None
    seed: int
    limits: Limits
    known: HostList
    settings: Settings
    names: Names
    openai: OpenAIConfig | None = None
    openai_listen: tuple[str, int] | None = None
    operators: OperatorSettings | None = None  # if an operators' file is given
    subset: int = 0  # model servers that this router uses; 0: all
    inventory: Path | None = None
    file_discovery: str = ""  # discovery's address in the file; the environment may override it
    source: Source = msgspec.field(default_factory=lambda: Source())

    @property
    def edge(self) -> EdgeConfig | None:
        return self.operators.edge if self.operators is not None else None


def address(text: str, what: str) -> tuple[str, int]:
    host, colon, port = text.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigError(f"{what}: expected address:port, got {text!r}")
    return host, int(port)


def read_config(
    env: Mapping[str, str] = os.environ, operators: str = "", inventory: str = "", config: str = ""
) -> Config:
    raw = _raw(_read(config or env.get("EDGE_CONFIG", ""), "EDGE_CONFIG"))
    try:
        settings = settings_from_wire(bytes(raw.settings))
    except ValueError as error:
        raise ConfigError(str(error)) from None
    names = _decode(bytes(raw.settings), Names, "settings")
    _check_names("lanes", names.lanes)
    _check_names("accounts", names.accounts)
    listen = env.get("EDGE_LISTEN") or raw.listen
    discovery = env.get("EDGE_DISCOVERY") or raw.discovery
    if discovery and not settings.subscribe:
        settings = replace(settings, subscribe=True)  # discovery sends no list that was not requested
    if inventory:
        settings = replace(settings, subscribe=False)
    try:
        seed = int(raw.seed, 16) if isinstance(raw.seed, str) else raw.seed
    except ValueError:
        raise ConfigError(f"seed: expected a hexadecimal number, got {raw.seed!r}") from None
    known = read_host_list(bytes(raw.known)) if bytes(raw.known) != b"null" else HostList()
    operators_config = _operators(operators, names) if operators else None
    openai = (
        operators_config.openai
        if operators_config is not None and operators_config.openai is not None and operators_config.openai.enabled
        else None
    )
    if not listen and openai is None and (operators_config is None or operators_config.edge is None):
        raise ConfigError("listen: missing")
    if not discovery and not inventory:
        raise ConfigError("discovery: missing, and no inventory is given")
    return Config(
        name=env.get("EDGE_NAME") or raw.name,
        listen=address(listen, "listen") if listen else None,
        discovery=address(discovery, "discovery") if discovery and not inventory else None,
        seed=seed,
        limits=raw.limits,
        known=known if isinstance(known, HostList) else HostList(),
        settings=settings,
        names=names,
        openai=openai,
        openai_listen=address(openai.listen, "openai listen") if openai else None,
        operators=operators_config,
        subset=operators_config.subset if operators_config is not None else 0,
        inventory=Path(inventory) if inventory else None,
        file_discovery=raw.discovery,
        source=Source(dict(env), operators, inventory, config),
    )


def _check_names(field: str, items: list[Named]) -> None:
    """Rejects duplicate names: requests of the first would get the settings of the last."""
    seen: set[str] = set()
    for number, item in enumerate(items):
        if item.name and item.name in seen:
            raise ConfigError(f"settings.{field}[{number}].name: {item.name!r} is not unique")
        seen.add(item.name)


def _without_nulls(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _without_nulls(part) for key, part in value.items() if part is not None}
    if isinstance(value, list):
        return [_without_nulls(part) for part in value]
    return value


def _raw(text: bytes) -> RawConfig:
    """Decodes the configuration file. A key whose value is null counts as absent."""
    parts = _decode(text, dict[str, msgspec.Raw], "configuration")
    known = parts.pop("known", msgspec.Raw(b"null"))
    present = _without_nulls({key: _decode(bytes(part), object, key) for key, part in parts.items()})
    raw = _decode(msgspec.json.encode(present), RawConfig, "configuration")
    raw.known = known
    return raw


def reread_config(current: Config) -> Config:
    """Reads the same files again. The environment is that of the process's start: if the file names another discovery
    than before, the file takes precedence over the environment, now and in later reloads."""
    source = current.source
    found = read_config(source.env, source.operators, source.inventory, source.config)
    if found.file_discovery != current.file_discovery:
        env = {key: value for key, value in source.env.items() if key != "EDGE_DISCOVERY"}
        found = read_config(env, source.operators, source.inventory, source.config)
    return found


def _operators(path: str, names: Names) -> OperatorSettings:
    try:
        from pearstall.config.kdl import DocumentError
        from pearstall.config.operators import read_operators
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path}: {error.name} is not installed: see requirements-edge.txt") from None
    try:
        found = read_operators(path)
        troubles = found.check(names)
        if troubles:
            raise DocumentError(troubles)
    except DocumentError as error:
        more = len(error.diagnostics) - 1
        raise ConfigError(
            f"{error.diagnostics[0]}" + (f" (and {more} more: `pearstall check` lists them)" if more else "")
        ) from None
    return found


def _read(path: str, what: str) -> bytes:
    if not path:
        raise ConfigError(f"{what}: no file is given")
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}", error.errno in TRANSIENT_ERRORS) from None


def _decode(data: bytes, kind: type[T], what: str) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{what}: {_one_line(error)}") from None


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
