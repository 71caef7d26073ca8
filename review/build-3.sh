#!/bin/sh
# The stand-ins of cases 11 and up are plain modules and need no build; checks that they can be read.
set -e
cd "$(dirname "$0")"
node --check stand-ins-3.mjs
for file in 1[1-5]/case.mjs; do node --check "$file"; done
