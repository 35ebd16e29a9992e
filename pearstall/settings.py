"""The settings as the wire tells them, for the adapter and the real router alike."""

from __future__ import annotations

import json
from typing import Any

from pearstall.interface import Settings

# The settings' names here and on the wire; what the wire leaves out keeps its default.
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
RULE_KEYS = {
    "must_ask_in": "mustAskIn",
    "cold_time": "cold",
    "cold_share": "coldShare",
    "tip_multiple": "tipMultiple",
    "tip_time": "fall",
}
# Lists of the family's facts, one value a class.
FAMILY_KEYS = {
    "aim_per_1000_tokens": "aimUsPer1000PromptTokens",
    "token_aim": "tokenAim",
}
FIELD_NAMES = {"classes": "lanes", **CLASS_KEYS, **FAMILY_KEYS, **TOP_KEYS, **LIMIT_KEYS, **RULE_KEYS}


def settings_from_wire(text: bytes) -> Settings:
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ValueError(f"settings: not JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ValueError("settings: an object is wanted")
    limits, rules = _section(raw, "limits"), _section(raw, "obligations")
    values = _renamed(TOP_KEYS, raw) | _renamed(LIMIT_KEYS, limits) | _renamed(RULE_KEYS, rules)
    values["zones"] = max(1, len(_rows(raw, "dcs")))
    values["subscribe"] = raw.get("membershipMode") == "subscribe"
    values["pushed"] = raw.get("membershipMode") == "automatic"
    if limits.get("retryAfter"):
        values["max_retry_after"] = limits.get("maxRetryAfter", 0)
    values["cross_zone_price"] = _section(raw, "charges").get("crossZone", 0.0)
    accounts = _rows(raw, "accounts")
    if accounts and all(isinstance(row, dict) for row in accounts):
        values["tenant_shares"] = [row.get("share", 0.0) for row in accounts]
        quotas = [row.get("quotaRps", 0.0) for row in accounts]
        if all(isinstance(quota, int | float) for quota in quotas):
            values["quota_rate"] = float(sum(quotas))
    family = _section(raw, "familyInfo")
    classes = []
    for number, lane in enumerate(_rows(raw, "lanes")):
        if not isinstance(lane, dict):
            raise ValueError(f"lanes[{number}]: an object is wanted")
        row = _renamed(CLASS_KEYS, lane)
        for ours, theirs in FAMILY_KEYS.items():
            if number < len(_rows(family, theirs)) and family[theirs][number] is not None:
                row[ours] = family[theirs][number]
        classes.append(row)
    values["classes"] = classes
    try:
        return Settings.from_mapping(values)
    except ValueError as error:
        raise ValueError(_in_words_of_the_wire(str(error))) from None


def _in_words_of_the_wire(message: str) -> str:
    """The field that a message begins with, as the document names it."""
    path, colon, rest = message.partition(":")
    parts = [part.partition("[") for part in path.split(".")]
    named = ".".join(FIELD_NAMES.get(name, name) + bracket + number for name, bracket, number in parts)
    return f"settings.{named}{colon}{rest}"


def _section(raw: dict[str, Any], key: str) -> dict[str, Any]:
    part = raw.get(key, {})
    if not isinstance(part, dict):
        raise ValueError(f"{key}: an object is wanted")
    return part


def _rows(raw: dict[str, Any], key: str) -> list[Any]:
    part = raw.get(key) or []
    if not isinstance(part, list):
        raise ValueError(f"{key}: a list is wanted")
    return part


def _renamed(names: dict[str, str], raw: dict[str, Any]) -> dict[str, Any]:
    return {ours: raw[theirs] for ours, theirs in names.items() if theirs in raw}
