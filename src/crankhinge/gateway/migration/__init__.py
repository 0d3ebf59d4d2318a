"""Moves running streams between engines."""

from crankhinge.gateway.migration._handover import Handover, MoveOutcome

__all__ = ["Handover", "MoveOutcome"]
