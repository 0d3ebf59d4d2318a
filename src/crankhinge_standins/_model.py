"""The stand-in engine's "model": each token is a checksum of everything before it."""

from __future__ import annotations

import zlib
from typing import Any

VOCABULARY_SIZE = 5000


def extract_context(body: dict[str, Any]) -> str:
    """Return the text that the model continues."""
    if "prompt" in body:
        return str(body["prompt"])
    contents = [str(msg.get("content", "")) for msg in body.get("messages", [])]
    if body.get("continue_final_message"):
        return "\n".join(contents[:-1]) + contents[-1]
    return "\n".join(contents)


def next_token(state: int) -> tuple[str, int]:
    """Return the token that follows the checksum *state*, and the checksum after that token."""
    token = f" w{state % VOCABULARY_SIZE}"
    return token, zlib.crc32(token.encode(), state)


def make_answer(body: dict[str, Any]) -> list[str]:
    """Return all tokens of the model's answer, for tests to compare with."""
    state = zlib.crc32(extract_context(body).encode())
    out = []
    for _ in range(int(body.get("max_tokens", 16))):
        token, state = next_token(state)
        out.append(token)
    return out
