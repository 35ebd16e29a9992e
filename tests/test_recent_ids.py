"""The ids of requests whose clients have left."""

from __future__ import annotations

from pearstall.net.recent_ids import DIGEST_BYTES, RecentIds


def test_the_oldest_ids_are_forgotten() -> None:
    ids = RecentIds(3)
    for id in ("a", "b", "c", "a", "d"):
        ids.add(id)
    assert len(ids) == 3
    assert [id in ids for id in "abcd"] == [True, False, True, True]


def test_long_ids_take_no_more_memory_than_short_ones() -> None:
    ids = RecentIds(10)
    ids.add("x" * 30_000)
    assert {len(digest) for digest in ids.digests} == {DIGEST_BYTES}
    assert "x" * 30_000 in ids and "x" * 29_999 not in ids
