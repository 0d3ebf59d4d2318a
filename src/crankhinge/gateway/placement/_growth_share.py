"""Decides whether the answers of a service are long enough for coordinated placement."""

from __future__ import annotations

import math

# A service uses coordinated placement if the mean expected answer is at least this share of the KV
# memory of an engine. Above it, an engine holds so few runs that the errors of their estimates do
# not average out.
MIN_GROWTH_SHARE = 0.04
# Requests from which on the mean is valid.
MIN_REQUESTS = 10
# Weight of the newest request in the moving averages. With a weight of 0.1, the mean of answers of
# 0.031 of the memory, whose lengths vary by half, exceeds 0.04 in one of 20 samples.
EWMA_WEIGHT = 0.02
# Standard errors by which the mean must exceed the threshold to switch placement on, so that a
# service below the threshold does not switch after a few long answers.
STANDARD_ERRORS = 2.0


class GrowthShare:
    """Mean share of an engine's KV memory that the answers of a service are expected to take."""

    def __init__(self) -> None:
        self._requests = 0
        self._mean = 0.0
        self._variance = 0.0
        self._is_large = False

    @property
    def mean(self) -> float:
        """Mean share of an engine's KV memory; 0 before the first request."""
        return self._mean

    @property
    def is_large(self) -> bool:
        """Whether the service uses coordinated placement."""
        return self._is_large

    def adopt(self) -> None:
        """Use the mean of another instance, which has seen enough requests, until there is one."""
        if self._requests < MIN_REQUESTS:
            self._is_large = True

    def record(self, answer_tokens: int, kv_tokens: int) -> None:
        """Record a request.

        Args:
            answer_tokens: expected length of its answer, bounded by the maximum.
            kv_tokens: KV memory of an engine, in tokens.
        """
        self._requests += 1
        step = max(EWMA_WEIGHT, 1.0 / self._requests)
        deviation = answer_tokens / max(1, kv_tokens) - self._mean
        self._mean += step * deviation
        self._variance = (1 - step) * (self._variance + step * deviation * deviation)
        if self._requests < MIN_REQUESTS:
            return
        if self._is_large:
            self._is_large = self._mean >= MIN_GROWTH_SHARE
            return
        # The weights of all requests sum to 1; the sum of their squares is about half of the step.
        error = math.sqrt(self._variance * max(EWMA_WEIGHT / 2, 1.0 / self._requests))
        self._is_large = self._mean - STANDARD_ERRORS * error >= MIN_GROWTH_SHARE
