#!/bin/sh
# Puts the locked packages and the sources under target/deps; the packages only when they changed.
set -eu
if [ ! -f target/deps/.locked ] || [ deploy/requirements.lock -nt target/deps/.locked ]; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check --require-hashes --no-deps \
    --target target/deps -r deploy/requirements.lock
  touch target/deps/.locked
fi
rm -rf target/deps/cassiawalk
cp -R src/cassiawalk target/deps/cassiawalk
# Hosts start again and again, and can't write what they compile.
find target/deps/cassiawalk -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps/cassiawalk
