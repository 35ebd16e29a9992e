"""Runs the edge in a program beside its other fronts, if the operators' file enables it."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable

from pearstall.edge.http import HttpWire
from pearstall.edge.idempotency import IdempotencyKeys
from pearstall.edge.link import EdgeLinks
from pearstall.edge.service import Edge
from pearstall.edge.settings import EdgeConfig
from pearstall.edge.tokens import Keyring
from pearstall.logs import make_logger
from pearstall.net.client_links import ClientLinks
from pearstall.net.config import Config, OpenAIConfig
from pearstall.net.core import Core


class EdgeSide:
    """The sessions, used by the edge's wires (if enabled) and by the idempotency keys of the OpenAI-style front."""

    def __init__(self, config: Config, core: Core, clients: ClientLinks, now: Callable[[], float]) -> None:
        assert config.operators is not None
        log = config.operators.log
        for warning in config.operators.warnings:
            print(f"pearstall: {warning}", file=sys.stderr, flush=True)
        self.note = make_logger(log.form, log.level, log.flood)
        self.listen = config.edge.listen if config.edge is not None else None
        self.edge = Edge(
            config.edge or without_wires(config.openai),
            config.names,
            core,
            core.deadlines,
            self.note,
            config.seed,
            now,
        )
        self.links = EdgeLinks(self.edge, HttpWire)
        clients.share = IdempotencyKeys(self.edge)

    def listeners(self) -> dict[tuple[str, int], Callable[[], asyncio.BaseProtocol]]:
        return {self.listen: self.links} if self.listen is not None else {}

    def ready(self) -> None:
        self.edge.front.ready = True

    def reload(self, config: Config) -> None:
        ready = self.edge.front.ready
        self.edge.reload(config.edge or without_wires(config.openai), config.names)
        self.edge.front.ready = ready

    def leave(self) -> None:
        self.edge.leave()

    @property
    def settled(self) -> bool:
        return self.edge.settled

    def close(self) -> None:
        self.edge.close()
        self.links.close()

    def line(self) -> str:
        return "edge " + json.dumps(self.edge.state() | {"links": len(self.links.links)})


def without_wires(asks: OpenAIConfig | None) -> EdgeConfig:
    """The settings of an edge that listens nowhere: its sessions serve idempotency keys only."""
    return EdgeConfig(listen=("", 0), keyring=Keyring(), asks=asks or OpenAIConfig(listen=""))
