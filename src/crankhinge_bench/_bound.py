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
    return sum(
        _engine_tokens_per_s(engine) * engine.count
        for engine in spec.engines
        if engine.kind == "decode"
    )


def _engine_tokens_per_s(engine: EngineSpec) -> float:
    return engine.slots / (engine.step_s + engine.step_per_request_s * (engine.slots - 1))


def prefill_tokens_per_s(spec: ClusterSpec) -> float:
    """Return the prompt tokens a second that all prefill engines read."""
    return sum(
        engine.prefill_rate * engine.count for engine in spec.engines if engine.kind == "prefill"
    )


def capacity_per_s(spec: ClusterSpec, load: Load) -> float:
    """Return the requests a second at which one kind of engine is fully used."""
    sample = make_trace(_sample_load(load, 20.0, CAPACITY_SAMPLE_S), seed=0)
    completions = [arrival for arrival in sample if not arrival.path]
    outputs = sum(arrival.max_tokens for arrival in completions) / len(completions)
    inputs = sum(_unshared_tokens(arrival, load) for arrival in completions) / len(completions)
    return min(decode_tokens_per_s(spec) / outputs, prefill_tokens_per_s(spec) / inputs)


def _sample_load(load: Load, per_s: float, seconds: float) -> Load:
    values = {name: getattr(load, name) for name in load.__struct_fields__}
    return Load(**{**values, "per_s": per_s, "seconds": seconds, "calls_per_s": 0.0})


def with_rate(load: Load, per_s: float) -> Load:
    """Return *load* with its rate set."""
    values = {name: getattr(load, name) for name in load.__struct_fields__}
    return Load(**{**values, "per_s": per_s})


def _unshared_tokens(arrival: Arrival, load: Load) -> int:
    """Return the prompt tokens that no other prompt of the trace shares."""
    prompt_tokens = arrival.prompt.count(" ") + 1
    return max(1, prompt_tokens - load.prefix_words) if arrival.has_shared_prefix else prompt_tokens


def goodput_bound(spec: ClusterSpec, load: Load, trace: list[Arrival]) -> int:
    """Return the most requests of *trace* that could be answered in time."""
    completions = [
        arrival for arrival in trace if not arrival.path and not arrival.cancel_after_tokens
    ]
    completions = [
        arrival
        for arrival in completions
        if _unloaded_first_token_s(spec, load, arrival) <= spec.first_token_s
    ]
    span_s = max((arrival.at for arrival in completions), default=0.0) + spec.first_token_s
    slots = sum(engine.slots * engine.count for engine in spec.engines if engine.kind == "decode")
    decode = slots + _count_affordable(
        decode_tokens_per_s(spec) * span_s, (arrival.max_tokens for arrival in completions)
    )
    prefill = _count_affordable(
        prefill_tokens_per_s(spec) * span_s,
        (_unshared_tokens(arrival, load) for arrival in completions),
    )
    return min(len(completions), decode, prefill)


def _unloaded_first_token_s(spec: ClusterSpec, load: Load, arrival: Arrival) -> float:
    """Return the seconds until the first token on an idle system."""
    rate = max(engine.prefill_rate for engine in spec.engines if engine.kind == "prefill")
    step = min(engine.step_s for engine in spec.engines if engine.kind == "decode")
    return _unshared_tokens(arrival, load) / rate + step


def _count_affordable(budget: float, costs: Iterable[int]) -> int:
    """Return how many of *costs* fit into *budget*, the cheapest first."""
    count = 0
    for cost in sorted(costs):
        budget -= cost
        if budget < 0:
            break
        count += 1
    return count
