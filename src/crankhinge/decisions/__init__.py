"""Decisions: state, event and time in; decision out. No I/O, no clock, no hidden randomness."""

from crankhinge.decisions._accounts import Account, Accounts, TokenLimit
from crankhinge.decisions._advertised_limits import AdvertisedLimit, AdvertisedLimits
from crankhinge.decisions._backend import Backend
from crankhinge.decisions._breaker import Breaker, BreakerState
from crankhinge.decisions._budget import RetryBudget
from crankhinge.decisions._congestion import CongestionWindow
from crankhinge.decisions._connections import MAX_IDLE_CONNECTIONS, idle_connection_limit
from crankhinge.decisions._exclusions import ExclusionReason, ServerExclusions
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
from crankhinge.decisions._fence_keys import to_recorded_response
from crankhinge.decisions._fence_messages import (
    FenceAlreadyTaken,
    FenceClaim,
    FenceClaimReply,
    FenceJoined,
    FencePermitRequest,
    FencePermitted,
    FenceRelease,
    FenceSettle,
    FenceState,
    FenceSync,
    RecordedResponse,
)
from crankhinge.decisions._fingerprint import fingerprint
from crankhinge.decisions._forecast import MemoryForecast
from crankhinge.decisions._freshness import WATCH_RECOVERY_S, ChangeBatcher, FreshnessBounds
from crankhinge.decisions._incarnations import (
    IncarnationDoubts,
    ListConfirmation,
    ListState,
)
from crankhinge.decisions._mechanisms import FULL, NAIVE, POLICIES, Mechanisms, mechanisms_for
from crankhinge.decisions._member_limits import MemberLimits
from crankhinge.decisions._membership import (
    FLEET_ENTRY_LEASE_S,
    FLEET_ENTRY_RENEWAL_INTERVAL_S,
    JOIN_ANNOUNCEMENT_INTERVAL_S,
    LEASE_RENEWAL_INTERVAL_S,
    RECORD_LEASE_S,
    START_ALLOWANCE_S,
    Membership,
)
from crankhinge.decisions._part_history import MAX_WRITING_S, PartHistory, is_served_since
from crankhinge.decisions._permit_pool import PERMIT_TRANSIT_S, PermitDecision, PermitPool
from crankhinge.decisions._prefix import PrefixIndex
from crankhinge.decisions._quarantine import (
    COMPLETED_RETENTION_S,
    Quarantine,
    QuarantineUpdate,
)
from crankhinge.decisions._quota import (
    DECISION_RETRY_S,
    DEFAULT_WINDOW_S,
    NOT_ALLOCATOR,
    QuotaAllocator,
    QuotaBounds,
    QuotaClient,
    QuotaDecision,
    QuotaOutcome,
)
from crankhinge.decisions._rendezvous import rank_by_key
from crankhinge.decisions._requests import FairRequest, Refusal, SlotRequest, WorkRequest
from crankhinge.decisions._reservations import (
    DEFAULT_FIRST_EVENT_S,
    DEFAULT_SERVICE_S,
    LATE_VALUE,
    MIN_FIRST_ATTEMPTS,
    RETRY_OF_LONGEST_WAIT,
    RETRY_OF_SHORTEST_FIRST_WAIT,
    WAIT_COST_PER_S,
    CallerRetryDetector,
    ReservationQueue,
    ReservationRequest,
    engines_to_try,
    retry_delay_s,
    stream_event_timeout_s,
    tokens_to_reserve,
)
from crankhinge.decisions._rollout import (
    AcquiredRollout,
    RolloutLease,
    RolloutRecord,
    adapters_to_load,
    release_rollout,
    try_acquire_rollout,
)
from crankhinge.decisions._routes import (
    CallerLimits,
    EngineLimits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServiceWeight,
)
from crankhinge.decisions._routing import Router, RouteRequest, RoutingCosts
from crankhinge.decisions._server_stats import RoleChange, ServerStats, pick_server
from crankhinge.decisions._servers import (
    UNKNOWN_VERSION,
    EngineRole,
    Server,
    ServerList,
    ServerListChange,
)
from crankhinge.decisions._shared_limits import ClockStamp, SharedLimits, ShareLease
from crankhinge.decisions._slots import SlotDecision, SlotGrant, SlotTable
from crankhinge.decisions._split import (
    MIN_ANSWERS_TO_GROW_PREFILL,
    PoolLoads,
    WorkloadMeter,
    WorkloadStats,
    combined_loads,
    mean_run_tokens,
    order_by_versions,
    wanted_prompt_engines,
)
from crankhinge.decisions._stream_origins import (
    MAX_STREAM_S,
    ServiceVersions,
    StreamOrigin,
    StreamOrigins,
    service_number,
    stream_key,
)
from crankhinge.decisions._token_bucket import MAX_RETRY_AFTER_S, TokenBucket
from crankhinge.decisions._work_keys import WorkKeys, is_part_key, part_keys, prompt_only_keys
from crankhinge.decisions._work_queue import WorkQueue

