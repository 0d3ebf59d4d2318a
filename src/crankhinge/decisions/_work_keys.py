"""Keys under which crashes of servers are counted.

A server may crash because of one request, whatever its attempt, or because of one part of a prompt,
whatever the rest of the request. The processing of a prompt and the execution of the request have
different keys, since a prompt that crashes prompt engines may well be processed by a decode engine.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

# The keys of the work that a request is: its own key, then those of the parts of its prompt.
WorkKeys = tuple[str, ...]

# Prefix of keys of work that a prompt engine does for a decode engine.
PROMPT_ONLY_PREFIX = "r:"
# Prefixes of the keys of parts at model engines and at other servers. A server that is no model
# engine may ignore the parts of a prompt, so its responses say nothing about them.
ENGINE_PART_PREFIX = "p:"
PLAIN_PART_PREFIX = "q:"
# Parts of one prompt beyond this number are ignored, so that one request cannot fill the tables.
MAX_PARTS = 256
# A longer id of a part is replaced by a digest, which bounds the messages about the part.
MAX_ID_CHARS = 16
DIGEST_BYTES = 7


def part_keys(parts: Sequence[str], *, at_engine: bool) -> tuple[str, ...]:
    """Return the keys of those parts of a prompt that other requests may have as well.

    The last part is the request's own, so it has no key.

    Args:
        parts: ids of the parts, in order.
        at_engine: whether model engines run the request.
    """
    prefix = ENGINE_PART_PREFIX if at_engine else PLAIN_PART_PREFIX
    shared = dict.fromkeys(parts[:-1][:MAX_PARTS])
    return tuple(prefix + _bounded_id(part) for part in shared)


def prompt_only_keys(keys: WorkKeys) -> WorkKeys:
    """Return the keys of the processing of a prompt for the keys of the whole work."""
    return tuple(PROMPT_ONLY_PREFIX + key for key in keys)


def is_part_key(key: str) -> bool:
    """Whether a key is that of a part of a prompt."""
    return key.removeprefix(PROMPT_ONLY_PREFIX).startswith((ENGINE_PART_PREFIX, PLAIN_PART_PREFIX))


def _bounded_id(part: str) -> str:
    if len(part) <= MAX_ID_CHARS and part.isascii():
        return part
    return "#" + hashlib.blake2b(part.encode(), digest_size=DIGEST_BYTES).hexdigest()
