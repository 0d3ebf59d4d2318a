"""Which instance keeps something for the whole fleet; no I/O."""

from crankhinge.decisions.coordination._groups import EngineGroups
from crankhinge.decisions.coordination._order import MAX_COORDINATORS, CoordinatorOrder

__all__ = ["MAX_COORDINATORS", "CoordinatorOrder", "EngineGroups"]
