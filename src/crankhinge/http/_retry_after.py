"""When a server that refuses wants to be asked again (RFC 9110, section 10.2.3)."""

from __future__ import annotations

import math
from collections.abc import Mapping

RETRY_AFTER = "retry-after"


def parse_retry_after(headers: Mapping[str, str]) -> float | None:
    """Return the seconds that an answer names; None for none, or for what is no time to wait.

    A date is taken for none: the clocks of two machines need not agree.

    Args:
        headers: of the answer, names in lower case.
    """
    try:
        seconds = float(headers.get(RETRY_AFTER, ""))
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None
