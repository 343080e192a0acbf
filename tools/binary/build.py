"""Build ``dist/ashpond``, an executable zip archive with all dependencies."""

from __future__ import annotations

import compileall
import py_compile
import shutil
import subprocess
import sys
import zipfile
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
STAGE = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "ashpond"
VERSION = sys.version_info[:2]
INTERPRETER = b"#!/usr/bin/env python%d.%d\n" % VERSION
# Large files that are not needed at run time.
EXCLUDED_PATTERNS = (
    "*.dist-info/RECORD",
    "**/tests",
    "**/test",
    "bin",
    "**/__pycache__",
)
EPOCH = (2026, 1, 1, 0, 0, 0)


def collect() -> None:
    """Install the locked dependencies and ashpond into the staging directory."""
    shutil.rmtree(STAGE, ignore_errors=True)
    STAGE.mkdir(parents=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile"]
    requirements = str(ROOT / "requirements.txt")
    subprocess.run(
        [*command, "--no-deps", "--target", str(STAGE), "-r", requirements], check=True
    )
    shutil.copytree(ROOT / "ashpond", STAGE / "ashpond")
    launcher = (ROOT / "tools" / "binary" / "launcher.py").read_text()
    # Extension modules only work with the Python version they were installed for.
    launcher = launcher.replace("NEEDED = (3, 11)", f"NEEDED = {tuple(VERSION)}")
    (STAGE / "__main__.py").write_text(launcher)
    for pattern in EXCLUDED_PATTERNS:
        for path in list(STAGE.glob(pattern)):
            shutil.rmtree(path) if path.is_dir() else path.unlink()


def compile_modules() -> None:
    """Compile beside the sources, where a zip file's importer looks."""
    compileall.compile_dir(
        STAGE,
        quiet=2,
        legacy=True,
        stripdir=str(STAGE),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def pack() -> None:
    """Write the archive reproducibly: equal contents give equal bytes."""
    TARGET.parent.mkdir(exist_ok=True)
    with open(TARGET, "wb") as file:
        file.write(INTERPRETER)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for path in sorted(STAGE.rglob("*")):
                name = str(path.relative_to(STAGE))
                if path.is_dir():
                    # Namespace packages have no __init__; the importer finds them by
                    # their directory entry.
                    archive.writestr(zipfile.ZipInfo(f"{name}/", EPOCH), b"")
                    continue
                info = zipfile.ZipInfo(name, EPOCH)
                info.compress_type = zipfile.ZIP_DEFLATED
                archive.writestr(info, path.read_bytes())
    TARGET.chmod(0o755)


def main() -> None:
    """Build the executable file and print its size."""
    collect()
    compile_modules()
    pack()
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
