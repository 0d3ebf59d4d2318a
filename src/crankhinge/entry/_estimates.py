"""What an entry expects of a request: tokens, times, and until when it is worth trying."""

from __future__ import annotations

from crankhinge.config import Policy
from crankhinge.decisions import FULL, Mechanisms, Router, RouteRequest
from crankhinge.entry._ask import BLOCK_CHARS, CompletionAsk

CHARS_PER_TOKEN = 4.0
CHARS_GAIN = 0.05
PATIENT_S = 60.0
LONG_PROMPT_FACTOR = 1.5
MARGIN = 0.05
MARGIN_BY_WASTE = 0.1


class Estimates:
    """Learns how many characters a token has, model by model.

    Args:
        router: knows the engines.
        mech: which mechanisms are at work.
    """

    def __init__(self, router: Router, mech: Mechanisms = FULL) -> None:
        self._router = router
        self._mech = mech
        self._chars_per_token: dict[str, float] = {}

    def _ratio(self, ask: CompletionAsk) -> float:
        return self._chars_per_token.get(ask.model.name, CHARS_PER_TOKEN)

    def tokens(self, ask: CompletionAsk) -> int:
        """Return the likely number of prompt tokens, by what engines counted before."""
        return max(1, int(len(ask.text) / self._ratio(ask)))

    def learn(self, ask: CompletionAsk, written: str, tokens: int) -> None:
        """Take in how many tokens the prompt, with what was written of the answer, has."""
        if tokens <= 0:
            return
        name = ask.model.name
        seen = (len(ask.text) + len(written)) / tokens
        before = self._chars_per_token.get(name, seen)
        self._chars_per_token[name] = before + CHARS_GAIN * (seen - before)

    def route(self, ask: CompletionAsk, written: int) -> RouteRequest:
        """Return what routing needs to know, with *written* tokens of the answer there."""
        block_tokens = int(BLOCK_CHARS / self._ratio(ask))
        name = ask.body["model"]
        adapter = "" if name == ask.model.name else name
        return RouteRequest(self.tokens(ask) + written, ask.prefix, block_tokens, adapter)

    def patience_s(self, ask: CompletionAsk, policy: Policy, now: float) -> float:
        """Return the seconds until the first token after which the request is given up.

        A prompt so long that even an idle engine reads it later than the target allows is given
        the time that it needs: it can't be in time, but it can be answered.
        """
        if not self._mech.refuse_early:
            return PATIENT_S
        aim = 1.0 - MARGIN - MARGIN_BY_WASTE * policy.waste_weight
        target = ask.model.first_token_s * policy.patience * aim
        idle = self._router.idle_prefill_s(ask.model.prefill, self.route(ask, 0), now)
        return max(target, LONG_PROMPT_FACTOR * idle)
