"""What the engines could do at the very most: an upper bound on goodput for one trace.

Two relaxations, each of which drops all but one constraint; the smaller count is the bound. The
requests are taken cheapest first, so no choice of the same number costs less:

* decode: every request in time has its first token, and so a slot, by the last arrival plus the
  target; but for those that still hold a slot then, all its tokens were written before;
* prefill: prompt tokens that all prefill engines can read, each shared prefix read once for all.
"""

from __future__ import annotations

from collections.abc import Iterable

from crankhinge_bench._spec import ClusterSpec, EngineSpec
from crankhinge_bench._trace import Arrival, Load, make_trace

CAPACITY_SAMPLE_S = 400.0


def decode_tokens_per_s(spec: ClusterSpec) -> float:
    """Return the tokens a second that all decode engines write with full memory."""
    return sum(_decode_rate(e) * e.count for e in spec.engines if e.kind == "decode")


def _decode_rate(engine: EngineSpec) -> float:
    return engine.slots / (engine.step_s + engine.step_per_request_s * (engine.slots - 1))


def prefill_tokens_per_s(spec: ClusterSpec) -> float:
    """Return the prompt tokens a second that all prefill engines read."""
    return sum(e.prefill_rate * e.count for e in spec.engines if e.kind == "prefill")


def capacity_per_s(spec: ClusterSpec, load: Load) -> float:
    """Return the requests a second at which one kind of engine is fully used."""
    sample = make_trace(_at_rate(load, 20.0, CAPACITY_SAMPLE_S), seed=0)
    asks = [arrival for arrival in sample if not arrival.path]
    outputs = sum(arrival.max_tokens for arrival in asks) / len(asks)
    inputs = sum(_unshared(arrival, load) for arrival in asks) / len(asks)
    return min(decode_tokens_per_s(spec) / outputs, prefill_tokens_per_s(spec) / inputs)


def _at_rate(load: Load, per_s: float, seconds: float) -> Load:
    values = {name: getattr(load, name) for name in load.__struct_fields__}
    return Load(**{**values, "per_s": per_s, "seconds": seconds, "calls_per_s": 0.0})


def with_rate(load: Load, per_s: float) -> Load:
    """Return *load* with its rate set."""
    values = {name: getattr(load, name) for name in load.__struct_fields__}
    return Load(**{**values, "per_s": per_s})


def _unshared(arrival: Arrival, load: Load) -> int:
    """Return the prompt tokens that no other prompt of the trace shares."""
    words = arrival.prompt.count(" ") + 1
    return max(1, words - load.prefix_words) if arrival.has_shared_prefix else words


def goodput_bound(spec: ClusterSpec, load: Load, trace: list[Arrival]) -> int:
    """Return the most requests of *trace* that could be answered in time."""
    asks = [a for a in trace if not a.path and not a.cancel_after_tokens]
    asks = [a for a in asks if _alone_s(spec, load, a) <= spec.first_token_s]
    span = max((a.at for a in asks), default=0.0) + spec.first_token_s
    held = sum(e.slots * e.count for e in spec.engines if e.kind == "decode")
    decode = held + _count(decode_tokens_per_s(spec) * span, (a.max_tokens for a in asks))
    prefill = _count(prefill_tokens_per_s(spec) * span, (_unshared(a, load) for a in asks))
    return min(len(asks), decode, prefill)


def _alone_s(spec: ClusterSpec, load: Load, arrival: Arrival) -> float:
    """Return the seconds until the first token on an idle system."""
    rate = max(e.prefill_rate for e in spec.engines if e.kind == "prefill")
    step = min(e.step_s for e in spec.engines if e.kind == "decode")
    return _unshared(arrival, load) / rate + step


def _count(budget: float, costs: Iterable[int]) -> int:
    """Return how many of *costs* fit into *budget*, the cheapest first."""
    count = 0
    for cost in sorted(costs):
        budget -= cost
        if budget < 0:
            break
        count += 1
    return count
