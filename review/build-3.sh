#!/bin/sh
# Puts the stand-ins that the cases of the third review start under target/review-3, compiled.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -R standins target/review-3/standins
find target/review-3 -name __pycache__ -prune -exec rm -rf {} +
PYTHONPATH=target/deps python3 -m compileall -q target/review-3/standins
