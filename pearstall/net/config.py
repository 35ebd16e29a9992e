"""The configuration of one router, decoded with msgspec. A bad one is a ConfigError of one line."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

from pearstall.interface import Settings
from pearstall.net.inventory import HostList, read_host_list
from pearstall.settings import settings_from_wire

T = TypeVar("T")
Positive = Annotated[float, msgspec.Meta(gt=0)]


class ConfigError(Exception):
    """One line for people."""


class Named(msgspec.Struct):
    name: str = ""


class LinkLimits(msgspec.Struct, rename="camel"):
    conn_idle: Positive = 30_000_000
    connect_timeout: Positive = 1_000_000


class Family(msgspec.Struct):
    resume: bool = False  # clients ask for the rest of a stream that broke


class Names(msgspec.Struct):
    """What the wire calls the classes, tenants, zones and kinds, in the order that gives them numbers."""

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
    """The second front, from a file of the operators' own. `server_form`: openai or platform."""

    listen: str
    enabled: bool = True
    default_class: str = ""
    default_tenant: str = ""
    session_from_user: bool = True  # where no header names the session, the body's `user` does
    models: list[str] = []  # what /v1/models lists; empty: the models that `classes` names
    classes: dict[str, str] = {}  # model -> class
    deadline_s: dict[str, Positive] = {}  # class -> wait for the first token; else the class's give-up time
    tenants: dict[str, str] = {}  # API key -> tenant
    server_form: str = "platform"
    server_forms: dict[str, str] = {}  # host type -> form, where it is another


class Raw(msgspec.Struct):
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    known: msgspec.Raw = msgspec.Raw(b"null")
    settings: msgspec.Raw = msgspec.Raw(b"null")


class Source(msgspec.Struct, frozen=True):
    """Where a configuration was read, for reading it again."""

    env: dict[str, str] = {}
    openai: str = ""
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
    inventory: Path | None = None
    said: str = ""  # where its file says that discovery is; the environment may have said otherwise
    source: Source = msgspec.field(default_factory=lambda: Source())


def address(text: str, what: str) -> tuple[str, int]:
    host, colon, port = text.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigError(f"{what}: an address and a port are wanted, not {text!r}")
    return host, int(port)


def read_config(
    env: Mapping[str, str] = os.environ, openai: str = "", inventory: str = "", config: str = ""
) -> Config:
    raw = _decode(_read(config or env.get("EDGE_CONFIG", ""), "EDGE_CONFIG"), Raw, "configuration")
    try:
        settings = settings_from_wire(bytes(raw.settings))
    except ValueError as error:
        raise ConfigError(str(error)) from None
    names = _decode(bytes(raw.settings), Names, "settings")
    listen = env.get("EDGE_LISTEN") or raw.listen
    discovery = env.get("EDGE_DISCOVERY") or raw.discovery
    if discovery and not settings.subscribe:
        settings = replace(settings, subscribe=True)  # on sockets no list comes unasked
    try:
        seed = int(raw.seed, 16) if isinstance(raw.seed, str) else raw.seed
    except ValueError:
        raise ConfigError(f"seed: a number is wanted, not {raw.seed!r}") from None
    known = read_host_list(bytes(raw.known)) if bytes(raw.known) != b"null" else HostList()
    second = read_openai(openai, names) if openai else None
    second = second if second and second.enabled else None
    if not listen and second is None:
        raise ConfigError("listen: missing")
    if not discovery and not inventory:
        raise ConfigError("discovery: missing, and no inventory is named")
    return Config(
        name=env.get("EDGE_NAME") or raw.name,
        listen=address(listen, "listen") if listen else None,
        discovery=address(discovery, "discovery") if discovery and not inventory else None,
        seed=seed,
        limits=raw.limits,
        known=known if isinstance(known, HostList) else HostList(),
        settings=settings,
        names=names,
        openai=second,
        openai_listen=address(second.listen, "openai listen") if second else None,
        inventory=Path(inventory) if inventory else None,
        said=raw.discovery,
        source=Source(dict(env), openai, inventory, config),
    )


def read_again(held: Config) -> Config:
    """The same files once more. The environment is as old as the process: where the file names another
    discovery than before, that goes before what the environment said, now and from then on."""
    source = held.source
    found = read_config(source.env, source.openai, source.inventory, source.config)
    if found.said != held.said:
        env = {key: value for key, value in source.env.items() if key != "EDGE_DISCOVERY"}
        found = read_config(env, source.openai, source.inventory, source.config)
    return found


def read_openai(path: str, names: Names) -> OpenAIConfig:
    try:
        table: dict[str, Any] = tomllib.loads(_read(path, "openai").decode())
        config = msgspec.convert(table, OpenAIConfig)
    except (ValueError, msgspec.ValidationError) as error:
        raise ConfigError(f"{path}: {_one_line(error)}") from None
    lanes = {lane.name for lane in names.lanes}
    for name in [*config.classes.values(), *config.deadline_s, config.default_class]:
        if name and name not in lanes:
            raise ConfigError(f"{path}: no class is named {name!r}")
    for form in (config.server_form, *config.server_forms.values()):
        if form not in ("openai", "platform"):
            raise ConfigError(f"{path}: a server's form is openai or platform, not {form!r}")
    return config


def _read(path: str, what: str) -> bytes:
    if not path:
        raise ConfigError(f"{what}: no file is named")
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None


def _decode(data: bytes, kind: type[T], what: str) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{what}: {_one_line(error)}") from None


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
