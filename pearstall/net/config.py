"""The configuration of one router, decoded with msgspec. A bad one is a ConfigError of one line."""

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
    from pearstall.config.operators import Operators
    from pearstall.edge.settings import EdgeConfig

T = TypeVar("T")
PASSING_ERRORS = frozenset(
    {errno.EIO, errno.EINTR, errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ESTALE, errno.ETIMEDOUT}
)
Positive = Annotated[float, msgspec.Meta(gt=0)]


class ConfigError(Exception):
    """One line for people. `passing`: the file could not be read just now, and may be in a moment."""

    def __init__(self, text: str, passing: bool = False) -> None:
        super().__init__(text)
        self.passing = passing


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
    idempotency: bool = True  # an Idempotency-Key is answered once, through the device sessions
    server_form: str = "platform"
    server_forms: dict[str, str] = {}  # host type -> form, where it is another


class Raw(msgspec.Struct):
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    known: msgspec.Raw = msgspec.Raw(b"null")  # of another form: read entry by entry
    settings: msgspec.Raw = msgspec.Raw(b"null")


class Source(msgspec.Struct, frozen=True):
    """Where a configuration was read, for reading it again."""

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
    operators: Operators | None = None  # where a file of the operators is named
    subset: int = 0  # model servers that this router uses; 0: all
    inventory: Path | None = None
    said: str = ""  # where its file says that discovery is; the environment may have said otherwise
    source: Source = msgspec.field(default_factory=lambda: Source())

    @property
    def edge(self) -> EdgeConfig | None:
        return self.operators.edge if self.operators is not None else None


def address(text: str, what: str) -> tuple[str, int]:
    host, colon, port = text.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigError(f"{what}: an address and a port are wanted, not {text!r}")
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
        settings = replace(settings, subscribe=True)  # on sockets no list comes unasked
    if inventory:
        settings = replace(settings, subscribe=False)
    try:
        seed = int(raw.seed, 16) if isinstance(raw.seed, str) else raw.seed
    except ValueError:
        raise ConfigError(f"seed: a number is wanted, not {raw.seed!r}") from None
    known = read_host_list(bytes(raw.known)) if bytes(raw.known) != b"null" else HostList()
    own = _operators(operators, names) if operators else None
    second = own.openai if own is not None and own.openai is not None and own.openai.enabled else None
    if not listen and second is None and (own is None or own.edge is None):
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
        operators=own,
        subset=own.subset if own is not None else 0,
        inventory=Path(inventory) if inventory else None,
        said=raw.discovery,
        source=Source(dict(env), operators, inventory, config),
    )


def _check_names(field: str, items: list[Named]) -> None:
    """Under a name that two have, requests would go by the last one's settings."""
    seen: set[str] = set()
    for number, item in enumerate(items):
        if item.name and item.name in seen:
            raise ConfigError(f"settings.{field}[{number}].name: {item.name!r} is there twice")
        seen.add(item.name)


def _without_nulls(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _without_nulls(part) for key, part in value.items() if part is not None}
    if isinstance(value, list):
        return [_without_nulls(part) for part in value]
    return value


def _raw(text: bytes) -> Raw:
    """A key whose value is null counts as absent."""
    parts = _decode(text, dict[str, msgspec.Raw], "configuration")
    known = parts.pop("known", msgspec.Raw(b"null"))
    whole = _without_nulls({key: _decode(bytes(part), object, key) for key, part in parts.items()})
    raw = _decode(msgspec.json.encode(whole), Raw, "configuration")
    raw.known = known
    return raw


def read_again(held: Config) -> Config:
    """The same files once more. The environment is as old as the process: where the file names another
    discovery than before, that goes before what the environment said, now and from then on."""
    source = held.source
    found = read_config(source.env, source.operators, source.inventory, source.config)
    if found.said != held.said:
        env = {key: value for key, value in source.env.items() if key != "EDGE_DISCOVERY"}
        found = read_config(env, source.operators, source.inventory, source.config)
    return found


def _operators(path: str, names: Names) -> Operators:
    try:
        from pearstall.config.kdl import Unreadable
        from pearstall.config.operators import read_operators
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path}: {error.name} is not installed: see requirements-edge.txt") from None
    try:
        found = read_operators(path)
        troubles = found.check(names)
        if troubles:
            raise Unreadable(troubles)
    except Unreadable as error:
        more = len(error.troubles) - 1
        raise ConfigError(
            f"{error.troubles[0]}" + (f" (and {more} more: `pearstall check` lists them)" if more else "")
        ) from None
    return found


def _read(path: str, what: str) -> bytes:
    if not path:
        raise ConfigError(f"{what}: no file is named")
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}", error.errno in PASSING_ERRORS) from None


def _decode(data: bytes, kind: type[T], what: str) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{what}: {_one_line(error)}") from None


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
