"""Error-budget burn and the value of the service to callers, computed from the programs' logs."""

from crankhinge.burn._caller_value import (
    CallerOutcome,
    CallerValue,
    CallerValueReport,
    CallerWeights,
    compute_caller_value,
    read_caller_attempts,
)
from crankhinge.burn._log_events import parse_line

__all__ = [
    "CallerOutcome",
    "CallerValue",
    "CallerValueReport",
    "CallerWeights",
    "compute_caller_value",
    "parse_line",
    "read_caller_attempts",
]
