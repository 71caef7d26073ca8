#!/bin/sh
# The stand-ins of these cases are plain JavaScript (review/harness.mjs and the case.mjs of each case) and use only
# Node's own modules, so there is nothing to build. This checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in harness.mjs */case.mjs; do
  [ -e "$file" ] && node --check "$file"
done
