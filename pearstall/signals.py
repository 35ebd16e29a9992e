"""Blocks signals from the start of a router process until its event loop has handlers for them.

The default action of these signals ends the process. While they are blocked they stay pending, so that a SIGHUP that
arrives during the start causes a reload after it.
"""

from __future__ import annotations

import signal

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)


def block() -> None:
    """Call this first, before any slow import or other work that takes time."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def unblock() -> None:
    """Call this once handlers are installed; pending signals are delivered now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
