"""Keeps libraries out of a router's memory that it never uses.

A router without an operators' file speaks plain TCP only. asyncio and hashlib load OpenSSL where they can, and both
work without it: it would take a sixth of the smallest memory limit.
"""

from __future__ import annotations

import sys

OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")


def exclude_openssl() -> None:
    """Makes later imports of OpenSSL fail with an ImportError. Modules that are loaded already stay."""
    for name in OPENSSL_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
