"""Decisions: state, event and time in; decision out. No I/O, no clock, no hidden randomness."""

from crankhinge.decisions._breaker import Breaker, BreakerState
from crankhinge.decisions._budget import RetryBudget
from crankhinge.decisions._fair import FairQueue
from crankhinge.decisions._limits import MemberLimits
from crankhinge.decisions._mechanisms import FULL, NAIVE, POLICIES, Mechanisms, mechanisms
from crankhinge.decisions._rendezvous import rank_by_key
from crankhinge.decisions._routing import Backend, PrefixIndex, RouteAsk, Router, RoutingWeights
from crankhinge.decisions._slots import Grant, Refuse, SlotAsk, SlotDecision, SlotTable
from crankhinge.decisions._work import WorkAsk, WorkQueue

__all__ = [
    "FULL",
    "NAIVE",
    "POLICIES",
    "Backend",
    "Breaker",
    "BreakerState",
    "FairQueue",
    "Grant",
    "Mechanisms",
    "MemberLimits",
    "PrefixIndex",
    "Refuse",
    "RetryBudget",
    "RouteAsk",
    "Router",
    "RoutingWeights",
    "SlotAsk",
    "SlotDecision",
    "SlotTable",
    "WorkAsk",
    "WorkQueue",
    "mechanisms",
    "rank_by_key",
]
