"""What a configuration that is read again may change while the router runs, and what takes a restart.

Classes, tenants, limits, rules and prices are taken live. Zones, machine kinds, the routers' number and the way that
lists come stand behind numbers that are in use, and stay.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from pearstall.net.config import Config, ConfigError, Named

# Attributes of Settings that can't change while the router runs, and the wire's name for each.
FIXED_SETTINGS = {
    "zones": "dcs",
    "zone": "az",
    "gateways": "groupSize",
    "gateway": "me",
    "tick": "tick",
    "subscribe": "membershipMode",
    "pushed": "membershipMode",
}
NEW = -1  # the number before of a class or tenant that was not there


@dataclass(slots=True, frozen=True)
class Renumbering:
    """For each class and tenant, in the new order, its number before."""

    classes: list[int]
    tenants: list[int]


def renumber(held: Config, found: Config) -> Renumbering | None:
    """How to get from one configuration's settings to the other's; None where they are the same. A ConfigError names
    the field that takes a restart."""
    if held.settings == found.settings and held.names == found.names:
        return None
    for attribute, field in FIXED_SETTINGS.items():
        if getattr(held.settings, attribute) != getattr(found.settings, attribute):
            raise ConfigError(f"settings.{field}: takes a restart")
    for field in ("dcs", "models"):
        if getattr(held.names, field) != getattr(found.names, field):
            raise ConfigError(f"settings.{field}: takes a restart")
    counted = len(held.settings.tenant_shares)
    return Renumbering(
        previous_numbers(held.names.lanes, found.names.lanes),
        previous_numbers(held.names.accounts[:counted], found.names.accounts)[: len(found.settings.tenant_shares)],
    )


def previous_numbers(before: Sequence[Named], after: Sequence[Named]) -> list[int]:
    numbers = {item.name: number for number, item in enumerate(before)}
    return [numbers.get(item.name, NEW) for item in after]
