"""Decides which runs leave an engine that shuts down, and where they go; no I/O."""

from crankhinge.decisions.migration._leaving import RunProgress, runs_to_move
from crankhinge.decisions.migration._targets import MoveTarget, ordered_targets

__all__ = ["MoveTarget", "RunProgress", "ordered_targets", "runs_to_move"]
