"""Structured logging on structlog: one event name per kind of happening, its facts as fields.

A kind that floods is held to so many lines a second; the next line that passes says how many were left out. Secrets,
tokens, prompts and answers never become fields.
"""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import msgspec
import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
WARNINGS = frozenset({"log_full", "evicted", "link_dead", "final_not_fetched", "crowded_out"})
DEBUG = frozenset({"superseded", "attached"})
SECRETS = ("token", "secret", "authorization", "key")


class Flood:
    """A processor: so many lines of a kind in any second (a window of one second each)."""

    def __init__(self, most: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.most, self.clock = most, clock
        self.windows: dict[str, tuple[float, int, int]] = {}  # kind -> window, lines in it, lines left out

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        if not self.most:
            return event
        kind, now = str(event.get("event")), self.clock()
        since, lines, left_out = self.windows.get(kind, (now, 0, 0))
        if now - since >= 1.0:
            since, lines = now, 0
        if lines >= self.most:
            self.windows[kind] = since, lines, left_out + 1
            raise structlog.DropEvent
        if left_out:
            event["left_out"] = left_out
        self.windows[kind] = since, lines + 1, 0
        return event


def hide_secrets(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """A net under the rule that none is ever logged."""
    for key in SECRETS:
        if key in event:
            event[key] = "(hidden)"
    return event


def make_note(
    form: str = "json", level: str = "info", flood: float = 50.0, out: TextIO | None = None
) -> Callable[..., None]:
    """`note(event, **fields)`. `form`: json, console or off."""
    if form == "off":
        return lambda event, **fields: None
    renderer: Any = structlog.dev.ConsoleRenderer(colors=(out or sys.stderr).isatty())
    if form == "json":
        renderer = structlog.processors.JSONRenderer(
            serializer=lambda event, **_: msgspec.json.encode(event, enc_hook=str).decode()
        )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(out or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            hide_secrets,
            Flood(flood),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )

    def note(event: str, **fields: object) -> None:
        if event in WARNINGS:
            logger.warning(event, **fields)
        elif event in DEBUG:
            logger.debug(event, **fields)
        else:
            logger.info(event, **fields)

    return note
