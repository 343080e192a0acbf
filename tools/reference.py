"""Generate the configuration reference from the types that validate it."""

from __future__ import annotations

__all__ = ["TARGET", "render_reference"]

import inspect
import re
from pathlib import Path
from typing import Any, get_type_hints

from ashpond.configuration import (
    BackendServerConfig,
    Objective,
    PriorityConfig,
    ServiceConfig,
    TeamConfig,
)

TARGET = Path(__file__).parent.parent / "docs" / "usage" / "configuration.md"
SECTIONS: tuple[tuple[str, Any], ...] = (
    ("priorities.NAME", PriorityConfig),
    ("teams.NAME", TeamConfig),
    ("services.NAME", ServiceConfig),
    ("services.NAME.objective", Objective),
    ("backend_servers.NAME", BackendServerConfig),
)
HEAD = """# Configuration

What operators declare, in any number of TOML files that are applied as a whole;
[an example](../../examples/khangai). An entry stands in one file only;
references may cross files. A fault names file, key, value and reason, and
nothing of the set is applied. `ashpond hash-key KEY` prints a key's digest.

This page is made from the types that check the files: `python -m
tools.reference`.
"""


def describe_type(hint: Any) -> str:
    """Return the name of a type in the terms of TOML."""
    text = str(hint)
    names = {"str": "text", "int": "whole number", "float": "number", "bool": "boolean"}
    if isinstance(hint, type) and hint.__name__ in names:
        return names[hint.__name__]
    if text.startswith("list["):
        return "list of text"
    choices = re.findall(r"'([^']+)'", text)
    return " or ".join(f'"{choice}"' for choice in choices) or "table"


def describe_default(kind: Any, key: str) -> str:
    """Return the default of a key in TOML notation, ``required`` if it has none."""
    if key not in kind._field_defaults:
        return "required"
    value = kind._field_defaults[key]
    if isinstance(value, tuple):
        return "see below"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def render_reference() -> str:
    """Return the reference page as Markdown."""
    parts = [HEAD]
    for name, kind in SECTIONS:
        parts.append(f"\n## `[{name}]`\n\n{inspect.getdoc(kind)}\n")
        parts.append("| key | type | default |\n|---|---|---|")
        hints = get_type_hints(kind)
        for key in kind._fields:
            row = f"| `{key}` | {describe_type(hints[key])} | "
            parts.append(f"{row}{describe_default(kind, key)} |")
    return "\n".join(parts) + "\n"


if __name__ == "__main__":
    TARGET.write_text(render_reference())
