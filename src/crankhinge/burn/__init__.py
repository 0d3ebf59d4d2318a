"""The report on service-level burn and the callers' account, made from the programs' logs."""

from crankhinge.burn._callers import (
    CallersAccount,
    CallerWeights,
    Outcome,
    Tally,
    callers_account,
    read_tries,
)
from crankhinge.burn._read import parse_line

__all__ = [
    "CallerWeights",
    "CallersAccount",
    "Outcome",
    "Tally",
    "callers_account",
    "parse_line",
    "read_tries",
]
