"""A bounded memory of request ids. Clients choose the ids, so only digests of a fixed size are kept."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 12


class RecentIds:
    """The last `limit` ids that were added."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.digests: dict[bytes, None] = {}  # in the order in which they were added

    def __len__(self) -> int:
        return len(self.digests)

    def __contains__(self, id: str) -> bool:
        return bool(self.digests) and _digest(id) in self.digests

    def add(self, id: str) -> None:
        digest = _digest(id)
        self.digests.pop(digest, None)
        self.digests[digest] = None
        if len(self.digests) > self.limit:
            del self.digests[next(iter(self.digests))]


def _digest(id: str) -> bytes:
    return blake2b(id.encode("latin-1", "replace"), digest_size=DIGEST_BYTES).digest()
