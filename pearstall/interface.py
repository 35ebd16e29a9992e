"""What a gateway and the router say to each other: settings, events and actions.

All times are integer microseconds of one clock that only moves forward. Ids are opaque numbers. A gateway
makes one `Router(settings, seed)`, passes every event with the clock to `Router.handle(now, event)` and
carries out the returned actions in their order. Indexes (class, tenant, zone) count from 0.

A gateway may leave out what it doesn't know: work hints, weights, load reports, probe results and peer
messages move no decision, as this gateway's own outcomes tell more. Drains act at once, within any grace.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import MISSING, dataclass, field, fields
from enum import IntEnum
from typing import Any


class Effect(IntEnum):
    PURE = 0  # may be repeated
    TOKEN = 1  # a repeat is dropped inside its group, within its window
    SIDE_EFFECT = 2  # must not run twice


class Scope(IntEnum):
    """Which replicas drop the repeats of a token request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class State(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    DELTA = 0  # the entries that changed
    FULL = 1  # every replica; who is absent is gone
    CACHED = 2  # the whole list as last held, perhaps out of date
    FAILED = 3  # a call or the subscription failed; the list held stays


class Result(IntEnum):
    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.MOOT})


@dataclass(slots=True, frozen=True)
class RequestClass:
    aim: int  # first token wanted within this
    give_up: int  # what a client waits in all its tries
    worth: float = 1.0
    late_worth: float = 0.0  # part of the worth paid between aim and give-up
    effect: Effect = Effect.PURE
    scope: Scope = Scope.ALL
    window: int = 0  # how long a token is remembered
    streamed: bool = True
    aim_per_1000_tokens: float = 0.0  # added to the aim for every 1,000 prompt tokens
    token_aim: float = 0.0  # wanted gap between tokens; 0: none


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    zones: int = 1
    zone: int = 0  # this gateway's own
    gateways: int = 1
    gateway: int = -1  # this one's own number among them; -1: not told
    tenant_shares: tuple[float, ...] = ()
    over_share_worth: float = 1.0
    quota_rate: float = 0.0  # requests a second that all tenants are due, at all gateways together; 0: not told
    tick: int = 1000  # events come no finer than this
    max_attempts: int = 3
    second_copies: bool = False  # two attempts of one request may be out at once
    may_cancel: bool = False
    subscribe: bool = False  # list changes come only after Subscribe
    pushed: bool = False  # to an agent of the gateway's own, which is asked: what that one has counts as told
    must_ask_in: int = 10_000_000
    connect_timeout: int = 250_000  # a connect that has not come up by then has failed
    max_retry_after: int = 0  # 0: clients take no advice
    cold_time: int = 0  # a started replica is warm after this
    cold_share: float = 1.0  # and begins at this part of its capacity
    tip_multiple: float = 1.0  # a cold replica sent this many times its capacity for `tip_time` falls over
    tip_time: int = 2_000_000
    cross_zone_price: float = 0.0

    @staticmethod
    def from_mapping(raw: Mapping[str, Any]) -> Settings:
        """From plain values: unknown keys are skipped, a bad one is a ValueError that names it."""
        if not isinstance(raw, Mapping):
            raise ValueError("settings: a mapping is wanted")
        rows = raw.get("classes")
        if not isinstance(rows, Sequence) or isinstance(rows, str) or not rows:
            raise ValueError("classes: at least one is wanted")
        values = _read(Settings, raw, "")
        values["classes"] = tuple(
            RequestClass(**_read(RequestClass, row, f"classes[{n}].")) for n, row in enumerate(rows)
        )
        settings = Settings(**values)
        if settings.zone >= settings.zones:
            raise ValueError("zone: not below zones")
        if settings.cold_share > 1:
            raise ValueError("cold_share: above 1")
        return settings


AT_LEAST_ONE = {"give_up", "zones", "gateways", "tick", "max_attempts", "must_ask_in", "tip_time"}
ABOVE_ZERO = {"cold_share", "tip_multiple"}


