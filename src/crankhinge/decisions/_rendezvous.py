"""Rendezvous hashing (Thaler and Ravishankar, 1996): an order of names that depends on a key.

All processes that know the same names compute the same order without communication, and when a name
is removed only its own keys move to other names.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_by_key(key: bytes, names: Iterable[str]) -> list[str]:
    """Return *names* in the order that depends on *key*."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def _score(key: bytes, name: str) -> bytes:
    return hashlib.blake2b(name.encode(), key=key[:64], digest_size=8).digest()
