"""The interface between a gateway and its `Router`: settings, events and actions.

All times and durations are integer microseconds of one monotonic clock, unless a field says otherwise. Ids are opaque
integers. Indexes (class, tenant, zone) start at 0. A gateway creates one `Router(settings, seed)`, passes each event
together with the current time to `Router.handle(now, event)`, and carries out the returned actions in order.

Optional information may be left out: work hints, weights, load reports, probe results and peer messages do not affect
decisions, because the outcomes that this gateway observes itself are more informative. A replica that starts to drain
receives no new attempts from that moment on, whatever grace period it announces.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import MISSING, dataclass, field, fields
from enum import IntEnum
from typing import Any


class Effect(IntEnum):
    """Whether a request of a class may be executed more than once."""

    PURE = 0  # idempotent
    TOKEN = 1  # carries a token by which the replicas of its scope drop repeats within its window
    SIDE_EFFECT = 2  # must not run twice


class Scope(IntEnum):
    """Which replicas deduplicate requests of a `TOKEN` class among themselves."""

    ALL = 0
    ZONE = 1
    CELL = 2


class State(IntEnum):
    """The state of a replica in a replica list."""

    GONE = 0
    READY = 1
    DRAINING = 2  # finishes its running requests and takes no new ones


class ListKind(IntEnum):
    """How a `ReplicaList` relates to the list that the router already has."""

    DELTA = 0  # only the entries that changed
    FULL = 1  # every replica; one that is absent is gone
    CACHED = 2  # the whole list as last stored, possibly out of date
    FAILED = 3  # a call or the subscription failed; the previous list stays valid


class Result(IntEnum):
    """How an attempt or a probe ended."""

    ERROR = 0  # the replica answered with an error
    OK = 1
    FULL = 2  # rejected without execution, because the replica was full
    TIMEOUT = 3
    CONNECT_FAILED = 4  # refused, or not established within `Settings.connect_timeout`
    RESET = 5  # the connection broke
    CANCELLED = 6
    MOOT = 7  # never sent, for example because its request had already ended


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.MOOT})  # these prove that nothing was executed


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The service objectives and the retry rules of one class of requests."""

    aim: int  # target time to first token
    give_up: int  # longest time that a client waits, over all its tries
    worth: float = 1.0  # value of an answer whose first token meets the aim, relative to other classes
    late_worth: float = 0.0  # fraction of `worth` for a first token between `aim` and `give_up`
    effect: Effect = Effect.PURE
    scope: Scope = Scope.ALL
    window: int = 0  # how long replicas remember a token
    streamed: bool = True
    aim_per_1000_tokens: float = 0.0  # microseconds added to the aim for every 1,000 prompt tokens
    token_aim: float = 0.0  # target inter-token latency in microseconds; 0: none


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one gateway's router."""

    classes: tuple[RequestClass, ...]
    zones: int = 1
    zone: int = 0  # the zone of this gateway
    gateways: int = 1
    gateway: int = -1  # the index of this gateway among all gateways; -1: unknown
    tenant_shares: tuple[float, ...] = ()  # the fraction of the load that each tenant is entitled to
    over_share_worth: float = 1.0  # fraction of its worth that a request beyond its tenant's share keeps
    quota_rate: float = 0.0  # requests per second, the quotas of all tenants at all gateways together; 0: unknown
    tick: int = 1000  # time resolution of events
    max_attempts: int = 3  # attempts per request
    second_copies: bool = False  # two attempts of one request may be in flight at once
    may_cancel: bool = False  # the gateway carries out `Cancel`
    subscribe: bool = False  # list changes arrive only after `Subscribe`
    pushed: bool = False  # lists come from an agent of this gateway: what the agent has counts as delivered
    must_ask_in: int = 10_000_000  # the router subscribes to list changes within this time
    connect_timeout: int = 250_000  # a connection that is not established within this time has failed
    max_retry_after: int = 0  # longest delay to suggest to clients; 0: clients ignore such advice
    cold_time: int = 0  # a replica is warm this long after its start
    cold_share: float = 1.0  # fraction of its capacity that a replica has at its start
    tip_multiple: float = 1.0  # a cold replica collapses under this multiple of its capacity for `tip_time`
    tip_time: int = 2_000_000
    cross_zone_price: float = 0.0  # relative cost of an attempt in another zone

    @staticmethod
    def from_mapping(raw: Mapping[str, Any]) -> Settings:
        """Builds settings from plain values. Ignores unknown keys; a ValueError names the first invalid one."""
        if not isinstance(raw, Mapping):
            raise ValueError("settings: expected a mapping")
        rows = raw.get("classes")
        if not isinstance(rows, Sequence) or isinstance(rows, str) or not rows:
            raise ValueError("classes: expected a list with at least one class")
        values = _parse_fields(Settings, raw, "")
        values["classes"] = tuple(
            RequestClass(**_parse_fields(RequestClass, row, f"classes[{index}].")) for index, row in enumerate(rows)
        )
        settings = Settings(**values)
        if settings.zone >= settings.zones:
            raise ValueError("zone: must be less than zones")
        if settings.cold_share > 1:
            raise ValueError("cold_share: must not be greater than 1")
        return settings


AT_LEAST_ONE = {"give_up", "zones", "gateways", "tick", "max_attempts", "must_ask_in", "tip_time"}
ABOVE_ZERO = {"cold_share", "tip_multiple"}


