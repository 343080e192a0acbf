"""Odd values of rows: valid JSON or not, and never what a table's decoder expects."""

from __future__ import annotations

import json

DEEP = 100_000


def make_odd_values(good: dict[str, object]) -> dict[str, bytes]:
    """Return the odd values of a row, by name, for a table with such valid rows."""
    text = json.dumps(good)[:-1]
    values: dict[str, bytes] = {
        "deep list": b"[" * DEEP,
        "closed deep list": b"[" * DEEP + b"]" * DEEP,
        "closed deep table": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        "deep unknown field": f'{text},"odd":{"[" * DEEP}{"]" * DEEP}}}'.encode(),
        "not UTF-8": b'{"\xff": 1}',
        "huge text": b'"' + b"x" * 500_000 + b'"',
        "huge number": b"1" + b"0" * 400,
        "NaN": b"NaN",
        "empty": b"",
        "NUL": b"\0",
    }
    for field in good:
        others = {name: value for name, value in good.items() if name != field}
        prefix = json.dumps(others)[:-1] + (", " if others else "") + f'"{field}": '
        for name, odd in ODD_FIELDS.items():
            values[f"{field} is {name}"] = prefix.encode() + odd + b"}"
    return values


ODD_FIELDS: dict[str, bytes] = {
    "deep list": b"[" * DEEP + b"]" * DEEP,
    "deep table": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "10**400": b"1" + b"0" * 400,
    "-10**400": b"-1" + b"0" * 400,
    "1e999": b"1e999",
    "-1e999": b"-1e999",
    "1e308": b"1e308",
    "2**63": str(2**63).encode(),
    "2**64": str(2**64).encode(),
    "NaN": b"NaN",
    "Infinity": b"Infinity",
    "-1": b"-1",
    "true": b"true",
    "null": b"null",
    "invalid UTF-8": b'"\xff\xfe"',
    "a lone surrogate": b'"\\ud800"',
    "a NUL": b'"\\u0000"',
    "a line break": b'"a\\r\\nb"',
    "a huge text": b'"' + b"x" * 500_000 + b'"',
    "a list": b"[]",
    "a table": b"{}",
    "a port out of range": b'"127.0.0.1:99999"',
}
