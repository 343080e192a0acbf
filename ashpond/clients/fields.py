"""Conversion of the lists in peer messages to checked named tuples."""

from __future__ import annotations

__all__ = ["convert_list", "convert_table"]

from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


def convert_table(values: dict[str, Any], kind: type[T]) -> dict[str, T]:
    """Convert a dictionary of lists to named tuples of type ``kind``.

    :raises ValueError: if a list has missing, additional or mistyped fields.
    """
    converted = msgspec.convert(values, dict[str, kind])  # type: ignore[valid-type]
    _check_lengths(values.values(), kind)
    return converted


def convert_list(values: list[Any], kind: type[T]) -> list[T]:
    """Convert a list of lists to named tuples of type ``kind``.

    :raises ValueError: if a list has missing, additional or mistyped fields.
    """
    # Without ``builtin_types``, msgspec would decode a string as base64 bytes.
    converted = msgspec.convert(
        values,
        list[kind],  # type: ignore[valid-type]
        builtin_types=(bytes,),
    )
    _check_lengths(values, kind)
    return converted


def _check_lengths(values: Iterable[Any], kind: type[T]) -> None:
    # msgspec fills missing fields with defaults, but a message must hold every field.
    length = len(kind._fields)  # type: ignore[attr-defined]
    if any(len(value) != length for value in values):
        raise ValueError(f"not the fields of a {kind.__name__}")
