"""A weighted fair queue over a tree of flows, earliest deadline first within a flow.

The queue applies start-time fair queueing (Goyal, Vin and Cheng, 1996) at each level of the tree:
priority class, partner, member (a client account). A class or member with little work never waits
behind one with much, and none starves, since the virtual time of each level only increases.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

FlowPath = tuple[str, ...]

SINGLE_FLOW: FlowPath = ("all",)
SINGLE_FLOW_WEIGHT = (1.0,)


@dataclass
class _Node:
    """A flow: either child flows with their start tags, or waiting items.

    Attributes:
        weight: weight among the flows of the same parent.
        start_tag: virtual time of the parent at which its next item starts.
        virtual_time: largest start tag of a child that has been served.
        count: number of waiting items in the flow.
        children: child flows by name.
        heap: deadlines and keys of the items; may include removed items.
    """

    weight: float = 1.0
    start_tag: float = 0.0
    virtual_time: float = 0.0
    count: int = 0
    children: dict[str, _Node] = field(default_factory=dict)
    heap: list[tuple[float, int]] = field(default_factory=list)


@dataclass(frozen=True)
class _QueuedItem(Generic[T]):
    """A waiting item, the path of its flow, and its amount of work."""

    item: T
    path: FlowPath
    cost: float


class FairQueue(Generic[T]):
    """A queue of items with integer keys; :meth:`pop` returns the next item of the flow to serve.

    At each level that is the flow with the lowest start tag, the one furthest behind its share of
    the service.

    Flows without items are removed once their start tag is not ahead of the virtual time, so memory
    use depends on the number of flows with waiting items, not on the number ever seen.
    """

    def __init__(self) -> None:
        self._root = _Node()
        self._queued: dict[int, _QueuedItem[T]] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, key: int) -> bool:
        return key in self._queued

    def push(
        self,
        key: int,
        item: T,
        *,
        path: FlowPath,
        weights: tuple[float, ...],
        deadline: float,
        cost: float,
    ) -> None:
        """Add an item.

        Args:
            key: unique among the waiting items.
            item: the item that :meth:`pop` returns.
            path: name of the flow at each level, outermost first.
            weights: weight of the flow at each level; a larger weight gets more service.
            deadline: orders the items of one flow.
            cost: amount of work of the item, in any unit common to all items.
        """
        node = self._root
        node.count += 1
        for name, weight in zip(path, weights, strict=True):
            child = node.children.get(name)
            if child is None:
                child = node.children[name] = _Node(start_tag=node.virtual_time)
            if child.count == 0:
                child.start_tag = max(child.start_tag, node.virtual_time)
            child.weight = weight
            child.count += 1
            node = child
        heapq.heappush(node.heap, (deadline, key))
        self._queued[key] = _QueuedItem(item, path, cost)

    def remove(self, key: int) -> T | None:
        """Remove the item *key* and return it; None when it is not waiting."""
        queued = self._queued.pop(key, None)
        if queued is None:
            return None
        for node in self._nodes(queued.path):
            node.count -= 1
        return queued.item

    def _nodes(self, path: FlowPath) -> list[_Node]:
        """Return the nodes from the root to the flow *path*."""
        nodes = [self._root]
        for name in path:
            nodes.append(nodes[-1].children[name])
        return nodes

    def peek(self) -> T | None:
        """Return the item that :meth:`pop` would return, without removing or charging it."""
        key = self._next_key()
        return None if key is None else self._queued[key].item

    def pop(self) -> T | None:
        """Remove and return the next item, and charge its flow for it."""
        key = self._next_key()
        if key is None:
            return None
        queued = self._queued.pop(key)
        self._charge(queued)
        return queued.item

    def _next_key(self) -> int | None:
        """Return the key of the next item; None when no item waits."""
        if not self._queued:
            return None
        node = self._root
        while node.children:
            waiting = [child for child in node.children.values() if child.count]
            node = min(waiting, key=lambda child: child.start_tag)
        while node.heap[0][1] not in self._queued:
            heapq.heappop(node.heap)
        return node.heap[0][1]

    def _charge(self, queued: _QueuedItem[T]) -> None:
        """Charge the flows of an item, at each level, for its cost."""
        node = self._root
        node.count -= 1
        for name in queued.path:
            child = node.children[name]
            node.virtual_time = max(node.virtual_time, child.start_tag)
            child.start_tag += queued.cost / child.weight
            child.count -= 1
            _remove_idle(node)
            node = child

    def share(self, path: FlowPath, weights: tuple[float, ...]) -> float:
        """Return the fraction of the service that a flow would get if it waited now.

        It is above 0 and at most 1.
        """
        fraction = 1.0
        node: _Node | None = self._root
        for name, weight in zip(path, weights, strict=True):
            children = node.children if node else {}
            others = sum(c.weight for n, c in children.items() if c.count and n != name)
            fraction *= weight / (weight + others)
            node = children.get(name)
        return fraction

    def waiting_cost(self, path: FlowPath) -> float:
        """Return the total cost of the items that wait in the flow *path*."""
        return sum(queued.cost for queued in self._queued.values() if queued.path == path)

    def items(self) -> list[T]:
        """Return all waiting items, in no order."""
        return [queued.item for queued in self._queued.values()]


def _remove_idle(node: _Node) -> None:
    """Remove the child flows that have no items and are not ahead of the virtual time."""
    idle = [n for n, c in node.children.items() if not c.count and c.start_tag <= node.virtual_time]
    for name in idle:
        del node.children[name]
