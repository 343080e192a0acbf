"""Tests of what a start of the program imports and compiles."""

from __future__ import annotations

import subprocess
import sys

# Modules with many named tuples do without ``from __future__ import annotations``:
# typing compiles each deferred annotation of a field, some 17 us for each of 549.
MAX_COMPILED_ANNOTATIONS = 200
COUNT_COMPILED = """
import typing
count = 0
create = typing.ForwardRef.__init__
def count_created(self, *args, **options):
    global count
    count += 1
    create(self, *args, **options)
typing.ForwardRef.__init__ = count_created
import ashpond_platform.composition
print(count)
"""
FIND_ASYNCIO = """
import sys
import ashpond_platform.composition
assert "aioprometheus" not in sys.modules and "asyncio" not in sys.modules
"""


def test_a_start_does_not_import_asyncio():
    """A direct import of the library of metrics would undo the shorter start."""
    subprocess.run([sys.executable, "-c", FIND_ASYNCIO], check=True)


def test_a_start_compiles_few_annotations():
    """New modules with many fields could silently make each start longer."""
    command = [sys.executable, "-c", COUNT_COMPILED]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    assert int(completed.stdout) <= MAX_COMPILED_ANNOTATIONS
