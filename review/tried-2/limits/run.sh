#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the first configuration has the larger limit already.
cd "$(dirname "$0")/../../.."
exec python3 review/tried-2/limits/case.py
