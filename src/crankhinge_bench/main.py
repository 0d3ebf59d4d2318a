"""``crankhinge-bench``: the load and experiment tool."""

from __future__ import annotations

import argparse
import logging
import signal
import sys
from types import FrameType

from crankhinge import __version__
from crankhinge.errors import CrankhingeError
from crankhinge_bench._days import add_arguments as add_days
from crankhinge_bench._demo import add_arguments as add_demo
from crankhinge_bench._perf import add_arguments as add_perf
from crankhinge_bench._propagation import add_arguments as add_spread
from crankhinge_bench._run import add_arguments as add_run
from crankhinge_bench._slopes import add_arguments as add_slopes

PROGRAM = "crankhinge-bench"
EXIT_BAD_INPUT = 2


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__)
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    verbs = parser.add_subparsers(dest="verb", required=True)
    add_demo(verbs.add_parser("demo", help="run the whole system for some seconds"))
    add_days(verbs.add_parser("days", help="write day files for the users' bench and run them"))
    add_perf(verbs.add_parser("perf", help="measure the overhead over direct engine calls"))
    add_spread(verbs.add_parser("spread", help="measure how fast a bundle takes effect"))
    add_slopes(
        verbs.add_parser("slopes", help="measure the cost of each further link, token or server")
    )
    add_run(verbs.add_parser("run", help="compare policies on scenarios"))
    return parser


def _on_signal(_signum: int, _frame: FrameType | None) -> None:
    # Only the first signal interrupts: a second one must not abort the cleanup of the processes.
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, signal.SIG_IGN)
    # Curio's kernel would log the interrupted task with its whole stack.
    logging.disable(logging.CRITICAL)
    raise KeyboardInterrupt


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    signal.signal(signal.SIGINT, _on_signal)
    signal.signal(signal.SIGTERM, _on_signal)
    args = make_parser().parse_args(argv)
    try:
        return int(args.run(args))
    except CrankhingeError as exc:
        print(f"{PROGRAM}: {exc.detail}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except KeyboardInterrupt:
        print("interrupted; all processes were stopped", file=sys.stderr)
        return 0


if __name__ == "__main__":
    raise SystemExit(main())
