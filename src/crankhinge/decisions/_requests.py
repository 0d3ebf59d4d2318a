"""What the queues are asked for, and how they say no."""

from __future__ import annotations

from dataclasses import dataclass

PRIORITY_WEIGHTS = (16.0, 4.0, 1.0)


def priority_weight(rank: int) -> float:
    """Return the weight of a priority class; unknown classes count as the last."""
    return PRIORITY_WEIGHTS[min(rank, len(PRIORITY_WEIGHTS) - 1)]


@dataclass(frozen=True, kw_only=True)
class FairRequest:
    """A request that waits in a fair queue.

    Attributes:
        req: identity, unique.
        partner: partner of the member.
        member: who asks.
        rank: priority class, 0 most urgent.
        deadline: when it is of no more use, seconds.
        weight: of the member within its partner.
        partner_weight: of the partner.
    """

    req: int
    partner: str
    member: str
    rank: int
    deadline: float
    weight: float = 1.0
    partner_weight: float = 1.0

    @property
    def flow(self) -> tuple[str, ...]:
        """Its flow."""
        return (str(self.rank), self.partner, self.member)

    @property
    def flow_weights(self) -> tuple[float, ...]:
        """The weight of its flow at each level."""
        return (priority_weight(self.rank), self.partner_weight, self.weight)


@dataclass(frozen=True, kw_only=True)
class SlotRequest(FairRequest):
    """A request for a slot.

    Attributes:
        lead_s: seconds from the grant until the slot is used.
        max_tokens: most tokens the answer may have.
    """

    lead_s: float
    max_tokens: int


@dataclass(frozen=True, kw_only=True)
class WorkRequest(FairRequest):
    """A prompt to read or a call to make.

    Attributes:
        units: estimated work: prompt tokens, or calls.
    """

    units: int


@dataclass(frozen=True)
class Refusal:
    """``req`` gets no slot and was not started."""

    req: int
    code: str
    retry_after_s: float
