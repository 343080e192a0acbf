#!/bin/sh
# Builds the stand-ins of the second review's scripts, those of the first review that
# they use included: they only need to be compiled.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins standins-2
