"""``crankhinge-ctl bundle publish``."""

from __future__ import annotations

import argparse

import curio

from crankhinge.config import publish, read_current, read_envelope, seal
from crankhinge.ctl._bundle import connect, read_file, read_settings, text_diff
from crankhinge.errors import PublishConflict


def publish_bundle(args: argparse.Namespace) -> str:
    """Accept a signed bundle. The file is never changed, whatever the outcome."""
    settings = read_settings(args)
    envelope = read_file(args.file)
    kv = connect(settings)
    try:
        result = curio.run(publish, kv, seal(envelope), settings.keys)
    except PublishConflict as exc:
        raise PublishConflict(_explain(exc, envelope.text, connect(settings))) from exc
    note = " (the answer was lost; read back)" if result.resolved else ""
    return f"version {result.version} is accepted{note}"


def _explain(exc: PublishConflict, text: str, kv: object) -> str:
    """Say what the other operator's bundle changed; the loser's file is still theirs to rebase."""
    current = curio.run(read_current, kv)
    theirs = read_envelope(current.data).text if current else ""
    diff = text_diff(theirs, text, "in force", "yours")
    return f"{exc.detail}\nnothing was written; yours differs from the bundle in force by:\n{diff}"
