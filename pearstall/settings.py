"""Converts the settings document (JSON) to `Settings`, for the simulator's adapter and the real router alike."""

from __future__ import annotations

import json
from typing import Any

from pearstall.interface import Settings

# Field names of `Settings` and `RequestClass`, and their keys in the document. An absent key keeps its default.
CLASS_KEYS = {
    "aim": "aim",
    "give_up": "hardLimit",
    "worth": "value",
    "late_worth": "lateShare",
    "effect": "effect",
    "scope": "dedupScope",
    "window": "window",
    "streamed": "streamed",
}
TOP_KEYS = {
    "gateways": "groupSize",
    "gateway": "me",
    "tick": "tick",
    "zone": "az",
    "over_share_worth": "overShareWorth",
}
LIMIT_KEYS = {
    "max_attempts": "maxAttempts",
    "second_copies": "secondCopies",
    "may_cancel": "mayCancel",
    "connect_timeout": "connectTimeout",
}
OBLIGATION_KEYS = {
    "must_ask_in": "mustAskIn",
    "cold_time": "cold",
    "cold_share": "coldShare",
    "tip_multiple": "tipMultiple",
    "tip_time": "fall",
}
# Lists in `familyInfo` with one value per class.
FAMILY_KEYS = {
    "aim_per_1000_tokens": "aimUsPer1000PromptTokens",
    "token_aim": "tokenAim",
}
DOCUMENT_KEYS = {"classes": "lanes", **CLASS_KEYS, **FAMILY_KEYS, **TOP_KEYS, **LIMIT_KEYS, **OBLIGATION_KEYS}


def settings_from_wire(text: bytes) -> Settings:
    """Parses the document. A ValueError names the first invalid key."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ValueError(f"settings: not JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ValueError("settings: expected an object")
    limits, obligations = _section(raw, "limits"), _section(raw, "obligations")
    values = _select(TOP_KEYS, raw) | _select(LIMIT_KEYS, limits) | _select(OBLIGATION_KEYS, obligations)
    values["zones"] = max(1, len(_list(raw, "dcs")))
    values["subscribe"] = raw.get("membershipMode") == "subscribe"
    values["pushed"] = raw.get("membershipMode") == "automatic"
    if limits.get("retryAfter"):
        values["max_retry_after"] = limits.get("maxRetryAfter", 0)
    values["cross_zone_price"] = _section(raw, "charges").get("crossZone", 0.0)
    accounts = _list(raw, "accounts")
    if accounts and all(isinstance(row, dict) for row in accounts):
        values["tenant_shares"] = [row.get("share", 0.0) for row in accounts]
        quotas = [row.get("quotaRps", 0.0) for row in accounts]
        if all(isinstance(quota, int | float) for quota in quotas):
            values["quota_rate"] = float(sum(quotas))
    family = _section(raw, "familyInfo")
    classes = []
    for index, lane in enumerate(_list(raw, "lanes")):
        if not isinstance(lane, dict):
            raise ValueError(f"lanes[{index}]: expected an object")
        row = _select(CLASS_KEYS, lane)
        for field, key in FAMILY_KEYS.items():
            if index < len(_list(family, key)) and family[key][index] is not None:
                row[field] = family[key][index]
        classes.append(row)
    values["classes"] = classes
    try:
        return Settings.from_mapping(values)
    except ValueError as error:
        raise ValueError(_with_document_keys(str(error))) from None


def _with_document_keys(message: str) -> str:
    """Replaces the field path that an error message begins with by the keys of the document."""
    path, colon, rest = message.partition(":")
    parts = [part.partition("[") for part in path.split(".")]
    renamed = ".".join(DOCUMENT_KEYS.get(name, name) + bracket + index for name, bracket, index in parts)
    return f"settings.{renamed}{colon}{rest}"


def _section(raw: dict[str, Any], key: str) -> dict[str, Any]:
    section = raw.get(key, {})
    if not isinstance(section, dict):
        raise ValueError(f"{key}: expected an object")
    return section


def _list(raw: dict[str, Any], key: str) -> list[Any]:
    items = raw.get(key) or []
    if not isinstance(items, list):
        raise ValueError(f"{key}: expected a list")
    return items


def _select(keys: dict[str, str], raw: dict[str, Any]) -> dict[str, Any]:
    """The values of `raw` whose keys are listed, by the names of their fields."""
    return {field: raw[key] for field, key in keys.items() if key in raw}
