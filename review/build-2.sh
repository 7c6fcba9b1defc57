#!/bin/sh
# Builds what the scripts of this review start, beside the build of the deploy file: the stand-ins
# are Python without packages of their own, so it is enough that they compile and can be imported.
set -eu
cd "$(dirname "$0")/.."
for source in review/bed2.py review/worker2.py review/[6-9]/case.py review/10/case.py; do
  [ ! -e "$source" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
PYTHONPATH="target/deps:." python3 -c 'import standins.platform'
