"""The program ``crankhinge-entry``: serves callers and routes their requests to agents."""

from __future__ import annotations

from crankhinge._startup_signals import ignore_sighup
from crankhinge._unused_modules import keep_out_unused_modules


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    ignore_sighup()
    keep_out_unused_modules()
    # The import loads all libraries, so it must come after the calls above.
    from crankhinge.entry._program import run

    return run(argv)


if __name__ == "__main__":
    raise SystemExit(main())
