"""Check the tuples that a message between instances holds, field by field."""

from __future__ import annotations

__all__ = ["convert_list", "convert_table"]

from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def convert_table(values: dict[str, Any], kind: type[T]) -> dict[str, T]:
    """Return the tuples that a message holds by name, each of them whole.

    :raises ValueError: if one has other fields.
    """
    found = msgspec.convert(values, dict[str, kind])  # type: ignore[valid-type]
    _check_lengths(values.values(), kind)
    return found


def convert_list(values: list[Any], kind: type[T]) -> list[T]:
    """Return the tuples that a message holds, each of them whole.

    :raises ValueError: if one has other fields.
    """
    # Bytes are bytes in a message: a text in their place would be read as base64.
    found = msgspec.convert(
        values,
        list[kind],  # type: ignore[valid-type]
        builtin_types=(bytes,),
    )
    _check_lengths(values, kind)
    return found


def _check_lengths(values: Iterable[Any], kind: type[T]) -> None:
    # Defaults are for those that build a value; a message names all its fields.
    length = len(kind._fields)  # type: ignore[attr-defined]
    if any(len(value) != length for value in values):
        raise ValueError(f"not the fields of a {kind.__name__}")
