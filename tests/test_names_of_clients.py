"""What a router remembers under names that its clients choose."""

from __future__ import annotations

from pearstall.choice import REMEMBERED_KEYS_MAX, Router
from pearstall.interface import ListKind, Replica, ReplicaList, Request, Settings, State
from pearstall.net.platform import CACHED_NAMES, number_of

POPULAR = 7


def test_ever_new_prefixes_take_a_bounded_amount_of_memory() -> None:
    """Each prefix was counted for ten minutes, however many there were."""
    router = Router(Settings.from_mapping({"classes": [{"aim": 1_000_000, "give_up": 3_000_000}]}), seed=1)
    router.start(0)
    router.handle(0, ReplicaList(ListKind.FULL, [Replica(1, 0, 0, State.READY)]))
    for number in range(3 * REMEMBERED_KEYS_MAX):
        prefix = POPULAR if number % 2 else 1000 + number
        router.handle(number, Request(number, 0, number + 1, 50.0, prefix=prefix, prefix_tokens=20.0))
    assert len(router.prefix_requests) <= REMEMBERED_KEYS_MAX
    assert router.prefix_requests[POPULAR] == 1.5 * REMEMBERED_KEYS_MAX
    assert sum(router.prefix_requests.values()) == router.prefix_requests_total


def test_few_names_are_kept_with_their_hash() -> None:
    for number in range(2 * CACHED_NAMES):
        number_of(f"name-{number}")
    assert number_of("name-1") == number_of("name-1") != number_of("name-2")
    assert CACHED_NAMES <= 1024
