"""Validation of TOML tables against declared types, with a report of each fault."""

from __future__ import annotations

__all__ = ["AddressText", "Seconds", "check_table"]

from typing import Annotated, Any

from pydantic import AfterValidator, Field, TypeAdapter, ValidationError

from ashpond.addresses import parse_address
from ashpond.errors import InputProblem
from ashpond.tables import MAX_SHOWN_CHARACTERS

SECRET_KEYS = ("secret", "token", "key_hashes")


def _check_address(text: str) -> str:
    parse_address(text)
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


def check_table(
    name: str, adapter: TypeAdapter, table: dict[str, Any]
) -> tuple[Any, list[InputProblem]]:
    """Check a parsed table; return the typed value, or None, and the problems found."""
    try:
        return adapter.validate_python(table), []
    except ValidationError as error:
        return None, [_describe_fault(name, fault) for fault in error.errors()]


def _describe_fault(name: str, fault: Any) -> InputProblem:
    key = ".".join(str(part) for part in fault["loc"]) or "(file)"
    if fault["type"] == "extra_forbidden":
        return InputProblem(name, key, "", "unknown key")
    if fault["type"] == "missing":
        return InputProblem(name, key, "", "this key is required")
    return InputProblem(name, key, _format_value(key, fault.get("input")), fault["msg"])


def _format_value(key: str, value: Any) -> str:
    if any(part in key for part in SECRET_KEYS):
        return ""
    text = repr(value)
    return (
        text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "…"
    )
