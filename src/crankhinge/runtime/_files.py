"""Writes values to JSON files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec


def write_json(path: str, value: Any) -> None:
    """Write *value* to *path* as indented JSON; do nothing if *path* is empty."""
    if path:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1))
