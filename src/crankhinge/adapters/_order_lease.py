"""Lease that lets one instance at a time send orders to engines, with a fencing token."""

from __future__ import annotations

import abc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderLease:
    """Exclusive right of one instance to send orders to engines.

    Attributes:
        holder: name of the instance that holds the lease.
        token: fencing token, greater than that of every earlier holder.
        lease_id: id with which the holder renews the lease.
        expires_at: time on the runtime's clock, in seconds, from which the holder must treat the
            lease as expired.
    """

    holder: str
    token: int
    lease_id: str
    expires_at: float


class OrderLeaseStore(abc.ABC):
    """Grants the order lease to one instance at a time.

    Every method raises :class:`crankhinge.errors.KeyValueUnavailable` when the store does not
    respond; a lease that was granted without a response expires by itself.
    """

    @abc.abstractmethod
    async def acquire(self, holder: str) -> OrderLease | None:
        """Return the order lease, or None while another instance holds it."""

    @abc.abstractmethod
    async def renew(self, lease: OrderLease) -> OrderLease | None:
        """Return the order lease with its new expiry, or None if it has expired."""
