"""Requests that wait in the fair queues of agents, and their refusal."""

from __future__ import annotations

from dataclasses import dataclass

# Weight of each priority class in the fair queues, the most urgent class first.
PRIORITY_WEIGHTS = (16.0, 4.0, 1.0)


def priority_weight(rank: int) -> float:
    """Return the weight of a priority class; unknown classes count as the last."""
    return PRIORITY_WEIGHTS[min(rank, len(PRIORITY_WEIGHTS) - 1)]


@dataclass(frozen=True, kw_only=True)
class FairRequest:
    """A request that waits in a fair queue.

    Attributes:
        req: unique id of the request.
        partner: name of the partner that the member belongs to.
        member: name of the member (client account) that sent the request.
        rank: priority class, 0 is the most urgent.
        deadline: time in seconds after which the answer is useless.
        weight: weight of the member within its partner.
        partner_weight: weight of the partner.
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
        """Name of its flow at each level: priority class, partner, member."""
        return (str(self.rank), self.partner, self.member)

    @property
    def flow_weights(self) -> tuple[float, ...]:
        """Weight of its flow at each level."""
        return (priority_weight(self.rank), self.partner_weight, self.weight)


@dataclass(frozen=True, kw_only=True)
class SlotRequest(FairRequest):
    """A request for a slot of a decode engine.

    Attributes:
        lead_s: seconds from the grant until the slot is used.
        max_tokens: maximum number of tokens of the answer.
    """

    lead_s: float
    max_tokens: int


@dataclass(frozen=True, kw_only=True)
class WorkRequest(FairRequest):
    """A prompt to process or a call to a plain service.

    Attributes:
        units: estimated work: prompt tokens, or calls.
    """

    units: int


@dataclass(frozen=True)
class Refusal:
    """The refusal of the request *req*, which was not started.

    Attributes:
        req: id of the request.
        code: error code.
        retry_after_s: seconds after which to retry.
    """

    req: int
    code: str
    retry_after_s: float
