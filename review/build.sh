#!/bin/sh
# The stand-ins are Python programs of the standard library alone (review/lib): nothing is compiled
# or installed. This checks that they can be read by the Python that will run them.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import pathlib, sys
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or newer is needed")
'
