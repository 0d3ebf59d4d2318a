"""Who may give orders to backend servers: one instance at a time, under a rising fence."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tenure:
    """The right to give orders.

    Attributes:
        holder: the instance.
        fence: greater than that of every earlier holder.
        lease: what it is renewed by.
        until: end on the runtime's clock, in seconds, as the holder must believe.
    """

    holder: str
    fence: int
    lease: str
    until: float


class TenureOffice(abc.ABC):
    """Gives the right to one instance at a time.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when no answer comes; a
    right that was given without an answer runs out by itself.
    """

    @abc.abstractmethod
    async def acquire(self, holder: str) -> Tenure | None:
        """Return the right, or None while another instance has it."""

    @abc.abstractmethod
    async def renew(self, tenure: Tenure) -> Tenure | None:
        """Return the right with its new end, or None when it is over."""