def _parse_fields(structure: type, raw: Any, path: str) -> dict[str, Any]:
    """The values in `raw` for the fields of a dataclass. `path` is the prefix of keys in error messages."""
    if not isinstance(raw, Mapping):
        raise ValueError(f"{path.rstrip('.')}: expected a mapping")
    values: dict[str, Any] = {}
    for setting in fields(structure):
        key = setting.name
        if key == "classes":
            continue
        if key in raw:
            values[key] = _parse_value(path + key, key, str(setting.type), raw[key])
        elif setting.default is MISSING:
            raise ValueError(f"{path}{key}: missing")
    return values


def _parse_value(path: str, key: str, annotation: str, value: Any) -> Any:
    if annotation == "bool":
        if not isinstance(value, bool):
            raise ValueError(f"{path}: expected true or false, not {value!r}")
        return value
    if annotation.startswith("tuple"):
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise ValueError(f"{path}: expected a list, not {value!r}")
        return tuple(_parse_number(path, item, 0) for item in value)
    if annotation in ("Effect", "Scope"):
        members = list(Effect) if annotation == "Effect" else list(Scope)
        names: dict[str, IntEnum] = {member.name.lower(): member for member in members}
        if not isinstance(value, str) or value not in names:
            raise ValueError(f"{path}: expected one of {', '.join(names)}, not {value!r}")
        return names[value]
    minimum = 1 if key in AT_LEAST_ONE else 0
    if key == "aim" and value == 0 and not isinstance(value, bool):
        value = 1  # an aim of 0 means "as soon as possible"
    number = _parse_number(path, value, minimum)
    if key in ABOVE_ZERO and number <= 0:
        raise ValueError(f"{path}: expected a number above 0, not {value!r}")
    if annotation == "int" and number != int(number):
        raise ValueError(f"{path}: expected a whole number, not {value!r}")
    return int(number) if annotation == "int" else number


def _parse_number(path: str, value: Any, minimum: float) -> float:
    not_a_number = isinstance(value, bool) or not isinstance(value, int | float)
    if not_a_number or not minimum <= value < 1e15:  # also rejects NaN and infinities
        raise ValueError(f"{path}: expected a number of at least {minimum}, not {value!r}")
    return float(value)


# -- events ------------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Request:
    """A client's request. The gateway must give it exactly one final answer by `deadline`."""

    id: int
    class_index: int
    deadline: int
    prompt_tokens: float
    session: int = 0  # identifies the conversation; 0: none
    prefix: int = 0  # identifies a prompt prefix shared with other sessions; 0: none
    prefix_tokens: float = 0.0  # length of that prefix
    tenant: int = 0
    work_hint: int = 0  # expected work; 0: unknown
    repeated: bool = False  # a retry by a client that got no answer before; only set where clients mark retries


@dataclass(slots=True)
class FirstToken:
    """The first token of an attempt arrived."""

    request: int
    attempt: int
    replica: int
    took: int  # time since the attempt was sent


@dataclass(slots=True)
class Outcome:
    """How an attempt ended."""

    request: int
    attempt: int
    replica: int
    result: int  # a `Result`
    done: bool  # the request has its final answer, from this attempt or from an earlier event
    took: int  # time since the attempt was sent
    kept_tokens: int = 0  # prompt tokens that the replica had in its cache
    report: tuple[float, ...] = ()  # load figures that the replica reported


@dataclass(slots=True)
class ClientGone:
    """The client of a request disconnected or gave up."""

    request: int


@dataclass(slots=True)
class Timer:
    """A timer set by `SetTimer` expired."""

    tag: int


@dataclass(slots=True)
class Replica:
    """One entry of a `ReplicaList`."""

    id: int
    zone: int
    cell: int  # deduplication group for `Scope.CELL`
    state: int  # a `State`
    weight: float = 1.0
    started: int = 0  # when its process started; 0: long ago
    kind: int = 0  # hardware type; replicas of one kind perform alike


@dataclass(slots=True)
class ReplicaList:
    """A replica list or a change to it, from discovery."""

    kind: int  # a `ListKind`
    replicas: Sequence[Replica] = ()
    refused: bool = False  # with FAILED: discovery answered the call with an error, so it can be reached
    silence: int = 0  # with FAILED: for how long nothing had come on the watch


@dataclass(slots=True)
class ProbeResult:
    """A health probe of a replica ended."""

    replica: int
    result: int  # a `Result`
    took: int
    report: tuple[float, ...] = ()  # load figures that the replica reported


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    body: bytes


Event = Request | FirstToken | Outcome | ClientGone | Timer | ReplicaList | ProbeResult | PeerMessage


# -- actions -----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start the next attempt of a request. Attempts are numbered 0, 1, 2 ... in the order in which they are sent."""

    request: int
    replica: int
    timeout: int  # longest time to the first token; 0: no limit but the request's deadline


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: the request was not served, and the client may safely retry it."""

    request: int
    retry_after: int = 0  # suggested delay before a retry; 0: no suggestion
    why: str = field(default="", compare=False)  # reason, for logs and traces only


@dataclass(slots=True)
class Fail:
    """Final answer: the request may have been executed, so a retry may not be safe."""

    request: int
    why: str = field(default="", compare=False)  # reason, for logs and traces only


@dataclass(slots=True)
class SetTimer:
    """Deliver `Timer(tag)` after `delay`."""

    delay: int
    tag: int


@dataclass(slots=True)
class Subscribe:
    """Open (`on`) or end the subscription to list changes."""

    on: bool = True


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Subscribe | Log
