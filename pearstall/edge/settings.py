"""What the operators' file says of the edge, typed."""

from __future__ import annotations

import msgspec

from pearstall.edge.keepalive import KeepAlive
from pearstall.edge.keeping import Bounds
from pearstall.edge.limits import Limits
from pearstall.edge.tokens import Keyring
from pearstall.net.config import OpenAIConfig


class EdgeConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Times are seconds. `asks` says how classes and models are read, as for the OpenAI-style front."""

    listen: tuple[str, int]
    keyring: Keyring
    asks: OpenAIConfig
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)
    keep_alive: KeepAlive = msgspec.field(default_factory=KeepAlive)
    deflate: bool = False
    most_message: int = 300_000  # bytes of a message of a device, and of a body
    hello_within: float = 10.0
    poll_most: float = 25.0  # the longest a poll waits
    drain: float = 10.0  # after SIGTERM, for devices to fetch what is theirs
    links: int = 20_000
    allow_origins: list[str] = []
