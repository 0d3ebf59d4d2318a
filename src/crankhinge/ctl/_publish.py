"""``crankhinge-ctl bundle publish``."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable

import curio

from crankhinge.config import decode_envelope, encode_envelope, publish, read_current_envelope
from crankhinge.ctl._bundle import diff_texts, open_key_value, read_envelope_file, read_settings
from crankhinge.errors import LinkClosed, PublishConflict, WireError
from crankhinge.peers import parse_endpoint
from crankhinge.wire import WIRE_VERSION, Beat, BundleIs, Hello, Link, Message, connect_link

AGENT_CONFIRMATION_TIMEOUT_S = 3.0


def publish_bundle(args: argparse.Namespace) -> str:
    """Accept a signed bundle. The file is never changed, whatever the outcome."""
    settings = read_settings(args)
    envelope = read_envelope_file(args.file)
    kv = open_key_value(settings)
    try:
        result = curio.run(publish, kv, encode_envelope(envelope), settings.keys)
    except PublishConflict as exc:
        raise PublishConflict(
            _describe_conflict(exc, envelope.text, open_key_value(settings))
        ) from exc
    told = curio.run(_send_to_agents, settings.seeds, encode_envelope(envelope), result.version)
    note = " (the answer was lost; read back)" if result.confirmed_by_read else ""
    line = f"version {result.version} is accepted{note}"
    return f"{line}, handed to {told} agents" if settings.seeds else line


async def _send_to_agents(seeds: tuple[str, ...], envelope: bytes, version: int) -> int:
    """Send an accepted bundle to agents; returns how many took it."""
    told = 0
    for seed in seeds:
        hello = Hello(WIRE_VERSION, "ctl", "ctl", "", 0, bundle=version)
        try:
            link = await connect_link(*parse_endpoint(seed), hello)
            await link.send(BundleIs(envelope))
            await curio.ignore_after(
                AGENT_CONFIRMATION_TIMEOUT_S, link.run, _close_when_installed(version)
            )
            told += 1
        except (LinkClosed, WireError):
            continue
    return told


def _close_when_installed(version: int) -> Callable[[Link, Message], Awaitable[None]]:
    """Return a handler that ends the link once the agent says that it has the bundle."""

    async def handle(link: Link, msg: Message) -> None:
        if isinstance(msg, Beat) and msg.bundle >= version:
            await link.close()

    return handle


def _describe_conflict(exc: PublishConflict, text: str, kv: object) -> str:
    """Say what the other operator's bundle changed; the loser's file is still theirs to rebase."""
    current = curio.run(read_current_envelope, kv)
    theirs = decode_envelope(current.data).text if current else ""
    diff = diff_texts(theirs, text, "in force", "yours")
    return f"{exc.detail}\nnothing was written; yours differs from the bundle in force by:\n{diff}"