def _read(kind: type, raw: Any, path: str) -> dict[str, Any]:
    if not isinstance(raw, Mapping):
        raise ValueError(f"{path.rstrip('.')}: a mapping is wanted")
    values: dict[str, Any] = {}
    for wanted in fields(kind):
        key = wanted.name
        if key == "classes":
            continue
        if key in raw:
            values[key] = _value(path + key, key, str(wanted.type), raw[key])
        elif wanted.default is MISSING:
            raise ValueError(f"{path}{key}: missing")
    return values


def _value(path: str, key: str, kind: str, value: Any) -> Any:
    if kind == "bool":
        if not isinstance(value, bool):
            raise ValueError(f"{path}: true or false is wanted, not {value!r}")
        return value
    if kind.startswith("tuple"):
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise ValueError(f"{path}: a list is wanted, not {value!r}")
        return tuple(_number(path, item, 0) for item in value)
    if kind in ("Effect", "Scope"):
        members = list(Effect) if kind == "Effect" else list(Scope)
        names: dict[str, IntEnum] = {item.name.lower(): item for item in members}
        if not isinstance(value, str) or value not in names:
            raise ValueError(f"{path}: one of {', '.join(names)} is wanted, not {value!r}")
        return names[value]
    low = 1 if key in AT_LEAST_ONE else 0
    if key == "aim" and value == 0 and not isinstance(value, bool):
        value = 1  # what is wanted at once
    number = _number(path, value, low)
    if key in ABOVE_ZERO and number <= 0:
        raise ValueError(f"{path}: above 0 is wanted, not {value!r}")
    if kind == "int" and number != int(number):
        raise ValueError(f"{path}: a whole number is wanted, not {value!r}")
    return int(number) if kind == "int" else number


def _number(path: str, value: Any, low: float) -> float:
    bad = isinstance(value, bool) or not isinstance(value, int | float)
    if bad or not low <= value < 1e15:  # NaN and infinities fail this too
        raise ValueError(f"{path}: a number from {low} on is wanted, not {value!r}")
    return float(value)


# -- events ------------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Request:
    """A client's request. The gateway owes it one final answer by `deadline`."""

    id: int
    class_index: int
    deadline: int
    prompt_tokens: float
    session: int = 0  # 0: none
    prefix: int = 0  # the beginning it shares with other sessions; 0: none
    prefix_tokens: float = 0.0
    tenant: int = 0
    work_hint: int = 0  # expected work; 0: not told
    repeated: bool = False  # its client asked before, and got no answer; only where clients mark this


@dataclass(slots=True)
class FirstToken:
    request: int
    attempt: int
    replica: int
    took: int


@dataclass(slots=True)
class Outcome:
    """How an attempt ended. `done`: its request is answered, by this or before."""

    request: int
    attempt: int
    replica: int
    result: int
    done: bool
    took: int
    kept_tokens: int = 0  # prompt tokens the replica still had
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class ClientGone:
    request: int


@dataclass(slots=True)
class Timer:
    tag: int


@dataclass(slots=True)
class Replica:
    """One entry of a list."""

    id: int
    zone: int
    cell: int
    state: int
    weight: float = 1.0
    started: int = 0  # 0: long ago
    kind: int = 0  # machines of one kind are alike


@dataclass(slots=True)
class ReplicaList:
    kind: int
    replicas: Sequence[Replica] = ()


@dataclass(slots=True)
class ProbeResult:
    replica: int
    result: int
    took: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    sender: int
    body: bytes


Event = Request | FirstToken | Outcome | ClientGone | Timer | ReplicaList | ProbeResult | PeerMessage


# -- actions -----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start the next attempt of a request (attempts are numbered 0, 1, 2 ... as they are sent)."""

    request: int
    replica: int
    timeout: int  # 0: until the client gives up


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final: trying again does no harm."""

    request: int
    retry_after: int = 0
    why: str = field(default="", compare=False)  # for traces alone


@dataclass(slots=True)
class Fail:
    """Final: nothing is promised."""

    request: int
    why: str = field(default="", compare=False)


@dataclass(slots=True)
class SetTimer:
    delay: int
    tag: int


@dataclass(slots=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Subscribe | Log
