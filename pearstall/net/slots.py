"""Slot tables. A handle encodes a slot's index and generation, so that the handle of a removed item is never valid
again."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class Slots(Generic[T]):
    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])

    def add(self, item: T) -> int:
        if self._free:
            index = self._free.pop()
        else:
            index = len(self._items)
            if index > INDEX_MASK:
                raise OverflowError("all slots are in use")
            self._items.append(None)
            self._generations.append(0)
        self._items[index] = item
        self._generations[index] += 1
        return self._generations[index] << INDEX_BITS | index

    def get(self, handle: int) -> T | None:
        index = handle & INDEX_MASK
        if index >= len(self._items) or self._generations[index] != handle >> INDEX_BITS:
            return None
        return self._items[index]

    def remove(self, handle: int) -> T | None:
        item = self.get(handle)
        if item is not None:
            index = handle & INDEX_MASK
            self._items[index] = None
            self._free.append(index)
        return item
