"""Structured logging with structlog: each kind of event has a name, and its details are fields.

The number of lines per second is limited for each event name; the next line that passes reports in `left_out` how
many were dropped. Secrets, tokens, prompts and answers must never be passed as fields.
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
WARNING_EVENTS = frozenset({"log_full", "evicted", "link_dead", "final_not_fetched", "crowded_out"})
DEBUG_EVENTS = frozenset({"superseded", "attached"})
SECRET_FIELDS = ("token", "secret", "authorization", "key")


class RateLimit:
    """A structlog processor that limits the lines of each event name in every window of one second."""

    def __init__(self, lines_per_second: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.lines_per_second, self.clock = lines_per_second, clock  # 0: no limit
        self.windows: dict[str, tuple[float, int, int]] = {}  # event name: start of the window, lines, lines left out

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        if not self.lines_per_second:
            return event
        name, now = str(event.get("event")), self.clock()
        since, lines, left_out = self.windows.get(name, (now, 0, 0))
        if now - since >= 1.0:
            since, lines = now, 0
        if lines >= self.lines_per_second:
            self.windows[name] = since, lines, left_out + 1
            raise structlog.DropEvent
        if left_out:
            event["left_out"] = left_out
        self.windows[name] = since, lines + 1, 0
        return event


def hide_secrets(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """A processor that masks secrets, as a safeguard: callers must not log them in the first place."""
    for key in SECRET_FIELDS:
        if key in event:
            event[key] = "(hidden)"
    return event


def make_logger(
    form: str = "json", level: str = "info", lines_per_second: float = 50.0, out: TextIO | None = None
) -> Callable[..., None]:
    """Returns a function `log(event, **fields)`. `form` is "json", "console" or "off"; `lines_per_second` limits each
    event name, 0 for no limit."""
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
            RateLimit(lines_per_second),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )

    def log(event: str, **fields: object) -> None:
        if event in WARNING_EVENTS:
            logger.warning(event, **fields)
        elif event in DEBUG_EVENTS:
            logger.debug(event, **fields)
        else:
            logger.info(event, **fields)

    return log
