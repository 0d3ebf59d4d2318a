"""Abstract base classes for the external systems, and adapters that implement some of them."""

from crankhinge.adapters._dialect import (
    AttemptParams,
    CopyOutcome,
    Dialect,
    EngineState,
    OrderOutcome,
    RelayRequest,
    ResponseSignals,
    RunCopy,
    SideCall,
)
from crankhinge.adapters._engine import (
    DecodeStream,
    Engine,
    EngineFailed,
    EngineLoad,
    KvExpired,
    PrefillResult,
)
from crankhinge.adapters._instances import Instance, InstanceList
from crankhinge.adapters._keyvalue import KeyValueStore, StoredValue
from crankhinge.adapters._order_lease import OrderLease, OrderLeaseStore
from crankhinge.adapters._origin_journal import OriginJournalStore
from crankhinge.adapters._registry import FleetEntry, InstanceRecord, InstanceRegistry, RecordLease
from crankhinge.adapters._service import PlainService, ServiceResponse
from crankhinge.adapters._source import (
    ConfigUpdate,
    DiscoverySource,
    HistoryLost,
    ServersUpdate,
    TooMuchChanged,
)
from crankhinge.adapters._version_history import StoredHistory, VersionHistoryStore

__all__ = [
    "AttemptParams",
    "ConfigUpdate",
    "CopyOutcome",
    "DecodeStream",
    "Dialect",
    "DiscoverySource",
    "Engine",
    "EngineFailed",
    "EngineLoad",
    "EngineState",
    "FleetEntry",
    "HistoryLost",
    "Instance",
    "InstanceList",
    "InstanceRecord",
    "InstanceRegistry",
    "KeyValueStore",
    "KvExpired",
    "OrderLease",
    "OrderLeaseStore",
    "OrderOutcome",
    "OriginJournalStore",
    "PlainService",
    "PrefillResult",
    "RecordLease",
    "RelayRequest",
    "ResponseSignals",
    "RunCopy",
    "ServersUpdate",
    "ServiceResponse",
    "SideCall",
    "StoredHistory",
    "StoredValue",
    "TooMuchChanged",
    "VersionHistoryStore",
]
