"""Who may give orders to backend servers: one instance at a time, under a rising fence."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderLease:
    """The right to give orders.

    Attributes:
        holder: the instance.
        token: greater than that of every earlier holder.
        lease_id: what it is renewed by.
        expires_at: end on the runtime's clock, in seconds, as the holder must believe.
    """

    holder: str
    token: int
    lease_id: str
    expires_at: float


class OrderLeaseStore(abc.ABC):
    """Gives the right to one instance at a time.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when no answer comes; a
    right that was given without an answer runs out by itself.
    """

    @abc.abstractmethod
    async def acquire(self, holder: str) -> OrderLease | None:
        """Return the right, or None while another instance has it."""

    @abc.abstractmethod
    async def renew(self, lease: OrderLease) -> OrderLease | None:
        """Return the right with its new end, or None when it is over."""
