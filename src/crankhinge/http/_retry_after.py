"""Parses the ``retry-after`` header of a response (RFC 9110, section 10.2.3)."""

from __future__ import annotations

import math
from collections.abc import Mapping

RETRY_AFTER = "retry-after"


def parse_retry_after(headers: Mapping[str, str]) -> float | None:
    """Return the delay in seconds after which the server asks for a retry.

    Returns None if the header is missing, is not a positive finite number, or is a date. Dates are
    ignored because the clocks of two machines may disagree.

    Args:
        headers: header fields of the response, with names in lower case.
    """
    try:
        seconds = float(headers.get(RETRY_AFTER, ""))
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None
