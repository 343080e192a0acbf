#!/bin/sh
# Builds the stand-ins of the second review: they only need to be compiled.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
