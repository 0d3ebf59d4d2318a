"""Decisions: state, event and time in; decision out. No I/O, no clock, no hidden randomness."""

from crankhinge.decisions._accounts import Account, Accounts, TokenLimit
from crankhinge.decisions._asks import FairAsk, Refuse, SlotAsk, WorkAsk
from crankhinge.decisions._backend import Backend
from crankhinge.decisions._bars import Bar, Bars
from crankhinge.decisions._breaker import Breaker, BreakerState
from crankhinge.decisions._budget import RetryBudget
from crankhinge.decisions._congestion import Congestion
from crankhinge.decisions._connections import KEPT_MOST, kept_connections
from crankhinge.decisions._fair import FairQueue
from crankhinge.decisions._fence import FencePair
from crankhinge.decisions._fence_actions import (
    FenceAction,
    FenceRecord,
    FenceRole,
    ReadRecord,
    Reply,
    Send,
    SwapRecord,
)
from crankhinge.decisions._fence_keys import keep_answer
from crankhinge.decisions._fence_messages import (
    Answer,
    FenceJoined,
    FenceState,
    FenceSync,
    Permit,
    Permitted,
    Release,
    Settle,
    Take,
    Taken,
    TakenBefore,
)
from crankhinge.decisions._fingerprint import fingerprint
from crankhinge.decisions._forecast import MemoryForecast
from crankhinge.decisions._freshness import Freshness, Gathering
from crankhinge.decisions._limit_pool import PERMIT_S, LimitPool, LimitWord
from crankhinge.decisions._limits import MemberLimits
from crankhinge.decisions._mechanisms import FULL, NAIVE, POLICIES, Mechanisms, mechanisms
from crankhinge.decisions._members import GREET_S, NOTE_S, RENEW_S, Members
from crankhinge.decisions._named_limits import NamedLimit, NamedLimits
from crankhinge.decisions._places import (
    FIRST_S,
    FIRSTS_LEAST,
    FIRSTS_PART,
    HELD_PER_S,
    LATE_WORTH,
    RETURNED_PART,
    SERVE_S,
    FirstTries,
    PlaceAsk,
    WaitingOrder,
    back_after,
    memory_needed,
    places_to_ask,
    silent_s,
)
from crankhinge.decisions._prefix import PrefixIndex
from crankhinge.decisions._quarantine import Isolation, Quarantine
from crankhinge.decisions._quota import (
    NOT_MINE,
    QuotaAllocator,
    QuotaAsker,
    QuotaBounds,
    QuotaWord,
    TokenBucket,
    Verdict,
)
from crankhinge.decisions._rendezvous import rank_by_key
from crankhinge.decisions._roll import (
    RollLease,
    RollPlace,
    RollRecord,
    to_load,
    try_acquire,
    without,
)
from crankhinge.decisions._routes import (
    CallerLimits,
    EngineLimits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Share,
)
from crankhinge.decisions._routing import RouteAsk, Router, RoutingWeights
from crankhinge.decisions._servers import ListChange, Phase, Server, ServerList
from crankhinge.decisions._shared_limits import Loan, SharedLimits, Stamp
from crankhinge.decisions._slots import Grant, SlotDecision, SlotTable
from crankhinge.decisions._split import (
    MANY_ANSWERS,
    Loads,
    WorkMeter,
    WorkSheet,
    loads_of,
    wanted_readers,
)
from crankhinge.decisions._standing import PhaseChange, Standing, pick_server
from crankhinge.decisions._work import WorkQueue

__all__ = [
    "FIRSTS_LEAST",
    "FIRSTS_PART",
    "FIRST_S",
    "FULL",
    "GREET_S",
    "HELD_PER_S",
    "KEPT_MOST",
    "LATE_WORTH",
    "MANY_ANSWERS",
    "NAIVE",
    "NOTE_S",
    "NOT_MINE",
    "PERMIT_S",
    "POLICIES",
    "RENEW_S",
    "RETURNED_PART",
    "SERVE_S",
    "Account",
    "Accounts",
    "Answer",
    "Backend",
    "Bar",
    "Bars",
    "Breaker",
    "BreakerState",
    "CallerLimits",
    "Congestion",
    "EngineLimits",
    "FairAsk",
    "FairQueue",
    "FenceAction",
    "FenceJoined",
    "FencePair",
    "FenceRecord",
    "FenceRole",
    "FenceState",
    "FenceSync",
    "FirstTries",
    "Freshness",
    "Gathering",
    "Grant",
    "Isolation",
    "LimitPool",
    "LimitWord",
    "ListChange",
    "Loads",
    "Loan",
    "Mechanisms",
    "MemberLimits",
    "Members",
    "MemoryForecast",
    "NamedLimit",
    "NamedLimits",
    "Permit",
    "Permitted",
    "Phase",
    "PhaseChange",
    "PlaceAsk",
    "PrefixIndex",
    "Quarantine",
    "QuotaAllocator",
    "QuotaAsker",
    "QuotaBounds",
    "QuotaWord",
    "ReadRecord",
    "Refuse",
    "Release",
    "Reply",
    "RetryBudget",
    "RollLease",
    "RollPlace",
    "RollRecord",
    "Route",
    "RouteAsk",
    "RouteKind",
    "RouteTable",
    "Router",
    "RoutingWeights",
    "Send",
    "Server",
    "ServerList",
    "Service",
    "Settle",
    "Share",
    "SharedLimits",
    "SlotAsk",
    "SlotDecision",
    "SlotTable",
    "Stamp",
    "Standing",
    "SwapRecord",
    "Take",
    "Taken",
    "TakenBefore",
    "TokenBucket",
    "TokenLimit",
    "Verdict",
    "WaitingOrder",
    "WorkAsk",
    "WorkMeter",
    "WorkQueue",
    "WorkSheet",
    "back_after",
    "fingerprint",
    "keep_answer",
    "kept_connections",
    "loads_of",
    "mechanisms",
    "memory_needed",
    "pick_server",
    "places_to_ask",
    "rank_by_key",
    "silent_s",
    "to_load",
    "try_acquire",
    "wanted_readers",
    "without",
]
