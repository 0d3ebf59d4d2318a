#!/bin/sh
# Builds what the scripts of review/4 to review/8 start, beside the build of the deploy file: the
# project's own stand-ins, staged under target/review-2. The other stand-ins are plain Python files.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/crankhinge_standins target/review-2/
