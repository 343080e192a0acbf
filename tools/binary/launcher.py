"""The ``__main__`` module of the executable archive: starts ashpond.

Python imports pure modules directly from the archive but cannot load extension
modules from it. Each extension module is therefore copied to an anonymous
in-memory file (``memfd``) at its first import and loaded from there. Nothing is
unpacked to disk and no child process is started.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile

ARCHIVE = os.path.abspath(sys.argv[0])
NEEDED = (3, 11)
SUFFIXES = sorted(importlib.machinery.EXTENSION_SUFFIXES, key=len, reverse=True)


class ExtensionFinder(importlib.abc.MetaPathFinder):
    """Finder for the extension modules in the archive."""

    def __init__(self, archive: str):
        self._archive = archive
        self._entries: dict[str, str] = {}
        with zipfile.ZipFile(archive) as opened:
            for entry in opened.namelist():
                suffix = next((s for s in SUFFIXES if entry.endswith(s)), None)
                if suffix:
                    name = entry[: -len(suffix)].replace("/", ".")
                    self._entries.setdefault(name, entry)

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module, or ``None`` if it is not included."""
        entry = self._entries.get(fullname)
        if entry is None:
            return None
        location = self._copy_to_memory(fullname, entry)
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname, location, loader=loader)

    def _copy_to_memory(self, fullname: str, entry: str) -> str:
        # The descriptor is never closed: the module's path refers to it.
        descriptor = os.memfd_create(fullname, os.MFD_CLOEXEC)
        with zipfile.ZipFile(self._archive) as opened:
            data = memoryview(opened.read(entry))
        while data:
            data = data[os.write(descriptor, data) :]
        return f"/proc/self/fd/{descriptor}"


def main() -> None:
    """Check the Python version and run the command-line interface."""
    if sys.version_info[:2] != NEEDED:
        required = ".".join(map(str, NEEDED))
        sys.exit(f"error: this file was built for Python {required}")
    sys.meta_path.insert(0, ExtensionFinder(ARCHIVE))
    from ashpond.cli import main as run

    run(prog_name="ashpond")


main()
