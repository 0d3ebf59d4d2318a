"""A model engine, as an agent needs it."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from crankhinge.errors import CrankhingeError


class EngineFailed(CrankhingeError):
    """The engine refused or broke off. ``ran`` is False when it certainly did no work."""

    code = "engine-failed"

    def __init__(self, detail: str = "", *, ran: bool = True) -> None:
        super().__init__(detail)
        self.ran = ran


class KvExpired(EngineFailed):
    """The result of the reading was gone before the decode engine had it."""

    code = "kv-expired"


@dataclass(frozen=True)
class PrefillResult:
    """A prompt was read.

    Attributes:
        kv_handle: JSON of the handle under which a decode engine fetches the result.
        prompt_tokens: prompt tokens.
        cached_tokens: of these, found in the prefix cache.
    """

    kv_handle: bytes
    prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True)
class EngineLoad:
    """What the engine reports, late.

    Attributes:
        running: requests in memory.
        waiting: requests queued inside the engine.
    """

    running: int
    waiting: int


class DecodeStream(abc.ABC):
    """An answer that is being written."""

    finish_reason: str = ""

    @abc.abstractmethod
    async def next_pieces(self) -> list[str]:
        """Return the next pieces, one per token; empty at the end, with ``finish`` set.

        Raises:
            EngineFailed: when the engine breaks off.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """End the request; the engine frees its memory."""


class Engine(abc.ABC):
    """A model engine. All methods raise EngineFailed."""

    @abc.abstractmethod
    async def prefill(self, path: str, body: bytes, *, request_id: int) -> PrefillResult:
        """Read the prompt of the completion request *body*."""

    @abc.abstractmethod
    async def decode(
        self, path: str, body: bytes, kv_handle: bytes, *, request_id: int
    ) -> DecodeStream:
        """Fetch the result *kv_handle* and write the answer to *body*."""

    @abc.abstractmethod
    async def load_adapter(self, name: str, path: str, version: int, *, fencing_token: int) -> None:
        """Load an adapter's weights, in the place of an older version.

        Args:
            name: of the adapter.
            path: of its weights.
            version: of its weights.
            fencing_token: an engine that checks it refuses a smaller one than it has seen.
        """

    @abc.abstractmethod
    async def get_load(self) -> EngineLoad:
        """Return the engine's load."""
