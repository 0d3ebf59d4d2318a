"""Tables that forget what was put in first."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")


def keep_newest(table: dict[str, T], key: str, value: T, most: int) -> None:
    """Put *value* last in *table*, and take the first ones out that are more than *most*."""
    table.pop(key, None)
    table[key] = value
    while len(table) > most:
        del table[next(iter(table))]
