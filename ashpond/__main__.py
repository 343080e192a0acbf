"""Run the command line as ``python -m ashpond``."""

from __future__ import annotations

from ashpond.cli import main

if __name__ == "__main__":
    main()
