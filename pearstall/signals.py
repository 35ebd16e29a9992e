"""The signals of a router process, from its first line until its event loop handles them.

A signal whose handler does not stand yet ends the process. Held back, it stays pending, so that a SIGHUP during the
start is a reload after it.
"""

from __future__ import annotations

import signal

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)


def hold_back() -> None:
    """Called before anything that takes time."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def let_through() -> None:
    """Called once handlers stand; what came meanwhile is handled now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
