"""``crankhinge-burn``: reports error budgets and burn rates from the logs of the entries."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from crankhinge import __version__
from crankhinge.burn._budget import make_report
from crankhinge.burn._log_events import read_events
from crankhinge.burn._render import render_html, render_text
from crankhinge.config import decode_envelope, parse_bundle
from crankhinge.errors import BundleError, CrankhingeError
from crankhinge.runtime import write_json

PROGRAM = "crankhinge-burn"
EXIT_BAD_INPUT = 2


def _read_bundle(path: str) -> str:
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        raise BundleError(f"{path}: cannot be read: {exc.strerror}") from exc
    return decode_envelope(data).text if data.lstrip().startswith(b"{") else data.decode()


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__)
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    parser.add_argument("logs", nargs="+", help="log files of the entries")
    parser.add_argument("--bundle", required=True, help="bundle file with the objectives")
    parser.add_argument("--json", default="", help="write the report to this file as JSON")
    parser.add_argument("--html", default="", help="write the report to this file as an HTML page")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    args = make_parser().parse_args(argv)
    try:
        bundle = parse_bundle(_read_bundle(args.bundle))
        report = make_report(bundle, read_events([Path(path) for path in args.logs]))
    except (CrankhingeError, UnicodeDecodeError) as exc:
        print(f"{PROGRAM}: {exc}", file=sys.stderr)
        return EXIT_BAD_INPUT
    write_json(args.json, report)
    if args.html:
        Path(args.html).write_text(render_html(report), encoding="utf-8")
    print(render_text(report))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
