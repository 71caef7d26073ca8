#!/bin/sh
# The stand-ins of the cases from 6 on are plain JavaScript; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in stand-ins-2.mjs cut-zone-2.mjs [0-9]*/case.mjs; do
  node --check "$file" || exit 1
done
