"""Render the burn report as a table, as JSON or as an HTML page."""

from __future__ import annotations

__all__ = ["render_html", "render_json", "render_table"]

import html
from typing import Any

import orjson

from ashpond.decisions.burn import PAGE_RULES, WINDOWS

LABELS = [window.label for window in WINDOWS]
OBJECTIVES = {"first_token": "first token in time", "answered": "answered"}
BAR_WIDTH = 120
FULL_BAR_RATE = 15.0

Row = dict[str, Any]


def render_json(rows: list[Row]) -> str:
    """Return the rows as JSON."""
    return orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode()


def render_table(rows: list[Row]) -> str:
    """Return the rows as a text table for a terminal."""
    if not rows:
        return "no requests have been counted yet"
    head = f"{'service':16} {'team':12} {'objective':20} {'target':>7}"
    head += "".join(f" {label:>7}" for label in LABELS)
    lines = [f"{head} {'requests':>9} {'budget left':>12}  pages"]
    lines.extend(_render_line(row) for row in rows)
    lines.append("Rates are multiples of the burn that uses up the budget in 3 days.")
    return "\n".join(lines)


def _render_line(row: Row) -> str:
    objective = OBJECTIVES[row["objective"]]
    line = f"{row['service']:16} {row['team']:12} {objective:20}"
    line += f" {row['target']:7.2%}"
    line += "".join(f" {row['rates'][label]:7.2f}" for label in LABELS)
    return f"{line} {row['total']:9d} {row['budget_left']:12.1%}  {row['pages'] or '-'}"


def render_html(rows: list[Row]) -> str:
    """Return the rows as an HTML page that needs no other file."""
    heads = "".join(f"<th>{label}</th>" for label in LABELS)
    body = "".join(_render_row(row) for row in rows)
    rules = ", ".join(f"{s}+{long} at {rate:g}×" for s, long, rate in PAGE_RULES)
    empty = "" if rows else "<p>No requests have been counted yet.</p>"
    return f"""<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title><style>{STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>A rate of 1 uses up the error budget in exactly three days.
Both windows of a pair over its rate page: {html.escape(rules)}.</p>{empty}
<table><thead><tr><th>service</th><th>team</th><th>objective</th><th>target</th>
{heads}<th>requests</th><th>budget left</th><th>pages</th></tr></thead>
<tbody>{body}</tbody></table></body></html>
"""


def _render_row(row: Row) -> str:
    cells = [row["service"], row["team"], OBJECTIVES[row["objective"]]]
    shown = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    rates = "".join(_render_rate(row["rates"][label]) for label in LABELS)
    left = max(0.0, row["budget_left"])
    style = ' class="paging"' if row["pages"] else ""
    return (
        f"<tr{style}>{shown}<td>{row['target']:.2%}</td>{rates}"
        f"<td>{row['total']}</td><td>{_render_bar(left, 'left')}{left:.1%}</td>"
        f"<td>{row['pages'] or '–'}</td></tr>"
    )


def _render_rate(rate: float) -> str:
    return f"<td>{_render_bar(rate / FULL_BAR_RATE, 'rate')}{rate:.2f}</td>"


def _render_bar(share: float, kind: str) -> str:
    width = BAR_WIDTH * min(1.0, share)
    return (
        f'<svg width="{BAR_WIDTH}" height="10" role="img">'
        f'<rect width="{BAR_WIDTH}" height="10" class="back"/>'
        f'<rect width="{width:.1f}" height="10" class="{kind}"/></svg><br>'
    )


STYLE = """
body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:80rem;color:#223}
table{border-collapse:collapse;width:100%}
th,td{padding:.5rem .7rem;text-align:left;border-bottom:1px solid #dde}
th{font-weight:600;color:#556}.back{fill:#eef}.rate{fill:#d96c3f}.left{fill:#4a9c6d}
tr.paging td{background:#fdeee8}
"""
