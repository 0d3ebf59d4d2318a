"""Keeps modules out of memory that a library imports and this project never uses.

curio imports ``asyncio``, ``multiprocessing`` and ``ssl`` for bridges, process pools and TLS, and
structlog imports ``asyncio``; together they cost several megabytes in each process (see
docs/PERFORMANCE.md). Their places are taken by empty modules whose every attribute is a class
that fails when it is used. Call this first, before anything imports curio.
"""

from __future__ import annotations

import sys
import types
from typing import Any

UNUSED_MODULES = (
    "asyncio",
    "multiprocessing",
    "multiprocessing.connection",
    "concurrent.futures",
    "ssl",
)


class KeptOutError(RuntimeError):
    """A module that was kept out is needed after all."""


class _KeptOutModule(types.ModuleType):
    """Stands in for a module that isn't loaded."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (_KeptOutClass,), {"module": self.__name__})


class _KeptOutClass(BaseException):
    """Stands in for a class of such a module; also in the place of an exception."""

    module = ""

    def __init__(self, *_: object, **__: object) -> None:
        raise KeptOutError(f"{self.module}.{type(self).__name__} was kept out of this process")


def keep_out_unused_modules() -> list[str]:
    """Put empty modules in the places of those in ``UNUSED_MODULES`` that aren't loaded yet.

    Returns:
        The names of the modules that were kept out.
    """
    kept_out = [name for name in UNUSED_MODULES if name not in sys.modules]
    for name in kept_out:
        module = sys.modules[name] = _KeptOutModule(name)
        parent, _, child = name.rpartition(".")
        if parent in kept_out:
            setattr(sys.modules[parent], child, module)
    if "multiprocessing" in kept_out:
        # Asked for when curio is imported, to size a pool that is never made.
        sys.modules["multiprocessing"].cpu_count = lambda: 1  # type: ignore[attr-defined]
    return kept_out
