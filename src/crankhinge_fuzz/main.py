"""``crankhinge-fuzz``: gives the readers of the product data that others might send."""

from __future__ import annotations

import argparse
import hashlib
import logging
import sys
from pathlib import Path

from crankhinge import __version__
from crankhinge_fuzz._registry import make_targets
from crankhinge_fuzz._runner import TargetResult, fuzz_target

PROGRAM = "crankhinge-fuzz"


def main(argv: list[str] | None = None) -> int:
    """Run the program; return 1 if a reader did not handle an input."""
    args = _parse_args(argv)
    targets = {target.name: target for target in make_targets()}
    if args.list:
        print("\n".join(targets))
        return 0
    if unknown := set(args.target) - targets.keys():
        print(f"{PROGRAM}: unknown targets {sorted(unknown)}", file=sys.stderr)
        return 2
    # The event loop logs each task that fails; what a reader does wrong is reported here.
    logging.disable(logging.CRITICAL)
    chosen = [target for name, target in targets.items() if not args.target or name in args.target]
    found = 0
    for target in chosen:
        result = fuzz_target(
            target,
            args.seed,
            max_inputs=args.inputs,
            max_s=args.seconds / len(chosen),
            corpus=_load_corpus(args.corpus, target.name),
        )
        _report(result, args.corpus)
        found += len(result.findings)
    print(f"seed {args.seed}: {found} inputs not handled")
    return 1 if found else 0


def _parse_args(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__)
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    parser.add_argument("--seed", type=int, default=1, help="decides the inputs")
    parser.add_argument("--seconds", type=float, default=10.0, help="time for all readers")
    parser.add_argument("--inputs", type=int, default=0, help="inputs for each reader; 0: no limit")
    parser.add_argument("--target", action="append", default=[], help="a reader; all by default")
    parser.add_argument(
        "--corpus", type=Path, help="folder of inputs, TARGET-*.bin; findings are added to it"
    )
    parser.add_argument("--list", action="store_true", help="list the readers")
    return parser.parse_args(argv)


def _load_corpus(folder: Path | None, target: str) -> list[bytes]:
    if folder is None or not folder.is_dir():
        return []
    return [path.read_bytes() for path in sorted(folder.glob(f"{target}-*.bin"))]


def _report(result: TargetResult, folder: Path | None) -> None:
    print(
        f"  {result.target:24} inputs {result.inputs:7} accepted {result.accepted:7}"
        f" not handled {len(result.findings)}"
    )
    for finding in result.findings:
        print(f"      input {finding.number}: {finding.what}: {finding.data[:60]!r}")
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            digest = hashlib.sha256(finding.data).hexdigest()[:12]
            (folder / f"{finding.target}-{digest}.bin").write_bytes(finding.data)


if __name__ == "__main__":
    sys.exit(main())
