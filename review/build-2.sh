#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain modules of Node.js: there is nothing to compile. This checks that they and
# what they start are there.
set -e
cd "$(dirname "$0")/.."
test -f target/thornsail.cjs
node --check review/lib-2/deployment.mjs
for case in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$case/case.mjs" ]; then node --check "$case/case.mjs"; fi
done
