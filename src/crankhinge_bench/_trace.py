"""Generates the trace of a run, a list of requests with arrival times, from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

VOCABULARY_SIZE = 4000
MAX_TOKENS_BEFORE_CANCEL = 20


@dataclass(frozen=True)
class Arrival:
    """One request of the trace.

    Attributes:
        at: arrival time in seconds after the start of the trace.
        member: member that sends the request.
        prompt: text of the prompt; empty for a call to a plain service.
        max_tokens: length of the answer in tokens.
        rank: priority class.
        cancel_after_tokens: number of tokens after which the caller cancels; 0 for never.
        path: path of a call to a plain service; empty for a completion.
        repeatable: whether the request may run more than once.
        has_shared_prefix: whether the prompt begins with a shared prefix.
    """

    at: float
    member: str
    prompt: str = ""
    max_tokens: int = 0
    rank: int = 1
    cancel_after_tokens: int = 0
    path: str = ""
    repeatable: bool = True
    has_shared_prefix: bool = False


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Distribution of the requests of a trace.

    Attributes:
        seconds: length of the trace in seconds.
        per_s: mean completions per second; a Poisson process.
        calls_per_s: mean calls to the plain service per second; a Poisson process.
        prompt_words: median of the log-normal prompt length in words, without a shared prefix.
        prompt_sigma: standard deviation of the logarithm of the prompt length.
        output_tokens: median of the log-normal answer length in tokens.
        output_sigma: standard deviation of the logarithm of the answer length.
        max_prompt_words: maximum prompt length in words, without a shared prefix.
        max_output_tokens: maximum answer length in tokens.
        prefixes: number of shared prefixes.
        prefix_words: length of a shared prefix in words.
        prefix_share: fraction of the completions that begin with a shared prefix.
        cancel_share: fraction of the completions whose callers cancel during the answer.
        cancel_tokens: answer length of the completions that callers cancel, each within its first
            20 tokens; 0 to keep the random length and cancel at any token.
        members: weight of each member's requests; empty if all come from ``naas-office``.
        ranks: weight of each priority class.
    """

    seconds: float = 10.0
    per_s: float = 10.0
    calls_per_s: float = 0.0
    prompt_words: float = 300.0
    prompt_sigma: float = 0.8
    output_tokens: float = 40.0
    output_sigma: float = 0.6
    max_prompt_words: int = 8000
    max_output_tokens: int = 400
    prefixes: int = 8
    prefix_words: int = 256
    prefix_share: float = 0.5
    cancel_share: float = 0.0
    cancel_tokens: int = 0
    members: dict[str, float] = {}
    ranks: tuple[float, ...] = (0.1, 0.7, 0.2)


def _random_words(rng: random.Random, count: int) -> str:
    return " ".join(f"x{rng.randrange(VOCABULARY_SIZE)}" for _ in range(count))


def _random_length(rng: random.Random, median: float, sigma: float, max_length: int) -> int:
    return max(1, min(max_length, int(median * rng.lognormvariate(0.0, sigma))))


def make_trace(load: Load, seed: int) -> list[Arrival]:
    """Return the requests of a trace, ordered by arrival time."""
    rng = random.Random(seed)
    prefixes = [_random_words(rng, load.prefix_words) for _ in range(load.prefixes)]
    shares = load.members or {"naas-office": 1.0}
    names = list(shares)
    weights = list(shares.values())
    trace = []
    at = 0.0
    while load.per_s and (at := at + rng.expovariate(load.per_s)) < load.seconds:
        member = rng.choices(names, weights)[0]
        trace.append(_make_completion(rng, load, at, member, prefixes))
    at = 0.0
    while load.calls_per_s and (at := at + rng.expovariate(load.calls_per_s)) < load.seconds:
        member = rng.choices(names, weights)[0]
        trace.append(Arrival(at, member, path="/ledger/approve", repeatable=False))
    trace.sort(key=lambda arrival: arrival.at)
    return trace


def _make_completion(
    rng: random.Random, load: Load, at: float, member: str, prefixes: list[str]
) -> Arrival:
    words = _random_length(rng, load.prompt_words, load.prompt_sigma, load.max_prompt_words)
    prompt = _random_words(rng, words)
    shared = bool(prefixes) and rng.random() < load.prefix_share
    if shared:
        prompt = f"{rng.choice(prefixes)} {prompt}"
    tokens = _random_length(rng, load.output_tokens, load.output_sigma, load.max_output_tokens)
    cancel = rng.randint(1, tokens) if rng.random() < load.cancel_share else 0
    if cancel and load.cancel_tokens:
        tokens, cancel = load.cancel_tokens, min(cancel, MAX_TOKENS_BEFORE_CANCEL)
    rank = rng.choices(range(len(load.ranks)), load.ranks)[0]
    return Arrival(at, member, prompt, tokens, rank, cancel, has_shared_prefix=shared)
