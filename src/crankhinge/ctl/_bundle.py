"""The commands ``crankhinge-ctl bundle`` except for ``publish``."""

from __future__ import annotations

import argparse
import difflib
from pathlib import Path

import curio
import msgspec

from crankhinge.adapters import KeyValueStore, StoredValue
from crankhinge.adapters.consul import ConsulKeyValueStore
from crankhinge.config import (
    Envelope,
    decode_envelope,
    encode_envelope,
    load_private_key,
    parse_bundle,
    read_current_envelope,
    read_history,
    sign_envelope,
    verify_envelope,
)
from crankhinge.errors import BundleError
from crankhinge.peers import parse_endpoint
from crankhinge.peers._settings import HexKey
from crankhinge.runtime import HostPort, load_settings


class CtlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of the command line.

    Attributes:
        key_value: ``host:port`` of the platform's key-value service.
        keys: public key of each partner, in hex.
        seeds: ``host:port`` of agents that ``bundle publish`` sends a published bundle to, so
            that the bundle propagates even if the key-value service fails right after it was
            published.
    """

    key_value: HostPort
    keys: dict[str, HexKey]
    seeds: tuple[HostPort, ...] = ()


def read_settings(args: argparse.Namespace) -> CtlSettings:
    """Load the settings file that ``--settings`` names."""
    return load_settings(args.settings, CtlSettings)


def open_key_value(settings: CtlSettings) -> KeyValueStore:
    """Return a client of the key-value service."""
    return ConsulKeyValueStore(*parse_endpoint(settings.key_value))


def read_envelope_file(path: str) -> Envelope:
    """Read a bundle file, which contains either an envelope or the plain TOML of a bundle.

    Plain TOML becomes an envelope without signatures.

    Raises:
        BundleError: the file cannot be read or decoded; the message names the file.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        raise BundleError(f"{path}: cannot be read: {exc.strerror}") from exc
    try:
        if data.lstrip().startswith(b"{"):
            return decode_envelope(data)
        return Envelope(data.decode("utf-8"))
    except (BundleError, UnicodeDecodeError) as exc:
        raise BundleError(f"{path}: {exc}") from exc


def check_bundle(args: argparse.Namespace) -> str:
    """Validate a bundle file and summarize its contents."""
    envelope = read_envelope_file(args.file)
    try:
        bundle = parse_bundle(envelope.text)
    except BundleError as exc:
        raise BundleError(f"{args.file}: {exc.detail}") from exc
    signed = ", ".join(sorted(envelope.signatures)) or "nobody"
    return (
        f"{args.file}: ok: version {bundle.version}, {len(bundle.models)} models, "
        f"{len(bundle.pools)} pools, {len(bundle.services)} services, "
        f"{len(bundle.members)} members, signed by {signed}"
    )


def sign_bundle(args: argparse.Namespace) -> str:
    """Add a partner's signature to a bundle file and write the result to ``--out``."""
    envelope = read_envelope_file(args.file)
    bundle = parse_bundle(envelope.text)
    if args.partner not in {partner.name for partner in bundle.partners}:
        raise BundleError(f"{args.file}: no partner {args.partner!r}")
    signed = sign_envelope(envelope, args.partner, load_private_key(Path(args.key)))
    Path(args.out).write_bytes(encode_envelope(signed))
    names = ", ".join(sorted(signed.signatures))
    return f"{args.out}: version {bundle.version}, signed by {names}"


def diff_texts(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff of two texts; empty if they are equal."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)


async def _read_current(kv: KeyValueStore) -> StoredValue | None:
    return await read_current_envelope(kv)


def diff_bundle(args: argparse.Namespace) -> str:
    """Compare a bundle file with the published bundle."""
    envelope = read_envelope_file(args.file)
    current = curio.run(_read_current, open_key_value(read_settings(args)))
    old = decode_envelope(current.data).text if current else ""
    diff = diff_texts(old, envelope.text, "published", args.file)
    return diff or "no difference"


def show_status(args: argparse.Namespace) -> str:
    """Verify the published bundle and return its version and signers."""
    settings = read_settings(args)
    current = curio.run(_read_current, open_key_value(settings))
    if current is None:
        return "no bundle was published yet"
    bundle = verify_envelope(current.data, settings.keys)
    return f"version {bundle.version}, signed by {', '.join(sorted(settings.keys))}"


def show_history(args: argparse.Namespace) -> str:
    """List the history of published bundles, newest last."""
    settings = read_settings(args)
    rows = curio.run(read_history, open_key_value(settings))
    lines = [f"version {row.version}  sha256 {row.sha256[:16]}" for row in rows]
    return "\n".join(lines) or "no bundle was published yet"
