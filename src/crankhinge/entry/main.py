"""``crankhinge-entry``: a thin entry instance."""

from __future__ import annotations

from crankhinge._early import ignore_sighup
from crankhinge._unused_modules import keep_out_unused_modules


def main(argv: list[str] | None = None) -> int:
    """Run the program; returns its exit status."""
    ignore_sighup()
    keep_out_unused_modules()
    # Only now: importing the program imports the libraries.
    from crankhinge.entry._program import run

    return run(argv)


if __name__ == "__main__":
    raise SystemExit(main())
