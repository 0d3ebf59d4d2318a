"""Parses and validates the requests of callers against the bundle."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from crankhinge.config import BundleView, Member, Model
from crankhinge.decoding import convert, decode_json, is_nested_deeper
from crankhinge.errors import (
    BadCredentials,
    PromptTooLong,
    RequestError,
    Undecodable,
    UnknownModel,
)
from crankhinge.http import HttpRequest

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
# Length of the blocks of a prompt that are hashed, and the number of leading blocks.
PREFIX_BLOCK_CHARS = 512
MAX_PREFIX_BLOCKS = 64
# Priority classes: 0 is the most urgent, MAX_RANK the least.
MAX_RANK = 2
DEFAULT_RANK = 1
MAX_DEADLINE_S = 3600.0
# Levels of arrays and objects in the body of a request, those of tools' schemas included.
MAX_BODY_DEPTH = 64
BEARER_PREFIX = "bearer "


class _ChatMessage(msgspec.Struct):
    role: str
    content: str = ""


class _CompletionBody(msgspec.Struct):
    """The fields of a completion request that the entry reads; it forwards all fields."""

    model: str
    prompt: str | None = None
    messages: list[_ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    n: int = 1


@dataclass(frozen=True)
class RequestOptions:
    """Options that a caller sets in the headers of a request.

    Attributes:
        rank: priority class; 0 is the most urgent.
        deadline_s: seconds within which the whole response must be complete; None for no limit.
        idempotency_key: key by which a retry of the request is recognized; empty for none.
        is_repeatable: whether the request may be executed more than once.
    """

    rank: int
    deadline_s: float | None
    idempotency_key: str
    is_repeatable: bool


@dataclass(frozen=True)
class CompletionRequest:
    """A valid completion request.

    Attributes:
        member: client account of the caller.
        model: the model that serves the request.
        options: the options from the headers.
        path: path of the completion endpoint, for the caller and the engine alike.
        body: the decoded JSON body.
        prompt_text: text of the prompt.
        max_tokens: largest number of tokens in the answer.
        stream: whether the response is streamed.
        prefix_hashes: hashes of the leading blocks of the prompt.
    """

    member: Member
    model: Model
    options: RequestOptions
    path: str
    body: dict[str, Any]
    prompt_text: str
    max_tokens: int
    stream: bool
    prefix_hashes: tuple[int, ...]

    @property
    def is_chat(self) -> bool:
        """Whether the request is a chat completion."""
        return self.path == CHAT_PATH

    def continuation_body(self, written_text: str, written_tokens: int) -> bytes:
        """Return the JSON body that requests the rest of a partly written answer.

        Args:
            written_text: the part of the answer that has been written.
            written_tokens: number of tokens in that part.
        """
        body = dict(self.body)
        body["max_tokens"] = self.max_tokens - written_tokens
        body.pop("max_completion_tokens", None)
        body.pop("stream_options", None)
        if not written_tokens:
            return msgspec.json.encode(body)
        if self.is_chat:
            body["messages"] = [*body["messages"], {"role": "assistant", "content": written_text}]
            body["continue_final_message"] = True
            body["add_generation_prompt"] = False
        else:
            body["prompt"] = self.prompt_text + written_text
        return msgspec.json.encode(body)


def authenticate(view: BundleView, headers: Mapping[str, str]) -> Member:
    """Return the member that the bearer credential of a request belongs to.

    Raises:
        BadCredentials: the credential is missing or unknown.
    """
    value = headers.get("authorization", "")
    if not value.lower().startswith(BEARER_PREFIX):
        raise BadCredentials("the authorization header has no bearer credential")
    member = view.find_member_by_credential(value[len(BEARER_PREFIX) :].strip())
    if member is None:
        raise BadCredentials("the bearer credential is unknown")
    return member


def parse_options(headers: Mapping[str, str], member: Member) -> RequestOptions:
    """Return the options from the headers of a request.

    A member cannot use a more urgent priority class than its ``max_rank``.

    Raises:
        RequestError: a header is malformed.
    """
    rank = _parse_number(headers, "x-priority", DEFAULT_RANK, 0, MAX_RANK)
    deadline_ms = _parse_number(headers, "x-deadline-ms", None, 1, MAX_DEADLINE_S * 1000)
    return RequestOptions(
        rank=max(int(rank or 0), member.max_rank),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000.0,
        idempotency_key=headers.get("idempotency-key", "")[:200],
        is_repeatable=headers.get("x-repeatable", "yes").lower() != "no",
    )


def _parse_number(
    headers: Mapping[str, str], name: str, default: float | None, low: float, high: float
) -> float | None:
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError as exc:
        raise RequestError(f"{name}: not a number") from exc
    if not low <= value <= high:
        raise RequestError(f"{name}: must be between {low:g} and {high:g}")
    return value


def parse_completion(view: BundleView, req: HttpRequest, member: Member) -> CompletionRequest:
    """Parse and validate a completion request.

    Raises:
        RequestError: a header or field is invalid; the message names it.
        UnknownModel: the bundle has no such model.
    """
    options = parse_options(req.headers, member)
    try:
        raw_body = decode_json(req.body, dict[str, Any])
        body = convert(raw_body, _CompletionBody)
    except Undecodable as exc:
        raise RequestError(f"body: {exc.detail}") from exc
    if is_nested_deeper(raw_body, MAX_BODY_DEPTH):
        raise RequestError(f"body: nested more than {MAX_BODY_DEPTH} levels deep")
    model = view.bundle.find_model(body.model)
    if model is None:
        raise UnknownModel(f"unknown model {body.model!r}")
    if body.n != 1:
        raise RequestError("n: only 1 is supported")
    text = _extract_prompt_text(req.path, body)
    return CompletionRequest(
        member=member,
        model=model,
        options=options,
        path=req.path,
        body=raw_body,
        prompt_text=text,
        max_tokens=_max_tokens(body, model),
        stream=body.stream,
        prefix_hashes=hash_prefix_blocks(text),
    )


def _extract_prompt_text(path: str, body: _CompletionBody) -> str:
    if path == CHAT_PATH:
        if not body.messages:
            raise RequestError("messages: at least one is needed")
        return "\n".join(msg.content for msg in body.messages)
    if not body.prompt:
        raise RequestError("prompt: a text is needed")
    return body.prompt


def _max_tokens(body: _CompletionBody, model: Model) -> int:
    requested = body.max_completion_tokens or body.max_tokens or model.max_output_tokens
    if requested < 1:
        raise RequestError("max_tokens: must be at least 1")
    return min(requested, model.max_output_tokens)


def check_prompt_length(request: CompletionRequest, tokens: int) -> None:
    """Check an estimated prompt length against the limit of the model.

    Raises:
        PromptTooLong: *tokens* is over the limit.
    """
    if tokens > request.model.max_prompt_tokens:
        raise PromptTooLong(
            f"about {tokens} tokens; the limit is {request.model.max_prompt_tokens}"
        )


def hash_prefix_blocks(text: str) -> tuple[int, ...]:
    """Return one hash for each leading block of *text*.

    Each hash depends on the block and all blocks before it. Two prompts therefore have the same
    hashes exactly up to the first block in which they differ.
    """
    data = text[: PREFIX_BLOCK_CHARS * MAX_PREFIX_BLOCKS].encode()
    hashes = []
    checksum = 0
    for start in range(0, len(data) - PREFIX_BLOCK_CHARS + 1, PREFIX_BLOCK_CHARS):
        checksum = zlib.crc32(data[start : start + PREFIX_BLOCK_CHARS], checksum)
        hashes.append(checksum)
    return tuple(hashes)
