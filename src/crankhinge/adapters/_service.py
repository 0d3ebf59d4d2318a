"""Interface of a plain service, that is one without model engines, as agents use it."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class ServiceResponse:
    """Complete response of a service.

    Attributes:
        status: HTTP status.
        headers: header fields that are passed on to the caller.
        body: the complete body.
        backoff_s: seconds during which the service wants no further call; None if it does not say.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    backoff_s: float | None = None


class PlainService(abc.ABC):
    """A service without model engines, which returns one complete response to each call."""

    @abc.abstractmethod
    async def is_reachable(self) -> bool:
        """Return whether the service accepts connections."""

    @abc.abstractmethod
    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceResponse:
        """Forward the call to the service, without retries.

        Raises:
            EngineFailed: the call failed; ``ran`` is False if it certainly did not arrive. The
                exception is shared with engines, so that agents handle both kinds of failure alike.
        """
