"""``crankhinge-ctl``: check, compare, sign and publish bundles; analyze requests from logs."""

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

# Default length of a time window in the report of ``crankhinge-ctl callers``. It is short because a
# burst of traffic lasts only some seconds.
DEFAULT_WINDOW_S = 2.0

EPILOG = (
    "exit status: 0 done, 2 bad input, 3 another bundle was published first (nothing was written), "
    "4 the key-value service did not respond (running the same command again is safe)"
)


def _create_key(args: argparse.Namespace) -> str:
    public = create_key_pair(Path(args.file))
    return f"private key in {args.file} (mode 0600)\npublic key {public}"


def _add_bundle_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    description: str,
    run: Callable[[argparse.Namespace], str],
    *,
    takes_file: bool = True,
    takes_settings: bool = False,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=description, description=description)
    parser.set_defaults(run=run)
    if takes_file:
        parser.add_argument("file", help="bundle file")
    if takes_settings:
        parser.add_argument(
            "--settings", required=True, help="TOML file with the settings of this command"
        )
    return parser


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__, epilog=EPILOG)
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    groups = parser.add_subparsers(dest="noun", required=True)
    bundle_group = groups.add_parser("bundle", help="configuration bundles")
    commands = bundle_group.add_subparsers(dest="verb", required=True)
    _add_bundle_command(commands, "check", "validate a bundle file", check_bundle)
    _add_bundle_command(
        commands,
        "diff",
        "compare a bundle file with the published bundle",
        diff_bundle,
        takes_settings=True,
    )
    sign_parser = _add_bundle_command(commands, "sign", "add a partner's signature", sign_bundle)
    sign_parser.add_argument("--partner", required=True)
    sign_parser.add_argument("--key", required=True, help="private key file")
    sign_parser.add_argument("--out", required=True, help="signed bundle to write")
    _add_bundle_command(
        commands, "publish", "publish a signed bundle", publish_bundle, takes_settings=True
    )
    _add_bundle_command(
        commands,
        "status",
        "show the published bundle",
        show_status,
        takes_file=False,
        takes_settings=True,
    )
    _add_bundle_command(
        commands,
        "history",
        "list the published bundles",
        show_history,
        takes_file=False,
        takes_settings=True,
    )
    key_parser = groups.add_parser("key", help="signing keys")
    key_commands = key_parser.add_subparsers(dest="verb", required=True)
    new_key_parser = key_commands.add_parser("new", help="create a key pair")
    new_key_parser.add_argument("file", help="private key file to write")
    new_key_parser.set_defaults(run=_create_key)
    explain_parser = groups.add_parser("explain", help="show what logs contain about one request")
    explain_parser.add_argument("request", help="id of the request, as the caller sent it")
    explain_parser.add_argument("logs", nargs="+", help="log files of the programs")
    explain_parser.set_defaults(run=explain_request)
    callers_parser = groups.add_parser(
        "callers", help="report the value of the service to callers, from logs"
    )
    callers_parser.add_argument("logs", nargs="+", help="log files of gateways")
    callers_parser.add_argument(
        "--weights", help="TOML file with weights; without it, the defaults apply"
    )
    callers_parser.add_argument(
        "--window", type=float, default=DEFAULT_WINDOW_S, help="length of a time window, in seconds"
    )
    callers_parser.set_defaults(run=report_caller_value)
    groups.add_parser("reference", help="print the reference of settings and bundles").set_defaults(
        run=render_reference
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
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
