"""``crankhinge-ctl bundle publish``."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable

import curio

from crankhinge.config import decode_envelope, encode_envelope, publish, read_current_envelope
from crankhinge.ctl._bundle import diff_texts, open_key_value, read_envelope_file, read_settings
from crankhinge.errors import LinkClosed, PublishConflict, WireError
from crankhinge.peers import parse_endpoint
from crankhinge.wire import (
    WIRE_VERSION,
    BundleUpdate,
    Heartbeat,
    Hello,
    Link,
    Message,
    connect_link,
)

# Maximum time to wait for one agent to confirm that the bundle is active there.
AGENT_CONFIRMATION_TIMEOUT_S = 3.0


def publish_bundle(args: argparse.Namespace) -> str:
    """Publish a signed bundle and send it to the agents that the settings name as seeds.

    The bundle file is never changed, whether or not the bundle is published.

    Raises:
        PublishConflict: a different bundle with the same or a higher version is published; the
            message contains the differences.
    """
    settings = read_settings(args)
    envelope = read_envelope_file(args.file)
    kv = open_key_value(settings)
    try:
        result = curio.run(publish, kv, encode_envelope(envelope), settings.keys)
    except PublishConflict as exc:
        raise PublishConflict(
            _describe_conflict(exc, envelope.text, open_key_value(settings))
        ) from exc
    agent_count = curio.run(
        _send_to_agents, settings.seeds, encode_envelope(envelope), result.version
    )
    suffix = " (confirmed by reading it back)" if result.confirmed_by_read else ""
    text = f"version {result.version} is published{suffix}"
    return f"{text}, sent to {agent_count} agents" if settings.seeds else text


async def _send_to_agents(seeds: tuple[str, ...], envelope: bytes, version: int) -> int:
    """Send a published bundle to agents and return the number of agents that it was sent to.

    The command waits for each agent to confirm that the bundle is active there, but an agent that
    does not confirm it in time is counted as well.
    """
    agent_count = 0
    for seed in seeds:
        hello = Hello(WIRE_VERSION, "ctl", "ctl", "", 0, bundle_version=version)
        try:
            link = await connect_link(*parse_endpoint(seed), hello)
            await link.send(BundleUpdate(envelope))
            await curio.ignore_after(
                AGENT_CONFIRMATION_TIMEOUT_S, link.run, _close_when_installed(version)
            )
            agent_count += 1
        except (LinkClosed, WireError):
            continue
    return agent_count


def _close_when_installed(version: int) -> Callable[[Link, Message], Awaitable[None]]:
    """Return a message handler that closes the link once a heartbeat has *version*."""

    async def handle(link: Link, msg: Message) -> None:
        if isinstance(msg, Heartbeat) and msg.bundle_version >= version:
            await link.close()

    return handle


def _describe_conflict(exc: PublishConflict, text: str, kv: object) -> str:
    """Return the message for an operator whose bundle was not published.

    It contains the differences from the published bundle, so that the operator can merge them into
    the unchanged bundle file and publish it again.
    """
    current = curio.run(read_current_envelope, kv)
    current_text = decode_envelope(current.data).text if current else ""
    diff = diff_texts(current_text, text, "published", "yours")
    return f"{exc.detail}\nnothing was written; yours differs from the published bundle by:\n{diff}"
