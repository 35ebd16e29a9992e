"""What a reloaded configuration may change while the router runs, and what requires a restart.

Classes, tenants, limits, rules and prices change live. Zones, machine kinds, the number of routers and the way lists
arrive determine numbers that are in use, and can't change.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from pearstall.net.config import Config, ConfigError, Named

# Attributes of Settings that can't change while the router runs, and the configuration key of each.
FIXED_SETTINGS = {
    "zones": "dcs",
    "zone": "az",
    "gateways": "groupSize",
    "gateway": "me",
    "tick": "tick",
    "subscribe": "membershipMode",
    "pushed": "membershipMode",
}
NEW = -1  # previous number of a class or tenant that did not exist


@dataclass(slots=True, frozen=True)
class Renumbering:
    """The previous number of each class and tenant, in the new order."""

    classes: list[int]
    tenants: list[int]


def renumber(current: Config, updated: Config) -> Renumbering | None:
    """Maps the numbers of the updated configuration to the current ones; None if the settings are the same. Raises a
    ConfigError that names the field if the change requires a restart."""
    if current.settings == updated.settings and current.names == updated.names:
        return None
    for attribute, field in FIXED_SETTINGS.items():
        if getattr(current.settings, attribute) != getattr(updated.settings, attribute):
            raise ConfigError(f"settings.{field}: a change requires a restart")
    for field in ("dcs", "models"):
        if getattr(current.names, field) != getattr(updated.names, field):
            raise ConfigError(f"settings.{field}: a change requires a restart")
    tenant_count = len(current.settings.tenant_shares)
    return Renumbering(
        previous_numbers(current.names.lanes, updated.names.lanes),
        previous_numbers(current.names.accounts[:tenant_count], updated.names.accounts)[
            : len(updated.settings.tenant_shares)
        ],
    )


def previous_numbers(before: Sequence[Named], after: Sequence[Named]) -> list[int]:
    numbers = {item.name: number for number, item in enumerate(before)}
    return [numbers.get(item.name, NEW) for item in after]
