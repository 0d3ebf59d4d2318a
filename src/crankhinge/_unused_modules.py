"""Replaces modules that libraries import but this project never uses, to save memory.

curio imports ``asyncio``, ``multiprocessing`` and ``ssl`` for bridges, process pools and TLS, and
structlog imports ``asyncio``. Together they cost several megabytes in each process (see
docs/PERFORMANCE.md). Empty modules take their places; every attribute of an empty module is a class
that raises when it is instantiated. A process must call :func:`keep_out_unused_modules` before it
imports curio.
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
    """Code uses a module that was replaced by an empty one."""


class _KeptOutModule(types.ModuleType):
    """An empty module that replaces an unused one."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (_KeptOutClass,), {"module": self.__name__})


class _KeptOutClass(BaseException):
    """Replaces a class of an unused module.

    It is an exception class, so that ``except`` clauses may name the replaced class.
    """

    module = ""

    def __init__(self, *_: object, **__: object) -> None:
        raise KeptOutError(
            f"{self.module}.{type(self).__name__} is replaced by an empty stand-in in this process"
        )


def keep_out_unused_modules() -> list[str]:
    """Replace the modules in :data:`UNUSED_MODULES` that aren't loaded yet by empty ones.

    Returns:
        The names of the replaced modules.
    """
    kept_out = [name for name in UNUSED_MODULES if name not in sys.modules]
    for name in kept_out:
        module = sys.modules[name] = _KeptOutModule(name)
        parent, _, child = name.rpartition(".")
        if parent in kept_out:
            setattr(sys.modules[parent], child, module)
    if "multiprocessing" in kept_out:
        # curio calls it on import, for the size of a process pool that is never created.
        sys.modules["multiprocessing"].cpu_count = lambda: 1  # type: ignore[attr-defined]
    return kept_out
