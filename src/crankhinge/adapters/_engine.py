"""Interface of a model engine, as agents use it."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from crankhinge.errors import CrankhingeError


class EngineFailed(CrankhingeError):
    """The engine refused or aborted a request. ``ran`` is False if it certainly did no work."""

    code = "engine-failed"

    def __init__(self, detail: str = "", *, ran: bool = True) -> None:
        super().__init__(detail)
        self.ran = ran


class KvExpired(EngineFailed):
    """The KV cache of the prompt expired before the decode engine fetched it."""

    code = "kv-expired"


@dataclass(frozen=True)
class PrefillResult:
    """Result of the prefill of one prompt.

    Attributes:
        kv_handle: JSON of the handle with which a decode engine fetches the KV cache.
        prompt_tokens: number of tokens of the prompt.
        cached_tokens: number of prompt tokens that were found in the prefix cache.
    """

    kv_handle: bytes
    prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True)
class EngineLoad:
    """Load that an engine reports; it lags behind the real load.

    Attributes:
        running: number of requests in the engine's KV memory.
        waiting: number of requests queued inside the engine.
    """

    running: int
    waiting: int


class DecodeStream(abc.ABC):
    """An answer that a decode engine is generating."""

    finish_reason: str = ""

    @abc.abstractmethod
    async def next_pieces(self) -> list[str]:
        """Return the next pieces of text, one per token.

        At the end of the answer the list is empty and ``finish_reason`` is set.

        Raises:
            EngineFailed: the engine aborted the answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """End the request; the engine frees its KV memory."""


class Engine(abc.ABC):
    """A model engine. Every method raises EngineFailed if the engine refuses or fails."""

    @abc.abstractmethod
    async def prefill(self, path: str, body: bytes, *, request_id: int) -> PrefillResult:
        """Process the prompt of the completion request *body* and keep its KV cache."""

    @abc.abstractmethod
    async def decode(
        self, path: str, body: bytes, kv_handle: bytes, *, request_id: int
    ) -> DecodeStream:
        """Fetch the KV cache *kv_handle* and generate the answer to the request *body*."""

    @abc.abstractmethod
    async def load_adapter(self, name: str, path: str, version: int, *, fencing_token: int) -> None:
        """Load the weights of an adapter, replacing an older version.

        Args:
            name: name of the adapter.
            path: path of the weights.
            version: version of the weights.
            fencing_token: an engine that checks it refuses a token smaller than one it has seen.
        """

    @abc.abstractmethod
    async def get_load(self) -> EngineLoad:
        """Return the load that the engine reports."""
