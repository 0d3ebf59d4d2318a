"""What an entry expects of a request: tokens, times, and until when it is worth trying."""

from __future__ import annotations

from crankhinge.config import Policy
from crankhinge.decisions import FULL, Mechanisms, Router, RouteRequest
from crankhinge.entry._requests import PREFIX_BLOCK_CHARS, CompletionRequest

DEFAULT_CHARS_PER_TOKEN = 4.0
CHARS_EWMA_WEIGHT = 0.05
FIXED_TIMEOUT_S = 60.0
LONG_PROMPT_FACTOR = 1.5
TARGET_MARGIN = 0.05
TARGET_MARGIN_PER_WASTE_WEIGHT = 0.1


class RequestEstimator:
    """Learns how many characters a token has, model by model.

    Args:
        router: knows the engines.
        mech: which mechanisms are at work.
    """

    def __init__(self, router: Router, mech: Mechanisms = FULL) -> None:
        self._router = router
        self._mechanisms = mech
        self._chars_per_token: dict[str, float] = {}

    def _get_chars_per_token(self, ask: CompletionRequest) -> float:
        return self._chars_per_token.get(ask.model.name, DEFAULT_CHARS_PER_TOKEN)

    def prompt_tokens(self, request: CompletionRequest) -> int:
        """Return the likely number of prompt tokens, by what engines counted before."""
        return max(1, int(len(request.prompt_text) / self._get_chars_per_token(request)))

    def record_prompt_tokens(
        self, request: CompletionRequest, written_text: str, prompt_tokens: int
    ) -> None:
        """Take in how many tokens the prompt, with what was written of the answer, has."""
        if prompt_tokens <= 0:
            return
        name = request.model.name
        measured = (len(request.prompt_text) + len(written_text)) / prompt_tokens
        previous = self._chars_per_token.get(name, measured)
        self._chars_per_token[name] = previous + CHARS_EWMA_WEIGHT * (measured - previous)

    def make_route_request(self, request: CompletionRequest, written_tokens: int) -> RouteRequest:
        """Return what routing needs to know, with *written_tokens* tokens of the answer there."""
        block_tokens = int(PREFIX_BLOCK_CHARS / self._get_chars_per_token(request))
        name = request.body["model"]
        adapter = "" if name == request.model.name else name
        return RouteRequest(
            self.prompt_tokens(request) + written_tokens,
            request.prefix_hashes,
            block_tokens,
            adapter,
        )

    def first_token_timeout_s(
        self, request: CompletionRequest, policy: Policy, now: float
    ) -> float:
        """Return the seconds until the first token after which the request is given up.

        A prompt so long that even an idle engine reads it later than the target allows is given
        the time that it needs: it can't be in time, but it can be answered.
        """
        if not self._mechanisms.refuse_early:
            return FIXED_TIMEOUT_S
        target_share = 1.0 - TARGET_MARGIN - TARGET_MARGIN_PER_WASTE_WEIGHT * policy.waste_weight
        target_s = request.model.first_token_s * policy.patience * target_share
        idle_prefill_s = self._router.idle_prefill_s(
            request.model.prefill, self.make_route_request(request, 0), now
        )
        return max(target_s, LONG_PROMPT_FACTOR * idle_prefill_s)
