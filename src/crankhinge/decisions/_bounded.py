"""Bounded tables that drop their oldest entries."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")


def keep_newest(table: dict[str, T], key: str, value: T, max_entries: int) -> None:
    """Put *value* at the end of *table*, and drop the oldest entries above *max_entries*."""
    table.pop(key, None)
    table[key] = value
    while len(table) > max_entries:
        del table[next(iter(table))]
