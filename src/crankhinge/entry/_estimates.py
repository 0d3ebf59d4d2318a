"""Estimates the prompt length and the timeout of requests before they run."""

from __future__ import annotations

from crankhinge.config import Policy
from crankhinge.decisions import FULL, Mechanisms, Router, RouteRequest
from crankhinge.entry._requests import PREFIX_BLOCK_CHARS, CompletionRequest

# Characters per token that are assumed for a model until an engine has counted the tokens of one of
# its prompts.
DEFAULT_CHARS_PER_TOKEN = 4.0
# Weight of the newest prompt in the moving average of characters per token.
CHARS_EWMA_WEIGHT = 0.05
# Timeout to the first token if early refusal is disabled.
FIXED_TIMEOUT_S = 60.0
# A long prompt gets at least this multiple of the time that an idle engine needs for it.
LONG_PROMPT_FACTOR = 1.5
# The timeout to the first token is shorter than the target time by this fraction of the target, and
# by the second fraction multiplied by the bundle's `waste_weight`.
TARGET_MARGIN = 0.05
TARGET_MARGIN_PER_WASTE_WEIGHT = 0.1


class RequestEstimator:
    """Estimates prompt lengths from the characters per token that it measures for each model.

    Args:
        router: provides the estimated prefill times of engines.
        mech: the mechanisms that are enabled.
    """

    def __init__(self, router: Router, mech: Mechanisms = FULL) -> None:
        self._router = router
        self._mechanisms = mech
        self._chars_per_token: dict[str, float] = {}

    def _get_chars_per_token(self, request: CompletionRequest) -> float:
        return self._chars_per_token.get(request.model.name, DEFAULT_CHARS_PER_TOKEN)

    def prompt_tokens(self, request: CompletionRequest) -> int:
        """Return the estimated number of prompt tokens, based on counts from engines."""
        return max(1, int(len(request.prompt_text) / self._get_chars_per_token(request)))

    def record_prompt_tokens(
        self, request: CompletionRequest, written_text: str, prompt_tokens: int
    ) -> None:
        """Update the characters per token of a model from the count of an engine.

        Args:
            request: the request.
            written_text: the part of the answer that was sent to the engine with the prompt.
            prompt_tokens: number of tokens that the engine counted in the prompt and that part.
        """
        if prompt_tokens <= 0:
            return
        name = request.model.name
        measured = (len(request.prompt_text) + len(written_text)) / prompt_tokens
        previous = self._chars_per_token.get(name, measured)
        self._chars_per_token[name] = previous + CHARS_EWMA_WEIGHT * (measured - previous)

    def make_route_request(self, request: CompletionRequest, written_tokens: int) -> RouteRequest:
        """Return the description of the prompt for the router.

        Args:
            request: the completion request.
            written_tokens: number of tokens of the answer that earlier attempts have written. The
                engine must process them with the prompt.
        """
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
        """Return the seconds to wait for the first token before the request is refused.

        If a prompt is so long that even an idle engine cannot process it within the target, it gets
        the time that it needs. It will miss the target, but it will be answered.
        """
        if not self._mechanisms.refuse_early:
            return FIXED_TIMEOUT_S
        target_share = 1.0 - TARGET_MARGIN - TARGET_MARGIN_PER_WASTE_WEIGHT * policy.waste_weight
        target_s = request.model.first_token_s * policy.patience * target_share
        idle_prefill_s = self._router.idle_prefill_s(
            request.model.prefill, self.make_route_request(request, 0), now
        )
        return max(target_s, LONG_PROMPT_FACTOR * idle_prefill_s)