__all__ = [
    "COMPLETED_RETENTION_S",
    "DECISION_RETRY_S",
    "DEFAULT_FIRST_EVENT_S",
    "DEFAULT_SERVICE_S",
    "DEFAULT_WINDOW_S",
    "FLEET_ENTRY_LEASE_S",
    "FLEET_ENTRY_RENEWAL_INTERVAL_S",
    "FULL",
    "JOIN_ANNOUNCEMENT_INTERVAL_S",
    "LATE_VALUE",
    "LEASE_RENEWAL_INTERVAL_S",
    "MAX_IDLE_CONNECTIONS",
    "MAX_RETRY_AFTER_S",
    "MAX_STREAM_S",
    "MAX_WRITING_S",
    "MIN_ANSWERS_TO_GROW_PREFILL",
    "MIN_FIRST_ATTEMPTS",
    "NAIVE",
    "NOT_ALLOCATOR",
    "PERMIT_TRANSIT_S",
    "POLICIES",
    "RECORD_LEASE_S",
    "RETRY_OF_LONGEST_WAIT",
    "RETRY_OF_SHORTEST_FIRST_WAIT",
    "START_ALLOWANCE_S",
    "UNKNOWN_VERSION",
    "WAIT_COST_PER_S",
    "WATCH_RECOVERY_S",
    "Account",
    "Accounts",
    "AcquiredRollout",
    "AdvertisedLimit",
    "AdvertisedLimits",
    "Backend",
    "Breaker",
    "BreakerState",
    "CallerLimits",
    "CallerRetryDetector",
    "ChangeBatcher",
    "ClockStamp",
    "CongestionWindow",
    "EngineLimits",
    "EngineRole",
    "ExclusionReason",
    "FairQueue",
    "FairRequest",
    "FenceAction",
    "FenceAlreadyTaken",
    "FenceClaim",
    "FenceClaimReply",
    "FenceJoined",
    "FencePair",
    "FencePermitRequest",
    "FencePermitted",
    "FenceRecord",
    "FenceRelease",
    "FenceRole",
    "FenceSettle",
    "FenceState",
    "FenceSync",
    "FreshnessBounds",
    "IncarnationDoubts",
    "ListConfirmation",
    "ListState",
    "Mechanisms",
    "MemberLimits",
    "Membership",
    "MemoryForecast",
    "PartHistory",
    "PermitDecision",
    "PermitPool",
    "PoolLoads",
    "PrefixIndex",
    "Quarantine",
    "QuarantineUpdate",
    "QuotaAllocator",
    "QuotaBounds",
    "QuotaClient",
    "QuotaDecision",
    "QuotaOutcome",
    "ReadRecord",
    "RecordedResponse",
    "Refusal",
    "Reply",
    "ReservationQueue",
    "ReservationRequest",
    "RetryBudget",
    "RoleChange",
    "RolloutLease",
    "RolloutRecord",
    "Route",
    "RouteKind",
    "RouteRequest",
    "RouteTable",
    "Router",
    "RoutingCosts",
    "Send",
    "Server",
    "ServerExclusions",
    "ServerList",
    "ServerListChange",
    "ServerStats",
    "Service",
    "ServiceVersions",
    "ServiceWeight",
    "ShareLease",
    "SharedLimits",
    "SlotDecision",
    "SlotGrant",
    "SlotRequest",
    "SlotTable",
    "StreamOrigin",
    "StreamOrigins",
    "SwapRecord",
    "TokenBucket",
    "TokenLimit",
    "WorkKeys",
    "WorkQueue",
    "WorkRequest",
    "WorkloadMeter",
    "WorkloadStats",
    "adapters_to_load",
    "combined_loads",
    "engines_to_try",
    "fingerprint",
    "idle_connection_limit",
    "is_part_key",
    "is_served_since",
    "mean_run_tokens",
    "mechanisms_for",
    "order_by_versions",
    "part_keys",
    "pick_server",
    "prompt_only_keys",
    "rank_by_key",
    "release_rollout",
    "retry_delay_s",
    "service_number",
    "stream_event_timeout_s",
    "stream_key",
    "to_recorded_response",
    "tokens_to_reserve",
    "try_acquire_rollout",
    "wanted_prompt_engines",
]
