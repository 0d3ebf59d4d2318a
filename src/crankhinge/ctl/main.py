"""``crankhinge-ctl``: check, compare, sign and publish bundles; explain requests."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

from crankhinge import __version__
from crankhinge.config import create_key_pair
from crankhinge.ctl._bundle import (
    check_bundle,
    diff_bundle,
    show_history,
    show_status,
    sign_bundle,
)
from crankhinge.ctl._callers import report_caller_value
from crankhinge.ctl._explain import explain_request
from crankhinge.ctl._publish import publish_bundle
from crankhinge.ctl._reference import render_reference
from crankhinge.errors import CrankhingeError, KeyValueUnavailable, PublishConflict

PROGRAM = "crankhinge-ctl"
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_OUTCOME_UNKNOWN = 4

# Length of a window of the callers' account: a burst of traffic lasts some seconds.
DEFAULT_WINDOW_S = 2.0

EPILOG = (
    "exit status: 0 done, 2 bad input, 3 another bundle was accepted first (nothing was written), "
    "4 the key-value service gave no answer (run the same command again: that is safe)"
)


def _create_key(args: argparse.Namespace) -> str:
    public = create_key_pair(Path(args.file))
    return f"private key in {args.file} (mode 0600)\npublic key {public}"


def _add_bundle_command(
    kinds: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    about: str,
    run: Callable[[argparse.Namespace], str],
    *,
    file: bool = True,
    service: bool = False,
) -> argparse.ArgumentParser:
    parser = kinds.add_parser(name, help=about, description=about)
    parser.set_defaults(run=run)
    if file:
        parser.add_argument("file", help="bundle file")
    if service:
        parser.add_argument("--settings", required=True, help="TOML settings of this command")
    return parser


def make_parser() -> argparse.ArgumentParser:
    """Return the command line's parser."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__, epilog=EPILOG)
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    nouns = parser.add_subparsers(dest="noun", required=True)
    bundle = nouns.add_parser("bundle", help="configuration bundles")
    kinds = bundle.add_subparsers(dest="verb", required=True)
    _add_bundle_command(kinds, "check", "validate a bundle whole", check_bundle)
    _add_bundle_command(
        kinds, "diff", "compare with the bundle in force", diff_bundle, service=True
    )
    sign = _add_bundle_command(kinds, "sign", "add a partner's signature", sign_bundle)
    sign.add_argument("--partner", required=True)
    sign.add_argument("--key", required=True, help="private key file")
    sign.add_argument("--out", required=True, help="signed bundle to write")
    _add_bundle_command(kinds, "publish", "accept a signed bundle", publish_bundle, service=True)
    _add_bundle_command(
        kinds, "status", "the bundle in force", show_status, file=False, service=True
    )
    _add_bundle_command(
        kinds, "history", "bundles accepted", show_history, file=False, service=True
    )
    key = nouns.add_parser("key", help="signing keys")
    verbs = key.add_subparsers(dest="verb", required=True)
    new = verbs.add_parser("new", help="make a key pair")
    new.add_argument("file", help="private key file to write")
    new.set_defaults(run=_create_key)
    story = nouns.add_parser("explain", help="the story of one request, from logs")
    story.add_argument("request", help="its identity, as the caller sent it")
    story.add_argument("logs", nargs="+", help="logs of the programs")
    story.set_defaults(run=explain_request)
    callers = nouns.add_parser("callers", help="what service was worth to callers, from logs")
    callers.add_argument("logs", nargs="+", help="logs of gateways")
    callers.add_argument("--weights", help="TOML file of weights; defaults without it")
    callers.add_argument(
        "--window", type=float, default=DEFAULT_WINDOW_S, help="seconds of a window"
    )
    callers.set_defaults(run=report_caller_value)
    nouns.add_parser("reference", help="settings and bundle, as a page").set_defaults(
        run=render_reference
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the program; returns its exit status."""
    args = make_parser().parse_args(argv)
    try:
        print(args.run(args))
    except PublishConflict as exc:
        print(f"{PROGRAM}: {exc.detail}", file=sys.stderr)
        return EXIT_CONFLICT
    except KeyValueUnavailable as exc:
        print(f"{PROGRAM}: key-value service: {exc.detail}", file=sys.stderr)
        return EXIT_OUTCOME_UNKNOWN
    except CrankhingeError as exc:
        print(f"{PROGRAM}: {exc.detail}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
