"""Device tokens: they authenticate a device by a keyed BLAKE3 hash. No I/O.

    pst1.KEY.DEVICE.EPOCH.EXPIRY.MAC

The MAC (32 bytes, base64url without padding) is BLAKE3 in keyed mode over everything before the dot in front of it,
with a key derived from the secret by BLAKE3's key derivation (BLAKE3 paper, 2.3 and 6.2). EXPIRY is Unix time in
seconds. A token that is truncated, altered, expired, revoked or signed by an unknown key always gets the same answer.
"""

from __future__ import annotations

import base64
import hmac
import re
import secrets
from dataclasses import dataclass, field

from blake3 import blake3

CONTEXT = "pearstall 2026-12 device token 1"
NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
MAX_TOKEN_LENGTH = 512
TOKEN = re.compile(
    r"(pst1\.([A-Za-z0-9_-]{1,64})\.([A-Za-z0-9_-]{1,64})\.([0-9]{1,9})\.([0-9]{1,12}))\.([A-Za-z0-9_-]{43})"
)
SECRET_BYTES = 32


@dataclass(slots=True, frozen=True)
class Device:
    """An authenticated device."""

    id: str
    tenant: str
    epoch: int = 0
    expires: float = 0.0


@dataclass(slots=True, frozen=True)
class Key:
    """`not_after`: Unix time after which its tokens are rejected; 0: never. The secret is never printed."""

    id: str
    secret: bytes = field(repr=False)
    tenant: str = ""
    not_after: float = 0.0

    def mac(self, text: str) -> bytes:
        return blake3(text.encode("ascii"), key=self.derived).digest()

    @property
    def derived(self) -> bytes:
        return blake3(self.secret, derive_key_context=CONTEXT).digest()


@dataclass(slots=True)
class Keyring:
    """The keys of the operators' file. `revoked`: device -> the lowest epoch that is still valid."""

    keys: dict[str, Key] = field(default_factory=dict)
    revoked: dict[str, int] = field(default_factory=dict)
    derived: dict[str, bytes] = field(default_factory=dict, repr=False)
    decoy: bytes = field(default_factory=lambda: secrets.token_bytes(32), repr=False)

    def verify(self, token: str, now: float) -> Device | None:
        """The device, or None for any invalid token. The same computation is done for an unknown key as for a known
        one, and MACs are compared in constant time, so that timing reveals nothing."""
        if len(token) > MAX_TOKEN_LENGTH or not (found := TOKEN.fullmatch(token)):
            return None
        text, id, device, epoch, expiry, mac = found.groups()
        key = self.keys.get(id)
        if key is not None and id not in self.derived:
            self.derived[id] = key.derived
        mac_key = self.derived[id] if key is not None else self.decoy
        mac_matches = hmac.compare_digest(_encode(blake3(text.encode("ascii"), key=mac_key).digest()), mac)
        unexpired = now < int(expiry) and (key is None or not key.not_after or now < key.not_after)
        unrevoked = int(epoch) >= self.revoked.get(device, 0)
        if key is None or not (mac_matches and unexpired and unrevoked):
            return None
        return Device(device, key.tenant, int(epoch), float(expiry))


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def mint(key: Key, device: str, expiry: int, epoch: int = 0) -> str:
    """Creates a token. Raises a ValueError that names the invalid part."""
    if not NAME.fullmatch(device):
        raise ValueError(f"device: expected 1 to 64 letters, digits, - or _, not {device!r}")
    if not 0 <= epoch < 10**9 or not 0 <= expiry < 10**12:
        raise ValueError("epoch and expiry: expected integers of 0 or more")
    text = f"pst1.{key.id}.{device}.{epoch}.{expiry}"
    return f"{text}.{_encode(key.mac(text))}"


def new_secret() -> bytes:
    return secrets.token_bytes(SECRET_BYTES)


def encode_secret(secret: bytes) -> str:
    return _encode(secret)


def decode_secret(text: str) -> bytes:
    """Raises a ValueError if the text is no valid secret. The error never contains the text."""
    try:
        secret = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (ValueError, UnicodeEncodeError):
        raise ValueError("expected base64url") from None
    if len(secret) != SECRET_BYTES:
        raise ValueError(f"expected {SECRET_BYTES} bytes, not {len(secret)}")
    return secret
