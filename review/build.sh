#!/bin/sh
# The stand-ins are plain modules of Node.js 20 and need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do node --check "$file"; done
