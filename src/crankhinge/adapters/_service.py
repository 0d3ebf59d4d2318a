"""A plain service, as an agent needs it."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class ServiceResponse:
    """A whole answer.

    Attributes:
        status: of HTTP.
        headers: that are passed on.
        body: the whole body.
        backoff_s: seconds for which the service wants no further call; None where it does not say.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    backoff_s: float | None = None


class PlainService(abc.ABC):
    """A service that answers calls."""

    @abc.abstractmethod
    async def is_reachable(self) -> bool:
        """Whether the service can be reached."""

    @abc.abstractmethod
    async def call(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> ServiceResponse:
        """Pass the call on, once.

        Raises:
            EngineFailed: with ``ran`` False when the call certainly did not arrive.
        """
