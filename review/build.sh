#!/bin/sh
# The stand-ins are plain Python files; compiling them shows that they can be read.
cd "$(dirname "$0")" || exit 2
python3 -m compileall -q standins
