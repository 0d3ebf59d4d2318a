"""Result files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec


def write_json(path: str, value: Any) -> None:
    """Write *value* as indented JSON; an empty *path* writes nothing."""
    if path:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1))
