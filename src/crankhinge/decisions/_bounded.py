"""Tables that forget what was put in first."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")


def keep_newest(table: dict[str, T], key: str, value: T, max_entries: int) -> None:
    """Put *value* last in *table*, and take the first ones out that are more than *max_entries*."""
    table.pop(key, None)
    table[key] = value
    while len(table) > max_entries:
        del table[next(iter(table))]
