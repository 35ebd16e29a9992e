"""The settings of the edge, as read from the operators' file."""

from __future__ import annotations

import msgspec

from pearstall.edge.keepalive import KeepAlive
from pearstall.edge.keeping import Bounds
from pearstall.edge.limits import Limits
from pearstall.edge.tokens import Keyring
from pearstall.net.config import OpenAIConfig


class EdgeConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Times are in seconds. `asks`: how classes and models are read, as for the OpenAI-style front."""

    listen: tuple[str, int]
    keyring: Keyring
    asks: OpenAIConfig
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)
    keep_alive: KeepAlive = msgspec.field(default_factory=KeepAlive)
    deflate: bool = False
    most_message: int = 300_000  # maximum size in bytes of a device's message or request body
    hello_within: float = 10.0
    poll_most: float = 25.0  # the longest time that a poll waits
    drain: float = 10.0  # time after SIGTERM for devices to fetch their answers
    links: int = 20_000  # maximum number of connections
    allow_origins: list[str] = []
