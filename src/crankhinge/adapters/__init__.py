"""The outside systems: an abstract base class for each, and one adapter."""

from crankhinge.adapters._engine import (
    DecodeStream,
    Engine,
    EngineFailed,
    EngineLoad,
    KvExpired,
    PrefillResult,
)
from crankhinge.adapters._instances import Instance, InstanceList
from crankhinge.adapters._keyvalue import KeyValue, Value
from crankhinge.adapters._service import PlainService, ServiceAnswer

__all__ = [
    "DecodeStream",
    "Engine",
    "EngineFailed",
    "EngineLoad",
    "Instance",
    "InstanceList",
    "KeyValue",
    "KvExpired",
    "PlainService",
    "PrefillResult",
    "ServiceAnswer",
    "Value",
]
